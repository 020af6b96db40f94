//! Handling of frames from other hosts.

use super::{InitialFetch, Member};
use crate::{Output, freshness::Evidence, gossip, hosts};
use mulberryrack_core::{Incarnation, Name, Time};
use mulberryrack_wire::member::{self as wire, frame::Body};
use prost::Message;
use std::time::Duration;

/// Time from the last page of the first copy of all values to the first comparison of
/// values.
const FIRST_REPAIR_DELAY: Duration = Duration::from_secs(1);

impl Member {
    /// Adopts a value from another host. If a patch does not apply, the value is
    /// requested from the sender.
    pub(super) fn on_value(&mut self, from: &Name, sent: &wire::Value) {
        let Some(value) = self.gossip.reconstruct(sent) else {
            self.request_values(from, &[sent.id], &[sent.version]);
            return;
        };
        let Some(name) = value.key.strip_prefix(hosts::HOST_KEY_PREFIX) else {
            let retained =
                gossip::owning_host(&value.key).is_none_or(|name| self.hosts.keeps_values_of(name));
            if retained && self.gossip.merge(self.cx.now, &value) {
                self.cx.out.push(Output::Value(value));
            }
            return;
        };
        let name: Name = name.into();
        if *name == *self.hosts.me.name {
            self.hosts.on_later_incarnation(&mut self.cx, value.version);
        }
        if !self.hosts.accepts_record(&name, value.version) {
            return;
        }
        if let Ok(record) = wire::Host::decode(value.bytes.clone())
            && hosts::stamp(Incarnation(record.incarnation), record.counter) == value.version
            && self.gossip.merge(self.cx.now, &value)
        {
            self.hosts
                .apply_record(&mut self.cx, &name, value.version, &record);
        }
    }

    /// Handles a frame; `incarnation` identifies the life of the sender.
    pub(super) fn on_frame(&mut self, from: &Name, incarnation: Incarnation, body: Body) {
        match body {
            Body::Ping(ping) => self.on_ping(from, &ping),
            Body::Ack(ack) => self.on_ack(from, incarnation, &ack),
            Body::Detour(detour) => {
                let target: Name = detour.target.as_str().into();
                let action = self
                    .prober
                    .relay_probe(&self.cx, from, detour.sequence, &target);
                self.run_actions(vec![action]);
            }
            Body::Values(values) => {
                for value in &values.values {
                    self.on_value(from, value);
                }
            }
            Body::Announce(announce) => {
                self.request_values(from, &announce.ids, &announce.versions);
            }
            Body::Ask(ask) => {
                let have = ask.have.into_iter().chain(std::iter::repeat(0));
                self.send_values(from, ask.ids.into_iter().zip(have));
            }
            Body::Digest(digest) => {
                self.on_rumours(from, &digest.dead);
                if let Some(compare) = self.gossip.compare(&mut self.cx, &digest) {
                    self.send(from, Body::Compare(compare));
                }
            }
            Body::Compare(compare) => {
                let missing = self.gossip.missing_at_sender(&compare);
                self.send_values(from, missing.into_iter());
                self.request_values(from, &compare.ids, &compare.versions);
            }
            Body::Fetch(fetch) => self.on_fetch(from, &fetch.after),
            Body::Page(page) => self.on_page(from, &page),
            Body::TablePush(push) => self.on_push(from, push),
            Body::TableAsk(ask) => {
                self.hosts.record_table_version(from, ask.have);
                if let Some(page) = self.table_sync.answer_request(&ask) {
                    self.send(from, Body::TablePage(page));
                }
            }
            Body::TablePage(page) => {
                let (_, next) = self.table_sync.on_page(&mut self.cx, &page);
                if let Some(ask) = next {
                    self.send(from, Body::TableAsk(ask));
                }
            }
            Body::InForce(in_force) => self.hosts.record_table_version(from, in_force.version),
        }
    }

    /// Requests those of the announced values that are newer than the known ones.
    pub(super) fn request_values(&mut self, from: &Name, ids: &[u64], versions: &[u64]) {
        if let Some(ask) = self.gossip.request_newer(self.cx.now, ids, versions) {
            self.send(from, Body::Ask(ask));
        }
    }

    /// Sends values by key hash, as patches of the given versions where possible.
    pub(super) fn send_values(&mut self, to: &Name, requested: impl Iterator<Item = (u64, u64)>) {
        for values in self.gossip.values_for(requested) {
            self.send(to, Body::Values(values));
        }
    }

    /// Applies rumours from a host, and sends it the records of which it has older ones.
    pub(super) fn on_rumours(&mut self, from: &Name, rumours: &[wire::Rumour]) {
        let outdated = self
            .prober
            .on_rumours(&mut self.cx, &mut self.hosts, rumours);
        self.send_records(from, &outdated);
    }

    /// Answers a probe, after applying what it carries.
    pub(super) fn on_ping(&mut self, from: &Name, ping: &wire::Ping) {
        if let Some(host) = &ping.host {
            self.on_value(from, host);
        }
        if let Some(beat) = &ping.beat {
            self.on_beat(from, beat);
        }
        let record = self.hosts.own_record(self.cx.settings.weight);
        let ack = wire::Ack {
            sequence: ping.sequence,
            beat: Some(self.build_beat(from)),
            host: ping.want_host.then(|| gossip::to_wire(&record)),
            subject: String::new(),
        };
        self.send(from, Body::Ack(ack));
    }

    /// Handles an ack. An ack with a subject was relayed by `from`; any other answers a
    /// probe that this host sent to `from`.
    pub(super) fn on_ack(&mut self, from: &Name, incarnation: Incarnation, ack: &wire::Ack) {
        if !ack.subject.is_empty() {
            self.prober
                .on_relayed_ack(&mut self.cx, ack.sequence, &ack.subject);
            return;
        }
        if let Some(host) = &ack.host {
            self.on_value(from, host);
        }
        if let Some(beat) = &ack.beat {
            self.on_beat(from, beat);
        }
        let (sent, relayed_ack) = self.prober.on_ack(
            &mut self.cx,
            &mut self.hosts,
            from,
            incarnation,
            ack.sequence,
        );
        if let Some(answer) = relayed_ack {
            let ack = wire::Ack {
                sequence: answer.sequence,
                subject: answer.subject.to_string(),
                ..wire::Ack::default()
            };
            self.send(&answer.to, Body::Ack(ack));
        }
        let currency = ack.beat.as_ref().and_then(|beat| beat.currency);
        if let (Some(sent), Some(currency)) = (sent, currency) {
            self.on_evidence(sent, &currency);
        }
    }

    /// Adds the peer's evidence. Its age was stated when the peer answered the probe, so
    /// the evidence is at least as recent as the time of sending the probe less that age.
    pub(super) fn on_evidence(&mut self, sent: Time, currency: &wire::Currency) {
        let age = Duration::from_millis(currency.age_ms.saturating_add(1));
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let Some(at) = sent.as_micros().checked_sub(micros) else {
            return;
        };
        let evidence = Evidence {
            version: currency.version,
            at: Time::from_micros(at),
        };
        self.evidence.add(evidence, self.table_sync.version());
    }

    /// Applies the state that a probe or an ack of `from` carries: its table version,
    /// whether it suspects this host or counts it as dead, and rumours.
    pub(super) fn on_beat(&mut self, from: &Name, beat: &wire::Beat) {
        self.hosts.record_table_version(from, beat.table);
        self.table_sync.on_version_known(self.cx.now, beat.table);
        if beat.held != 0 {
            self.hosts.refute(beat.held);
            let me = self.hosts.me.name.clone();
            self.send_records(from, std::slice::from_ref(&me));
        }
        self.on_rumours(from, &beat.rumours);
    }

    /// Sends a page of all values to a new host; the last page also names the dead hosts.
    pub(super) fn on_fetch(&mut self, from: &Name, after: &str) {
        let mut page = self.gossip.page(after);
        if page.last {
            page.dead = self.hosts.dead_hosts(self.cx.now, false);
        }
        self.send(from, Body::Page(page));
    }

    /// Adopts a page of the first copy of all values, and requests the next page.
    pub(super) fn on_page(&mut self, from: &Name, page: &wire::Page) {
        for value in &page.values {
            self.on_value(from, value);
        }
        for rumour in &page.dead {
            self.hosts.apply_death(&self.cx, rumour);
        }
        let expected = matches!(
            &self.fetch,
            InitialFetch::Requested { peer, after, .. } if peer == from && *after == page.after
        );
        if !expected {
            return;
        }
        match page.values.last() {
            Some(value) if !page.last => self.request_page(from.clone(), value.key.clone()),
            _ => {
                self.fetch = InitialFetch::Done;
                // Finds the values published in the meantime, such as when many hosts
                // start at once.
                let soon = self.cx.now + FIRST_REPAIR_DELAY;
                self.next_repair = self.next_repair.min(soon);
            }
        }
    }

    /// Adopts a pushed table version if it is newer and applies.
    pub(super) fn on_push(&mut self, from: &Name, push: wire::TablePush) {
        let Some(record) = push.record else {
            return;
        };
        self.hosts.record_table_version(from, record.version);
        self.table_sync.offer(&mut self.cx, &record);
    }
}
