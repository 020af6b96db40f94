//! The engine model: orders once a life, fencing, unloads that wait, restarts.

use mulberryrack_core::{
    Incarnation, Time,
    upstream::{Action, Contact, Order, Report, Residency},
};
use mulberryrack_standin::memory::Memory;
use std::time::Duration;

fn load(id: u64, fence: u64, row: &str, memory_mb: u64, base: Option<&str>) -> Order {
    let action = Action::Load {
        row: row.into(),
        version: "v1".into(),
        memory_mb,
        base: base.map(Into::into),
    };
    Order { id, fence, action }
}

fn unload(id: u64, row: &str) -> Order {
    let action = Action::Unload {
        row: row.into(),
        version: "v1".into(),
    };
    Order {
        id,
        fence: 1,
        action,
    }
}

fn report(contact: Contact) -> Report {
    match contact {
        Contact::Report(report) => *report,
        other => panic!("no report: {other:?}"),
    }
}

#[test]
fn an_order_runs_once_in_a_life_and_again_in_the_next() {
    let mut engine = Memory::new(Incarnation(1), 100, false);
    engine.load_time = Some(Duration::from_secs(1));
    let order = load(1, 1, "a", 60, None);
    assert!(report(engine.order(Time::ZERO, &order)).settled.is_empty());
    let later = Time::from_millis(1_000);
    assert_eq!(engine.report(later).settled, [1]);
    report(engine.order(later, &unload(2, "a")));
    assert_eq!(engine.used_mb(), 0);
    report(engine.order(later, &order));
    assert_eq!(engine.used_mb(), 0);
    engine.restart(Incarnation(2));
    report(engine.order(later, &order));
    assert_eq!((engine.used_mb(), engine.peak_mb), (60, 60));
}

#[test]
fn an_unload_waits_for_running_requests() {
    let mut engine = Memory::new(Incarnation(1), 100, false);
    engine.order(Time::ZERO, &load(1, 1, "a", 60, None));
    assert_eq!(engine.begin("a"), None);
    engine.loaded(Time::ZERO, "a");
    let version = engine.begin("a").expect("ready");
    let answer = report(engine.order(Time::ZERO, &unload(2, "a")));
    assert_eq!(answer.residents[0].state, Residency::Unloading);
    assert_eq!(engine.begin("a"), None);
    engine.end("a", &version);
    assert_eq!(
        (engine.used_mb(), engine.report(Time::ZERO).settled),
        (0, vec![1, 2])
    );
}

#[test]
fn refusals_settle_except_fenced_ones() {
    let mut engine = Memory::new(Incarnation(1), 100, true);
    engine.checks_room = true;
    assert_eq!(
        report(engine.order(Time::ZERO, &load(1, 5, "a", 101, None))).settled,
        [1]
    );
    let adapter = load(2, 5, "b", 1, Some("a"));
    assert_eq!(report(engine.order(Time::ZERO, &adapter)).settled, [1, 2]);
    assert_eq!(
        engine.order(Time::ZERO, &load(3, 4, "c", 1, None)),
        Contact::Fenced
    );
    assert_eq!(engine.report(Time::ZERO).settled, [1, 2]);
}

#[test]
fn a_base_stays_while_its_adapter_does() {
    let mut engine = Memory::new(Incarnation(1), 100, false);
    engine.load_time = Some(Duration::ZERO);
    engine.order(Time::ZERO, &load(1, 1, "base", 60, None));
    engine.order(Time::ZERO, &load(2, 1, "adapter", 10, Some("base")));
    engine.order(Time::ZERO, &unload(3, "base"));
    assert_eq!(engine.used_mb(), 70);
    engine.order(Time::ZERO, &unload(4, "adapter"));
    engine.order(Time::ZERO, &unload(5, "base"));
    assert_eq!(engine.used_mb(), 0);
}

#[test]
fn without_the_room_check_the_peak_shows_an_overcommitted_engine() {
    let mut engine = Memory::new(Incarnation(1), 100, false);
    engine.order(Time::ZERO, &load(1, 1, "a", 60, None));
    engine.order(Time::ZERO, &load(2, 1, "b", 60, None));
    assert_eq!(engine.peak_mb, 120);
}
