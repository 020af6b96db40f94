//! Several hosts, engines and callers in virtual time: some requests crash each engine that
//! runs them and come again at any host, others run beside them.

#[allow(dead_code)]
mod common;

use common::{generation, ms, request_head, upstream};
use mulberryrack_core::{
    Name, Time,
    outcome::{Reason, Retry},
};
use mulberryrack_gate::{Decision, Ending, Gate, RequestState, Target, Tuning};
use mulberryrack_site::request::PromptPart;
use mulberryrack_suspect::{Gossip, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const STEP: Duration = Duration::from_millis(10);
/// Interval of the rounds of datagrams and of the comparisons.
const ROUND: Duration = Duration::from_millis(100);
const COMPARISON: Duration = Duration::from_secs(1);
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(30);
/// Time from the start of the crashing request at an engine to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(20);
/// Time until a crashed engine starts again.
const DOWN_PERIOD: Duration = Duration::from_secs(3);
/// The users' `contact-ms`, and their bound for dispatches later than that after the third
/// crash.
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATE_DISPATCHES: usize = 3;
/// Fingerprints of other requests; those of culprits are below.
const FIRST_OTHER: u128 = 1_000;
/// Part that all prompts share, so that all hosts prefer the same engine for them.
const SHARED_PART: PromptPart = PromptPart {
    id: 1,
    tokens: 1_000,
};
/// Largest number of upstreams of a request on the route.
const MAX_UPSTREAMS: usize = 2;

/// A dispatch at an engine.
struct Run {
    host: usize,
    request: RequestState,
    target: Target,
    /// When the run ends, by a crash if it is the culprit's.
    ends_at: Time,
}

struct Engine {
    incarnation: u32,
    up_at: Time,
    runs: Vec<Run>,
}

struct Host {
    gate: Gate,
    gossip: Gossip,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// Crashes that each culprit caused, and its dispatches.
    crashes: BTreeMap<u128, Vec<Time>>,
    culprit_dispatches: BTreeMap<u128, Vec<Time>>,
    /// Other requests that were refused as suspects.
    others_suspected: usize,
    /// Other requests that were given up although an engine could have run them: they have not
    /// been in flight on as many crashes as their route allows upstreams.
    others_dropped: usize,
    /// Other requests that were in flight on as many crashes as their route allows upstreams.
    others_unlucky: usize,
}

struct Model {
    now: Time,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    culprits: u128,
    next_fingerprint: u128,
    outcome: Outcome,
}

fn registration(index: usize, incarnation: u32) -> mulberryrack_site::Upstream {
    let mut engine = upstream(&format!("i{index}-{incarnation}"), "llm", &["m0"]);
    let port = 1_000 + u16::try_from(index).expect("a few hundred");
    engine.address.set_port(port);
    engine
}

impl Model {
    fn new(seed: u64, host_count: usize, engine_count: usize, culprits: u128) -> Self {
        let names: Vec<Name> = (0..host_count)
            .map(|index| format!("h{index}").into())
            .collect();
        let host = |index: usize| {
            let tuning = Tuning {
                // The retry budget is not what is tested here.
                retry_extra: 1_000.0,
                ..Tuning::default()
            };
            let mut gate = Gate::new(tuning, seed + index as u64);
            gate.configure(Arc::new(common::config(1)));
            let host_count = u32::try_from(host_count).expect("a few hundred");
            gate.set_host_count(Time::ZERO, host_count);
            gate.set_hosts(&names[index], names.clone());
            (0..engine_count).for_each(|engine| {
                gate.register(Time::ZERO, registration(engine, 0));
            });
            Host {
                gate,
                gossip: Gossip::new(&format!("h{index}"), seed + index as u64),
            }
        };
        let engine = |_| Engine {
            incarnation: 0,
            up_at: Time::ZERO,
            runs: Vec::new(),
        };
        Self {
            now: Time::from_millis(20_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..host_count).map(host).collect(),
            engines: (0..engine_count).map(engine).collect(),
            culprits,
            next_fingerprint: FIRST_OTHER,
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        let end = self.now + LENGTH;
        let mut tick = Duration::ZERO;
        while self.now < end {
            self.now = self.now + STEP;
            tick += STEP;
            self.restart_engines();
            self.end_runs();
            self.arrive();
            if is_multiple(tick, ROUND) {
                self.gossip(is_multiple(tick, COMPARISON));
            }
        }
        self.outcome
    }

    /// Six requests a second at each host, and each crashing one three times a second.
    fn arrive(&mut self) {
        for host in 0..self.hosts.len() {
            if self.rng.random_bool(0.06) {
                self.next_fingerprint += 1;
                self.admit(host, self.next_fingerprint);
            }
        }
        for culprit in 0..self.culprits {
            if self.rng.random_bool(0.03) {
                let host = self.rng.random_range(0..self.hosts.len());
                self.admit(host, culprit);
            }
        }
    }

    fn admit(&mut self, host: usize, fingerprint: u128) {
        let section = u64::try_from(fingerprint).expect("a small number");
        let mut generation = generation("m0", section, 100);
        generation.prompt_parts.insert(0, SHARED_PART);
        let head = request_head("/stream/x", Some(generation));
        let admitted = self.hosts[host].gate.admit(self.now, head, fingerprint);
        self.decide(host, admitted.expect("a route matches"), None);
    }

    fn decide(&mut self, host: usize, mut request: RequestState, retry: Option<Retry>) {
        let fingerprint = request.fingerprint;
        let is_culprit = fingerprint < FIRST_OTHER;
        let gate = &mut self.hosts[host].gate;
        let mut retry = retry;
        loop {
            match gate.decide(self.now, &mut request, retry) {
                Decision::Dispatch(target) => {
                    let index = usize::from(target.address.port() - 1_000);
                    let engine = &mut self.engines[index];
                    let name = format!("i{index}-{}", engine.incarnation);
                    if engine.up_at > self.now || *target.name != *name {
                        gate.record_ending(self.now, &mut request, target.id, Ending::NotSent);
                        retry = Some(Retry::Refused);
                        continue;
                    }
                    let run = if is_culprit {
                        let dispatches = &mut self.outcome.culprit_dispatches;
                        dispatches.entry(fingerprint).or_default().push(self.now);
                        TIME_TO_CRASH
                    } else {
                        ms(self.rng.random_range(100..1_000))
                    };
                    engine.runs.push(Run {
                        host,
                        request,
                        target,
                        ends_at: self.now + run,
                    });
                    return;
                }
                _ if is_culprit => return,
                Decision::Refuse(refusal) if refusal.reason == Reason::Suspect => {
                    self.outcome.others_suspected += 1;
                    return;
                }
                Decision::Fail if request.tried_count() == MAX_UPSTREAMS => {
                    self.outcome.others_unlucky += 1;
                    return;
                }
                // While no engine is up, nothing can be served.
                _ if self.engines.iter().all(|engine| engine.up_at > self.now) => return,
                _ => {
                    self.outcome.others_dropped += 1;
                    return;
                }
            }
        }
    }

    fn end_runs(&mut self) {
        for index in 0..self.engines.len() {
            let now = self.now;
            let is_due = |run: &mut Run| run.ends_at <= now;
            let ended: Vec<Run> = self.engines[index].runs.extract_if(.., is_due).collect();
            let mut fingerprints = ended.iter().map(|run| run.request.fingerprint);
            if let Some(culprit) = fingerprints.find(|fingerprint| *fingerprint < FIRST_OTHER) {
                let mut broken = ended;
                broken.append(&mut self.engines[index].runs);
                self.crash(index, culprit, broken);
                continue;
            }
            for mut run in ended {
                let gate = &mut self.hosts[run.host].gate;
                gate.record_ending(now, &mut run.request, run.target.id, Ending::Done);
            }
        }
    }

    fn crash(&mut self, index: usize, culprit: u128, broken: Vec<Run>) {
        let crashes = &mut self.outcome.crashes;
        crashes.entry(culprit).or_default().push(self.now);
        self.engines[index].up_at = self.now + DOWN_PERIOD;
        let mut retried = Vec::new();
        for mut run in broken {
            let gate = &mut self.hosts[run.host].gate;
            gate.record_ending(self.now, &mut run.request, run.target.id, Ending::Broken);
            retried.push((run.host, run.request, run.target.id));
        }
        for (host, _, id) in &retried {
            let gate = &mut self.hosts[*host].gate;
            gate.record_refused_connection(self.now, *id);
            let changes = gate.take_suspect_changes();
            self.hosts[*host].gossip.add(changes);
        }
        for (host, request, _) in retried {
            self.decide(host, request, Some(Retry::Broken));
        }
    }

    fn restart_engines(&mut self) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if engine.up_at > Time::ZERO && engine.up_at <= self.now {
                let former = format!("i{index}-{}", engine.incarnation);
                engine.incarnation += 1;
                engine.up_at = Time::ZERO;
                for host in &mut self.hosts {
                    host.gate.deregister(&former);
                    let next = registration(index, engine.incarnation);
                    host.gate.register(self.now, next);
                }
            }
        }
    }

    fn gossip(&mut self, compare: bool) {
        let peers = self.hosts.len() - 1;
        for from in 0..self.hosts.len() {
            let other = |peer: usize| if peer < from { peer } else { peer + 1 };
            let Host { gate, gossip } = &mut self.hosts[from];
            gossip.add(gate.take_suspect_changes());
            let (targets, messages) = gossip.round(self.now, gate.suspects(), peers);
            let compared = compare
                .then(|| gossip.compare(gate.suspects(), peers))
                .flatten();
            for target in targets {
                for message in &messages {
                    self.deliver(from, other(target), message.clone());
                }
            }
            if let Some((target, message)) = compared {
                self.deliver(from, other(target), message);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let Host { gate, gossip } = &mut self.hosts[to];
        let (_, answer) = gossip.receive(self.now, gate.suspects_mut(), message);
        for message in answer {
            self.deliver(to, from, message);
        }
    }
}

fn is_multiple(tick: Duration, of: Duration) -> bool {
    tick.as_millis().is_multiple_of(of.as_millis())
}

/// Plays the model and checks that each culprit is refused and no other request. Returns the
/// number of crashes that each culprit caused, and of other requests in flight on two crashes.
fn check(seed: u64, host_count: usize, engine_count: usize, culprits: u128) -> (Vec<usize>, usize) {
    let outcome = Model::new(seed, host_count, engine_count, culprits).play();
    let which = format!("{host_count} hosts, {culprits} culprits, seed {seed}");
    for (culprit, dispatches) in &outcome.culprit_dispatches {
        let crashes = outcome.crashes.get(culprit);
        let third = crashes.and_then(|crashes| crashes.get(2));
        let known_at = third.map_or(Time::MAX, |third| *third + CONTACT);
        let late = dispatches.iter().filter(|time| **time > known_at).count();
        assert!(late <= MAX_LATE_DISPATCHES, "{which}: {late} dispatches");
    }
    assert_eq!(outcome.others_suspected, 0, "{which}");
    assert_eq!(outcome.others_dropped, 0, "{which}");
    let crashes = outcome.crashes.values().map(Vec::len);
    (crashes.collect(), outcome.others_unlucky)
}

fn play(culprits: u128) {
    let (mut crashes, mut unlucky) = (BTreeMap::new(), 0);
    for (host_count, engine_count, seeds) in [(8, 12, 20), (9, 4, 20), (86, 140, 4)] {
        for seed in 0..seeds {
            let (by_culprit, beside) = check(seed, host_count, engine_count, culprits);
            unlucky += beside;
            for count in by_culprit {
                *crashes.entry(count).or_insert(0) += 1;
            }
        }
    }
    println!("{culprits} culprits by crashes: {crashes:?}, others in flight on two: {unlucky}");
}

#[test]
fn the_culprit_is_refused_and_the_others_are_served() {
    play(1);
}

#[test]
fn several_culprits_at_once_are_refused_and_the_others_are_served() {
    play(3);
}
