//! Simulated replica of a plain service. It echoes each call and counts the runs of each
//! idempotency key.

use crate::run::{IDEMPOTENCY_HEADER, Run, contains_poison, header};
use mulberryrack_core::{
    Incarnation, Name, Time,
    request::Call,
    upstream::{Fault, Report},
};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};

/// Number of bytes of a request's body that the answer repeats.
const MAX_ECHO_BYTES: usize = 16 * 1024;

/// Capacity and timing of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time that a call takes when no other call runs.
    pub latency: Duration,
    /// Time added for each other call that runs when the call begins.
    pub latency_per_call: Duration,
    /// Maximum number of calls that run at once; further calls are refused with 503.
    pub slots: usize,
    /// Time from a crash until the replica accepts calls again.
    pub restart: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(8),
            latency_per_call: Duration::from_millis(1),
            slots: 64,
            restart: Duration::from_secs(2),
        }
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The replica answered.
    Answer {
        /// Id of the exchange, as passed to [`Service::call`].
        ticket: u64,
        /// HTTP status code.
        status: u16,
        /// Body of the answer in JSON.
        body: String,
    },
    /// The exchange ended without an answer.
    Fault {
        /// Id of the exchange, as passed to [`Service::call`].
        ticket: u64,
        /// How the exchange failed.
        fault: Fault,
    },
}

#[derive(Clone, Debug)]
struct Running {
    ticket: u64,
    ends_at: Time,
    body: String,
}

/// One replica of a plain service.
#[derive(Clone, Debug)]
pub struct Service {
    name: Name,
    group: Name,
    settings: Settings,
    incarnation: Incarnation,
    running: Vec<Running>,
    down_until: Option<Time>,
    runs_by_key: BTreeMap<Name, u32>,
    sequence: u64,
    /// Whether the replica hangs: it accepts calls but answers none, on open and new
    /// connections alike.
    pub hung: bool,
    /// Whether the replica is about to go away; it then refuses new calls with 503.
    pub leaving: bool,
    /// Every call that began to run, over all incarnations.
    pub runs: Vec<Run>,
}

impl Service {
    /// Creates an idle replica `name` of the service `group`.
    #[must_use]
    pub const fn new(
        name: Name,
        group: Name,
        settings: Settings,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            name,
            group,
            settings,
            incarnation,
            running: Vec::new(),
            down_until: None,
            runs_by_key: BTreeMap::new(),
            sequence: 0,
            hung: false,
            leaving: false,
            runs: Vec::new(),
        }
    }

    /// Handles a call. A call that is accepted counts as a run from this moment, whether or
    /// not its answer arrives.
    pub fn call(&mut self, now: Time, ticket: u64, call: &Call, out: &mut Vec<Output>) {
        self.wake(now, out);
        if self.down_until.is_some() {
            let fault = Fault::NotSent;
            return out.push(Output::Fault { ticket, fault });
        }
        if self.hung {
            return;
        }
        if self.leaving || self.running.len() >= self.settings.slots {
            let body = json!({"error": {"message": "busy or leaving"}}).to_string();
            return out.push(Output::Answer {
                ticket,
                status: 503,
                body,
            });
        }
        self.runs
            .push(Run::new(Name::default(), self.group.clone(), call));
        if contains_poison(call) {
            out.push(Output::Fault {
                ticket,
                fault: Fault::Broken,
            });
            return self.crash(now, out);
        }
        let others = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let latency = self.settings.latency + self.settings.latency_per_call * others;
        let body = self.echo(call);
        self.running.push(Running {
            ticket,
            ends_at: now + latency,
            body,
        });
    }

    /// Restarts a crashed replica when its restart time has passed, and answers the calls
    /// that are finished by `now`.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.down_until.is_some_and(|until| until <= now) {
            self.down_until = None;
            self.incarnation = Incarnation(self.incarnation.0 + 1);
            self.sequence = 0;
        }
        if self.hung {
            return;
        }
        let ended = self.running.extract_if(.., |call| call.ends_at <= now);
        out.extend(ended.map(|call| Output::Answer {
            ticket: call.ticket,
            status: 200,
            body: call.body,
        }));
    }

    /// Crashes the replica: its running calls fail, and it restarts by itself after
    /// [`Settings::restart`].
    pub fn crash(&mut self, now: Time, out: &mut Vec<Output>) {
        self.down_until = Some(now + self.settings.restart);
        out.extend(self.running.drain(..).map(|call| Output::Fault {
            ticket: call.ticket,
            fault: Fault::Broken,
        }));
    }

    /// Whether the replica is down after a crash.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// The next moment at which [`Service::wake`] has something to do; `None` if never.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.down_until.is_some() || self.hung {
            return self.down_until;
        }
        self.running.iter().map(|call| call.ends_at).min()
    }

    /// The replica's load report; `None` while it is down or hung.
    pub fn report(&mut self) -> Option<Report> {
        if self.is_down() || self.hung {
            return None;
        }
        self.sequence += 1;
        Some(Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            slots: u32::try_from(self.settings.slots).unwrap_or(u32::MAX),
            leaving: self.leaving,
            ..Report::default()
        })
    }

    fn echo(&mut self, call: &Call) -> String {
        let key = header(call, IDEMPOTENCY_HEADER).cloned();
        let run = key.clone().map_or(1, |key| {
            let run = self.runs_by_key.entry(key).or_default();
            *run += 1;
            *run
        });
        let echoed = &call.body[..call.body.len().min(MAX_ECHO_BYTES)];
        json!({
            "service": self.group,
            "upstream": self.name,
            "method": call.method,
            "path": call.path,
            "key": key,
            "run": run,
            "bytes": call.body.len(),
            "body": String::from_utf8_lossy(echoed),
        })
        .to_string()
    }
}
