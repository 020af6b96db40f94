//! What a host does with the frames of others.

use super::{Fetch, Member};
use crate::{Output, currency::Evidence, hosts, spread};
use mulberryrack_core::{Incarnation, Name, Time};
use mulberryrack_wire::member::{self as wire, frame::Body};
use prost::Message;
use std::time::Duration;

impl Member {
    /// Takes in a value of another host.
    pub(super) fn take_value(&mut self, from: &Name, sent: &wire::Value) {
        let Some(value) = self.spread.restore(sent) else {
            self.want(from, &[sent.id], &[sent.version]);
            return;
        };
        let Some(name) = value.key.strip_prefix(hosts::PREFIX) else {
            let kept = spread::owner(&value.key).is_none_or(|name| self.hosts.keeps(name));
            if kept && self.spread.adopt(&value) {
                self.cx.out.push(Output::Value(value));
            }
            return;
        };
        let name: Name = name.into();
        if *name == *self.hosts.me.name {
            self.hosts.superseded(&mut self.cx, value.version);
        }
        if !self.hosts.admits(&name, value.version) {
            return;
        }
        if let Ok(record) = wire::Host::decode(value.bytes.clone())
            && hosts::stamp(Incarnation(record.incarnation), record.counter) == value.version
            && self.spread.adopt(&value)
        {
            self.hosts
                .learn(&mut self.cx, &name, value.version, &record);
        }
    }

    pub(super) fn frame(&mut self, from: &Name, incarnation: Incarnation, body: Body) {
        match body {
            Body::Ping(ping) => self.on_ping(from, &ping),
            Body::Ack(ack) => self.on_ack(from, incarnation, &ack),
            Body::Detour(detour) => {
                let target: Name = detour.target.as_str().into();
                let act = self.prober.favour(&self.cx, from, detour.sequence, &target);
                self.act(vec![act]);
            }
            Body::Values(values) => {
                for value in &values.values {
                    self.take_value(from, value);
                }
            }
            Body::Announce(announce) => {
                self.want(from, &announce.ids, &announce.versions);
            }
            Body::Ask(ask) => {
                let have = ask.have.into_iter().chain(std::iter::repeat(0));
                self.give(from, ask.ids.into_iter().zip(have));
            }
            Body::Digest(digest) => {
                self.hear(from, &digest.dead);
                if let Some(compare) = self.spread.compare(&digest) {
                    self.send(from, Body::Compare(compare));
                }
            }
            Body::Compare(compare) => {
                let missing = self.spread.missing(&compare);
                self.give(from, missing.into_iter());
                self.want(from, &compare.ids, &compare.versions);
            }
            Body::Fetch(fetch) => self.on_fetch(from, &fetch.after),
            Body::Page(page) => self.on_page(from, &page),
            Body::TablePush(push) => self.on_push(from, push),
            Body::TableAsk(ask) => {
                self.hosts.has_table(from, ask.have);
                if let Some(page) = self.relay.page(&ask) {
                    self.send(from, Body::TablePage(page));
                }
            }
            Body::TablePage(page) => {
                let (_, next) = self.relay.take_page(&mut self.cx, &page);
                if let Some(ask) = next {
                    self.send(from, Body::TableAsk(ask));
                }
            }
            Body::InForce(it) => self.hosts.has_table(from, it.version),
        }
    }

    pub(super) fn want(&mut self, from: &Name, ids: &[u64], versions: &[u64]) {
        if let Some(ask) = self.spread.wanted(self.cx.now, ids, versions) {
            self.send(from, Body::Ask(ask));
        }
    }

    pub(super) fn give(&mut self, to: &Name, asked: impl Iterator<Item = (u64, u64)>) {
        for values in self.spread.values(asked) {
            self.send(to, Body::Values(values));
        }
    }

    pub(super) fn hear(&mut self, from: &Name, rumours: &[wire::Rumour]) {
        let outdated = self.prober.hear(&mut self.cx, &mut self.hosts, rumours);
        self.send_records(from, &outdated);
    }

    pub(super) fn on_ping(&mut self, from: &Name, ping: &wire::Ping) {
        if let Some(host) = &ping.host {
            self.take_value(from, host);
        }
        if let Some(beat) = &ping.beat {
            self.on_beat(from, beat);
        }
        let record = self.hosts.own_record(self.cx.settings.weight);
        let ack = wire::Ack {
            sequence: ping.sequence,
            beat: Some(self.beat(from)),
            host: ping.want_host.then(|| spread::to_wire(&record)),
            subject: String::new(),
        };
        self.send(from, Body::Ack(ack));
    }

    pub(super) fn on_ack(&mut self, from: &Name, incarnation: Incarnation, ack: &wire::Ack) {
        if !ack.subject.is_empty() {
            self.prober
                .vouched(&mut self.cx, ack.sequence, &ack.subject);
            return;
        }
        if let Some(host) = &ack.host {
            self.take_value(from, host);
        }
        if let Some(beat) = &ack.beat {
            self.on_beat(from, beat);
        }
        let (sent, favour) = self.prober.answered(
            &mut self.cx,
            &mut self.hosts,
            from,
            incarnation,
            ack.sequence,
        );
        if let Some(answer) = favour {
            let vouch = wire::Ack {
                sequence: answer.sequence,
                subject: answer.subject.to_string(),
                ..wire::Ack::default()
            };
            self.send(&answer.to, Body::Ack(vouch));
        }
        let currency = ack.beat.as_ref().and_then(|beat| beat.currency);
        if let (Some(sent), Some(currency)) = (sent, currency) {
            self.on_currency(sent, &currency);
        }
    }

    /// The peer's evidence was this old when it answered, so at least as new as this
    /// before the probe was sent.
    pub(super) fn on_currency(&mut self, sent: Time, currency: &wire::Currency) {
        let age = Duration::from_millis(currency.age_ms.saturating_add(1));
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let Some(at) = sent.as_micros().checked_sub(micros) else {
            return;
        };
        let evidence = Evidence {
            version: currency.version,
            at: Time::from_micros(at),
        };
        self.proof.add(evidence, self.relay.version());
    }

    pub(super) fn on_beat(&mut self, from: &Name, beat: &wire::Beat) {
        self.hosts.has_table(from, beat.table);
        self.relay.heard(self.cx.now, beat.table);
        if beat.held != 0 {
            self.hosts.refute(beat.held);
            let me = self.hosts.me.name.clone();
            self.send_records(from, std::slice::from_ref(&me));
        }
        self.hear(from, &beat.rumours);
    }

    pub(super) fn on_fetch(&mut self, from: &Name, after: &str) {
        let mut page = self.spread.page(after);
        if page.last {
            page.dead = self.hosts.deaths(self.cx.now, false);
        }
        self.send(from, Body::Page(page));
    }

    pub(super) fn on_page(&mut self, from: &Name, page: &wire::Page) {
        for value in &page.values {
            self.take_value(from, value);
        }
        for rumour in &page.dead {
            self.hosts.bury(&self.cx, rumour);
        }
        let expected = matches!(
            &self.fetch,
            Fetch::Asked { peer, after, .. } if peer == from && *after == page.after
        );
        if !expected {
            return;
        }
        match page.values.last() {
            Some(value) if !page.last => self.ask_page(from.clone(), value.key.clone()),
            _ => self.fetch = Fetch::Done,
        }
    }

    pub(super) fn on_push(&mut self, from: &Name, push: wire::TablePush) {
        let Some(record) = push.record else {
            return;
        };
        self.hosts.has_table(from, record.version);
        if !push.origin.is_empty() && record.version > self.relay.version() {
            self.origin = Some((record.version, push.origin.as_str().into()));
        }
        self.relay.offer(&mut self.cx, &record);
    }
}
