//! Checks of what upstreams ask of hosts in their answers: no requests for a while, and none at
//! all once they are leaving.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{LazyLock, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Time for which an upstream wants no requests.
pub const REST: Duration = Duration::from_millis(1_200);
/// One in this many requests to plain services is turned away with the wish for a rest.
const REST_EVERY: u64 = 150;
/// Time until a host must know of a rest, and the requests that it may send until its end; the
/// users' rule.
const REST_NOTICE: Duration = Duration::from_millis(500);
const MAX_REQUESTS_IN_REST: u32 = 2;
/// Time after which a host must send nothing new to an upstream that leaves; the users'
/// `drain-timeout-ms`.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// An upstream as one host uses it.
type Pair = (SocketAddr, String);

#[derive(Default)]
struct State {
    /// The host that each attempt was sent to, and when.
    sent: HashMap<String, (SocketAddr, Instant)>,
    /// When an upstream asked a host for a rest, and the requests that it got since.
    rests: HashMap<Pair, (Instant, u32)>,
    /// Attempts that an upstream has turned away.
    turned_away: HashSet<String>,
    /// Time of the last fault that may lose an answer.
    disturbed_at: Option<Instant>,
    leaving: HashSet<String>,
    /// Upstreams that answered an attempt and said that they are leaving.
    said_leaving: HashMap<String, String>,
    /// When a host passed on the first answer of an upstream that is leaving.
    passed_on: HashMap<Pair, Instant>,
    violations: Vec<String>,
}

static STATE: LazyLock<Mutex<State>> = LazyLock::new(Mutex::default);

fn state() -> MutexGuard<'static, State> {
    STATE.lock().expect("unpoisoned")
}

/// Forgets everything, before another deployment whose upstreams have the same names.
pub fn reset() {
    *state() = State::default();
}

/// Records that a host has started, which knows nothing of what an earlier one at its address
/// has passed on.
pub fn record_started(host: SocketAddr) {
    let mut state = state();
    state.passed_on.retain(|(other, _), _| *other != host);
    state.rests.retain(|(other, _), _| *other != host);
}

/// Records that an attempt is sent to a host.
pub fn record_sent(attempt: &str, host: SocketAddr) {
    let sent = (host, Instant::now());
    state().sent.insert(attempt.to_owned(), sent);
}

/// Records that the caller has received the whole answer to an attempt.
pub fn record_answered(attempt: &str) {
    let mut state = state();
    let (Some(upstream), Some((host, _))) =
        (state.said_leaving.remove(attempt), state.sent.get(attempt))
    else {
        return;
    };
    let pair = (*host, upstream);
    state.passed_on.entry(pair).or_insert_with(Instant::now);
}

/// Records a fault that may lose answers.
pub fn record_fault() {
    state().disturbed_at = Some(Instant::now());
}

pub fn set_leaving(upstream: &str) {
    state().leaving.insert(upstream.to_owned());
}

/// What an upstream does with a request.
pub enum Verdict {
    Run,
    RunAndSayLeaving,
    AskForRest,
}

/// Checks a request that reaches an upstream, and says what it does with it.
pub fn record_arrival(attempt: &str, upstream: &str) -> Verdict {
    let mut state = state();
    let Some(&(host, sent_at)) = state.sent.get(attempt) else {
        return Verdict::Run;
    };
    let pair = (host, upstream.to_owned());
    let passed_on = state.passed_on.get(&pair);
    if passed_on.is_some_and(|at| sent_at > *at + DRAIN_TIMEOUT) {
        let text = format!("DRAIN {attempt} reached {upstream}");
        state.violations.push(text);
    }
    let disturbed_at = state.disturbed_at;
    if let Some((asked_at, requests)) = state.rests.get_mut(&pair) {
        let since = asked_at.elapsed();
        let is_calm = disturbed_at.is_none_or(|at| at + REST < *asked_at);
        if since > REST_NOTICE && since < REST && is_calm {
            *requests += 1;
            if *requests > MAX_REQUESTS_IN_REST {
                let text = format!("BUDGET {upstream} got {requests} requests in its rest");
                state.violations.push(text);
            }
        }
    }
    if state.leaving.contains(upstream) {
        state
            .said_leaving
            .insert(attempt.to_owned(), upstream.to_owned());
        return Verdict::RunAndSayLeaving;
    }
    let number = u64::from_str_radix(attempt, 16).unwrap_or(1);
    let mut is_first = || state.turned_away.insert(attempt.to_owned());
    if !number.is_multiple_of(REST_EVERY) || !is_first() {
        return Verdict::Run;
    }
    state.rests.insert(pair, (Instant::now(), 0));
    Verdict::AskForRest
}

/// Removes and returns what was found.
pub fn take_violations() -> Vec<String> {
    std::mem::take(&mut state().violations)
}
