//! Polls of upstreams, and what their answers change.

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

/// Most copies of a row that are polled by one host.
const WATCHED_COPIES: usize = 32;

/// Most of these in the host's own data centre.
const WATCHED_NEAR: usize = 24;

impl Router {
    /// Keeps a row's upstreams polled; cheap when it was done a short while ago.
    pub(crate) fn watch(&mut self, now: Time, id: RowId) {
        let until = now + self.settings.watch;
        let row = self.rows.get_mut(id);
        if row
            .watched
            .is_some_and(|old| old > now + self.settings.watch / 2)
        {
            return;
        }
        row.watched = Some(until);
        self.watch_copies(now, id);
    }

    pub(crate) fn watch_copies(&mut self, now: Time, id: RowId) {
        let row = self.rows.get(id);
        let Some(until) = row.watched else { return };
        // Every host begins elsewhere in the list, so that together they use all copies.
        let start = usize::try_from(stable(self.me.as_bytes(), 0) >> 32).unwrap_or(0);
        let turned = row
            .copies
            .iter()
            .cycle()
            .skip(start % row.copies.len().max(1));
        let (near, far): (Vec<_>, Vec<_>) = turned
            .take(row.copies.len())
            .partition(|copy| self.upstreams.get(**copy).data_centre == self.data_centre);
        let near = near.into_iter().take(WATCHED_NEAR);
        let copies: Vec<_> = near.chain(far).take(WATCHED_COPIES).copied().collect();
        for copy in copies {
            let upstream = self.upstreams.get_mut(copy);
            upstream.watched = upstream.watched.max(until);
            if upstream.poll.is_none() {
                upstream.poll = Some(now);
                upstream.since = Some(now);
                self.timers.insert((now, Timer::Poll(copy)));
            }
        }
    }

    pub(crate) fn on_poll_timer(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let upstream = self.upstreams.get_mut(id);
        if upstream.poll.is_none_or(|due| due > now) {
            return;
        }
        if upstream.watched <= now && upstream.flights.is_empty() {
            upstream.unwatch();
            self.relist_rows(now, id, out);
            return;
        }
        if upstream
            .asked
            .is_some_and(|asked| now - asked >= Self::poll_patience())
        {
            let change = upstream.contact(now, &Contact::Unanswered, &self.settings);
            self.take_change(now, id, change, out);
        }
        self.poll(now, id, out);
    }

    /// Polls an upstream without waiting for its turn.
    pub(crate) fn poll_now(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let upstream = self.upstreams.get_mut(id);
        if let Some(due) = upstream.poll.take() {
            self.timers.remove(&(due, Timer::Poll(id)));
        }
        self.poll(now, id, out);
    }

    fn poll(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let next = now + self.poll_pause();
        let upstream = self.upstreams.get_mut(id);
        upstream.poll = Some(next);
        self.timers.insert((next, Timer::Poll(id)));
        if upstream.asked.is_some() {
            return;
        }
        upstream.asked = Some(now);
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
            .contact(now, contact, &self.settings);
        self.take_change(now, id, change, out);
        self.freed.insert(id);
    }

    /// Acts on a change of an upstream.
    pub(crate) fn take_change(
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
        } else if change.refused {
            self.confirm_crash(now, id, out);
        }
        if change.availability {
            self.relist_rows(now, id, out);
            self.freed.insert(id);
        }
    }

    fn relist_rows(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let rows = self.upstreams.get(id).rows.clone();
        for row in rows {
            self.relist(now, row, out);
        }
    }
}
