//! Dispatch of queued requests to upstreams.

use crate::{
    Output, Router,
    active::{Run, RunPolicy, Stage},
    choose::{Criteria, choose},
    queue::QueueEntry,
    row::RowId,
    upstreams::UpstreamId,
};
use mulberryrack_core::{
    Time,
    outcome::Reason,
    request::{Key, Request},
    upstream::{Connection, Dispatch, DispatchId},
};
use std::collections::BTreeMap;

/// Maximum number of queued requests examined for one dispatch, and of copies examined
/// for a row's virtual time.
const MAX_CANDIDATES: usize = 8;

/// Cost of a request in weighted fair queueing, in tokens.
fn cost(request: &Request) -> f64 {
    f64::from(
        request
            .prompt_tokens
            .saturating_add(request.answer_tokens)
            .max(1),
    )
}

impl Router {
    pub(crate) fn enqueue(&mut self, now: Time, key: Key) {
        let req = self.requests.get_mut(&key).expect("a known request");
        req.stage = Stage::Queued;
        let id = req.row;
        let queue_entry = self.queue_entry(key);
        let row = self.rows.get(id);
        if row.queue.is_empty() {
            // The row starts at the lowest virtual time of its usable copies.
            let clock = row
                .usable_near
                .iter()
                .chain(&row.usable_far)
                .take(MAX_CANDIDATES)
                .map(|copy| {
                    self.upstreams.get(*copy).virtual_time[row.definition.priority as usize]
                })
                .fold(f64::INFINITY, f64::min);
            let clock = if clock.is_finite() { clock } else { 0.0 };
            self.rows.get_mut(id).queue.catch_up(clock);
        }
        self.rows.get_mut(id).queue.push(queue_entry);
        self.queued += 1;
        self.rows_to_dispatch.insert(id);
        self.watch(now, id);
    }

    /// The queue entry of a request; constant while the request is queued.
    fn queue_entry(&self, key: Key) -> QueueEntry {
        self.requests[&key].queue_entry()
    }

    pub(crate) fn dequeue(&mut self, key: Key) {
        let (id, queue_entry) = (self.requests[&key].row, self.queue_entry(key));
        if self.rows.get_mut(id).queue.remove(queue_entry) {
            self.queued -= 1;
        }
    }

    /// Dispatches queued requests of all rows that may have a new permit, upstream or
    /// request.
    pub(crate) fn dispatch_queued(&mut self, now: Time, out: &mut Vec<Output>) {
        while !self.rows_to_dispatch.is_empty() || !self.freed_upstreams.is_empty() {
            let ready = std::mem::take(&mut self.rows_to_dispatch);
            let freed = std::mem::take(&mut self.freed_upstreams);
            if self.queued == 0 {
                return;
            }
            let mut rows: BTreeMap<RowId, Option<UpstreamId>> =
                ready.into_iter().map(|row| (row, None)).collect();
            for id in freed {
                for row in &self.upstreams.get(id).rows {
                    rows.insert(*row, Some(id));
                }
            }
            rows.retain(|row, _| !self.rows.get(*row).queue.is_empty());
            while let Some((id, freed)) = self.next_row(&rows) {
                let sent = self.dispatch_from_row(now, id, freed, out);
                if !sent || self.rows.get(id).queue.is_empty() {
                    rows.remove(&id);
                }
            }
        }
    }

    /// The row to dispatch from next: by priority, then by weighted fair queueing.
    fn next_row(
        &self,
        rows: &BTreeMap<RowId, Option<UpstreamId>>,
    ) -> Option<(RowId, Option<UpstreamId>)> {
        rows.iter()
            .map(|(id, freed)| (*id, *freed))
            .min_by(|(one, _), (other, _)| {
                let (a, b) = (self.rows.get(*one), self.rows.get(*other));
                let order = a.queue.virtual_start.total_cmp(&b.queue.virtual_start);
                a.definition
                    .priority
                    .cmp(&b.definition.priority)
                    .then(order)
            })
    }

    /// Dispatches one queued request of a row. Returns false if no permit or no upstream with
    /// room is available.
    fn dispatch_from_row(
        &mut self,
        now: Time,
        id: RowId,
        freed: Option<UpstreamId>,
        out: &mut Vec<Output>,
    ) -> bool {
        self.demote_late(now, id, out);
        let keys: Vec<_> = self
            .rows
            .get(id)
            .queue
            .keys()
            .take(MAX_CANDIDATES)
            .collect();
        for key in keys {
            if self.requests[&key].not_before > now {
                continue;
            }
            if !self.requests[&key].holds_permit && self.at_ceiling(id) {
                self.request_permits(now, id, out);
                continue;
            }
            self.clear_avoided(key);
            let found = if self.requests[&key].suspect {
                self.isolated_upstream(now, key, freed, out)
            } else {
                self.choose_upstream(now, key, freed, &[])
            };
            let Some(upstream) = found else {
                continue;
            };
            self.dispatch_request(now, key, upstream, out);
            return true;
        }
        false
    }

    /// Moves requests that can no longer meet their target for the first byte behind the
    /// others. Refuses those that could not end by their deadline there.
    fn demote_late(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        loop {
            let row = self.rows.get(id);
            let first = row.stats.typical_first_byte();
            let Some(key) = row.queue.first_missing_target(now + first) else {
                return;
            };
            let queue_entry = self.queue_entry(key);
            let row = self.rows.get_mut(id);
            row.queue.demote(queue_entry);
            let wait = row
                .stats
                .estimated_wait(row.queue.len() - 1)
                .unwrap_or_default();
            if now + wait + row.stats.shortest_run() > queue_entry.deadline {
                let outcome = self.requests[&key]
                    .refused_outcome(self.refusal_with_wait(id, Reason::Deadline));
                self.finish(now, key, outcome, out);
            }
        }
    }

    /// Lets a request use the upstreams that failed it once every usable copy has. A
    /// suspected request never returns to an upstream that crashed.
    fn clear_avoided(&mut self, key: Key) {
        let req = &self.requests[&key];
        if req.avoid.is_empty() || req.suspect {
            return;
        }
        let row = self.rows.get(req.row);
        let mut copies = row.usable_near.iter().chain(&row.usable_far);
        if copies.all(|copy| req.avoid.contains(copy)) {
            self.requests
                .get_mut(&key)
                .expect("a known request")
                .avoid
                .clear();
        }
    }

    /// Chooses an upstream for a request, other than those in `beside`, which already run
    /// it.
    pub(crate) fn choose_upstream(
        &mut self,
        now: Time,
        key: Key,
        freed: Option<UpstreamId>,
        beside: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let req = &self.requests[&key];
        let avoid: Vec<_> = req.avoid.iter().chain(beside).copied().collect();
        let row = self.rows.get(req.row);
        let criteria = Criteria {
            priority: row.definition.priority,
            prefix: &req.request.prefix,
            avoid: &avoid,
            suspect: req.suspect,
            freed,
        };
        choose(
            row,
            &criteria,
            &self.upstreams,
            &self.settings,
            now,
            &mut self.rng,
        )
    }

    fn dispatch_request(&mut self, now: Time, key: Key, id: UpstreamId, out: &mut Vec<Output>) {
        self.dequeue(key);
        let req = self.requests.get_mut(&key).expect("a queued request");
        req.stage = Stage::Running;
        let row_id = req.row;
        if !req.holds_permit {
            req.holds_permit = true;
            self.rows.get_mut(row_id).permits.acquire();
        }
        if req.runs_started == 0 {
            self.retry_budget.deposit(&self.settings);
        }
        let cost = cost(&req.request);
        let row = self.rows.get_mut(row_id);
        let priority = row.definition.priority as usize;
        // Rows are charged only while requests compete for the upstreams.
        let contested = !row.queue.is_empty() || self.queued > 0;
        row.stats.record_dispatch(now, !row.queue.is_empty());
        if contested {
            let start = row.queue.charge(cost, row.definition.share);
            let clock = &mut self.upstreams.get_mut(id).virtual_time[priority];
            *clock = clock.max(start);
        }
        self.start_run(now, key, id, out);
        self.set_timer(now, key);
    }

    /// Starts a run of a request on an upstream.
    pub(crate) fn start_run(&mut self, now: Time, key: Key, id: UpstreamId, out: &mut Vec<Output>) {
        let attempt = self.new_attempt(key);
        let req = self.requests.get_mut(&key).expect("a known request");
        req.runs_started += 1;
        req.runs.push(Run {
            upstream: id,
            first_attempt: attempt,
            attempt,
            resumed: false,
            head_received: false,
            started: now,
            last_heard: now,
            received_bytes: 0,
            resumes: 0,
        });
        let (row, suspect) = (req.row, req.suspect);
        if let Some(block) = req.request.prefix.first() {
            self.rows.get_mut(row).affinity.record(*block, id);
        }
        let upstream = self.upstreams.get_mut(id);
        upstream.add_attempt(now, attempt);
        if suspect {
            upstream.suspect_attempt = Some(attempt);
        }
        // A pooled connection may be dead without notice. Requests that must not be
        // repeated, or whose earlier run failed, use a new connection.
        let fresh = req.run_policy != RunPolicy::Repeatable
            || req.runs_started > 1
            || upstream.pool_distrusted_until > now;
        out.push(Output::Send(Dispatch {
            attempt,
            upstream: upstream.name.clone(),
            address: upstream.address.clone(),
            call: req.request.call.clone(),
            connection: if fresh {
                Connection::Fresh
            } else {
                Connection::Pooled
            },
            resume: None,
        }));
    }

    pub(crate) fn new_attempt(&mut self, key: Key) -> DispatchId {
        self.next_attempt += 1;
        let attempt = DispatchId(self.next_attempt);
        self.attempts.insert(attempt, key);
        attempt
    }
}
