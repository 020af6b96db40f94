//! The path of a request without faults, and refusals without a dispatch.

mod common;

use common::{World, ms, row};
use mulberryrack_core::{
    caller::Answer,
    claim::End,
    note::Counter,
    outcome::{Outcome, Reason},
    request::Key,
};
use mulberryrack_route::{Input, Output, Router, Settings};
use mulberryrack_table::Kind;

fn world() -> World {
    let mut booking = row("booking", Kind::Service);
    booking.repeatable = false;
    let rows = vec![
        row("alpha", Kind::Model),
        row("check", Kind::Service),
        booking,
    ];
    let mut world = World::new(1, 2, rows);
    world.add_engine("engine-0", 4, &["alpha"]);
    world.add_service("check-0", 4, "check");
    world.add_service("booking-0", 4, "booking");
    world
}

#[test]
fn streamed_answer_arrives_whole() {
    let mut world = world();
    let id = world.send(0, "alpha", "alpha 1");
    world.run_for(ms(2_000));
    world.assert_whole(id);
    assert_eq!(world.run_count("alpha 1"), 1);
    assert_eq!(world.count(Counter::Ran), 1);
}

#[test]
fn services_are_routed_by_group() {
    let mut world = world();
    let id = world.send(1, "check", "check 1");
    world.run_for(ms(2_000));
    world.assert_whole(id);
}

#[test]
fn keyed_request_runs_once_and_reports_its_end_to_the_ledger() {
    let mut world = world();
    let id = world.send_keyed(0, "booking", "booking 1", "key-1");
    world.run_for(ms(2_000));
    world.assert_whole(id);
    assert_eq!(world.run_count("booking 1"), 1);
    assert_eq!(world.hosts[0].done[&id.1], [End::Ran]);
}

#[test]
fn refusals_name_their_reason() {
    let mut world = world();
    let id = world.send(0, "nothing", "nothing 1");
    assert_eq!(world.received[&id].reason(), Some(Reason::UnknownTarget));

    world.upstream("engine-0").rows.clear();
    world.publish_engine("engine-0");
    let id = world.send(0, "alpha", "alpha 1");
    assert_eq!(world.received[&id].reason(), Some(Reason::NoCopy));
    assert_eq!(world.count(Counter::Refused(Reason::NoCopy)), 1);
}

#[test]
fn requests_are_refused_without_a_table() {
    let now = mulberryrack_core::Time::ZERO;
    let settings = Settings::default();
    let mut router = Router::new(
        settings,
        "host-0".into(),
        mulberryrack_core::Incarnation(1),
        "hall-0".into(),
        7,
        now,
    );
    let request = world().new_request("alpha", "alpha 1", ms(1_000));
    let mut out = Vec::new();
    router.handle(now, Input::Arrive(request), &mut out);
    let refused = out.iter().any(|output| {
        matches!(output, Output::Caller { request: Key(1), answer: Answer::Final(Outcome::NotRun(refusal)) }
            if refusal.reason == Reason::NoTable && refusal.retry_after.is_some())
    });
    assert!(refused, "{out:?}");
}

#[test]
fn settings_accept_strings_and_numbers_but_no_unknown_names() {
    let read = |text: &str| serde_json::from_str::<Settings>(text);
    let settings = read(r#"{"poll_ms": "250", "queue": 9, "urgent_reserve": "0.5"}"#).unwrap();
    assert_eq!(settings.poll_interval, ms(250));
    assert_eq!(settings.max_queue_len, 9);
    assert!((settings.urgent_reserve - 0.5).abs() < 1e-9);
    assert!(read(r#"{"pol_ms": 250}"#).is_err());
}

#[test]
fn guide_lists_every_setting_with_its_default() {
    let page = include_str!("../../../guide/src/reference/route-settings.md");
    let rows = page.lines().filter_map(|line| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let name = cells.next()?.strip_prefix('`')?.strip_suffix('`')?;
        Some((name.to_owned(), cells.next()?.to_owned()))
    });
    let rows: std::collections::BTreeMap<_, _> = rows.collect();
    let text = serde_json::to_string(&rows).unwrap();
    let settings: Settings = serde_json::from_str(&text).unwrap();
    assert_eq!(settings, Settings::default());
    // With equal counts the page cannot leave out a setting.
    let code = include_str!("../src/settings.rs");
    let fields = code.lines().filter(|line| line.starts_with("    pub "));
    assert_eq!(fields.count(), rows.len());
}
