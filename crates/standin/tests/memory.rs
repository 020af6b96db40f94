//! Tests of an engine's simulated memory: orders, fencing, unloads and restarts.

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
        other => panic!("expected a report, got {other:?}"),
    }
}

#[test]
fn an_order_takes_effect_once_per_incarnation() {
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
    assert_eq!(engine.begin_request("a"), None);
    engine.finish_load(Time::ZERO, "a");
    let version = engine.begin_request("a").expect("ready");
    let answer = report(engine.order(Time::ZERO, &unload(2, "a")));
    assert_eq!(answer.residents[0].state, Residency::Unloading);
    assert_eq!(engine.begin_request("a"), None);
    engine.end_request("a", &version);
    assert_eq!(
        (engine.used_mb(), engine.report(Time::ZERO).settled),
        (0, vec![1, 2])
    );
}

#[test]
fn refused_orders_settle_unless_they_are_fenced() {
    let mut engine = Memory::new(Incarnation(1), 100, true);
    engine.refuses_overcommit = true;
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
fn a_base_is_not_unloaded_while_its_adapter_is_resident() {
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
fn peak_memory_shows_overcommitment_when_loads_are_not_refused() {
    let mut engine = Memory::new(Incarnation(1), 100, false);
    engine.order(Time::ZERO, &load(1, 1, "a", 60, None));
    engine.order(Time::ZERO, &load(2, 1, "b", 60, None));
    assert_eq!(engine.peak_mb, 120);
}
