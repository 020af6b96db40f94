//! Statements that overtake one another, and who gets tokens.

use mulberryrack_core::{Name, Rate, Time};
use mulberryrack_throttle::{
    Allocator, Answer, Ask, Holder, Observation, Roster, Share, Standing, Statement,
};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rate(per_second: f64) -> Rate {
    Rate::from_per_second(per_second).expect("a rate")
}

fn observation(limit: Option<f64>, sent: u64, heard: u64) -> Observation {
    Observation {
        limit: limit.map(rate),
        sent_at: at(sent),
        heard_at: at(heard),
    }
}

#[test]
fn a_limit_is_not_ended_by_an_answer_to_a_request_sent_before_it_was_heard_of() {
    let mut statement = Statement::default();
    assert!(statement.record(observation(None, 0, 10)).is_none());
    assert!(statement.record(observation(Some(2.0), 20, 30)).is_some());
    assert!(statement.record(observation(None, 25, 40)).is_none());
    assert_eq!(statement.limit(), Some(rate(2.0)));
    assert!(statement.record(observation(None, 31, 50)).is_some());
    assert_eq!(statement.limit(), None);
}

#[test]
fn a_limit_does_not_begin_again_by_an_answer_from_before_its_end() {
    let mut statement = Statement::default();
    statement.record(observation(Some(2.0), 0, 10));
    statement.record(observation(None, 50, 60));
    assert!(statement.record(observation(Some(2.0), 20, 45)).is_none());
    assert_eq!(statement.limit(), None);
    assert!(statement.record(observation(Some(1.0), 40, 70)).is_some());
    assert_eq!(statement.limit(), Some(rate(1.0)));
}

#[test]
fn an_older_answer_does_not_change_the_limit() {
    let mut statement = Statement::default();
    statement.record(observation(Some(2.0), 0, 40));
    assert!(statement.record(observation(Some(9.0), 0, 30)).is_none());
    assert_eq!(statement.limit(), Some(rate(2.0)));
}

fn ask(number: u64, rank: u8, patience: Duration) -> Ask {
    Ask {
        holder: Holder {
            host: "h".into(),
            number,
        },
        rank,
        patience,
    }
}

#[test]
fn the_most_urgent_requests_get_tokens_first_and_late_ones_are_turned_away() {
    let mut allocator = Allocator::new(at(0), rate(2.0));
    assert_eq!(allocator.ask(at(500), ask(1, 5, ms(0))), Answer::Granted);
    let queued = allocator.ask(at(500), ask(2, 5, ms(600)));
    assert_eq!(queued, Answer::Queued(ms(500)));
    let denied = allocator.ask(at(500), ask(3, 5, ms(600)));
    assert_eq!(denied, Answer::Denied(ms(1_000)));
    let queued = allocator.ask(at(500), ask(4, 0, ms(600)));
    assert_eq!(queued, Answer::Queued(ms(500)));
    let turned_away = allocator.poll(at(510));
    assert_eq!(turned_away.len(), 1);
    assert_eq!(turned_away[0].0.number, 2);
    assert!(matches!(turned_away[0].1, Answer::Denied(_)));
    let granted = allocator.poll(at(1_000));
    assert_eq!(granted.len(), 1);
    assert_eq!((granted[0].0.number, granted[0].1), (4, Answer::Granted));
}

#[test]
fn a_repeated_ask_takes_one_token_and_a_token_that_is_given_back_is_given_again() {
    let mut allocator = Allocator::new(at(0), rate(1.0));
    let first = ask(1, 1, ms(0));
    assert_eq!(allocator.ask(at(1_000), first.clone()), Answer::Granted);
    assert_eq!(allocator.ask(at(1_100), first.clone()), Answer::Granted);
    let other = allocator.ask(at(1_100), ask(2, 1, ms(0)));
    assert!(matches!(other, Answer::Denied(_)));
    allocator.give_back(&first.holder);
    allocator.give_back(&first.holder);
    assert_eq!(allocator.ask(at(1_200), ask(2, 1, ms(0))), Answer::Granted);
    let third = allocator.ask(at(1_200), ask(3, 1, ms(0)));
    assert!(matches!(third, Answer::Denied(_)));
}

#[test]
fn tokens_do_not_add_up_while_nobody_asks() {
    for per_second in [0.0, 0.5, 1.0, 20.0] {
        let mut allocator = Allocator::new(at(0), rate(per_second));
        let granted = (0..50)
            .filter(|it| allocator.ask(at(60_000), ask(*it, 1, ms(0))) == Answer::Granted)
            .count();
        assert!((1..=2).contains(&granted), "{per_second}: {granted}");
    }
}

fn hosts(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn a_host_gives_all_tokens_only_while_its_registration_is_certain_and_known_to_others() {
    let all = hosts(&["h0", "h1", "h2"]);
    let roster = Roster::new(ms(2_000));
    assert_eq!(roster.standing(at(9_000), "u"), None);
    let mut roster = Roster::new(ms(2_000));
    roster.set_hosts(at(0), &all[0], &all);
    let first = roster.givers("u")[0].expect("a host").clone();
    let mut roster = Roster::new(ms(2_000));
    roster.set_hosts(at(1_000), &first, &all);
    roster.set_registered_until(at(5_000));
    assert_eq!(roster.standing(at(2_900), "u"), None);
    assert_eq!(roster.standing(at(3_000), "u"), Some(Standing::First));
    assert_eq!(roster.standing(at(5_000), "u"), Some(Standing::Second));
    let others: Vec<Name> = all.into_iter().filter(|host| *host != first).collect();
    roster.set_hosts(at(5_500), &first, &others);
    assert_eq!(roster.standing(at(9_000), "u"), None);
}

#[test]
fn no_two_hosts_with_the_same_list_are_the_first_one() {
    let names: Vec<Name> = (0..300).map(|it| format!("h{it}").into()).collect();
    for upstream in ["u0", "u1", "u2"] {
        let standing = |own: &Name| {
            let mut roster = Roster::new(ms(2_000));
            roster.set_hosts(at(0), own, &names);
            roster.set_registered_until(at(60_000));
            roster.standing(at(10_000), upstream)
        };
        let standings: Vec<Standing> = names.iter().filter_map(standing).collect();
        let firsts = standings
            .iter()
            .filter(|it| **it == Standing::First)
            .count();
        assert_eq!((standings.len(), firsts), (2, 1));
    }
}

#[test]
fn shares_of_all_hosts_are_a_part_of_the_limit_also_if_nobody_used_them_before() {
    for host_count in [2u32, 9, 300] {
        let mut shares: Vec<Share> = vec![Share::default(); 300];
        let shares = &mut shares[..host_count as usize];
        let mut taken = 0;
        for step in 0..1_000u64 {
            for (index, share) in shares.iter_mut().enumerate() {
                #[allow(clippy::cast_precision_loss)]
                let phase = (index as f64 + 0.5) / f64::from(host_count);
                // First used once, then again and again from a later time on.
                if step == 0 || step >= 500 {
                    let now = at(step * 20);
                    taken += u32::from(share.take(now, rate(20.0), host_count, phase));
                }
            }
        }
        // Ten seconds of a tenth of the limit, and turns that can still be used.
        assert!(taken <= 24, "{host_count}: {taken}");
    }
}
