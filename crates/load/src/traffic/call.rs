//! Sends one request, from the query for addresses to the final outcome.

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

/// Timeout for opening a connection and for an address query.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait before the next attempt when the connection broke, the outcome is unknown, or no
/// host gave an address.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// Number of groups per row whose prompts share their start.
const PROMPT_GROUPS: u32 = 20;
/// HTTP status with which a host says that no row has the name.
const UNKNOWN_TARGET_STATUS: u16 = 404;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 12;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// Name of the row that is called.
    pub row: Name,
    /// Priority of the row.
    pub priority: Priority,
    /// Idempotency key, for rows that are not repeatable.
    pub key: Option<Name>,
    path: String,
    body: String,
    /// Time from the due time to the deadline.
    deadline: Duration,
    /// The row's target for the first token, or for a service's whole answer.
    first_token: Duration,
    /// The row's target for the mean time between tokens.
    token_gap: Duration,
    tokens: u32,
    /// The body parsed as a completion; `None` for services.
    completion: Option<Completion>,
}

impl Request {
    /// Builds request number `serial`, to a row.
    pub(super) fn new(row: &Row, seed: u64, serial: u64, rng: &mut ChaCha8Rng) -> Self {
        let key = (!row.repeatable).then(|| format!("load-{seed}-{serial}").into());
        let tokens = match row.priority {
            Priority::Urgent => rng.random_range(8..32),
            Priority::Normal => rng.random_range(16..64),
            Priority::Bulk => rng.random_range(48..128),
        };
        let (path, body) = if row.kind == Kind::Service {
            let body = json!({"call": serial, "seed": seed}).to_string();
            (format!("/services/{}/run", row.name), body)
        } else {
            let group = rng.random_range(0..PROMPT_GROUPS);
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

/// How a request ended, and after how many attempts.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The final outcome.
    pub(super) outcome: Outcome,
    /// Number of attempts.
    pub attempts: u32,
}

/// The final outcome of a request.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// The request ran and was answered in full.
    Ran {
        /// Time from the due time to the first byte of the body.
        first: Duration,
        /// Whether the answer met the row's targets.
        met: bool,
    },
    /// The request was refused, for this reason.
    NotRun(Name),
    /// It is not known whether the request ran, for this reason.
    Unknown(Name),
    /// The answer was incomplete or belongs to another request; the text says what is wrong.
    Flawed(String),
    /// No answer came; the text is the last error.
    Lost(String),
}

/// Reason for which a query gave no address.
enum AddressError {
    /// The host knows no row of this name.
    Refused(Name),
    /// No answer with an address came; another host may give one.
    Unanswered,
}

/// Result of one attempt.
enum AttemptResult {
    Final(Outcome),
    /// Send again after this delay; the outcome counts if no further attempt is allowed.
    Retry(Duration, Outcome),
}

/// Sends requests as callers of the deployment do.
#[derive(Debug)]
pub(super) struct Caller {
    agent: Agent,
    hosts: Mutex<Vec<Name>>,
    /// Addresses by row, and the time until which they may be used.
    address_cache: Mutex<HashMap<Name, (Instant, Vec<Name>)>>,
    /// Counter for the round robin over hosts and addresses.
    rotation: AtomicUsize,
    check_answers: bool,
}

impl Caller {
    pub fn new(hosts: Vec<Name>, check_answers: bool) -> Self {
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
            address_cache: Mutex::default(),
            rotation: AtomicUsize::new(0),
            check_answers,
        }
    }

    pub fn set_hosts(&self, hosts: Vec<Name>) {
        *lock(&self.hosts) = hosts;
        lock(&self.address_cache).clear();
    }

    /// Sends a request until its outcome is final, its deadline has passed, or
    /// [`MAX_ATTEMPTS`] are made.
    pub fn run(&self, request: &Request, due: Instant) -> Ending {
        let deadline = due + request.deadline;
        let mut last_outcome = Outcome::Lost("no host gave an address".to_owned());
        let mut attempts = 0;
        while attempts < MAX_ATTEMPTS && Instant::now() < deadline {
            let address = match self.address(&request.row) {
                Ok(address) => address,
                Err(AddressError::Refused(reason)) => {
                    let outcome = Outcome::NotRun(reason);
                    return Ending { outcome, attempts };
                }
                Err(AddressError::Unanswered) => {
                    thread::sleep(RESEND_DELAY);
                    continue;
                }
            };
            attempts += 1;
            match self.send_attempt(request, &address, due, deadline) {
                AttemptResult::Final(outcome) => return Ending { outcome, attempts },
                AttemptResult::Retry(wait, outcome) => {
                    last_outcome = outcome;
                    thread::sleep(wait);
                }
            }
        }
        Ending {
            outcome: last_outcome,
            attempts,
        }
    }

    /// Returns an address for a row: a cached one, or one that the next host gives.
    fn address(&self, row: &Name) -> Result<Name, AddressError> {
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed);
        if let Some((until, addresses)) = lock(&self.address_cache).get(row)
            && *until > Instant::now()
            && !addresses.is_empty()
        {
            return Ok(addresses[rotation % addresses.len()].clone());
        }
        let host = {
            let hosts = lock(&self.hosts);
            let host = hosts.get(rotation % hosts.len().max(1));
            host.cloned().ok_or(AddressError::Unanswered)?
        };
        let mut response = self
            .agent
            .get(format!("http://{host}/v1/where/{row}"))
            .config()
            .timeout_global(Some(CONNECT_TIMEOUT))
            .build()
            .call()
            .map_err(|_| AddressError::Unanswered)?;
        let answer: Value = response
            .body_mut()
            .read_json()
            .map_err(|_| AddressError::Unanswered)?;
        if response.status().as_u16() == UNKNOWN_TARGET_STATUS {
            let reason = answer["error"]["code"].as_str().unwrap_or("unknown-target");
            return Err(AddressError::Refused(reason.into()));
        }
        self.cache_addresses(row, &answer)
            .ok_or(AddressError::Unanswered)
    }

    /// Caches the addresses of an answer and returns the first one.
    fn cache_addresses(&self, row: &Name, answer: &Value) -> Option<Name> {
        let addresses: Vec<Name> = answer["addresses"]
            .as_array()?
            .iter()
            .filter_map(|address| Some(address.as_str()?.into()))
            .collect();
        let lifetime = Duration::from_millis(answer["lifetime_ms"].as_u64()?);
        let first = addresses.first().cloned();
        lock(&self.address_cache).insert(row.clone(), (Instant::now() + lifetime, addresses));
        first
    }

    fn send_attempt(
        &self,
        request: &Request,
        address: &str,
        due: Instant,
        deadline: Instant,
    ) -> AttemptResult {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut http_request = self
            .agent
            .post(format!("http://{address}{}", request.path))
            .header("content-type", "application/json")
            .header(
                "mulberryrack-deadline-ms",
                remaining.as_millis().to_string(),
            );
        if let Some(key) = &request.key {
            http_request = http_request.header("idempotency-key", &**key);
        }
        // Longer than the time to the deadline, so that a late refusal is still received.
        let timeout = remaining + Duration::from_secs(3);
        let response = http_request
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send(&request.body);
        match response {
            Ok(response) => self.read_response(request, response, due),
            Err(error) => {
                lock(&self.address_cache).remove(&request.row);
                AttemptResult::Retry(RESEND_DELAY, Outcome::Lost(error.to_string()))
            }
        }
    }

    fn read_response(
        &self,
        request: &Request,
        mut response: Response<Body>,
        due: Instant,
    ) -> AttemptResult {
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
                ("not-run", Some(wait)) => AttemptResult::Retry(wait, Outcome::NotRun(reason)),
                ("not-run", None) => AttemptResult::Final(Outcome::NotRun(reason)),
                ("unknown", _) => AttemptResult::Retry(RESEND_DELAY, Outcome::Unknown(reason)),
                ("ran", _) => {
                    AttemptResult::Final(Outcome::Unknown(format!("status-{status}").into()))
                }
                _ => AttemptResult::Final(Outcome::Lost(format!(
                    "status {status} without an outcome"
                ))),
            };
        }
        let mut reader = response.body_mut().as_reader();
        let mut body = Vec::new();
        let mut buffer = vec![0; 16 * 1024];
        let mut first = None;
        loop {
            match reader.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => {
                    first.get_or_insert_with(Instant::now);
                    body.extend_from_slice(&buffer[..length]);
                }
                Err(error) => {
                    let reason = format!("answer-broke-off: {}", error.kind());
                    return AttemptResult::Retry(RESEND_DELAY, Outcome::Unknown(reason.into()));
                }
            }
        }
        AttemptResult::Final(self.evaluate(request, due, first.unwrap_or(due), &body))
    }

    fn evaluate(&self, request: &Request, due: Instant, first: Instant, body: &[u8]) -> Outcome {
        let ended_at = Instant::now();
        if let Some(flaw) = self.find_flaw(request, body) {
            return Outcome::Flawed(flaw);
        }
        let first = first.saturating_duration_since(due);
        let all = ended_at.saturating_duration_since(due);
        let span = all.saturating_sub(first);
        let met = if request.completion.is_some() {
            let gaps = request.tokens.saturating_sub(1);
            first <= request.first_token && span <= request.token_gap * gaps
        } else {
            all <= request.first_token
        };
        Outcome::Ran { first, met }
    }

    fn find_flaw(&self, request: &Request, body: &[u8]) -> Option<String> {
        if !self.check_answers {
            return None;
        }
        if let Some(completion) = &request.completion {
            let flaw = answer::check(completion, body).err()?;
            return Some(flaw.to_string());
        }
        let answer: Value = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(error) => return Some(error.to_string()),
        };
        let is_own = answer["body"].as_str() == Some(&request.body);
        (!is_own).then(|| "the answer belongs to another request".to_owned())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
