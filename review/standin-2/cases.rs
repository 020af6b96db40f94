//! The cases. Each returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use super::*;

pub fn run(number: &str, dir: &str) -> i32 {
    let is_troubled = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::open(&format!("{dir}/record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{number}-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a directory");
    let settings_dir = temporary.to_string_lossy().into_owned();
    let code = match number {
        "6" => cut_streams(&record, &settings_dir, is_troubled),
        "7" => legal_bodies(&record, &settings_dir, is_troubled),
        "10" => early_drill(&record, &settings_dir, is_troubled),
        "9" => many_parts(&record, &settings_dir, is_troubled),
        "8" => withdrawn_key(&record, &settings_dir, is_troubled),
        _ => 2,
    };
    let _ = fs::remove_dir_all(temporary);
    record.line(&format!("exit {code}"));
    code
}

const MODEL: &str = "Model: m\r\nToken-Counts: 700,400\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:500\r\n";

/// Engines write streams that end with their connections. One of them crashes and starts again while a
/// host is frozen.
fn cut_streams(record: &Arc<Record>, dir: &str, is_troubled: bool) -> i32 {
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
    if is_troubled {
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

/// A crowd of callers that comes to each host in each round.
struct Crowd {
    callers: usize,
    /// Memory of an engine for weights.
    weights_mb: u32,
    /// Time before each round.
    calm: Duration,
    /// Whether the callers ask for a model that no engine has in memory, else for the busy one.
    wants_rare_model: bool,
}

/// Writes the request of the caller with a number, for a model, in a round.
type Writer = dyn Fn(&str, usize, usize) -> String;

/// Many callers come at once with prompts of legal size.
fn legal_bodies(record: &Arc<Record>, dir: &str, is_troubled: bool) -> i32 {
    let body = "x".repeat(if is_troubled { 50_000 } else { 600 });
    let crowd = Crowd {
        callers: 1_500,
        weights_mb: 220_000,
        calm: ms(3_000),
        wants_rare_model: false,
    };
    record.line(&format!("bodies of {} bytes", body.len()));
    let request = move |model: &str, round: usize, index: usize| {
        let parts = format!("5c1e07a2:20,91bd3f06:10,{:x}:10", 0x10000 + index);
        prompt(&format!("n{round}-{index}"), model, 40, &parts, &body)
    };
    play_crowds(record, dir, &crowd, &request)
}

/// Many callers ask at once for a rare model that no engine has in memory, with prompts of very many
/// short parts.
fn many_parts(record: &Arc<Record>, dir: &str, is_troubled: bool) -> i32 {
    let bytes = if is_troubled { 15_800 } else { 60 };
    let crowd = Crowd {
        callers: 1_500,
        weights_mb: 70_000,
        // Until a host may give orders, no request waits for a model.
        calm: ms(9_000),
        wants_rare_model: true,
    };
    let mut parts = String::new();
    let mut count = 0;
    while parts.len() < bytes {
        parts.push_str(&format!("{:x}:1,", 0x100 + count));
        count += 1;
    }
    record.line(&format!("prompts of {} parts", count + 1));
    let request = move |model: &str, round: usize, index: usize| {
        let parts = format!("{parts}f{index:x}:1");
        let text = prompt(&format!("n{round}-{index}"), model, count + 1, &parts, "prompt");
        assert!(text.len() < 16_384);
        text
    };
    play_crowds(record, dir, &crowd, &request)
}

fn prompt(id: &str, model: &str, tokens: usize, parts: &str, body: &str) -> String {
    format!(
        "POST /nudge/{id} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 10000\r\nModel: {model}\r\n\
         Token-Counts: {tokens},120\r\nPrompt-Prefix: {parts}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Plays three rounds of a crowd against two hosts, and does what the platform does with a process that
/// exceeds its memory.
fn play_crowds(record: &Arc<Record>, dir: &str, crowd: &Crowd, request: &Writer) -> i32 {
    const HOSTS: usize = 2;
    const MEMORY_MB: u32 = 160;
    const DESCRIPTORS: u32 = 4_100;
    const ROUNDS: usize = 3;
    let store = Store::start();
    store.put("op/config", &config(1, crowd.weights_mb, ""));
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
        thread::sleep(crowd.calm);
        let is_absent = |model: &String| !store.mentions("servers/", &format!("\"{model}\""));
        let mut rare = (0..RARE_MODELS).map(|index| format!("rare{index}"));
        let model = if crowd.wants_rare_model {
            rare.find(is_absent)
        } else {
            Some("m".to_owned())
        };
        let Some(model) = model else { return 2 };
        record.line(&format!(
            "round {round}: {} callers of {model} come to each of {HOSTS} hosts",
            crowd.callers
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
        let clients: Vec<_> = (0..crowd.callers * HOSTS)
            .map(|index| {
                if index % 40 == 0 {
                    thread::sleep(ms(5));
                }
                let (callers, text) = (hosts[index % HOSTS].callers, request(&model, round, index));
                spawn(move || match call(callers, &text, ms(12_000)) {
                    Some(answer) if answer.is_complete => format!("{} whole", answer.status),
                    Some(answer) => format!("{} cut off", answer.status),
                    None => "none".to_owned(),
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

/// All processes are killed in the first seconds of a deployment, and the store comes back from a copy that
/// is older than the deployment.
fn early_drill(record: &Arc<Record>, dir: &str, is_troubled: bool) -> i32 {
    let store = Store::start();
    store.set_era(1);
    store.put("op/config", &config(1, 220_000, ""));
    let engines: Vec<Engine> = (0..6)
        .map(|index| {
            let options = EngineOptions {
                id: format!("i-{index}"),
                service: "llm".into(),
                first_ms: 50,
                gap_ms: 50,
                events: 4,
                is_unframed: false,
                crashes_on: String::new(),
            };
            Engine::start(&store, &options)
        })
        .collect();
    let copy = store.copy();
    record.line("the copy is of this moment, before the processes start");
    thread::sleep(ms(2_500));
    let mut hosts: Vec<Host> = (0..2)
        .map(|index| {
            let name = format!("front-{index}");
            Host::start(dir, &name, &settings(&name, &store, 260, 4_100, ""))
        })
        .collect();
    let orders = || engines.iter().map(|it| it.lines("order ").len()).sum::<usize>();
    wait_until("the first orders", || orders() >= 3);
    thread::sleep(ms(500));
    record.line(&format!("{} orders were given", orders()));
    if is_troubled {
        for host in &mut hosts {
            host.kill();
        }
        record.line("both processes are killed; the store is away");
        store.set_down(true);
        thread::sleep(ms(700));
        store.restore(copy);
        store.set_down(false);
        record.line("the store is back from the copy, Store-Era 2; the operator's and the engines' writes come again");
        store.put("op/config", &config(1, 220_000, ""));
        for host in &mut hosts {
            host.restart();
        }
    }
    let before = orders();
    let until = Instant::now() + ms(40_000);
    while Instant::now() < until && orders() < before + 5 {
        thread::sleep(ms(50));
    }
    let mut broken = 0;
    for engine in &engines {
        let mut highest = 0;
        for line in engine.lines("order ") {
            record.line(&format!("{} told: {line}", engine.id));
            let order = Json::parse(line.splitn(3, ' ').nth(2).unwrap_or("")).unwrap_or(Json::Null);
            let token = order.number("fencing-token");
            if token < highest {
                broken += 1;
                record.line(&format!("BROKEN: {} gets the fencing token {token} after {highest}", engine.id));
            }
            highest = token.max(highest);
        }
    }
    record.line(&format!(
        "{} orders, {broken} with a lower fencing token after a higher one",
        orders()
    ));
    i32::from(broken > 0)
}
