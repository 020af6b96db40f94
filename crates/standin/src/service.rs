//! A plain service: echoes each call and counts the runs of each idempotency key.

use crate::run::{IDEMPOTENCY, Run, header, is_poisonous};
use mulberryrack_core::{
    Incarnation, Name, Time,
    request::Call,
    upstream::{Fault, Report},
};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};

/// Bytes of a body that are echoed.
const MAX_ECHO: usize = 16 * 1024;

/// What a replica is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time of a call that runs alone.
    pub latency: Duration,
    /// Time added for each other call that runs.
    pub latency_per_call: Duration,
    /// Calls at once; more are refused with 503.
    pub slots: usize,
    /// Time to come back after a crash.
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

/// What comes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The whole answer.
    Answer {
        /// The exchange.
        ticket: u64,
        /// HTTP status.
        status: u16,
        /// Body, JSON.
        body: String,
    },
    /// The exchange failed.
    Fault {
        /// The exchange.
        ticket: u64,
        /// How.
        fault: Fault,
    },
}

#[derive(Clone, Debug)]
struct Running {
    ticket: u64,
    ends: Time,
    body: String,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Service {
    name: Name,
    group: Name,
    settings: Settings,
    incarnation: Incarnation,
    running: Vec<Running>,
    down_until: Option<Time>,
    keys: BTreeMap<Name, u32>,
    sequence: u64,
    /// Whether nothing is answered any more, on old connections and new ones.
    pub hung: bool,
    /// Whether it is about to go away.
    pub leaving: bool,
    /// Everything that ran.
    pub runs: Vec<Run>,
}

impl Service {
    /// An idle replica of the service `group`.
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
            keys: BTreeMap::new(),
            sequence: 0,
            hung: false,
            leaving: false,
            runs: Vec::new(),
        }
    }

    /// Takes a call. The run counts from here, whatever becomes of the answer.
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
        if is_poisonous(call) {
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
            ends: now + latency,
            body,
        });
    }

    /// Ends the calls whose time has come.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.down_until.is_some_and(|until| until <= now) {
            self.down_until = None;
            self.incarnation = Incarnation(self.incarnation.0 + 1);
            self.sequence = 0;
        }
        if self.hung {
            return;
        }
        let ended = self.running.extract_if(.., |call| call.ends <= now);
        out.extend(ended.map(|call| Output::Answer {
            ticket: call.ticket,
            status: 200,
            body: call.body,
        }));
    }

    /// Ends the process; it comes back by itself.
    pub fn crash(&mut self, now: Time, out: &mut Vec<Output>) {
        self.down_until = Some(now + self.settings.restart);
        out.extend(self.running.drain(..).map(|call| Output::Fault {
            ticket: call.ticket,
            fault: Fault::Broken,
        }));
    }

    /// Whether it is down after a crash.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// When [`Service::wake`] has something to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.down_until.is_some() || self.hung {
            return self.down_until;
        }
        self.running.iter().map(|call| call.ends).min()
    }

    /// Its load; `None` while it is down or hung.
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
        let key = header(call, IDEMPOTENCY).cloned();
        let run = key.clone().map_or(1, |key| {
            let run = self.keys.entry(key).or_default();
            *run += 1;
            *run
        });
        let echoed = &call.body[..call.body.len().min(MAX_ECHO)];
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
