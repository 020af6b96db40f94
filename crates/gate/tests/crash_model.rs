//! Several hosts, engines and callers in virtual time: some requests crash each engine that
//! runs them and come again at any host, others run beside them. On some days a part of prompts
//! crashes each engine, in requests of which no two are alike.
//!
//! The environment variable `CRASH_SEEDS` sets the number of seeds for each number of hosts.

#[allow(dead_code)]
mod common;

use common::{generation, ms, request_head, upstream};
use mulberryrack_core::{
    Name, Time,
    outcome::{Reason, Retry},
};
use mulberryrack_gate::{Decision, Ending, Gate, RequestState, Target, Tuning};
use mulberryrack_site::request::PromptPart;
use mulberryrack_suspect::{Answer, Gossip, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, env, sync::Arc, time::Duration};

const STEP: Duration = Duration::from_millis(10);
/// Interval of the rounds of datagrams and of the comparisons.
const ROUND: Duration = Duration::from_millis(100);
const COMPARISON: Duration = Duration::from_secs(1);
/// Length of most days, and of a long one: longer than evidence on other suspects is kept twice.
const LENGTH: Duration = Duration::from_secs(30);
const LONG: Duration = Duration::from_secs(1_300);
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
/// A further part that all prompts share on days on which they have more parts.
const OTHER_SHARED_PART: PromptPart = PromptPart { id: 2, tokens: 100 };
/// Third part of the prompts of all requests of which a part crashes engines.
const CRASHING_PART: PromptPart = PromptPart {
    id: 50,
    tokens: 100,
};
/// First fingerprint of those requests; each has one of its own.
const FIRST_WITH_PART: u128 = 1 << 32;
/// Number of other third parts, and the id of the first one.
const THIRD_PARTS: u64 = 20;
const FIRST_THIRD_PART: u64 = 100;
/// Crashes of a part, after which the users count the dispatches of requests with it.
const CRASHES_BY_PART: usize = 5;
/// Interval at which one host after the other is replaced by one that knows nothing, on days on
/// which that happens.
const REPLACEMENT: Duration = Duration::from_secs(4);
/// What a caller is told whose request got no permit.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
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

/// A request that waits for a permit.
struct Waiting {
    host: usize,
    request: RequestState,
    retry: Option<Retry>,
}

struct Engine {
    incarnation: u32,
    up_at: Time,
    runs: Vec<Run>,
}

struct Host {
    gate: Gate,
    gossip: Gossip,
    started: Time,
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
    /// Crashes of the part, and dispatches of requests with it by hosts in touch: those that
    /// started [`CONTACT`] ago or earlier.
    part_crashes: Vec<Time>,
    part_dispatches: Vec<Time>,
    /// Other requests later than twice [`CONTACT`] after the fifth crash of the part, and those
    /// of them that were refused or given up.
    late_others: usize,
    late_others_lost: usize,
}

/// What happens on a day.
#[derive(Clone, Copy, Debug)]
struct Day {
    host_count: usize,
    engine_count: usize,
    /// Number of requests that crash engines.
    culprits: u128,
    /// Requests a second with a part that crashes engines.
    with_part_per_s: f64,
    /// Whether prompts have two parts more between the one that all share and their own: one that
    /// all share as well, and one that some share.
    has_more_parts: bool,
    /// Share of the datagrams between hosts that are lost.
    loss: f64,
    /// Whether hosts are replaced.
    replaces_hosts: bool,
    length: Duration,
}

struct Model {
    day: Day,
    seed: u64,
    now: Time,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    waiting: Vec<Waiting>,
    /// When no engine was up last.
    last_outage: Time,
    next_fingerprint: u128,
    next_with_part: u128,
    outcome: Outcome,
}

fn host_name(index: usize) -> Name {
    format!("h{index}").into()
}

fn registration(index: usize, incarnation: u32) -> mulberryrack_site::Upstream {
    let mut engine = upstream(&format!("i{index}-{incarnation}"), "llm", &["m0"]);
    let port = 1_000 + u16::try_from(index).expect("a few hundred");
    engine.address.set_port(port);
    engine
}

impl Model {
    fn new(seed: u64, day: Day) -> Self {
        let engine = |_| Engine {
            incarnation: 0,
            up_at: Time::ZERO,
            runs: Vec::new(),
        };
        let mut model = Self {
            day,
            seed,
            now: Time::from_millis(20_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            engines: (0..day.engine_count).map(engine).collect(),
            waiting: Vec::new(),
            last_outage: Time::ZERO,
            next_fingerprint: FIRST_OTHER,
            next_with_part: FIRST_WITH_PART,
            outcome: Outcome::default(),
        };
        model.hosts = (0..day.host_count).map(|index| model.host(index)).collect();
        model
    }

    /// A host that knows the other hosts and the engines, and of no crash.
    fn host(&self, index: usize) -> Host {
        let seed = self.seed + index as u64;
        let tuning = Tuning {
            // The retry budget is not what is tested here.
            retry_extra: 1_000.0,
            ..Tuning::default()
        };
        let mut gate = Gate::new(tuning, seed);
        gate.configure(Arc::new(common::config(1)));
        let host_count = u32::try_from(self.day.host_count).expect("a few hundred");
        gate.set_host_count(Time::ZERO, host_count);
        let names = (0..self.day.host_count).map(host_name).collect();
        gate.set_hosts(Time::ZERO, &host_name(index), names);
        for (index, engine) in self.engines.iter().enumerate() {
            gate.register(Time::ZERO, registration(index, engine.incarnation));
        }
        Host {
            gate,
            gossip: Gossip::new(&format!("h{index}"), seed),
            started: Time::ZERO,
        }
    }

    /// Replaces a host by one that knows nothing. Its runs go on until they end or their engine
    /// does; what it has not told the others by then is lost.
    fn replace_host(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        self.hosts[index] = self.host(index);
        self.hosts[index].started = self.now;
        for engine in &mut self.engines {
            engine.runs.retain(|run| run.host != index);
        }
        self.waiting.retain(|waiting| waiting.host != index);
    }

    fn play(mut self) -> Outcome {
        let end = self.now + self.day.length;
        let mut tick = Duration::ZERO;
        while self.now < end {
            self.now = self.now + STEP;
            tick += STEP;
            self.restart_engines();
            self.end_runs();
            if self.engines.iter().all(|engine| engine.up_at > self.now) {
                self.last_outage = self.now;
            }
            self.arrive();
            if self.day.replaces_hosts && is_multiple(tick, REPLACEMENT) {
                self.replace_host();
            }
            if is_multiple(tick, ROUND) {
                self.gossip(is_multiple(tick, COMPARISON));
                self.ask_for_permits();
            }
        }
        self.outcome
    }

    /// Six requests a second at each host, each crashing one three times a second, and those with
    /// the crashing part.
    fn arrive(&mut self) {
        for host in 0..self.hosts.len() {
            if self.rng.random_bool(0.06) {
                self.next_fingerprint += 1;
                self.admit(host, self.next_fingerprint);
            }
        }
        for culprit in 0..self.day.culprits {
            if self.rng.random_bool(0.03) {
                let host = self.rng.random_range(0..self.hosts.len());
                self.admit(host, culprit);
            }
        }
        let step_share = (self.day.with_part_per_s * STEP.as_secs_f64()).min(1.0);
        if step_share > 0.0 && self.rng.random_bool(step_share) {
            let host = self.rng.random_range(0..self.hosts.len());
            self.next_with_part += 1;
            self.admit(host, self.next_with_part);
        }
    }

    fn admit(&mut self, host: usize, fingerprint: u128) {
        let section = u64::try_from(fingerprint).expect("a small number");
        let mut generation = generation("m0", section, 100);
        let third = if has_crashing_part(fingerprint) {
            CRASHING_PART
        } else {
            PromptPart {
                id: FIRST_THIRD_PART + section % THIRD_PARTS,
                tokens: 100,
            }
        };
        if self.day.has_more_parts {
            generation.prompt_parts.insert(0, third);
            generation.prompt_parts.insert(0, OTHER_SHARED_PART);
        }
        generation.prompt_parts.insert(0, SHARED_PART);
        let head = request_head("/stream/x", Some(generation));
        let admitted = self.hosts[host].gate.admit(self.now, head, fingerprint);
        let is_other = fingerprint >= FIRST_OTHER && !has_crashing_part(fingerprint);
        let is_late = self.is_long_after_fifth_crash();
        self.outcome.late_others += usize::from(is_other && is_late);
        self.decide(host, admitted.expect("a route matches"), None);
    }

    fn decide(&mut self, host: usize, mut request: RequestState, retry: Option<Retry>) {
        let fingerprint = request.fingerprint;
        let with_part = has_crashing_part(fingerprint);
        let is_culprit = fingerprint < FIRST_OTHER || with_part;
        let is_late = self.is_long_after_fifth_crash();
        let in_touch = self.hosts[host].started + CONTACT <= self.now;
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
                    let run = if with_part {
                        if in_touch {
                            self.outcome.part_dispatches.push(self.now);
                        }
                        TIME_TO_CRASH
                    } else if is_culprit {
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
                Decision::AwaitPermit(_) => {
                    self.waiting.push(Waiting {
                        host,
                        request,
                        retry,
                    });
                    return;
                }
                _ if is_culprit => return,
                // No permit, and no engine was up when the request arrived: it could not be served.
                Decision::Refuse(refusal)
                    if refusal.retry_after == Some(TRIAL_RETRY_DELAY)
                        && request.arrived_at <= self.last_outage =>
                {
                    return;
                }
                Decision::Refuse(refusal) if refusal.reason == Reason::Suspect => {
                    self.outcome.late_others_lost += usize::from(is_late);
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
                    self.outcome.late_others_lost += usize::from(is_late);
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
            let crashes =
                |fingerprint: &u128| *fingerprint < FIRST_OTHER || has_crashing_part(*fingerprint);
            if let Some(culprit) = fingerprints.find(crashes) {
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

    /// Has the requests that wait for a permit ask for it, and decides on them again.
    fn ask_for_permits(&mut self) {
        for mut waiting in std::mem::take(&mut self.waiting) {
            let Waiting { host, request, .. } = &mut waiting;
            let gate = &mut self.hosts[*host].gate;
            if let Some(ask) = gate.ask_for_permit(self.now, request) {
                let giver = self.permit_giver(*host);
                let is_granted = !self.is_lost(*host, giver)
                    && self.hosts[giver].gate.give_permit(self.now, &ask) == Answer::Granted;
                if is_granted && !self.is_lost(*host, giver) {
                    Gate::record_permit(request);
                }
            }
            self.decide(waiting.host, waiting.request, waiting.retry);
        }
        for host in 0..self.hosts.len() {
            let giver = self.permit_giver(host);
            for holder in self.hosts[host].gate.take_released_permits() {
                if !self.is_lost(host, giver) {
                    self.hosts[giver].gate.release_permit(&holder);
                }
            }
        }
    }

    fn permit_giver(&self, host: usize) -> usize {
        let giver = self.hosts[host].gate.permit_giver(self.now);
        let is_giver = |index: &usize| Some(&host_name(*index)) == giver;
        (0..self.hosts.len()).find(is_giver).unwrap_or(host)
    }

    /// Whether a datagram is lost. A host reaches itself.
    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        from != to && self.day.loss > 0.0 && self.rng.random_bool(self.day.loss)
    }

    fn crash(&mut self, index: usize, culprit: u128, broken: Vec<Run>) {
        if has_crashing_part(culprit) {
            self.outcome.part_crashes.push(self.now);
        } else {
            let crashes = &mut self.outcome.crashes;
            crashes.entry(culprit).or_default().push(self.now);
        }
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

    fn is_long_after_fifth_crash(&self) -> bool {
        let fifth = self.outcome.part_crashes.get(CRASHES_BY_PART - 1);
        fifth.is_some_and(|fifth| self.now > *fifth + CONTACT * 2)
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
            let Host { gate, gossip, .. } = &mut self.hosts[from];
            gossip.add(gate.take_suspect_changes());
            let (targets, messages) = gossip.round(self.now, gate.suspects(), peers);
            let compared = compare.then(|| gossip.compare(gate.suspects(), peers));
            for target in targets {
                for message in &messages {
                    self.deliver(from, other(target), message.clone());
                }
            }
            if let Some((targets, message)) = compared {
                for target in targets {
                    self.deliver(from, other(target), message.clone());
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.is_lost(from, to) {
            return;
        }
        let Host { gate, gossip, .. } = &mut self.hosts[to];
        let (_, answer) = gossip.receive(self.now, gate.suspects_mut(), message);
        for message in answer {
            self.deliver(to, from, message);
        }
    }
}

fn is_multiple(tick: Duration, of: Duration) -> bool {
    tick.as_millis().is_multiple_of(of.as_millis())
}

fn has_crashing_part(fingerprint: u128) -> bool {
    fingerprint >= FIRST_WITH_PART
}

/// Plays the model and checks that each culprit and the part are refused and no other request.
fn check(seed: u64, day: Day) -> Outcome {
    let outcome = Model::new(seed, day).play();
    let which = format!("{day:?}, seed {seed}");
    for (culprit, dispatches) in &outcome.culprit_dispatches {
        let crashes = outcome.crashes.get(culprit);
        let third = crashes.and_then(|crashes| crashes.get(2));
        let late = late_dispatches(dispatches, third);
        assert!(late <= MAX_LATE_DISPATCHES, "{which}: {late} dispatches");
    }
    let fifth = outcome.part_crashes.get(CRASHES_BY_PART - 1);
    let late = late_dispatches(&outcome.part_dispatches, fifth);
    assert!(late <= MAX_LATE_DISPATCHES, "{which}: {late} with the part");
    let (sent, lost) = (outcome.late_others, outcome.late_others_lost);
    assert!(lost * 2 <= sent, "{which}: {lost} of {sent} others lost");
    outcome
}

fn seed_count(default: u64) -> u64 {
    let variable = env::var("CRASH_SEEDS").ok();
    variable
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Number of dispatches later than [`CONTACT`] after a crash; 0 if there was none.
fn late_dispatches(dispatches: &[Time], crash: Option<&Time>) -> usize {
    let known_at = crash.map_or(Time::MAX, |crash| *crash + CONTACT);
    dispatches.iter().filter(|time| **time > known_at).count()
}

fn play(culprits: u128) {
    let (mut crashes, mut unlucky) = (BTreeMap::new(), 0);
    for (host_count, engine_count, seeds) in [(8, 12, 20), (9, 4, 20), (86, 140, 4)] {
        let day = Day {
            host_count,
            engine_count,
            culprits,
            with_part_per_s: 0.0,
            has_more_parts: false,
            loss: 0.0,
            replaces_hosts: false,
            length: LENGTH,
        };
        for seed in 0..seed_count(seeds) {
            let outcome = check(seed, day);
            assert_eq!(outcome.others_suspected, 0, "{day:?}, seed {seed}");
            assert_eq!(outcome.others_dropped, 0, "{day:?}, seed {seed}");
            unlucky += outcome.others_unlucky;
            for count in outcome.crashes.values().map(Vec::len) {
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

/// Plays days with a crashing part, and with as many crashing requests beside it.
fn play_part(culprits: u128, with_part_per_s: f64, loss: f64, replaces_hosts: bool) {
    let (mut crashes, mut others, mut others_lost) = (Vec::new(), 0, 0);
    let sizes = [(8, 12, 20), (9, 24, 20), (86, 140, 2), (300, 160, 2)];
    for (host_count, engine_count, seeds) in sizes {
        let day = Day {
            host_count,
            engine_count,
            culprits,
            with_part_per_s,
            has_more_parts: true,
            loss,
            replaces_hosts,
            length: LENGTH,
        };
        for seed in 0..seed_count(seeds) {
            let outcome = check(seed, day);
            crashes.push(outcome.part_crashes.len());
            others += outcome.late_others;
            others_lost += outcome.late_others_lost;
        }
    }
    println!(
        "{culprits} culprits, part {with_part_per_s}/s, loss {loss}: crashes {crashes:?}, late others {others}, lost {others_lost}"
    );
}

#[test]
fn a_crashing_part_is_refused_and_the_others_are_served() {
    play_part(0, 2.0, 0.0, false);
    play_part(0, 8.0, 0.1, false);
}

#[test]
fn a_crashing_part_stays_refused_when_hosts_are_replaced() {
    play_part(0, 4.0, 0.1, true);
}

#[test]
fn a_crashing_part_stays_refused_for_as_long_as_it_comes() {
    let day = Day {
        host_count: 8,
        engine_count: 12,
        culprits: 0,
        with_part_per_s: 0.5,
        has_more_parts: true,
        loss: 0.1,
        replaces_hosts: true,
        length: LONG,
    };
    check(1, day);
}

#[test]
fn a_crashing_part_beside_crashing_requests_is_refused() {
    play_part(2, 4.0, 0.1, false);
}
