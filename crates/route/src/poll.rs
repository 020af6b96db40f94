//! Polls of upstreams, and actions on changes of their state.

use crate::{
    Output, Router,
    router::Timer,
    row::RowId,
    upstreams::{Change, UpstreamId},
};
use mulberryrack_core::{
    Time,
    hash::stable,
    note::{Counter, Level, Note},
    upstream::Contact,
};

/// Maximum number of a row's copies that one host polls.
const MAX_POLLED_COPIES: usize = 32;

/// Maximum number of copies in the host's own data centre among the polled ones.
const MAX_POLLED_NEAR: usize = 24;

impl Router {
    /// Extends the time for which a row's upstreams are polled, unless it was extended
    /// recently.
    pub(crate) fn watch(&mut self, now: Time, id: RowId) {
        let until = now + self.settings.watch_period;
        let row = self.rows.get_mut(id);
        if row
            .watched
            .is_some_and(|old| old > now + self.settings.watch_period / 2)
        {
            return;
        }
        row.watched = Some(until);
        self.schedule_polls(now, id);
    }

    pub(crate) fn schedule_polls(&mut self, now: Time, id: RowId) {
        let row = self.rows.get(id);
        let Some(until) = row.watched else { return };
        // Each host starts at another position in the list, so that all hosts together
        // use every copy.
        let start = usize::try_from(stable(self.me.as_bytes(), 0) >> 32).unwrap_or(0);
        let rotated = row
            .copies
            .iter()
            .cycle()
            .skip(start % row.copies.len().max(1));
        let (near, far): (Vec<_>, Vec<_>) = rotated
            .take(row.copies.len())
            .partition(|copy| self.upstreams.get(**copy).data_centre == self.data_centre);
        let near = near.into_iter().take(MAX_POLLED_NEAR);
        let copies: Vec<_> = near.chain(far).take(MAX_POLLED_COPIES).copied().collect();
        for copy in copies {
            let upstream = self.upstreams.get_mut(copy);
            upstream.watched_until = upstream.watched_until.max(until);
            if upstream.next_poll.is_none() {
                upstream.next_poll = Some(now);
                upstream.first_poll = Some(now);
                self.timers.insert((now, Timer::Poll(copy)));
            }
        }
    }

    pub(crate) fn on_poll_timer(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let upstream = self.upstreams.get_mut(id);
        if upstream.next_poll.is_none_or(|due| due > now) {
            return;
        }
        if upstream.watched_until <= now && upstream.in_flight.is_empty() {
            upstream.stop_polling();
            self.refresh_rows_of(now, id, out);
            return;
        }
        if upstream
            .poll_sent
            .is_some_and(|sent| now - sent >= Self::poll_timeout())
        {
            let change = upstream.on_contact(now, &Contact::Unanswered, &self.settings);
            self.apply_change(now, id, change, out);
        }
        self.poll(now, id, out);
    }

    /// Polls an upstream now instead of at its next turn.
    pub(crate) fn poll_now(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let upstream = self.upstreams.get_mut(id);
        if let Some(due) = upstream.next_poll.take() {
            self.timers.remove(&(due, Timer::Poll(id)));
        }
        self.poll(now, id, out);
    }

    fn poll(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let next = now + self.next_poll_delay();
        let upstream = self.upstreams.get_mut(id);
        upstream.next_poll = Some(next);
        self.timers.insert((next, Timer::Poll(id)));
        if upstream.poll_sent.is_some() {
            return;
        }
        upstream.poll_sent = Some(now);
        out.push(Output::Poll {
            upstream: upstream.name.clone(),
            address: upstream.address.clone(),
        });
    }

    pub(crate) fn on_contact(
        &mut self,
        now: Time,
        name: &str,
        contact: &Contact,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.upstreams.find(name) else {
            return;
        };
        let change = self
            .upstreams
            .get_mut(id)
            .on_contact(now, contact, &self.settings);
        self.apply_change(now, id, change, out);
        self.freed_upstreams.insert(id);
    }

    /// Acts on a change of an upstream's state.
    pub(crate) fn apply_change(
        &mut self,
        now: Time,
        id: UpstreamId,
        change: Change,
        out: &mut Vec<Output>,
    ) {
        let name = self.upstreams.get(id).name.clone();
        if change.down {
            out.push(Output::Count(Counter::UpstreamDown));
            out.push(Output::Note(
                Note::new(Level::Warn, "upstream-down").with("upstream", &name),
            ));
        }
        if change.back {
            out.push(Output::Count(Counter::UpstreamBack));
            out.push(Output::Note(
                Note::new(Level::Info, "upstream-back").with("upstream", &name),
            ));
        }
        if change.restarted {
            self.on_restart(now, id, out);
            self.relink(now, id, out);
        } else if change.connection_refused {
            self.confirm_crash(now, id, out);
        }
        if change.availability {
            self.refresh_rows_of(now, id, out);
            self.freed_upstreams.insert(id);
        }
    }

    fn refresh_rows_of(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let rows = self.upstreams.get(id).rows.clone();
        for row in rows {
            self.refresh_usable_copies(now, row, out);
        }
    }
}
