//! Several hosts in virtual time before upstreams of which one states how many requests a second
//! it takes from all hosts together. Messages between hosts are late, lost and repeated, hosts
//! learn late of one another, and one of them joins, stands still, is cut off or ends.
//!
//! The environment variable `LIMIT_SEEDS` sets the number of seeds for each day.

#[allow(dead_code)]
mod common;

use common::{ms, request_head, upstream};
use mulberryrack_core::{Name, Rate, Time, outcome::Reason};
use mulberryrack_gate::{Decision, Ending, Gate, RequestState, Target, To, TokenMessage, Tuning};
use mulberryrack_throttle::Observation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, env, sync::Arc, time::Duration};

const STEP: Duration = Duration::from_millis(5);
/// When callers begin, the upstream states its limit, something happens to a host, that is over,
/// and the limit ends.
const BEGIN: Time = Time::from_millis(4_000);
const STATED: Time = Time::from_millis(5_000);
const EVENT: Time = Time::from_millis(12_000);
const EVENT_OVER: Time = Time::from_millis(18_000);
const LIFTED: Time = Time::from_millis(30_000);
const END: Time = Time::from_millis(36_000);
/// The users' `contact-ms`, window, share and extra of the rule.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const SHARE: f64 = 1.5;
const EXTRA: f64 = 5.0;
/// The least part of the limit that is used while there is more demand.
const MIN_USED: f64 = 0.7;
/// Time after its end within which a limit is no longer kept.
const LIFT_DELAY: Duration = Duration::from_secs(3);
/// Time that a request is at an upstream.
const RUN: Duration = Duration::from_millis(20);
/// Leases of hosts, and the interval at which they are renewed.
const LEASE: Duration = Duration::from_millis(2_400);
const RENEWAL: Duration = Duration::from_millis(650);
/// Longest time after which a host learns of a change of the hosts.
const MAX_LAG_MS: u64 = 1_900;
const UPSTREAMS: [&str; 3] = ["d0", "d1", "d2"];
const LIMITED: &str = "d0";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Calm,
    /// A host joins for which it is to give the tokens.
    Join,
    /// The host that gives the tokens stands still.
    Freeze,
    /// It is cut off from all hosts and the key-value service, not from callers and upstreams.
    Cut,
    /// It ends.
    Death,
}

#[derive(Clone, Copy, Debug)]
struct Day {
    host_count: usize,
    /// Requests a second that the upstream states.
    limit: f64,
    /// Requests a second of all callers.
    demand: f64,
    /// Whether the other upstreams do not exist.
    is_only_copy: bool,
    /// Share of the messages that are lost.
    loss: f64,
    event: Event,
}

impl Day {
    const fn new(host_count: usize, limit: f64) -> Self {
        Self {
            host_count,
            limit,
            demand: 60.0 + 6.0 * limit,
            is_only_copy: false,
            loss: 0.0,
            event: Event::Calm,
        }
    }
}

struct Host {
    gate: Gate,
    is_up: bool,
    /// Messages and lists of hosts that have not arrived yet.
    inbox: Vec<(Time, TokenMessage)>,
    lists: Vec<(Time, Vec<Name>)>,
    waiting: Vec<(Time, RequestState)>,
    next_poll: Time,
    next_renewal: Time,
    lease_until: Time,
}

struct Run {
    host: usize,
    request: RequestState,
    target: Target,
    sent_at: Time,
}

#[derive(Default)]
struct Outcome {
    /// Arrivals by upstream.
    arrivals: BTreeMap<Name, Vec<Time>>,
    /// Time for which the requests that other upstreams ran had waited, in milliseconds.
    waits_ms: Vec<f64>,
    refused: usize,
    refused_late: usize,
    messages: usize,
}

struct Model {
    day: Day,
    now: Time,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    runs: Vec<Run>,
    /// Names that the key-value service lists.
    listed: Vec<Name>,
    /// Host to which the event happens: the one that gives the tokens.
    victim: usize,
    outcome: Outcome,
}

fn name(index: usize) -> Name {
    format!("h{index}").into()
}

impl Model {
    fn new(day: Day, seed: u64) -> Self {
        let mut model = Self {
            day,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            runs: Vec::new(),
            listed: (0..day.host_count).map(name).collect(),
            victim: 0,
            outcome: Outcome::default(),
        };
        for index in 0..day.host_count {
            let host = model.host(index, seed);
            model.hosts.push(host);
        }
        model.victim = model.giver();
        if day.event == Event::Join {
            // The one that would give the tokens joins later.
            let victim = name(model.victim);
            model.listed.retain(|listed| *listed != victim);
            for host in &mut model.hosts {
                host.lists = vec![(Time::ZERO, model.listed.clone())];
            }
            model.hosts[model.victim].is_up = false;
        }
        model
    }

    fn host(&mut self, index: usize, seed: u64) -> Host {
        let tuning = Tuning::default();
        let mut gate = Gate::new(tuning, seed * 1_000 + index as u64);
        gate.configure(Arc::new(common::config(1)));
        let upstreams = if self.day.is_only_copy {
            1
        } else {
            UPSTREAMS.len()
        };
        for id in &UPSTREAMS[..upstreams] {
            gate.register(self.now, upstream(id, "desk", &[]));
        }
        Host {
            gate,
            is_up: true,
            inbox: Vec::new(),
            lists: vec![(self.now, self.listed.clone())],
            waiting: Vec::new(),
            next_poll: self.now,
            next_renewal: self.now,
            lease_until: self.now + LEASE,
        }
    }

    /// The host that gives the tokens if all are listed.
    fn giver(&self) -> usize {
        let mut roster = mulberryrack_throttle::Roster::new(Duration::ZERO);
        let all: Vec<Name> = (0..self.day.host_count).map(name).collect();
        roster.set_hosts(Time::ZERO, &all[0], &all);
        let giver = roster.givers(LIMITED)[0].expect("a host").clone();
        all.iter().position(|host| *host == giver).expect("listed")
    }

    fn is_disturbed(&self, index: usize, events: &[Event]) -> bool {
        let is_now = self.now >= EVENT && self.now < EVENT_OVER;
        is_now && index == self.victim && events.contains(&self.day.event)
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.is_disturbed(index, &[Event::Freeze])
    }

    fn is_cut(&self, index: usize) -> bool {
        self.is_disturbed(index, &[Event::Cut])
    }

    fn runs(&self, index: usize) -> bool {
        self.hosts[index].is_up && !self.is_frozen(index)
    }

    fn states_limit(&self) -> bool {
        self.now >= STATED && self.now < LIFTED
    }

    fn run(mut self) -> Outcome {
        while self.now < END {
            self.apply_event();
            self.renew_leases();
            self.deliver();
            self.poll();
            self.end_runs();
            self.arrive();
            self.now = self.now + STEP;
        }
        self.outcome
    }

    fn apply_event(&mut self) {
        let victim = self.victim;
        if self.now == EVENT && self.day.event == Event::Death {
            self.hosts[victim].is_up = false;
            self.hosts[victim].waiting.clear();
        }
        if self.now == EVENT && self.day.event == Event::Join {
            let host = self.host(victim, 77);
            self.hosts[victim] = host;
            self.list(name(victim));
        }
    }

    fn list(&mut self, host: Name) {
        self.listed.push(host);
        self.listed.sort();
        self.spread_list();
    }

    /// Has each host learn of the listed hosts after some time.
    fn spread_list(&mut self) {
        for index in 0..self.hosts.len() {
            let lag = ms(self.rng.random_range(5..MAX_LAG_MS));
            let (at, list) = (self.now + lag, self.listed.clone());
            self.hosts[index].lists.push((at, list));
        }
    }

    fn renew_leases(&mut self) {
        for index in 0..self.hosts.len() {
            let reaches_store = self.runs(index) && !self.is_cut(index);
            let now = self.now;
            if reaches_store && now >= self.hosts[index].next_renewal {
                let host = &mut self.hosts[index];
                host.next_renewal = now + RENEWAL;
                host.lease_until = now + LEASE;
                host.gate.set_registered_until(now + LEASE);
                if !self.listed.contains(&name(index)) {
                    self.list(name(index));
                }
            }
            if self.hosts[index].lease_until < now && self.listed.contains(&name(index)) {
                self.listed.retain(|listed| *listed != name(index));
                self.spread_list();
            }
        }
    }

    /// Delivers lists and messages to the hosts that run.
    fn deliver(&mut self) {
        for index in 0..self.hosts.len() {
            if !self.runs(index) {
                continue;
            }
            let (now, is_cut) = (self.now, self.is_cut(index));
            let host = &mut self.hosts[index];
            if !is_cut {
                let due = host.lists.extract_if(.., |(at, _)| *at <= now).last();
                if let Some((_, list)) = due {
                    let count = u32::try_from(list.len()).expect("few");
                    host.gate.set_host_count(now, count);
                    host.gate.set_hosts(now, &name(index), list);
                }
            }
            let due: Vec<_> = host.inbox.extract_if(.., |(at, _)| *at <= now).collect();
            let has_mail = !due.is_empty();
            for (_, message) in due {
                host.gate.receive_token_message(now, message);
            }
            self.flush(index);
            if has_mail {
                self.decide_waiting(index, true);
            }
        }
    }

    fn flush(&mut self, index: usize) {
        let messages = self.hosts[index].gate.take_token_messages();
        for (to, message) in messages {
            let receivers: Vec<usize> = match to {
                To::All => (0..self.hosts.len())
                    .filter(|other| *other != index)
                    .collect(),
                To::Host(host) => (0..self.hosts.len())
                    .filter(|it| name(*it) == host)
                    .collect(),
            };
            for receiver in receivers {
                self.outcome.messages += 1;
                let is_lost = self.rng.random_bool(self.day.loss)
                    || self.is_cut(index)
                    || self.is_cut(receiver)
                    || !self.hosts[receiver].is_up;
                if !is_lost {
                    let at = self.now + ms(self.rng.random_range(1..4));
                    self.hosts[receiver].inbox.push((at, message.clone()));
                }
            }
        }
    }

    fn poll(&mut self) {
        for index in 0..self.hosts.len() {
            if !self.runs(index) {
                continue;
            }
            let now = self.now;
            let host = &mut self.hosts[index];
            let mut may_go_on = false;
            if host.next_poll <= now {
                may_go_on = host.gate.poll_tokens(now);
            }
            host.next_poll = host.gate.next_token_poll(now);
            self.flush(index);
            self.decide_waiting(index, may_go_on);
        }
    }

    /// Decides again on the requests of a host that have waited for long enough, or on all.
    fn decide_waiting(&mut self, index: usize, all: bool) {
        let now = self.now;
        let waiting = &mut self.hosts[index].waiting;
        let due: Vec<_> = waiting
            .extract_if(.., |(at, _)| all || *at <= now)
            .collect();
        for (_, request) in due {
            self.decide(index, request);
        }
    }

    fn decide(&mut self, index: usize, mut request: RequestState) {
        let now = self.now;
        let decision = self.hosts[index].gate.decide(now, &mut request, None);
        match decision {
            Decision::Dispatch(target) => self.dispatch(index, request, target),
            Decision::AwaitToken(until) | Decision::Hold(until) => {
                assert!(until > now, "a request waits for a moment that has passed");
                self.hosts[index].waiting.push((until, request));
            }
            Decision::Refuse(refusal) => {
                self.hosts[index].gate.give_token_back(&mut request);
                assert_eq!(refusal.reason, Reason::UpstreamLimit);
                assert!(refusal.retry_after > Some(Duration::ZERO));
                self.outcome.refused += 1;
                let waited = now.since(request.arrived_at);
                self.outcome.refused_late += usize::from(waited > ms(100));
            }
            other => panic!("{other:?}"),
        }
        self.flush(index);
    }

    fn dispatch(&mut self, host: usize, request: RequestState, target: Target) {
        let arrivals = self.outcome.arrivals.entry(target.name.clone());
        arrivals.or_default().push(self.now);
        if *target.name != *LIMITED && self.states_limit() {
            let waited = self.now.since(request.arrived_at).as_secs_f64() * 1_000.0;
            self.outcome.waits_ms.push(waited);
        }
        self.runs.push(Run {
            host,
            request,
            target,
            sent_at: self.now,
        });
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.sent_at + RUN <= now)
            .collect();
        let limit = Rate::from_per_second(self.day.limit).filter(|_| self.states_limit());
        for mut run in ended {
            if !self.runs(run.host) {
                continue;
            }
            let gate = &mut self.hosts[run.host].gate;
            let observation = Observation {
                limit: limit.filter(|_| *run.target.name == *LIMITED),
                sent_at: run.sent_at,
                heard_at: now,
            };
            let incarnation = run.request.incarnation();
            gate.record_limit(now, run.target.id, incarnation, observation);
            gate.record_ending(now, &mut run.request, run.target.id, Ending::Done);
            self.flush(run.host);
        }
    }

    /// New requests of callers, at any host that takes them.
    fn arrive(&mut self) {
        if self.now < BEGIN {
            return;
        }
        let mut expected = self.day.demand * STEP.as_secs_f64();
        while expected > 0.0 {
            let is_one = self.rng.random_bool(expected.min(1.0));
            expected -= 1.0;
            let index = self.rng.random_range(0..self.hosts.len());
            if !is_one || !self.runs(index) {
                continue;
            }
            let now = self.now;
            let gate = &mut self.hosts[index].gate;
            let request = gate.admit(now, request_head("/look/x", None), 1);
            self.decide(index, request.expect("a route matches"));
        }
    }
}

fn count(times: &[Time], from: Time, to: Time) -> f64 {
    let count = times.iter().filter(|at| **at >= from && **at < to).count();
    f64::from(u32::try_from(count).expect("few"))
}

fn most_in_window(times: &[Time]) -> f64 {
    let counted = times
        .iter()
        .filter(|at| **at >= STATED + CONTACT && **at < LIFTED);
    let in_window = |begin: &Time| count(times, *begin, (*begin + WINDOW).min(LIFTED));
    counted.map(in_window).fold(0.0, f64::max)
}

fn seeds() -> u64 {
    let seeds = env::var("LIMIT_SEEDS").ok();
    seeds.map_or(1, |seeds| seeds.parse().expect("a number"))
}

/// Plays a day and checks what holds on each: no window above the bound, and others as fast as
/// without a limit.
fn play(day: Day) -> Vec<Outcome> {
    let play = |seed| {
        let outcome = Model::new(day, seed).run();
        let limited = outcome.arrivals.get(LIMITED).map_or(&[][..], |it| it);
        let allowed = SHARE * day.limit * WINDOW.as_secs_f64() + EXTRA;
        let most = most_in_window(limited);
        assert!(most <= allowed, "{day:?} seed {seed}: {most} of {allowed}");
        let waits = &outcome.waits_ms;
        let sum: f64 = waits.iter().sum();
        let mean = sum / f64::from(u32::try_from(waits.len().max(1)).expect("few"));
        assert!(mean <= 10.0, "{day:?} seed {seed}: others wait {mean} ms");
        outcome
    };
    (1..=seeds()).map(play).collect()
}

/// Share of the limit that was used from `from` until its end.
fn used(day: &Day, outcome: &Outcome, from: Time) -> f64 {
    let limited = outcome.arrivals.get(LIMITED).map_or(&[][..], |it| it);
    count(limited, from, LIFTED) / (day.limit * LIFTED.since(from).as_secs_f64())
}

fn assert_used(day: &Day, outcomes: &[Outcome]) {
    for outcome in outcomes {
        let used = used(day, outcome, STATED + CONTACT);
        assert!(used >= MIN_USED, "{day:?}: {used} of the limit is used");
    }
}

/// Fleets and limits; the largest fleet with fewer limits, as it takes longest.
fn days() -> Vec<Day> {
    let limits = [0.5, 1.0, 3.0, 20.0];
    let small = limits.into_iter().map(|limit| Day::new(9, limit));
    let medium = limits.into_iter().map(|limit| Day::new(86, limit));
    let large = [1.0, 20.0].into_iter().map(|limit| Day::new(300, limit));
    small.chain(medium).chain(large).collect()
}

#[test]
fn hosts_together_keep_a_stated_limit_and_use_it() {
    for day in days() {
        let outcomes = play(day);
        assert_used(&day, &outcomes);
    }
}

#[test]
fn the_limit_of_the_only_copy_is_kept_and_used_and_the_rest_is_refused_at_once() {
    for day in days() {
        let day = Day {
            is_only_copy: true,
            ..day
        };
        let outcomes = play(day);
        assert_used(&day, &outcomes);
        for outcome in outcomes {
            assert!(outcome.refused > 0);
            let late = outcome.refused_late;
            assert!(
                late * 20 <= outcome.refused,
                "{late} of {}",
                outcome.refused
            );
        }
    }
}

#[test]
fn a_stated_limit_is_kept_while_a_fifth_of_all_messages_is_lost() {
    for day in days() {
        let day = Day { loss: 0.2, ..day };
        let outcomes = play(day);
        assert_used(&day, &outcomes);
    }
}

#[test]
fn a_stated_limit_is_kept_while_the_host_that_gives_its_tokens_joins_stops_or_is_cut_off() {
    for event in [Event::Join, Event::Freeze, Event::Cut, Event::Death] {
        for day in days() {
            let day = Day { event, ..day };
            let outcomes = play(day);
            assert_used(&day, &outcomes);
        }
    }
}

#[test]
fn an_upstream_whose_limit_has_ended_is_used_again_within_seconds() {
    for day in days() {
        for outcome in play(day) {
            let limited = &outcome.arrivals[LIMITED];
            let from = LIFTED + LIFT_DELAY;
            let rate = count(limited, from, END) / END.since(from).as_secs_f64();
            // A third of the requests would be an even share.
            assert!(rate >= day.demand / 6.0, "{day:?}: {rate} a second");
        }
    }
}
