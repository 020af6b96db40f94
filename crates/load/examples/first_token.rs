//! Measures the time to the first token, directly from a stand-in engine and through a host
//! in alternation, and the rate of address queries that one host answers.
//!
//! `cargo run --release -p mulberryrack-load --example first_token`

use mulberryrack_core::{Name, completion, upstream::Residency};
use mulberryrack_host::{Settings, operator::Answer};
use mulberryrack_load::cluster::Cluster;
use mulberryrack_standin::deployment::Deployment;
use std::{
    io::Read,
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};
use ureq::Agent;

const ROW: &str = "availability";
const SAMPLES: usize = 400;
const CLIENTS: usize = 16;
const MEASURE_TIME: Duration = Duration::from_secs(5);
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

fn main() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../tests/fixtures/small");
    let deployment = Deployment::read(&directory).expect("the files are right");
    let mut settings = Settings::default();
    settings.place.loads_per_second = 500.0;
    settings.place.parallel_loads = 50;
    let cluster = Cluster::start(&deployment, 2, settings).expect("free ports");
    while !matches!(
        cluster.accept(&deployment.table, "first", 0),
        Ok(Answer::Accepted { .. })
    ) {
        thread::sleep(Duration::from_millis(100));
    }
    cluster
        .wait_until_loaded(&deployment.table, LOAD_TIMEOUT)
        .expect("loaded");
    let engine = engine_with_row(&cluster);
    let host = cluster.caller_addresses()[0].clone();
    let agent: Agent = Agent::config_builder()
        .max_idle_connections_per_host(CLIENTS)
        .proxy(None)
        .http_status_as_error(false)
        .build()
        .into();
    while time_to_first_byte(&agent, &host).is_none() {
        thread::sleep(Duration::from_millis(100));
    }
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for _ in 0..SAMPLES {
        direct.extend(time_to_first_byte(&agent, &engine));
        through.extend(time_to_first_byte(&agent, &host));
    }
    print("direct", &mut direct);
    print("through a host", &mut through);
    measure_address_rate(&agent, &host);
}

/// Address of an engine with a ready copy of the row.
fn engine_with_row(cluster: &Cluster) -> Name {
    let listings = cluster.world.upstreams().to_vec();
    cluster.world.with_state(move |state, _| {
        let holds = |name: &Name| {
            let engine = state.engine(name);
            engine.is_some_and(|engine| engine.memory().state(ROW, "r1") == Some(Residency::Ready))
        };
        let found = listings.iter().find(|listing| holds(&listing.name));
        found.expect("a copy").address.clone()
    })
}

/// Sends a completion and returns the time until the first byte of the body.
fn time_to_first_byte(agent: &Agent, address: &str) -> Option<Duration> {
    let body = format!(r#"{{"model":"{ROW}","prompt":"p","max_tokens":4,"stream":true}}"#);
    let begin = Instant::now();
    let response = agent
        .post(format!("http://{address}{}", completion::PATH))
        .send(body)
        .ok()?;
    if response.status().as_u16() != 200 {
        return None;
    }
    let mut reader = response.into_body().into_reader();
    reader.read_exact(&mut [0]).ok()?;
    let first = begin.elapsed();
    std::io::copy(&mut reader, &mut std::io::sink()).ok()?;
    Some(first)
}

#[allow(clippy::cast_precision_loss)]
fn print(name: &str, times: &mut [Duration]) {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_secs_f64() * 1e3;
    println!(
        "{name}: requests {} first token ms p50 {:.2} p95 {:.2} p99 {:.2}",
        times.len(),
        at(50),
        at(95),
        at(99)
    );
}

/// Measures closed-loop address queries from [`CLIENTS`] clients. Stand-ins, clients and
/// hosts share the machine.
#[allow(clippy::cast_precision_loss)]
fn measure_address_rate(agent: &Agent, host: &str) {
    let (done, failed) = (AtomicU64::new(0), AtomicU64::new(0));
    let begin = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while begin.elapsed() < MEASURE_TIME {
                    let answer = agent.get(format!("http://{host}/v1/where/{ROW}")).call();
                    let answered = answer
                        .and_then(|mut answer| answer.body_mut().read_to_string())
                        .is_ok();
                    let count = if answered { &done } else { &failed };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let rate = done.load(Ordering::Relaxed) as f64 / begin.elapsed().as_secs_f64();
    println!(
        "address answers: {CLIENTS} clients, {rate:.0} a second, failed {}",
        failed.load(Ordering::Relaxed)
    );
}
