//! One request from the question for addresses to its last outcome.

use mulberryrack_core::{
    Name,
    completion::{self, Completion},
    request::Priority,
};
use mulberryrack_standin::answer;
use mulberryrack_table::{Kind, Row};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    io::Read,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use ureq::{Agent, Body, http::Response};

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait before a request is sent again after its connection broke.
const RESEND: Duration = Duration::from_millis(200);
/// Callers that share a start of their prompts.
const GROUPS: u32 = 20;
/// Status by which a host says that no row has the name.
const UNKNOWN_TARGET: u16 = 404;
/// Sends of one request at the most.
const MAX_SENDS: u32 = 12;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Target {
    /// Row name.
    pub row: Name,
    /// The row's priority.
    pub priority: Priority,
    /// Idempotency key; rows that are not repeatable only.
    pub key: Option<Name>,
    path: String,
    body: String,
    deadline: Duration,
    first_token: Duration,
    token_gap: Duration,
    tokens: u32,
    completion: Option<Completion>,
}

impl Target {
    /// Request number `serial` to a row.
    pub(super) fn new(row: &Row, seed: u64, serial: u64, draws: &mut ChaCha8Rng) -> Self {
        let key = (!row.repeatable).then(|| format!("load-{seed}-{serial}").into());
        let tokens = match row.priority {
            Priority::Urgent => draws.random_range(8..32),
            Priority::Normal => draws.random_range(16..64),
            Priority::Bulk => draws.random_range(48..128),
        };
        let (path, body) = if row.kind == Kind::Service {
            let body = json!({"call": serial, "seed": seed}).to_string();
            (format!("/services/{}/run", row.name), body)
        } else {
            let group = draws.random_range(0..GROUPS);
            let start = format!("history of caller {group} of {} ", row.name).repeat(12);
            let body = json!({
                "model": row.name,
                "prompt": format!("{start} request {serial}"),
                "max_tokens": tokens,
                "stream": true,
            });
            (completion::PATH.to_owned(), body.to_string())
        };
        Self {
            row: row.name.clone(),
            priority: row.priority,
            key,
            completion: Completion::read(&path, body.as_bytes()).ok(),
            path,
            body,
            deadline: row.first_token * 4 + row.token_gap * tokens * 4 + Duration::from_secs(5),
            first_token: row.first_token,
            token_gap: row.token_gap,
            tokens,
        }
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct End {
    /// The last outcome.
    pub(super) outcome: Outcome,
    /// Sends of it.
    pub sends: u32,
}

/// The last outcome of a request.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// It ran.
    Ran {
        /// From the time it was meant to be sent to the first byte of the body.
        first: Duration,
        /// Whether it met its row's targets.
        met: bool,
    },
    /// It was refused, for this reason.
    NotRun(Name),
    /// It is not known whether it ran, for this reason.
    Unknown(Name),
    /// The answer was not whole or not its own.
    Flawed(String),
    /// No answer came.
    Lost(String),
}

/// Why there is no address.
enum Where {
    /// The host knows no such row.
    Refused(Name),
    /// No answer with an address came; another host may have one.
    Unanswered,
}

/// What one send came to.
enum Sent {
    Final(Outcome),
    /// Send again after a time; the outcome if that is not allowed any more.
    Again(Duration, Outcome),
}

/// Sends requests as a client of the deployment does.
#[derive(Debug)]
pub(super) struct Caller {
    agent: Agent,
    hosts: Mutex<Vec<Name>>,
    /// Addresses by row, and until when they may be kept.
    known: Mutex<HashMap<Name, (Instant, Vec<Name>)>>,
    turn: AtomicUsize,
    checked: bool,
}

impl Caller {
    pub fn new(hosts: Vec<Name>, checked: bool) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(256)
            .max_idle_connections_per_host(64)
            .proxy(None)
            .build()
            .into();
        Self {
            agent,
            hosts: Mutex::new(hosts),
            known: Mutex::default(),
            turn: AtomicUsize::new(0),
            checked,
        }
    }

    pub fn hosts(&self, hosts: Vec<Name>) {
        *lock(&self.hosts) = hosts;
        lock(&self.known).clear();
    }

    /// Sends a request until its outcome is final or its deadline has passed.
    pub fn run(&self, target: &Target, meant: Instant) -> End {
        let deadline = meant + target.deadline;
        let mut last = Outcome::Lost("no host gave an address".to_owned());
        let mut sends = 0;
        while sends < MAX_SENDS && Instant::now() < deadline {
            let address = match self.address(&target.row) {
                Ok(address) => address,
                Err(Where::Refused(reason)) => {
                    let outcome = Outcome::NotRun(reason);
                    return End { outcome, sends };
                }
                Err(Where::Unanswered) => {
                    thread::sleep(RESEND);
                    continue;
                }
            };
            sends += 1;
            match self.send(target, &address, meant, deadline) {
                Sent::Final(outcome) => return End { outcome, sends },
                Sent::Again(wait, outcome) => {
                    last = outcome;
                    thread::sleep(wait);
                }
            }
        }
        End {
            outcome: last,
            sends,
        }
    }

    /// An address for a row: a kept one, or the answer of the next host in turn.
    fn address(&self, row: &Name) -> Result<Name, Where> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        if let Some((until, addresses)) = lock(&self.known).get(row)
            && *until > Instant::now()
            && !addresses.is_empty()
        {
            return Ok(addresses[turn % addresses.len()].clone());
        }
        let host = {
            let hosts = lock(&self.hosts);
            let host = hosts.get(turn % hosts.len().max(1));
            host.cloned().ok_or(Where::Unanswered)?
        };
        let mut response = self
            .agent
            .get(format!("http://{host}/v1/where/{row}"))
            .config()
            .timeout_global(Some(CONNECT_TIMEOUT))
            .build()
            .call()
            .map_err(|_| Where::Unanswered)?;
        let answer: Value = response
            .body_mut()
            .read_json()
            .map_err(|_| Where::Unanswered)?;
        if response.status().as_u16() == UNKNOWN_TARGET {
            let reason = answer["error"]["code"].as_str().unwrap_or("unknown-target");
            return Err(Where::Refused(reason.into()));
        }
        self.keep(row, &answer).ok_or(Where::Unanswered)
    }

    /// Keeps an answer with addresses and gives the first one.
    fn keep(&self, row: &Name, answer: &Value) -> Option<Name> {
        let addresses: Vec<Name> = answer["addresses"]
            .as_array()?
            .iter()
            .filter_map(|address| Some(address.as_str()?.into()))
            .collect();
        let lifetime = Duration::from_millis(answer["lifetime_ms"].as_u64()?);
        let first = addresses.first().cloned();
        lock(&self.known).insert(row.clone(), (Instant::now() + lifetime, addresses));
        first
    }

    fn send(&self, target: &Target, address: &str, meant: Instant, deadline: Instant) -> Sent {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut request = self
            .agent
            .post(format!("http://{address}{}", target.path))
            .header("content-type", "application/json")
            .header("mulberryrack-deadline-ms", left.as_millis().to_string());
        if let Some(key) = &target.key {
            request = request.header("idempotency-key", &**key);
        }
        // A little more than the deadline, so that a late refusal is still seen.
        let bound = left + Duration::from_secs(3);
        let response = request
            .config()
            .timeout_global(Some(bound))
            .build()
            .send(&target.body);
        match response {
            Ok(response) => self.read(target, response, meant),
            Err(error) => {
                lock(&self.known).remove(&target.row);
                Sent::Again(RESEND, Outcome::Lost(error.to_string()))
            }
        }
    }

    fn read(&self, target: &Target, mut response: Response<Body>, meant: Instant) -> Sent {
        let header = |name: &str| -> Name {
            let value = response.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.unwrap_or_default().into()
        };
        let (outcome, reason) = (
            header("mulberryrack-outcome"),
            header("mulberryrack-reason"),
        );
        let retry_after = header("retry-after").parse().ok().map(Duration::from_secs);
        let status = response.status().as_u16();
        if !response.status().is_success() {
            return match (&*outcome, retry_after) {
                ("not-run", Some(wait)) => Sent::Again(wait, Outcome::NotRun(reason)),
                ("not-run", None) => Sent::Final(Outcome::NotRun(reason)),
                ("unknown", _) => Sent::Again(RESEND, Outcome::Unknown(reason)),
                ("ran", _) => Sent::Final(Outcome::Unknown(format!("status-{status}").into())),
                _ => Sent::Final(Outcome::Lost(format!("status {status} without an outcome"))),
            };
        }
        let mut reader = response.body_mut().as_reader();
        let mut body = Vec::new();
        let mut part = vec![0; 16 * 1024];
        let mut first = None;
        loop {
            match reader.read(&mut part) {
                Ok(0) => break,
                Ok(length) => {
                    first.get_or_insert_with(Instant::now);
                    body.extend_from_slice(&part[..length]);
                }
                Err(error) => {
                    let doubt = format!("answer-broke-off: {}", error.kind());
                    return Sent::Again(RESEND, Outcome::Unknown(doubt.into()));
                }
            }
        }
        Sent::Final(self.judge(target, meant, first.unwrap_or(meant), &body))
    }

    fn judge(&self, target: &Target, meant: Instant, first: Instant, body: &[u8]) -> Outcome {
        let end = Instant::now();
        if let Some(flaw) = self.flaw(target, body) {
            return Outcome::Flawed(flaw);
        }
        let first = first.saturating_duration_since(meant);
        let all = end.saturating_duration_since(meant);
        let span = all.saturating_sub(first);
        let met = if target.completion.is_some() {
            let gaps = target.tokens.saturating_sub(1);
            first <= target.first_token && span <= target.token_gap * gaps
        } else {
            all <= target.first_token
        };
        Outcome::Ran { first, met }
    }

    fn flaw(&self, target: &Target, body: &[u8]) -> Option<String> {
        if !self.checked {
            return None;
        }
        if let Some(completion) = &target.completion {
            let flaw = answer::check(completion, body).err()?;
            return Some(flaw.to_string());
        }
        let answer: Value = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(error) => return Some(error.to_string()),
        };
        let own = answer["body"].as_str() == Some(&target.body);
        (!own).then(|| "the answer belongs to another request".to_owned())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
