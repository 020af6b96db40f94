//! Arrival of requests, and refusals that need no attempt.

use crate::{
    Output, Router,
    isolate::Isolation,
    life::{Event, Life, Safety, Stage, Step},
    row::RowId,
    upstreams::Health,
};
use mulberryrack_core::{
    Name, Time,
    caller::Answer,
    hash::{fingerprint, stable},
    note::Counter,
    outcome::{Outcome, Reason, Refusal},
    request::{Key, Priority, Request},
};
use mulberryrack_table::Kind;
use std::{sync::Arc, time::Duration};

/// Header by which engines learn a request's priority.
const PRIORITY: &str = "x-priority";

/// Time after which a refused caller may come back, where nothing better is known.
pub(crate) const COME_BACK: Duration = Duration::from_secs(1);

/// A refusal with the usual time to come back.
pub(crate) const fn later(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(COME_BACK),
    }
}

const fn never(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: None,
    }
}

/// Hash of the target and of what is sent, the same whoever sends it.
fn print_of(request: &Request) -> u128 {
    let call = &request.call;
    let mut text = Vec::with_capacity(call.body.len() + call.path.len() + 64);
    for part in [&request.target, &call.method, &call.path] {
        text.extend_from_slice(part.as_bytes());
        text.push(0);
    }
    text.extend_from_slice(&call.body);
    fingerprint(&text)
}

/// The headers with the row's priority for the engine, whatever the caller set.
fn with_priority(headers: &[(Name, Name)], priority: Priority) -> Arc<[(Name, Name)]> {
    let own = (PRIORITY.into(), priority.label().into());
    let others = headers.iter().filter(|(name, _)| &**name != PRIORITY);
    others.cloned().chain([own]).collect()
}

/// Hash of target and idempotency key, by which the ledger knows a request.
fn claim_id(request: &Request, idempotency: &str) -> u128 {
    let seed = stable(request.target.as_bytes(), 0);
    let mut text = seed.to_le_bytes().to_vec();
    text.extend_from_slice(idempotency.as_bytes());
    fingerprint(&text)
}

impl Router {
    pub(crate) fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        let key = request.key;
        match self.screen(&request) {
            Ok(row) => self.begin(now, request, row, out),
            Err(refusal) => {
                out.push(Output::Count(Counter::Refused(refusal.reason)));
                out.push(Output::Caller {
                    request: key,
                    answer: Answer::Final(Outcome::NotRun(refusal)),
                });
            }
        }
    }

    /// Refusals that do not depend on the state of upstreams.
    fn screen(&self, request: &Request) -> Result<RowId, Refusal> {
        if self.table.is_none() {
            return Err(later(Reason::NoTable));
        }
        let row = self
            .rows
            .find(&request.target)
            .filter(|row| self.rows.get(*row).listed)
            .ok_or(never(Reason::UnknownTarget))?;
        let bytes = self.bytes + request.call.body.len();
        if self.lives.len() >= self.settings.requests || bytes > self.settings.request_bytes {
            return Err(later(Reason::Overload));
        }
        Ok(row)
    }

    fn begin(&mut self, now: Time, mut request: Request, id: RowId, out: &mut Vec<Output>) {
        let key = request.key;
        let row = self.rows.get_mut(id);
        row.figures.arrived += 1;
        row.figures.pending += 1;
        let safety = match (row.line.repeatable, &request.idempotency) {
            (true, _) => Safety::Repeatable,
            (false, Some(_)) => Safety::Keyed,
            (false, None) => Safety::Single,
        };
        let resumable = row.line.kind != Kind::Service;
        let deadline = request.deadline.min(now + self.settings.request);
        if resumable {
            request.call.headers = with_priority(&request.call.headers, row.line.priority);
        }
        let mut life = Life {
            row: id,
            safety,
            stage: Stage::Waiting,
            arrived: now,
            deadline,
            target: deadline.min(now + row.line.first_token),
            fingerprint: print_of(&request),
            resumable,
            caller: true,
            granted: false,
            permit: false,
            runs: Vec::new(),
            head: None,
            given: false,
            first_byte: None,
            chunks: 0,
            hedged: false,
            tries: 0,
            doubt: None,
            avoid: Vec::new(),
            suspect: false,
            isolation: Isolation::None,
            hold: now,
            timer: None,
            request,
        };
        self.bytes += life.bytes();
        self.watch(now, id);
        if safety != Safety::Keyed {
            self.lives.insert(key, life);
            self.admit(now, key, out);
            return;
        }
        life.stage = Stage::Claiming;
        let idempotency = life.request.idempotency.clone().expect("keyed");
        out.push(Output::Claim {
            request: key,
            id: claim_id(&life.request, &idempotency),
            body: life.fingerprint,
            until: life.deadline,
        });
        self.lives.insert(key, life);
        self.arm(now, key);
    }

    /// Puts a request into its row's queue, or refuses it.
    pub(crate) fn admit(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        self.mark_suspect(key);
        self.make_room(now, key, out);
        if let Err(refusal) = self.admissible(now, key) {
            if refusal.reason == Reason::Suspect {
                out.push(self.suspect_note(key));
            }
            let outcome = self.lives[&key].refused(refusal);
            self.finish(now, key, outcome, out);
            return;
        }
        self.enqueue(now, key);
        self.arm(now, key);
    }

    /// Gives up a late request of a full queue for one that can still be on time.
    fn make_room(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let id = self.lives[&key].row;
        let queue = &self.rows.get(id).queue;
        if queue.len() < self.settings.queue {
            return;
        }
        if let Some(late) = queue.least_hopeful() {
            let outcome = self.lives[&late].refused(self.come_back(id, Reason::Overload));
            self.finish(now, late, outcome, out);
        }
    }

    fn admissible(&self, now: Time, key: Key) -> Result<(), Refusal> {
        let life = &self.lives[&key];
        let row = self.rows.get(life.row);
        if self.suspects.refused(life.fingerprint, &self.settings) {
            return Err(Refusal {
                reason: Reason::Suspect,
                retry_after: self
                    .suspects
                    .remaining(life.fingerprint, now, &self.settings),
            });
        }
        self.reachable(now, life.row)?;
        if row.queue.len() >= self.settings.queue {
            let reason = if self.at_ceiling(life.row) {
                Reason::Ceiling
            } else {
                Reason::Overload
            };
            return Err(self.come_back(life.row, reason));
        }
        let ahead = row.queue.ahead(life.deadline);
        let wait = match ahead {
            0 => Duration::ZERO,
            _ => row.figures.wait(ahead).unwrap_or_default(),
        };
        if now + wait + row.figures.least_run() > life.deadline {
            return Err(self.come_back(life.row, Reason::Deadline));
        }
        Ok(())
    }

    /// Whether a row has an upstream, or may have one in a moment.
    fn reachable(&self, now: Time, id: RowId) -> Result<(), Refusal> {
        let row = self.rows.get(id);
        if !row.near.is_empty() || !row.far.is_empty() {
            return Ok(());
        }
        if row.copies.is_empty() {
            return Err(later(Reason::NoCopy));
        }
        let waits = |copy| {
            let upstream = self.upstreams.get(copy);
            upstream.health == Health::Unknown
                && !upstream.leaving.contains(&true)
                && upstream.failures == 0
                && upstream
                    .since
                    .is_none_or(|at| now < at + self.settings.probe_wait)
        };
        if row.copies.iter().any(|copy| waits(*copy)) {
            return Ok(());
        }
        Err(later(Reason::NoUpstream))
    }

    /// Refuses what waits for a row that has no usable copy any more.
    pub(crate) fn refuse_stranded(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        if self.rows.get(id).queue.is_empty() {
            return;
        }
        let Err(refusal) = self.reachable(now, id) else {
            return;
        };
        let keys: Vec<_> = self.rows.get(id).queue.keys().collect();
        for key in keys {
            let outcome = self.lives[&key].refused(refusal);
            self.finish(now, key, outcome, out);
        }
    }

    /// A refusal with the time that the queue is thought to take.
    pub(crate) fn come_back(&self, id: RowId, reason: Reason) -> Refusal {
        let row = self.rows.get(id);
        let wait = row.figures.wait(row.queue.len()).unwrap_or(COME_BACK);
        Refusal {
            reason,
            retry_after: Some(wait.max(Duration::from_millis(100))),
        }
    }

    /// When a request needs attention next.
    pub(crate) fn due(&self, now: Time, key: Key) -> Option<Time> {
        let life = self.lives.get(&key)?;
        let row = self.rows.get(life.row);
        let due = match life.stage {
            Stage::Claiming | Stage::Following => life.deadline,
            Stage::Waiting => {
                let run = row.figures.least_run();
                let last = Time::from_micros(
                    life.deadline
                        .as_micros()
                        .saturating_sub(u64::try_from(run.as_micros()).unwrap_or(0)),
                );
                let hold = if life.hold > now { life.hold } else { last };
                let probe = if row.near.is_empty() && row.far.is_empty() {
                    now + self.settings.probe_wait
                } else {
                    last
                };
                last.min(hold).min(probe)
            }
            Stage::Pausing { until, .. } => until.min(life.deadline),
            Stage::Running => (0..life.runs.len())
                .filter_map(|index| self.run_due(life, index))
                .chain(self.hedge_due(life))
                .fold(life.deadline, Time::min),
        };
        Some(due)
    }

    /// When a run is overdue by the row's targets.
    pub(crate) fn run_due(&self, life: &Life, index: usize) -> Option<Time> {
        let row = &self.rows.get(life.row).line;
        let first = row.first_token.mul_f64(self.settings.first_byte_factor);
        let gap = row.token_gap.mul_f64(self.settings.gap_factor);
        let first = first.max(self.settings.first_byte_min);
        // Time must be left for two more attempts.
        let third = (life.deadline - life.runs[index].started) / 3;
        life.overdue(
            index,
            first.min(third).max(row.first_token),
            gap.max(self.settings.gap_min),
        )
    }

    pub(crate) fn on_life_timer(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let Some(life) = self.lives.get_mut(&key) else {
            return;
        };
        life.timer = None;
        let (stage, deadline, row) = (life.stage, life.deadline, life.row);
        if now >= deadline {
            self.step(now, key, 0, &Event::Deadline, out);
            return;
        }
        match stage {
            Stage::Waiting => {
                if now + self.rows.get(row).figures.least_run() >= deadline {
                    self.step(now, key, 0, &Event::Deadline, out);
                    return;
                }
                self.refuse_stranded(now, row, out);
                self.ready.insert(row);
            }
            Stage::Pausing { until, resume } if now >= until => {
                self.after_pause(now, key, resume, out);
            }
            Stage::Running => self.check_runs(now, key, out),
            _ => {}
        }
        self.arm(now, key);
    }

    fn check_runs(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let life = &self.lives[&key];
        let late = (0..life.runs.len())
            .find(|index| self.run_due(life, *index).is_some_and(|due| due <= now));
        if let Some(index) = late {
            self.step(now, key, index, &Event::Overdue, out);
        } else if self.hedge_due(life).is_some_and(|due| due <= now) {
            self.hedge(now, key, out);
        }
    }

    /// Moves a request on and carries out what follows.
    pub(crate) fn step(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        event: &Event,
        out: &mut Vec<Output>,
    ) {
        let Some(life) = self.lives.get_mut(&key) else {
            return;
        };
        let step = life.on(event, index, &self.settings);
        let upstream = life.runs.get(index).map(|run| run.upstream);
        if let Some(upstream) = upstream {
            self.learn(now, key, upstream, event, out);
        }
        match step {
            Step::Stay => {}
            Step::Queue => self.admit(now, key, out),
            Step::Follow(verdict) => self.follow(now, key, &verdict, out),
            Step::Resume(retry, doublings) => {
                self.pause_to_resume(now, key, index, retry, doublings, out);
            }
            Step::Elsewhere(retry, doubt) => {
                self.pause_to_move(now, key, index, retry, doubt, out);
            }
            Step::Shed(doubt) => self.shed(now, key, index, doubt, out),
            Step::Finish(outcome) => self.finish(now, key, outcome, out),
            Step::Drop => self.drop_life(now, key, out),
        }
        self.arm(now, key);
    }
}
