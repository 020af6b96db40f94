//! From the queue to an upstream.

use crate::{
    Output, Router,
    choose::{Wish, choose},
    life::{Run, Safety, Stage},
    queue::Place,
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

/// Waiting requests of one row that are looked at for one dispatch.
const LOOKS: usize = 8;

/// Work that a request is charged for in weighted fair queueing.
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
        let life = self.lives.get_mut(&key).expect("a known request");
        life.stage = Stage::Waiting;
        let id = life.row;
        let place = self.place(key);
        let row = self.rows.get(id);
        if row.queue.is_empty() {
            let clock = row
                .near
                .iter()
                .chain(&row.far)
                .take(LOOKS)
                .map(|copy| self.upstreams.get(*copy).clock[row.line.priority as usize])
                .fold(f64::INFINITY, f64::min);
            let clock = if clock.is_finite() { clock } else { 0.0 };
            self.rows.get_mut(id).queue.enter(clock);
        }
        self.rows.get_mut(id).queue.push(place);
        self.waiting += 1;
        self.ready.insert(id);
        self.watch(now, id);
    }

    /// A request's place in its row's queue; the same for as long as it waits.
    fn place(&self, key: Key) -> Place {
        self.lives[&key].place()
    }

    pub(crate) fn dequeue(&mut self, key: Key) {
        let (id, place) = (self.lives[&key].row, self.place(key));
        if self.rows.get_mut(id).queue.remove(place) {
            self.waiting -= 1;
        }
    }

    /// Dispatches what can be, after an input has made room or brought requests.
    pub(crate) fn pump(&mut self, now: Time, out: &mut Vec<Output>) {
        while !self.ready.is_empty() || !self.freed.is_empty() {
            let ready = std::mem::take(&mut self.ready);
            let freed = std::mem::take(&mut self.freed);
            if self.waiting == 0 {
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
            while let Some((id, freed)) = self.next_turn(&rows) {
                let sent = self.dispatch(now, id, freed, out);
                if !sent || self.rows.get(id).queue.is_empty() {
                    rows.remove(&id);
                }
            }
        }
    }

    /// The row whose turn it is: by priority, then by weighted fair queueing.
    fn next_turn(
        &self,
        rows: &BTreeMap<RowId, Option<UpstreamId>>,
    ) -> Option<(RowId, Option<UpstreamId>)> {
        rows.iter()
            .map(|(id, freed)| (*id, *freed))
            .min_by(|(one, _), (other, _)| {
                let (a, b) = (self.rows.get(*one), self.rows.get(*other));
                let turns = a.queue.turn.total_cmp(&b.queue.turn);
                a.line.priority.cmp(&b.line.priority).then(turns)
            })
    }

    /// Sends one of a row's waiting requests, if there is a permit and an upstream.
    fn dispatch(
        &mut self,
        now: Time,
        id: RowId,
        freed: Option<UpstreamId>,
        out: &mut Vec<Output>,
    ) -> bool {
        self.sort_out(now, id, out);
        let keys: Vec<_> = self.rows.get(id).queue.keys().take(LOOKS).collect();
        for key in keys {
            if self.lives[&key].hold > now {
                continue;
            }
            if !self.lives[&key].permit && self.at_ceiling(id) {
                self.want_permits(now, id, out);
                continue;
            }
            self.pardon(key);
            let found = if self.lives[&key].suspect {
                self.isolated(now, key, freed, out)
            } else {
                self.pick(now, key, freed, &[])
            };
            let Some(upstream) = found else {
                continue;
            };
            self.launch(now, key, upstream, out);
            return true;
        }
        false
    }

    /// Moves requests that miss their target from now on behind the others; those that
    /// will not run by their deadline there are refused at once.
    fn sort_out(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        loop {
            let row = self.rows.get(id);
            let first = row.figures.first_byte();
            let Some(key) = row.queue.missed(now + first) else {
                return;
            };
            let place = self.place(key);
            let row = self.rows.get_mut(id);
            row.queue.make_late(place);
            let wait = row.figures.wait(row.queue.len() - 1).unwrap_or_default();
            if now + wait + row.figures.least_run() > place.deadline {
                let outcome = self.lives[&key].refused(self.come_back(id, Reason::Deadline));
                self.finish(now, key, outcome, out);
            }
        }
    }

    /// Lets a request use upstreams again that failed it, once all have; a suspect
    /// never gets back to one that crashed.
    fn pardon(&mut self, key: Key) {
        let life = &self.lives[&key];
        if life.avoid.is_empty() || life.suspect {
            return;
        }
        let row = self.rows.get(life.row);
        let mut copies = row.near.iter().chain(&row.far);
        if copies.all(|copy| life.avoid.contains(copy)) {
            self.lives.get_mut(&key).expect("known").avoid.clear();
        }
    }

    /// Chooses an upstream for a request; `beside` are those that run it already.
    pub(crate) fn pick(
        &mut self,
        now: Time,
        key: Key,
        freed: Option<UpstreamId>,
        beside: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let life = &self.lives[&key];
        let avoid: Vec<_> = life.avoid.iter().chain(beside).copied().collect();
        let row = self.rows.get(life.row);
        let wish = Wish {
            priority: row.line.priority,
            prefix: &life.request.prefix,
            avoid: &avoid,
            suspect: life.suspect,
            freed,
        };
        choose(
            row,
            &wish,
            &self.upstreams,
            &self.settings,
            now,
            &mut self.rng,
        )
    }

    fn launch(&mut self, now: Time, key: Key, id: UpstreamId, out: &mut Vec<Output>) {
        self.dequeue(key);
        let life = self.lives.get_mut(&key).expect("a waiting request");
        life.stage = Stage::Running;
        let row_id = life.row;
        if !life.permit {
            life.permit = true;
            self.rows.get_mut(row_id).permits.take();
        }
        if life.tries == 0 {
            self.budget.earn(&self.settings);
        }
        let cost = cost(&life.request);
        let row = self.rows.get_mut(row_id);
        let priority = row.line.priority as usize;
        let contested = !row.queue.is_empty() || self.waiting > 0;
        row.figures.dispatch(now, !row.queue.is_empty());
        if contested {
            let start = row.queue.charge(cost, row.line.share);
            let clock = &mut self.upstreams.get_mut(id).clock[priority];
            *clock = clock.max(start);
        }
        self.run_on(now, key, id, out);
        self.arm(now, key);
    }

    /// Begins a run on an upstream.
    pub(crate) fn run_on(&mut self, now: Time, key: Key, id: UpstreamId, out: &mut Vec<Output>) {
        let attempt = self.new_attempt(key);
        let life = self.lives.get_mut(&key).expect("a known request");
        life.tries += 1;
        life.runs.push(Run {
            upstream: id,
            stream: attempt,
            attempt,
            resumed: false,
            open: false,
            started: now,
            heard: now,
            received: 0,
            resumes: 0,
        });
        let (row, suspect) = (life.row, life.suspect);
        if let Some(block) = life.request.prefix.first() {
            self.rows.get_mut(row).homes.put(*block, id);
        }
        let upstream = self.upstreams.get_mut(id);
        upstream.start(now, attempt);
        if suspect {
            upstream.suspect = Some(attempt);
        }
        // A pooled connection may have died unnoticed; what cannot be sent again, or was
        // sent in vain already, must not be the first to find out.
        let fresh = life.safety != Safety::Repeatable || life.tries > 1 || upstream.distrust > now;
        out.push(Output::Send(Dispatch {
            attempt,
            upstream: upstream.name.clone(),
            address: upstream.address.clone(),
            call: life.request.call.clone(),
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
