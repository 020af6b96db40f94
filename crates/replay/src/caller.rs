//! Callers of a replay: they query a host for addresses, send their request, and send it
//! again where its outcome allows that.

use crate::{
    schedule::{HostSlot, SimEvent},
    trace::Request as TraceRequest,
    world::{HostIndex, World},
};
use bytes::Bytes;
use mulberryrack_core::{
    Name, Time,
    caller::Answer,
    completion::{self, Completion},
    hash,
    outcome::{Doubt, Outcome, Reason},
    request::{self, Call, Request},
};
use mulberryrack_host::Event;
use mulberryrack_member::AddressAnswer;
use mulberryrack_standin::{answer, run::IDEMPOTENCY_HEADER};
use mulberryrack_table::Kind;
use rand::RngExt;
use serde_json::json;
use std::time::Duration;

/// One-way network delay between a caller and a host.
const CALLER_DELAY: Duration = Duration::from_millis(3);
/// Time until a caller gives up on a host that does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Wait before the next attempt when the connection broke or the outcome is unknown.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 8;
/// Bytes per token in a generated prompt.
const BYTES_PER_TOKEN: usize = completion::BYTES_PER_TOKEN;

/// A caller's next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Query a host for addresses, or use cached ones.
    QueryAddresses,
    /// Send the request to the host with this address.
    Send(Name),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The host gave an outcome.
    Outcome(Outcome),
    /// The connection broke before an outcome came.
    Broken,
}

/// One sending of a request by its caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When the request was sent.
    pub at: Time,
    /// When and how the attempt ended; `None` while it is open.
    pub ending: Option<(Time, Ending)>,
}

/// A caller with one request of the trace, and the state of that request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The request as the trace gives it.
    pub request: TraceRequest,
    /// When the request is due by the trace; latencies and the deadline count from here.
    pub started: Time,
    /// Every attempt, in order of time.
    pub attempts: Vec<Attempt>,
    /// Status of the last answer that began.
    pub status: Option<u16>,
    /// Body of the last answer that began.
    pub body: Vec<u8>,
    /// When the first part of the body came in the last attempt.
    pub first_byte_at: Option<Time>,
    /// When the latest part of the body came.
    pub last_byte_at: Option<Time>,
    /// The HTTP call that each attempt sends.
    call: Call,
    /// The call parsed as a completion; `None` for services.
    completion: Option<Completion>,
}

impl Caller {
    /// Time by which the answer has to be complete.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.started + Duration::from_millis(self.request.deadline_ms)
    }

    /// How the last attempt ended; `None` while it is open.
    #[must_use]
    pub fn ending(&self) -> Option<&Ending> {
        self.attempts
            .last()?
            .ending
            .as_ref()
            .map(|(_, ending)| ending)
    }

    /// When the last attempt ended; `None` while it is open.
    #[must_use]
    pub fn ended_at(&self) -> Option<Time> {
        self.attempts.last()?.ending.as_ref().map(|(at, _)| *at)
    }

    /// Whether the last attempt ended with the outcome "ran" and a status below 300.
    #[must_use]
    pub fn ran(&self) -> bool {
        matches!(self.ending(), Some(Ending::Outcome(Outcome::Ran)))
            && self.status.is_some_and(|status| status < 300)
    }

    /// Describes what is wrong with an answer that the host declared complete.
    #[must_use]
    pub fn flaw(&self) -> Option<String> {
        if !self.ran() {
            return None;
        }
        match &self.completion {
            Some(completion) => answer::check(completion, &self.body)
                .err()
                .map(|flaw| flaw.to_string()),
            None => self.service_flaw(),
        }
    }

    fn service_flaw(&self) -> Option<String> {
        let answer: serde_json::Value = match serde_json::from_slice(&self.body) {
            Ok(answer) => answer,
            Err(error) => return Some(error.to_string()),
        };
        let own = answer["body"].as_str() == std::str::from_utf8(&self.call.body).ok();
        (!own).then(|| "the answer belongs to another request".to_owned())
    }

    fn may_send_again(&self, now: Time) -> bool {
        self.attempts.len() < MAX_ATTEMPTS && now < self.deadline()
    }
}

fn build_call(request: &TraceRequest, serial: usize, kind: Kind) -> Call {
    let mut headers: Vec<(Name, Name)> = Vec::new();
    if let Some(key) = &request.key {
        headers.push((IDEMPOTENCY_HEADER.into(), key.clone()));
    }
    let (path, body) = match kind {
        Kind::Service => (
            "/run",
            json!({"call": serial, "key": request.key}).to_string(),
        ),
        Kind::Model | Kind::Adapter => {
            let body = json!({
                "model": request.target,
                "prompt": prompt(request, serial),
                "max_tokens": request.answer_tokens,
                "stream": true,
            });
            (completion::PATH, body.to_string())
        }
    };
    Call {
        method: "POST".into(),
        path: path.into(),
        headers: headers.into(),
        body: Bytes::from(body),
    }
}

/// Builds a prompt whose first half is shared by its group. The rest is unique to the
/// request, except that a crashing request has the same prompt each time.
fn prompt(request: &TraceRequest, serial: usize) -> String {
    let length = request.prompt_tokens as usize * BYTES_PER_TOKEN;
    let group = request.group.as_deref().unwrap_or("none");
    let stem = format!("{group} ");
    let mut text: String = stem.chars().cycle().take(length / 2).collect();
    let unique = if request.poison {
        "crash-upstream".to_owned()
    } else {
        format!(" request {serial} ")
    };
    text.push_str(&unique);
    while text.len() < length {
        text.push_str("and so on ");
    }
    text
}

impl World {
    /// Creates the caller of a request of the trace and takes its first step.
    pub(crate) fn start_request(&mut self, request: TraceRequest) {
        let serial = self.callers.len();
        let kind = self
            .rows
            .iter()
            .find(|row| row.name == request.target)
            .map_or(Kind::Model, |row| row.kind);
        let call = build_call(&request, serial, kind);
        let completion = (kind != Kind::Service)
            .then(|| Completion::read(&call.path, &call.body).ok())
            .flatten();
        self.callers.push(Caller {
            request,
            started: self.now,
            attempts: Vec::new(),
            status: None,
            body: Vec::new(),
            first_byte_at: None,
            last_byte_at: None,
            call,
            completion,
        });
        self.caller_step(serial, Step::QueryAddresses);
    }

    /// Takes a step of a caller.
    pub(crate) fn caller_step(&mut self, caller: usize, step: Step) {
        match step {
            Step::QueryAddresses => self.query_addresses(caller),
            Step::Send(address) => self.send_request(caller, &address),
        }
    }

    fn query_addresses(&mut self, caller: usize) {
        let target = self.callers[caller].request.target.clone();
        if let Some((until, addresses)) = self.address_cache.get(&target)
            && *until > self.now
            && !addresses.is_empty()
        {
            let chosen = self.rng.random_range(0..addresses.len());
            let address = addresses[chosen].clone();
            return self.send_request(caller, &address);
        }
        let host = self.rng.random_range(0..self.hosts.len());
        let slot = &self.hosts[host];
        if slot.node.is_none() || slot.paused_until > self.now {
            return self.schedule_step(caller, CONNECT_TIMEOUT, Step::QueryAddresses);
        }
        let life = slot.life;
        let ticket = self.rng.random();
        self.address_queries.insert((host, life, ticket), caller);
        self.schedule_host_event(
            CALLER_DELAY,
            host,
            life,
            Event::AddressQuery { ticket, target },
        );
    }

    /// Processes a host's answer to an address query: the caller sends to one of the
    /// addresses, or queries again.
    pub(crate) fn on_address(
        &mut self,
        host: HostIndex,
        life: u64,
        ticket: u64,
        answer: Option<AddressAnswer>,
    ) {
        let Some(caller) = self.address_queries.remove(&(host, life, ticket)) else {
            return;
        };
        let Some(answer) = answer.filter(|answer| !answer.addresses.is_empty()) else {
            return self.schedule_step(caller, CONNECT_TIMEOUT, Step::QueryAddresses);
        };
        let target = self.callers[caller].request.target.clone();
        let chosen = self.rng.random_range(0..answer.addresses.len());
        let address = answer.addresses[chosen].clone();
        let until = self.now + answer.lifetime;
        self.address_cache.insert(target, (until, answer.addresses));
        self.schedule_step(caller, CALLER_DELAY, Step::Send(address));
    }

    /// Schedules a step of a caller after `after`, unless its deadline has passed by then.
    fn schedule_step(&mut self, caller: usize, after: Duration, step: Step) {
        let at = self.arrival_after(after);
        if at < self.callers[caller].deadline() {
            self.queue.push(at, SimEvent::Caller(caller, step));
        }
    }

    fn send_request(&mut self, caller: usize, address: &str) {
        let host = self
            .hosts
            .iter()
            .position(|slot| *slot.listing.address == *address);
        let Some(host) = host.filter(|host| self.hosts[*host].node.is_some()) else {
            // The other addresses of the same answer are tried before another query.
            let target = self.callers[caller].request.target.clone();
            if let Some((_, addresses)) = self.address_cache.get_mut(&target) {
                addresses.retain(|one| **one != *address);
            }
            return self.schedule_step(caller, CONNECT_TIMEOUT, Step::QueryAddresses);
        };
        let HostSlot { life, started, .. } = self.hosts[host];
        let key = request::Key(self.rng.random());
        let arrive = self.now + CALLER_DELAY;
        let record = &mut self.callers[caller];
        let completion = record.completion.as_ref();
        let request = Request {
            key,
            target: record.request.target.clone(),
            call: record.call.clone(),
            idempotency: record.request.key.clone(),
            deadline: Time::ZERO + (record.deadline() - started),
            prefix: completion
                .map(|completion| hash::prefix_blocks(&completion.model, &completion.prompt))
                .unwrap_or_default(),
            prompt_tokens: completion.map_or(0, Completion::prompt_tokens),
            answer_tokens: completion.map_or(0, |completion| completion.max_tokens),
        };
        record.attempts.push(Attempt {
            at: self.now,
            ending: None,
        });
        record.body.clear();
        record.status = None;
        record.first_byte_at = None;
        self.open_requests.insert((host, life, key), caller);
        let event = Box::new(Event::Request(request));
        self.queue.push(arrive, SimEvent::Host(host, life, event));
    }

    /// Processes a part of a host's answer to a request.
    pub(crate) fn on_answer(
        &mut self,
        host: HostIndex,
        life: u64,
        key: request::Key,
        answer: Answer,
    ) {
        let id = (host, life, key);
        let Some(&caller) = self.open_requests.get(&id) else {
            return;
        };
        let at = self.now + CALLER_DELAY;
        let record = &mut self.callers[caller];
        match answer {
            Answer::Head { status, .. } => record.status = Some(status),
            Answer::Chunk(bytes) => {
                record.first_byte_at.get_or_insert(at);
                record.last_byte_at = Some(at);
                record.body.extend_from_slice(&bytes);
            }
            Answer::End(outcome) | Answer::Final(outcome) => {
                self.open_requests.remove(&id);
                self.attempt_ended(caller, at, Ending::Outcome(outcome));
            }
        }
    }

    /// Ends an attempt whose connection broke.
    pub(crate) fn connection_broken(&mut self, caller: usize) {
        self.attempt_ended(caller, self.now, Ending::Broken);
    }

    /// Records the ending of an attempt, and schedules the next attempt where the outcome and
    /// the deadline allow it.
    fn attempt_ended(&mut self, caller: usize, at: Time, ending: Ending) {
        let record = &mut self.callers[caller];
        let wait = match &ending {
            Ending::Outcome(Outcome::Ran | Outcome::Unknown(Doubt::AnswerGone)) => None,
            Ending::Outcome(Outcome::NotRun(refusal)) => match refusal.reason {
                Reason::BadRequest | Reason::UnknownTarget | Reason::KeyReused => None,
                _ => refusal.retry_after,
            },
            Ending::Outcome(Outcome::Unknown(_)) | Ending::Broken => Some(RESEND_DELAY),
        };
        if let Some(attempt) = record.attempts.last_mut() {
            attempt.ending = Some((at, ending));
        }
        if let Some(wait) = wait.filter(|_| record.may_send_again(at)) {
            self.schedule_step(caller, wait, Step::QueryAddresses);
        }
    }
}
