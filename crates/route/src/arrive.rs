//! Arrival, admission and timers of requests, and the steps that follow from their events.

use crate::{
    Output, Router,
    active::{ActiveRequest, Event, RunPolicy, Stage, Step},
    isolate::Isolation,
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

/// Header that tells engines the priority of a request.
const PRIORITY_HEADER: &str = "x-priority";

/// Time after which a refused caller may retry, if there is no estimate.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A refusal with the default time to retry after.
pub(crate) const fn retryable(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(DEFAULT_RETRY_AFTER),
    }
}

const fn not_retryable(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: None,
    }
}

/// Hash of the target, method, path and body; the same on every host. Headers are left
/// out, because they differ between callers.
fn request_fingerprint(request: &Request) -> u128 {
    let call = &request.call;
    let mut text = Vec::with_capacity(call.body.len() + call.path.len() + 64);
    for part in [&request.target, &call.method, &call.path] {
        text.extend_from_slice(part.as_bytes());
        text.push(0);
    }
    text.extend_from_slice(&call.body);
    fingerprint(&text)
}

/// The caller's headers with the priority replaced by that of the row.
fn with_priority(headers: &[(Name, Name)], priority: Priority) -> Arc<[(Name, Name)]> {
    let own = (PRIORITY_HEADER.into(), priority.label().into());
    let others = headers
        .iter()
        .filter(|(name, _)| &**name != PRIORITY_HEADER);
    others.cloned().chain([own]).collect()
}

/// Hash of the target and the idempotency key, by which the ledger identifies a request.
fn claim_id(request: &Request, idempotency: &str) -> u128 {
    let seed = stable(request.target.as_bytes(), 0);
    let mut text = seed.to_le_bytes().to_vec();
    text.extend_from_slice(idempotency.as_bytes());
    fingerprint(&text)
}

impl Router {
    pub(crate) fn on_arrival(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        let key = request.key;
        match self.check_arrival(&request) {
            Ok(row) => self.start_request(now, request, row, out),
            Err(refusal) => {
                out.push(Output::Count(Counter::Refused(refusal.reason)));
                out.push(Output::Caller {
                    request: key,
                    answer: Answer::Final(Outcome::NotRun(refusal)),
                });
            }
        }
    }

    /// Looks up the target's row. Refuses requests without a table or row, or beyond the
    /// host's limits.
    fn check_arrival(&self, request: &Request) -> Result<RowId, Refusal> {
        if self.table.is_none() {
            return Err(retryable(Reason::NoTable));
        }
        let row = self
            .rows
            .find(&request.target)
            .filter(|row| self.rows.get(*row).in_table)
            .ok_or(not_retryable(Reason::UnknownTarget))?;
        let bytes = self.body_bytes + request.call.body.len();
        if self.requests.len() >= self.settings.max_requests
            || bytes > self.settings.max_request_bytes
        {
            return Err(retryable(Reason::Overload));
        }
        Ok(row)
    }

    fn start_request(&mut self, now: Time, mut request: Request, id: RowId, out: &mut Vec<Output>) {
        let key = request.key;
        let row = self.rows.get_mut(id);
        row.stats.arrived += 1;
        row.stats.pending += 1;
        let run_policy = match (row.definition.repeatable, &request.idempotency) {
            (true, _) => RunPolicy::Repeatable,
            (false, Some(_)) => RunPolicy::OncePerKey,
            (false, None) => RunPolicy::OncePerArrival,
        };
        let resumable = row.definition.kind != Kind::Service;
        let deadline = request
            .deadline
            .min(now + self.settings.max_request_lifetime);
        if resumable {
            request.call.headers = with_priority(&request.call.headers, row.definition.priority);
        }
        let mut req = ActiveRequest {
            row: id,
            run_policy,
            stage: Stage::Queued,
            arrived: now,
            deadline,
            first_byte_due: deadline.min(now + row.definition.first_token),
            fingerprint: request_fingerprint(&request),
            resumable,
            caller_present: true,
            granted: false,
            holds_permit: false,
            runs: Vec::new(),
            head: None,
            answer_started: false,
            first_byte_at: None,
            chunks: 0,
            hedged: false,
            runs_started: 0,
            doubt: None,
            avoid: Vec::new(),
            suspect: false,
            isolation: Isolation::None,
            not_before: now,
            timer: None,
            request,
        };
        self.body_bytes += req.body_len();
        self.watch(now, id);
        if run_policy != RunPolicy::OncePerKey {
            self.requests.insert(key, req);
            self.admit(now, key, out);
            return;
        }
        req.stage = Stage::Claiming;
        let idempotency = req.request.idempotency.clone().expect("an idempotency key");
        out.push(Output::Claim {
            request: key,
            id: claim_id(&req.request, &idempotency),
            body: req.fingerprint,
            until: req.deadline,
        });
        self.requests.insert(key, req);
        self.set_timer(now, key);
    }

    /// Queues a request, or ends it with a refusal.
    pub(crate) fn admit(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        self.mark_suspect(key);
        self.evict_late_request(now, key, out);
        if let Err(refusal) = self.check_admission(now, key) {
            if refusal.reason == Reason::Suspect {
                out.push(self.refusal_note(key));
            }
            let outcome = self.requests[&key].refused_outcome(refusal);
            self.finish(now, key, outcome, out);
            return;
        }
        self.enqueue(now, key);
        self.set_timer(now, key);
    }

    /// Refuses a late request of a full queue in favour of a request that can still be on
    /// time.
    fn evict_late_request(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let id = self.requests[&key].row;
        let queue = &self.rows.get(id).queue;
        if queue.len() < self.settings.max_queue_len {
            return;
        }
        if let Some(late) = queue.earliest_late() {
            let outcome =
                self.requests[&late].refused_outcome(self.refusal_with_wait(id, Reason::Overload));
            self.finish(now, late, outcome, out);
        }
    }

    fn check_admission(&self, now: Time, key: Key) -> Result<(), Refusal> {
        let req = &self.requests[&key];
        let row = self.rows.get(req.row);
        let suspects = &self.shared_suspects.suspects;
        if suspects.is_refused(req.fingerprint) {
            return Err(Refusal {
                reason: Reason::Suspect,
                retry_after: suspects.remaining(req.fingerprint, now),
            });
        }
        self.check_reachable(now, req.row)?;
        if row.queue.len() >= self.settings.max_queue_len {
            let reason = if self.at_ceiling(req.row) {
                Reason::Ceiling
            } else {
                Reason::Overload
            };
            return Err(self.refusal_with_wait(req.row, reason));
        }
        let ahead = row.queue.ahead(req.deadline);
        let wait = match ahead {
            0 => Duration::ZERO,
            _ => row.stats.estimated_wait(ahead).unwrap_or_default(),
        };
        if now + wait + row.stats.shortest_run() > req.deadline {
            return Err(self.refusal_with_wait(req.row, Reason::Deadline));
        }
        Ok(())
    }

    /// Refuses requests of a row that has no usable copy, unless a first report may still
    /// come.
    fn check_reachable(&self, now: Time, id: RowId) -> Result<(), Refusal> {
        let row = self.rows.get(id);
        if !row.usable_near.is_empty() || !row.usable_far.is_empty() {
            return Ok(());
        }
        if row.copies.is_empty() {
            return Err(retryable(Reason::NoCopy));
        }
        let awaits_report = |copy| {
            let upstream = self.upstreams.get(copy);
            upstream.health == Health::Unknown
                && !upstream.leaving.contains(&true)
                && upstream.failures == 0
                && upstream
                    .first_poll
                    .is_none_or(|at| now < at + self.settings.probe_timeout)
        };
        if row.copies.iter().any(|copy| awaits_report(*copy)) {
            return Ok(());
        }
        Err(retryable(Reason::NoUpstream))
    }

    /// Refuses the queued requests of a row that has no usable copy any more.
    pub(crate) fn refuse_unreachable(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        if self.rows.get(id).queue.is_empty() {
            return;
        }
        let Err(refusal) = self.check_reachable(now, id) else {
            return;
        };
        let keys: Vec<_> = self.rows.get(id).queue.keys().collect();
        for key in keys {
            let outcome = self.requests[&key].refused_outcome(refusal);
            self.finish(now, key, outcome, out);
        }
    }

    /// A refusal whose time to retry after is the estimated wait in the queue, at least
    /// 100 ms.
    pub(crate) fn refusal_with_wait(&self, id: RowId, reason: Reason) -> Refusal {
        let row = self.rows.get(id);
        let wait = row
            .stats
            .estimated_wait(row.queue.len())
            .unwrap_or(DEFAULT_RETRY_AFTER);
        Refusal {
            reason,
            retry_after: Some(wait.max(Duration::from_millis(100))),
        }
    }

    /// When the timer of a request is due; `None` for an unknown request.
    pub(crate) fn next_due(&self, now: Time, key: Key) -> Option<Time> {
        let req = self.requests.get(&key)?;
        let row = self.rows.get(req.row);
        let due = match req.stage {
            Stage::Claiming | Stage::Following => req.deadline,
            Stage::Queued => {
                let shortest_run = row.stats.shortest_run();
                let latest_dispatch = Time::from_micros(
                    req.deadline
                        .as_micros()
                        .saturating_sub(u64::try_from(shortest_run.as_micros()).unwrap_or(0)),
                );
                let hold_end = if req.not_before > now {
                    req.not_before
                } else {
                    latest_dispatch
                };
                // Without a usable copy, the request is refused unless a report arrives.
                let probe_end = if row.usable_near.is_empty() && row.usable_far.is_empty() {
                    now + self.settings.probe_timeout
                } else {
                    latest_dispatch
                };
                latest_dispatch.min(hold_end).min(probe_end)
            }
            Stage::BackingOff { until, .. } => until.min(req.deadline),
            Stage::Running => (0..req.runs.len())
                .filter_map(|index| self.run_overdue_at(req, index))
                .chain(self.hedge_due(req))
                .fold(req.deadline, Time::min),
        };
        Some(due)
    }

    /// When a run times out by the row's targets and the settings.
    pub(crate) fn run_overdue_at(&self, req: &ActiveRequest, index: usize) -> Option<Time> {
        let row = &self.rows.get(req.row).definition;
        let first = row
            .first_token
            .mul_f64(self.settings.first_byte_timeout_factor);
        let gap = row.token_gap.mul_f64(self.settings.gap_timeout_factor);
        let first = first.max(self.settings.min_first_byte_timeout);
        // Leaves time for two more runs.
        let third = (req.deadline - req.runs[index].started) / 3;
        req.overdue_at(
            index,
            first.min(third).max(row.first_token),
            gap.max(self.settings.min_gap_timeout),
        )
    }

    pub(crate) fn on_request_timer(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let Some(req) = self.requests.get_mut(&key) else {
            return;
        };
        req.timer = None;
        let (stage, deadline, row) = (req.stage, req.deadline, req.row);
        if now >= deadline {
            self.apply_event(now, key, 0, &Event::Deadline, out);
            return;
        }
        match stage {
            Stage::Queued => {
                if now + self.rows.get(row).stats.shortest_run() >= deadline {
                    self.apply_event(now, key, 0, &Event::Deadline, out);
                    return;
                }
                self.refuse_unreachable(now, row, out);
                self.rows_to_dispatch.insert(row);
            }
            Stage::BackingOff { until, resume } if now >= until => {
                self.end_backoff(now, key, resume, out);
            }
            Stage::Running => self.check_runs(now, key, out),
            _ => {}
        }
        self.set_timer(now, key);
    }

    /// Handles a run that has timed out, or starts the hedge if it is due.
    fn check_runs(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let req = &self.requests[&key];
        let overdue = (0..req.runs.len()).find(|index| {
            self.run_overdue_at(req, *index)
                .is_some_and(|due| due <= now)
        });
        if let Some(index) = overdue {
            self.apply_event(now, key, index, &Event::Overdue, out);
        } else if self.hedge_due(req).is_some_and(|due| due <= now) {
            self.hedge(now, key, out);
        }
    }

    /// Applies an event to a request and carries out the resulting step. `index` is that of
    /// the run to which the event belongs; 0 for events of the request itself.
    pub(crate) fn apply_event(
        &mut self,
        now: Time,
        key: Key,
        index: usize,
        event: &Event,
        out: &mut Vec<Output>,
    ) {
        let Some(req) = self.requests.get_mut(&key) else {
            return;
        };
        let step = req.next_step(event, index, &self.settings);
        let upstream = req.runs.get(index).map(|run| run.upstream);
        if let Some(upstream) = upstream {
            self.update_upstream(now, key, upstream, event, out);
        }
        match step {
            Step::Continue => {}
            Step::Enqueue => self.admit(now, key, out),
            Step::Follow(verdict) => self.follow(now, key, &verdict, out),
            Step::Resume(retry, doublings) => {
                self.schedule_resume(now, key, index, retry, doublings, out);
            }
            Step::RunElsewhere(retry, doubt) => {
                self.schedule_rerun(now, key, index, retry, doubt, out);
            }
            Step::AbandonRun(doubt) => self.abandon_run(now, key, index, doubt, out),
            Step::Finish(outcome) => self.finish(now, key, outcome, out),
            Step::Discard => self.discard_request(now, key, out),
        }
        self.set_timer(now, key);
    }
}
