//! Callers: they ask which host to use, send, and send again what may be sent again.

use crate::{
    parts::{Happening, Slot},
    trace::Request as Asked,
    world::{HostKey, World},
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

/// One way between a caller and a host.
const LATENCY: Duration = Duration::from_millis(3);
/// Time until a caller finds that a host does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Wait before a request is sent again after its connection broke.
const RESEND: Duration = Duration::from_millis(200);
/// Sends of one request at the most.
const MAX_SENDS: usize = 8;
/// Bytes of one token in a made prompt.
const TOKEN: usize = completion::BYTES_PER_TOKEN;

/// A caller's next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask a host for addresses.
    Ask,
    /// Send to this host.
    Send(Name),
}

/// How one send ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// By an outcome.
    Outcome(Outcome),
    /// The connection ended, or the answer broke off.
    Broken,
}

/// One send of a request.
#[derive(Clone, Debug)]
pub struct Send {
    /// When it was sent.
    pub at: Time,
    /// When and how it ended.
    pub end: Option<(Time, End)>,
}

/// A request of the trace and what became of it.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What is asked for.
    pub asked: Asked,
    /// When the caller wanted it.
    pub started: Time,
    /// Every send.
    pub sends: Vec<Send>,
    /// Status of the last answer that began.
    pub status: Option<u16>,
    /// Body of the last answer that began.
    pub body: Vec<u8>,
    /// When the first part of the body came.
    pub first_part: Option<Time>,
    /// When the last part came.
    pub last_part: Option<Time>,
    /// What was sent.
    call: Call,
    /// What was sent, as a completion; `None` for services.
    completion: Option<Completion>,
}

impl Caller {
    /// When the answer has to be complete.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.started + Duration::from_millis(self.asked.deadline_ms)
    }

    /// How the last send ended.
    #[must_use]
    pub fn end(&self) -> Option<&End> {
        self.sends.last()?.end.as_ref().map(|(_, end)| end)
    }

    /// When the last send ended.
    #[must_use]
    pub fn ended(&self) -> Option<Time> {
        self.sends.last()?.end.as_ref().map(|(at, _)| *at)
    }

    /// Whether the whole answer came, with a status that says that the request ran.
    #[must_use]
    pub fn ran(&self) -> bool {
        matches!(self.end(), Some(End::Outcome(Outcome::Ran)))
            && self.status.is_some_and(|status| status < 300)
    }

    /// What is wrong with an answer that was said to be whole.
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
        self.sends.len() < MAX_SENDS && now < self.deadline()
    }
}

fn call(asked: &Asked, serial: usize, kind: Kind) -> Call {
    let mut headers: Vec<(Name, Name)> = Vec::new();
    if let Some(key) = &asked.key {
        headers.push((IDEMPOTENCY_HEADER.into(), key.clone()));
    }
    let (path, body) = match kind {
        Kind::Service => (
            "/run",
            json!({"call": serial, "key": asked.key}).to_string(),
        ),
        Kind::Model | Kind::Adapter => {
            let body = json!({
                "model": asked.target,
                "prompt": prompt(asked, serial),
                "max_tokens": asked.answer_tokens,
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

/// A prompt whose first half is the group's; its end is the request's own, except that
/// a crashing one is the same each time.
fn prompt(asked: &Asked, serial: usize) -> String {
    let length = asked.prompt_tokens as usize * TOKEN;
    let group = asked.group.as_deref().unwrap_or("none");
    let stem = format!("{group} ");
    let mut text: String = stem.chars().cycle().take(length / 2).collect();
    let own = if asked.poison {
        "crash-upstream".to_owned()
    } else {
        format!(" request {serial} ")
    };
    text.push_str(&own);
    while text.len() < length {
        text.push_str("and so on ");
    }
    text
}

impl World {
    /// A request of the trace begins.
    pub(crate) fn arrive(&mut self, asked: Asked) {
        let serial = self.callers.len();
        let kind = self
            .rows
            .iter()
            .find(|row| row.name == asked.target)
            .map_or(Kind::Model, |row| row.kind);
        let call = call(&asked, serial, kind);
        let completion = (kind != Kind::Service)
            .then(|| Completion::read(&call.path, &call.body).ok())
            .flatten();
        self.callers.push(Caller {
            asked,
            started: self.now,
            sends: Vec::new(),
            status: None,
            body: Vec::new(),
            first_part: None,
            last_part: None,
            call,
            completion,
        });
        self.caller(serial, Step::Ask);
    }

    /// A caller does its next step.
    pub(crate) fn caller(&mut self, caller: usize, step: Step) {
        match step {
            Step::Ask => self.ask(caller),
            Step::Send(address) => self.send_request(caller, &address),
        }
    }

    fn ask(&mut self, caller: usize) {
        let target = self.callers[caller].asked.target.clone();
        if let Some((until, addresses)) = self.known.get(&target)
            && *until > self.now
            && !addresses.is_empty()
        {
            let chosen = self.draws.random_range(0..addresses.len());
            let address = addresses[chosen].clone();
            return self.send_request(caller, &address);
        }
        let host = self.draws.random_range(0..self.hosts.len());
        let slot = &self.hosts[host];
        if slot.node.is_none() || slot.paused_until > self.now {
            return self.later(caller, CONNECT_TIMEOUT, Step::Ask);
        }
        let life = slot.life;
        let ticket = self.draws.random();
        self.addresses.insert((host, life, ticket), caller);
        self.send_host(LATENCY, host, life, Event::AddressQuery { ticket, target });
    }

    /// An answer to a question for addresses.
    pub(crate) fn addressed(
        &mut self,
        host: HostKey,
        life: u64,
        ticket: u64,
        answer: Option<AddressAnswer>,
    ) {
        let Some(caller) = self.addresses.remove(&(host, life, ticket)) else {
            return;
        };
        let Some(answer) = answer.filter(|answer| !answer.addresses.is_empty()) else {
            return self.later(caller, CONNECT_TIMEOUT, Step::Ask);
        };
        let target = self.callers[caller].asked.target.clone();
        let chosen = self.draws.random_range(0..answer.addresses.len());
        let address = answer.addresses[chosen].clone();
        let until = self.now + answer.lifetime;
        self.known.insert(target, (until, answer.addresses));
        self.later(caller, LATENCY, Step::Send(address));
    }

    /// A caller does a step after a time, unless its deadline has passed by then.
    fn later(&mut self, caller: usize, after: Duration, step: Step) {
        let at = self.after(after);
        if at < self.callers[caller].deadline() {
            self.queue.put(at, Happening::Caller(caller, step));
        }
    }

    fn send_request(&mut self, caller: usize, address: &str) {
        let host = self
            .hosts
            .iter()
            .position(|slot| *slot.listing.address == *address);
        let Some(host) = host.filter(|host| self.hosts[*host].node.is_some()) else {
            // The next address of the same answer is tried first.
            let target = self.callers[caller].asked.target.clone();
            if let Some((_, addresses)) = self.known.get_mut(&target) {
                addresses.retain(|one| **one != *address);
            }
            return self.later(caller, CONNECT_TIMEOUT, Step::Ask);
        };
        let Slot { life, started, .. } = self.hosts[host];
        let key = request::Key(self.draws.random());
        let arrive = self.now + LATENCY;
        let record = &mut self.callers[caller];
        let completion = record.completion.as_ref();
        let request = Request {
            key,
            target: record.asked.target.clone(),
            call: record.call.clone(),
            idempotency: record.asked.key.clone(),
            deadline: Time::ZERO + (record.deadline() - started),
            prefix: completion
                .map(|asked| hash::prefix_blocks(&asked.model, &asked.prompt))
                .unwrap_or_default(),
            prompt_tokens: completion.map_or(0, Completion::prompt_tokens),
            answer_tokens: completion.map_or(0, |asked| asked.max_tokens),
        };
        record.sends.push(Send {
            at: self.now,
            end: None,
        });
        record.body.clear();
        record.status = None;
        record.first_part = None;
        self.open.insert((host, life, key), caller);
        let event = Box::new(Event::Request(request));
        self.queue.put(arrive, Happening::Host(host, life, event));
    }

    /// A part of an answer from a host.
    pub(crate) fn answered(&mut self, host: HostKey, life: u64, key: request::Key, answer: Answer) {
        let id = (host, life, key);
        let Some(&caller) = self.open.get(&id) else {
            return;
        };
        let at = self.now + LATENCY;
        let record = &mut self.callers[caller];
        match answer {
            Answer::Head { status, .. } => record.status = Some(status),
            Answer::Chunk(bytes) => {
                record.first_part.get_or_insert(at);
                record.last_part = Some(at);
                record.body.extend_from_slice(&bytes);
            }
            Answer::End(outcome) | Answer::Final(outcome) => {
                self.open.remove(&id);
                self.ended(caller, at, End::Outcome(outcome));
            }
        }
    }

    /// The connection of a request has ended without an answer.
    pub(crate) fn broken(&mut self, caller: usize) {
        self.ended(caller, self.now, End::Broken);
    }

    /// Notes the end of a send, and sends again what may be sent again.
    fn ended(&mut self, caller: usize, at: Time, end: End) {
        let record = &mut self.callers[caller];
        let wait = match &end {
            End::Outcome(Outcome::Ran | Outcome::Unknown(Doubt::AnswerGone)) => None,
            End::Outcome(Outcome::NotRun(refusal)) => match refusal.reason {
                Reason::BadRequest | Reason::UnknownTarget | Reason::KeyReused => None,
                _ => refusal.retry_after,
            },
            End::Outcome(Outcome::Unknown(_)) | End::Broken => Some(RESEND),
        };
        if let Some(send) = record.sends.last_mut() {
            send.end = Some((at, end));
        }
        if let Some(wait) = wait.filter(|_| record.may_send_again(at)) {
            self.later(caller, wait, Step::Ask);
        }
    }
}
