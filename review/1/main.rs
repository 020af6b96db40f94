//! Two holders of the claim to give orders: see `claim.txt`.

#[path = "../standin/mod.rs"]
mod standin;

use standin::{
    engine::{Engine, Framing, Order, Setup},
    host::Host,
    http,
    json::{Json, table},
    record::Record,
    store::{Door, Mode, Store},
};
use std::{
    collections::BTreeMap,
    env, fs, io,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Hosts, as on the site of the day.
const HOSTS: usize = 8;
/// `herd_kill`: a share of 0.6 of the hosts, rounded up as the bench does; they stay dark for 5 s.
const KILLED: usize = 5;
const DARK: Duration = Duration::from_secs(5);
/// `platform_down`, `nodes`: a share of 0.35 of the hosts, rounded up as the bench does, for 9 s.
/// It begins 4 s after the kill.
const CUT_AFTER_KILL: Duration = Duration::from_secs(4);
const CUT: Duration = Duration::from_secs(9);
/// `lease-ms` and `thaw-slack-ms`.
const LEASE: Duration = Duration::from_millis(3_000);
const SLACK: Duration = Duration::from_millis(300);

const MODELS: [&str; 3] = ["m1", "m2", "m3"];
const ADAPTERS: u64 = 30;
const SLOTS: u64 = 4;

fn config() -> Json {
    let models = MODELS.iter().map(|name| {
        table(&[
            ("name", (*name).into()),
            ("weights-mb", 1_000.into()),
            ("load-time-s", 1.into()),
            ("adapters", ADAPTERS.into()),
            ("adapter-mb", 1.into()),
        ])
    });
    let route = table(&[
        ("name", "draft".into()),
        ("hostname", "shop.example".into()),
        ("prefix", "/draft/".into()),
        ("route-kind", "streaming".into()),
        ("timeout-ms", 5_000.into()),
        ("target-latency-ms", 1_000.into()),
        ("priority", 1.into()),
        ("service-name", "llm".into()),
        ("max-attempts", 2.into()),
        ("sticky-sessions", true.into()),
        ("resumable", true.into()),
        ("target-gap-ms", 600.into()),
    ]);
    let engine = table(&[
        ("slot-count", 64.into()),
        ("kv-cache-tokens", 100_000.into()),
        ("weights-mb", 10_000.into()),
        ("adapter-slot-count", SLOTS.into()),
        ("loads-per-s", 2.into()),
        ("models", models.collect::<Vec<_>>().into()),
    ]);
    let service = table(&[
        ("name", "llm".into()),
        ("health-path", "/health".into()),
        ("max-connections", 370.into()),
        ("engine", engine),
    ]);
    table(&[
        ("version", 1.into()),
        ("routes", vec![route].into()),
        ("services", vec![service].into()),
        ("limits", table(&[
            ("max-header-bytes", 16_384.into()),
            ("max-body-bytes", 4_194_304.into()),
            ("header-timeout-ms", 3_000.into()),
            ("idle-timeout-ms", 15_000.into()),
        ])),
    ])
}

/// A client near one host: asks the directories, the nearest first, where to connect, and sends a
/// request for an adapter every 250 ms.
struct Client {
    name: String,
    directories: Vec<SocketAddr>,
    record: Record,
    ended: Arc<AtomicBool>,
}

impl Client {
    fn resolve(&self) -> Option<Vec<SocketAddr>> {
        let text = "GET /mulberryrack/resolve?name=shop.example&region=r&zone=a HTTP/1.1\r\n\
                    Host: x\r\nConnection: close\r\n\r\n";
        self.directories.iter().take(3).find_map(|directory| {
            let answer = http::exchange(*directory, text, Duration::from_secs(1));
            let body = Json::parse(&answer.body).filter(|_| answer.status == 200)?;
            let addresses = body.list("addresses").iter().filter_map(|it| match it {
                Json::Text(text) => text.parse().ok(),
                _ => None,
            });
            let addresses: Vec<SocketAddr> = addresses.collect();
            (!addresses.is_empty()).then_some(addresses)
        })
    }

    fn run(&self, seed: u64) {
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = move |below: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % below
        };
        let mut known: Vec<SocketAddr> = Vec::new();
        let mut asked: Option<Instant> = None;
        let mut number = 0;
        while !self.ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(250));
            // The answer holds for 1 s.
            if asked.is_none_or(|asked| asked.elapsed() >= Duration::from_secs(1)) {
                asked = Some(Instant::now());
                known = self.resolve().unwrap_or(known);
            }
            if known.is_empty() {
                continue;
            }
            let address = known[draw(known.len() as u64) as usize];
            let model = MODELS[draw(MODELS.len() as u64) as usize];
            let adapter = 1 + draw(ADAPTERS);
            number += 1;
            let attempt = format!("{}-{number}", self.name);
            self.record.line(&format!("send attempt={attempt} to={address} model={model}/a{adapter}"));
            let text = format!(
                "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n\
                 Model: {model}/a{adapter}\r\nToken-Counts: 100,10\r\nPrompt-Prefix: 1:50,{number:x}:50\r\n\
                 Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
            );
            let answer = http::exchange(address, &text, Duration::from_secs(6));
            let complete = answer.is_complete;
            self.record.line(&format!("answer attempt={attempt} status={} complete={complete}", answer.status));
        }
    }
}

/// What breaks the rule ONE in the orders that the engines got.
fn judge(orders: &[Order], healed: &[Duration], record: &Record) -> usize {
    let mut broken = 0;
    let excused = |at: Duration| healed.iter().any(|healed| at >= *healed && at < *healed + SLACK);
    let mut engines: BTreeMap<&str, Vec<&Order>> = BTreeMap::new();
    for order in orders.iter().filter(|order| !excused(order.at)) {
        engines.entry(&order.engine).or_default().push(order);
    }
    for (engine, orders) in engines {
        let mut highest = (0, "");
        for pair in orders.windows(2) {
            let [one, two] = pair else { continue };
            if one.fence >= highest.0 {
                highest = (one.fence, &one.holder);
            }
            let at = two.at.as_secs_f64();
            if two.fence < highest.0 {
                broken += 1;
                record.line(&format!(
                    "BROKEN engine={engine} at={at:.3}: holder {} with fence {} after holder {} with fence {}",
                    two.holder, two.fence, highest.1, highest.0
                ));
            }
            if one.holder != two.holder && one.fence == two.fence {
                broken += 1;
                record.line(&format!("BROKEN engine={engine} at={at:.3}: one fence for two holders"));
            }
            if one.holder != two.holder && two.at - one.at < LEASE {
                broken += 1;
                let gap = (two.at - one.at).as_millis();
                record.line(&format!(
                    "BROKEN engine={engine} at={at:.3}: order of {} only {gap} ms after one of {}",
                    two.holder, one.holder
                ));
            }
        }
    }
    broken
}

fn run() -> io::Result<bool> {
    let record = Record::create("review/1/record.txt")?;
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::temp_dir().join(format!("mulberryrack-review-1-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let store = Store::start();
    store.write("op/config", &config());
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let mut engines = Vec::new();
    for number in 1..=3 {
        let setup = Setup {
            id: format!("e{number}"),
            service: "llm".into(),
            zone: "a".into(),
            models: MODELS.iter().map(|it| (*it).to_owned()).collect(),
            adapter_slots: SLOTS as usize,
            events: 5,
            gap: Duration::from_millis(10),
            framing: Framing::Chunks,
            plain: None,
            extra_each: 0,
            born: 1_000 + number,
        };
        let engine = Engine::start(setup, orders.clone(), &record)?;
        engine.keep_registered(&store);
        engines.push(engine);
    }
    let doors: Vec<Door> = (0..HOSTS).map(|_| store.door()).collect::<io::Result<_>>()?;
    let mut hosts: Vec<Host> = Vec::new();
    for (number, door) in doors.iter().enumerate() {
        hosts.push(Host::start(&folder, &format!("h{number}"), "a", door.address)?);
    }
    let ready_by = Instant::now() + Duration::from_secs(10);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > ready_by {
            return Err(io::Error::other("the hosts are not ready"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.line("all hosts are ready");
    let ended = Arc::new(AtomicBool::new(false));
    let seeds = AtomicU64::new(1);
    let mut clients = Vec::new();
    for number in 0..HOSTS {
        let mut directories: Vec<SocketAddr> = hosts.iter().map(|host| host.directory).collect();
        directories.rotate_left(number);
        let client = Client {
            name: format!("c{number}"),
            directories,
            record: record.clone(),
            ended: ended.clone(),
        };
        let seed = seeds.fetch_add(1, Ordering::Relaxed);
        clients.push(thread::spawn(move || client.run(seed)));
    }
    // The first holder waits for some seconds before its first order.
    let first_by = Instant::now() + Duration::from_secs(15);
    while orders.lock().expect("unpoisoned").len() < 5 {
        if Instant::now() > first_by {
            return Err(io::Error::other("no orders are given"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let holder = orders.lock().expect("unpoisoned")[0].holder.clone();
    let leader = hosts.iter().position(|host| host.name == holder);
    let leader = leader.ok_or_else(|| io::Error::other("an unknown holder"))?;
    record.line(&format!("holder={holder}"));
    let mut healed = Vec::new();
    if has_trouble {
        let killed: Vec<usize> = (1..=KILLED).map(|step| (leader + step) % HOSTS).collect();
        let cut: Vec<usize> = (0..HOSTS).filter(|number| !killed.contains(number)).collect();
        let start = Instant::now();
        let sleep_until = |after: Duration| {
            thread::sleep((start + after).saturating_duration_since(Instant::now()));
        };
        for number in &killed {
            record.line(&format!("kill host={}", hosts[*number].name));
            hosts[*number].kill();
        }
        sleep_until(CUT_AFTER_KILL);
        for number in &cut {
            record.line(&format!("the store turns away host={}", hosts[*number].name));
            doors[*number].set(Mode::TurnAway);
        }
        sleep_until(DARK);
        for number in &killed {
            record.line(&format!("start host={}", hosts[*number].name));
            hosts[*number].restart()?;
        }
        sleep_until(CUT_AFTER_KILL + CUT);
        for number in &cut {
            doors[*number].set(Mode::Serve);
        }
        record.line("the store serves all hosts");
        healed.push(record.now());
        thread::sleep(Duration::from_secs(5));
    } else {
        thread::sleep(CUT_AFTER_KILL + CUT + Duration::from_secs(5));
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for host in &hosts {
        for line in host.logged(&["event=claim-", "event=lease-lost"]) {
            record.line(&format!("log host={} {line}", host.name));
        }
    }
    drop(hosts);
    let _ = fs::remove_dir_all(&folder);
    let orders = orders.lock().expect("unpoisoned");
    let broken = judge(&orders, &healed, &record);
    record.line(&format!("orders={} broken={broken}", orders.len()));
    println!("orders={} broken={broken}", orders.len());
    Ok(broken > 0)
}

fn main() -> ExitCode {
    match run() {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
