//! The cases. Each returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use super::*;

pub fn run(number: &str, dir: &str) -> i32 {
    let is_troubled = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::open(&format!("{dir}/record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{number}-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a directory");
    let settings_dir = temporary.to_string_lossy().into_owned();
    let code = match number {
        "7" => legal_bodies(&record, &settings_dir, is_troubled),
        "8" => withdrawn_key(&record, &settings_dir, is_troubled),
        "6" => cut_streams(&record, &settings_dir, if is_troubled { Trouble::TakenAway } else { Trouble::None }),
        "9" => cut_streams(
            &record,
            &settings_dir,
            if is_troubled { Trouble::CrashWhileFrozen } else { Trouble::None },
        ),
        _ => 2,
    };
    let _ = fs::remove_dir_all(temporary);
    record.line(&format!("exit {code}"));
    code
}

const MODEL: &str = "Model: m\r\nToken-Counts: 700,400\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:500\r\n";

/// What happens to the engine with most streams.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// It is taken away at short notice.
    TakenAway,
    /// It crashes and starts again while a host is frozen.
    CrashWhileFrozen,
}

/// Engines write streams that end with their connections.
fn cut_streams(record: &Arc<Record>, dir: &str, trouble: Trouble) -> i32 {
    const EVENTS: u64 = 40;
    let store = Store::start();
    store.put("op/config", &config(1, 220_000, ""));
    let options: Vec<EngineOptions> = (0..7)
        .map(|index| EngineOptions {
            id: format!("i-{index}"),
            service: "llm".into(),
            first_ms: 50,
            gap_ms: 100,
            events: EVENTS,
            is_unframed: true,
            crashes_on: String::new(),
        })
        .collect();
    let mut engines: Vec<Engine> = options.iter().map(|it| Engine::start(&store, it)).collect();
    let hosts: Vec<Host> = (0..2)
        .map(|index| {
            Host::start(
                dir,
                &format!("front-{index}"),
                &settings(&format!("front-{index}"), &store, 260, 4_100, ""),
            )
        })
        .collect();
    wait_until("hosts listed", || store.has("mulberryrack/hosts/") == 2);
    thread::sleep(ms(1_000));
    let clients: Vec<_> = (0..28)
        .map(|index| {
            let (callers, record) = (hosts[index % 2].callers, record.clone());
            thread::sleep(ms(20));
            spawn(move || {
                let route = if index % 4 < 2 { "nudge" } else { "draft" };
                let id = format!("{route}-{index}");
                let text = format!(
                    "POST /{route}/{index} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
                     Deadline-Ms: 10000\r\n{MODEL}Content-Length: 6\r\n\r\nprompt"
                );
                record.line(&format!("sent {id} to {callers}"));
                let answer = call(callers, &text, ms(12_000));
                let told = answer.as_ref().map_or("no answer".to_owned(), |it| {
                    format!("{} complete={} last event {}", it.status, it.is_complete, it.last_event())
                });
                record.line(&format!("answered {id}: {told}"));
                (id, answer)
            })
        })
        .collect();
    thread::sleep(ms(300));
    let most = (0..engines.len())
        .max_by_key(|index| engines[*index].lines("run ").len())
        .unwrap_or(0);
    let mut told = Vec::new();
    match trouble {
        Trouble::None => {}
        Trouble::TakenAway => {
            let engine = &mut engines[most];
            record.line(&format!("notice: {} is taken away in 2000 ms", engine.id));
            engine.drain(2_000);
            thread::sleep(ms(2_000));
            engine.kill();
            record.line(&format!("gone: {}", engine.id));
        }
        Trouble::CrashWhileFrozen => {
            hosts[0].signal("STOP");
            record.line("front-0 is frozen");
            thread::sleep(ms(700));
            let (options, port) = (options[most].clone(), engines[most].port.clone());
            engines[most].kill();
            thread::sleep(ms(50));
            told = engines[most].lines("");
            record.line(&format!("{} has crashed", options.id));
            thread::sleep(ms(2_000));
            engines[most] = Engine::start_at(&store, &options, &port);
            record.line(&format!("{} is back", options.id));
            thread::sleep(ms(1_250));
            hosts[0].signal("CONT");
            record.line("front-0 goes on, 4000 ms later");
        }
    }
    let answers: Vec<_> = clients.into_iter().map(|it| it.join().expect("a client")).collect();
    for line in told.iter().filter(|line| !line.starts_with("event ")) {
        record.line(&format!("i-{most} told before: {line}"));
    }
    for engine in &engines {
        for line in engine.lines("run ").iter().chain(&engine.lines("end ")) {
            record.line(&format!("{} told: {line}", engine.id));
        }
    }
    let mut broken = 0;
    let mut served = 0;
    for (id, answer) in &answers {
        let Some(answer) = answer else { continue };
        if answer.status == 200 && answer.is_complete && answer.last_event() < EVENTS {
            broken += 1;
            record.line(&format!(
                "BROKEN: {id} ends as complete after event {} of {EVENTS}",
                answer.last_event()
            ));
        }
        served += u64::from(answer.status == 200 && answer.is_complete && answer.last_event() == EVENTS);
    }
    record.line(&format!(
        "{served} of {} streams whole, {broken} cut short and complete",
        answers.len()
    ));
    match (broken, served) {
        (0, 0..=10) => 2,
        (0, _) => 0,
        _ => 1,
    }
}

/// Many callers come at once with prompts of legal size.
fn legal_bodies(record: &Arc<Record>, dir: &str, is_troubled: bool) -> i32 {
    const HOSTS: usize = 2;
    const CROWD: usize = 1_500;
    const MEMORY_MB: u32 = 160;
    const DESCRIPTORS: u32 = 4_100;
    const ROUNDS: usize = 3;
    let body = Arc::new("x".repeat(if is_troubled { 50_000 } else { 600 }));
    let store = Store::start();
    store.put("op/config", &config(1, 220_000, ""));
    let engine = |id: String, service: &str, first_ms: u64, events: u64| EngineOptions {
        id,
        service: service.into(),
        first_ms,
        gap_ms: 150,
        events,
        is_unframed: false,
        crashes_on: String::new(),
    };
    let mut engines: Vec<Engine> = (0..12)
        .map(|index| Engine::start(&store, &engine(format!("i-{index}"), "llm", 50, 24)))
        .collect();
    engines.push(Engine::start(&store, &engine("d-0".into(), "desk", 900, 0)));
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|index| {
            let name = format!("front-{index}");
            Host::start(dir, &name, &settings(&name, &store, MEMORY_MB, DESCRIPTORS, ""))
        })
        .collect();
    let mut ends = [0; HOSTS];
    for round in 0..ROUNDS {
        wait_until("hosts listed", || store.has("mulberryrack/hosts/") == HOSTS);
        thread::sleep(ms(3_000));
        record.line(&format!(
            "round {round}: {CROWD} callers come to each of {HOSTS} hosts, bodies of {} bytes",
            body.len()
        ));
        let orders: Vec<_> = hosts
            .iter()
            .map(|host| {
                let (callers, name, record) = (host.callers, host.name.clone(), record.clone());
                spawn(move || {
                    thread::sleep(ms(400));
                    let status = call(callers, &order(&format!("{round}-{name}-during")), ms(2_000)).map_or(0, |it| it.status);
                    record.line(&format!("an order at {name} beside the crowd: answered {status} (0: not at all)"));
                })
            })
            .collect();
        let clients: Vec<_> = (0..CROWD * HOSTS)
            .map(|index| {
                if index % 40 == 0 {
                    thread::sleep(ms(5));
                }
                let (callers, body) = (hosts[index % HOSTS].callers, body.clone());
                spawn(move || {
                    let id = format!("n{round}-{index}");
                    let text = format!(
                        "POST /nudge/{index} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 10000\r\n\
                         Model: m\r\nToken-Counts: 40,120\r\nPrompt-Prefix: 5c1e07a2:20,91bd3f06:10,{:x}:10\r\n\
                         Content-Length: {}\r\n\r\n{body}",
                        0x10000 + index,
                        body.len()
                    );
                    match call(callers, &text, ms(12_000)) {
                        Some(answer) if answer.is_complete => format!("{} whole", answer.status),
                        Some(answer) => format!("{} cut off", answer.status),
                        None => "none".to_owned(),
                    }
                })
            })
            .collect();
        let mut peaks = [0; HOSTS];
        let mut is_ended = [false; HOSTS];
        let until = Instant::now() + ms(5_000);
        while Instant::now() < until {
            for index in 0..HOSTS {
                let memory_kb = hosts[index].memory_kb();
                peaks[index] = memory_kb.max(peaks[index]);
                // What the platform does with a process that exceeds its memory.
                if memory_kb > u64::from(MEMORY_MB) * 1_024 && !is_ended[index] {
                    hosts[index].kill();
                    is_ended[index] = true;
                    ends[index] += 1;
                    record.line(&format!(
                        "{}: {memory_kb} kB are over {MEMORY_MB} MB; the process is killed",
                        hosts[index].name
                    ));
                }
            }
            thread::sleep(ms(10));
        }
        for order in orders {
            let _ = order.join();
        }
        let mut statuses = BTreeMap::new();
        for client in clients {
            *statuses.entry(client.join().expect("a client")).or_insert(0) += 1;
        }
        record.line(&format!("round {round}: at most {peaks:?} kB; answers {statuses:?}"));
        for index in 0..HOSTS {
            if is_ended[index] {
                hosts[index].restart();
            }
            let text = order(&format!("{round}-{index}-after"));
            let status = call(hosts[index].callers, &text, ms(2_000)).map_or(0, |it| it.status);
            record.line(&format!("an order at {} afterwards: answered {status}", hosts[index].name));
        }
    }
    record.line(&format!("ends by memory over the limit: {ends:?}"));
    i32::from(ends.iter().all(|count| *count >= 3))
}

fn order(id: &str) -> String {
    format!(
        "POST /cart/{id} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: cart-{id}\r\nDeadline-Ms: 1500\r\n\
         Content-Length: 5\r\n\r\norder"
    )
}

/// A key is withdrawn; seconds later the store comes back from an older copy while a process is restarted.
fn withdrawn_key(record: &Arc<Record>, dir: &str, is_troubled: bool) -> i32 {
    const REVOKE: Duration = ms(5_000);
    let bounds = "strict_revocation = true\nrevoke_ms = 5000\nquota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 110000\n";
    let tenants = |keys: &str| format!(",\"tenants\":[{{\"name\":\"mill\",\"api-keys\":[{keys}]}}]");
    let store = Store::start();
    store.set_era(1);
    store.put("op/config", &config(1, 220_000, &tenants("\"kept\",\"withdrawn\"")));
    let desk = EngineOptions {
        id: "d-0".into(),
        service: "desk".into(),
        first_ms: 30,
        gap_ms: 0,
        events: 0,
        is_unframed: false,
        crashes_on: String::new(),
    };
    let engine = Engine::start(&store, &desk);
    let mut hosts: Vec<Host> = (0..2)
        .map(|index| {
            let name = format!("front-{index}");
            Host::start(dir, &name, &settings(&name, &store, 260, 4_100, bounds))
        })
        .collect();
    wait_until("hosts listed", || store.has("mulberryrack/hosts/") == 2);
    thread::sleep(ms(1_000));
    let send = |host: &Host, key: &str, id: &str| {
        let text = format!(
            "POST /cart/{id} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Bearer {key}\r\nContent-Length: 5\r\n\r\norder"
        );
        let status = call(host.callers, &text, ms(2_000)).map_or(0, |it| it.status);
        record.line(&format!("sent {id} with the key {key} to {}: answered {status}", host.name));
        status
    };
    let served = send(&hosts[0], "withdrawn", "before-0") + send(&hosts[1], "withdrawn", "before-1");
    let copy = store.copy();
    let second = config(2, 220_000, &tenants("\"kept\""));
    store.put("op/config", &second);
    let acknowledged = Instant::now();
    record.line("version 2 without the key is acknowledged");
    thread::sleep(ms(5_300));
    let refused = send(&hosts[0], "withdrawn", "later-0").max(send(&hosts[1], "withdrawn", "later-1"));
    if is_troubled {
        hosts[1].kill();
        record.line("front-1 is killed; the store is away");
        store.set_down(true);
        thread::sleep(ms(700));
        store.restore(copy);
        store.set_down(false);
        record.line("the store is back from a copy some seconds old, Store-Era 2");
        hosts[1].restart();
        record.line("front-1 is ready again");
    }
    let back = Instant::now();
    let mut is_written = false;
    let mut sent = Vec::new();
    while back.elapsed() < ms(6_000) {
        if is_troubled && !is_written && back.elapsed() >= ms(1_500) {
            is_written = true;
            store.put("op/config", &second);
            record.line("the operator has written version 2 again");
        }
        for host in 0..2 {
            let id = format!("after-{host}-{}", sent.len());
            sent.push((id.clone(), acknowledged.elapsed(), send(&hosts[host], "withdrawn", &id)));
        }
        thread::sleep(ms(100));
    }
    let kept = send(&hosts[0], "kept", "kept-0") + send(&hosts[1], "kept", "kept-1");
    thread::sleep(ms(200));
    let runs = engine.lines("run ");
    for run in &runs {
        record.line(&format!("d-0 told: {run}"));
    }
    let has_run = |id: &str| runs.iter().any(|line| line.starts_with(&format!("run {id} ")));
    let mut broken = 0;
    for (id, after, _) in &sent {
        if has_run(id) && *after > REVOKE {
            broken += 1;
            record.line(&format!(
                "BROKEN: {id} was sent {} ms after the acknowledgement and has run",
                after.as_millis()
            ));
        }
    }
    record.line(&format!("{broken} of {} requests with the withdrawn key have run", sent.len()));
    match (broken, served == 400 && refused != 200 && kept == 400) {
        (_, false) => 2,
        (0, true) => 0,
        (_, true) => 1,
    }
}
