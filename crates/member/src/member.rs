//! The membership area as one state machine.

use crate::{
    Address, Currency, Input, Output, Progress, Settings, address,
    context::Context,
    currency::{Evidence, Proof},
    hosts::{self, Hosts},
    probe::{Act, Prober},
    proposal::Proposal,
    relay::Relay,
    spread::{self, Spread},
    store::{Parts, Store},
};
use mulberryrack_core::{
    Incarnation, Name, Time, earliest,
    outcome::Reason,
    view::{Peer, Value, View},
};
use mulberryrack_table::Table;
use mulberryrack_wire::member::{self as wire, Frame, frame::Body};
use prost::Message;
use std::{sync::Arc, time::Duration};

/// Time after which a page of a peer's values is asked for again, of another peer.
const FETCH_AGAIN: Duration = Duration::from_secs(1);
/// Time between two probes of hosts that have not confirmed a version made here.
const CHASE_EVERY: Duration = Duration::from_millis(300);
/// How long hosts are asked for a version made here.
const CHASE_FOR: Duration = Duration::from_secs(10);
/// Hosts asked at once.
const CHASE_HOSTS: usize = 8;
/// Longest random delay before a host confirms a version to its origin, for each host.
const CONFIRM_DELAY: Duration = Duration::from_millis(1);

/// A peer's values are being read in order of key.
#[derive(Clone, Debug)]
enum Fetch {
    Wanted,
    Asked { peer: Name, after: String, at: Time },
    Done,
}

/// Hosts are asked whether a version made here is in force.
#[derive(Clone, Copy, Debug)]
struct Chase {
    version: u64,
    next: Time,
    until: Time,
}

/// Membership of hosts, spreading of values, the table in force, address answers.
///
/// Invariant: the version of the table in force only rises in one life.
pub struct Member {
    cx: Context,
    hosts: Hosts,
    prober: Prober,
    spread: Spread,
    relay: Relay,
    proof: Proof,
    store: Store,
    fetch: Fetch,
    chase: Option<Chase>,
    /// Who wants to hear that a version is in force here.
    origin: Option<(u64, Name)>,
    confirm: Option<(Time, u64, Name)>,
    announce_at: Option<Time>,
    repair_at: Time,
    left_at: Option<Time>,
    turn: usize,
}

impl Member {
    /// The state machine of one life of the host `me`.
    #[must_use]
    pub fn new(settings: Settings, me: Peer, seed: u64, now: Time) -> Self {
        let mut cx = Context::new(settings, seed, now);
        let repair = cx.settings.repair;
        Self {
            hosts: Hosts::new(&cx, me),
            prober: Prober::new(&mut cx),
            spread: Spread::new(),
            relay: Relay::new(),
            proof: Proof::default(),
            store: Store::new(&cx),
            fetch: Fetch::Wanted,
            chase: None,
            origin: None,
            confirm: None,
            announce_at: None,
            repair_at: now + cx.jitter(repair),
            left_at: None,
            turn: 0,
            cx,
        }
    }

    /// Takes in what happened, and pushes what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.cx.now = now;
        let before = self.relay.version();
        match input {
            Input::Frame {
                from,
                incarnation,
                frame,
            } => {
                if let Some(body) = frame.body {
                    self.frame(&from, incarnation, body);
                }
            }
            Input::Undelivered { to } => self.prober.undelivered(&self.cx, &to),
            Input::Listing(list) => self.listing(list),
            Input::Kv { token, outcome } => {
                let (store, cx, mut parts) = self.store();
                store.outcome(cx, &mut parts, token, outcome);
            }
            Input::Publish(value) => self.publish(&value),
            Input::Accept {
                ticket,
                parent,
                change,
                author,
                rows,
            } => {
                let proposal =
                    Proposal::new(ticket, parent, change, author, rows, now, &self.cx.settings);
                self.store.propose(&mut self.cx, proposal);
            }
            Input::Read { ticket, version } => self.store.read(&mut self.cx, ticket, version),
            Input::Leave => {
                self.left_at.get_or_insert(now);
                self.hosts.leave();
            }
            Input::Wake => {}
        }
        self.tick();
        if self.relay.version() > before {
            self.adopted();
        }
        out.append(&mut self.cx.out);
    }

    /// When [`Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let fetch = match &self.fetch {
            Fetch::Asked { at, .. } => Some(*at + FETCH_AGAIN),
            Fetch::Wanted | Fetch::Done => None,
        };
        [
            self.hosts.next_wake(),
            self.prober.next_wake(&self.cx),
            self.store.next_wake(),
            self.relay.next_wake(),
            self.announce_at,
            self.confirm.as_ref().map(|(at, _, _)| *at),
            self.chase.map(|chase| chase.next),
            fetch,
        ]
        .into_iter()
        .fold(Some(self.repair_at), earliest)
    }

    /// The hosts as this one sees them.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.hosts.view()
    }

    /// The version in force here.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.relay.table().cloned()
    }

    /// Whether the table can be shown to be current within the bound.
    #[must_use]
    pub fn current(&self, now: Time) -> bool {
        self.currency(now) == Currency::Confirmed
    }

    /// What can be said of the table in force here.
    #[must_use]
    pub fn currency(&self, now: Time) -> Currency {
        let bound = self.cx.settings.current;
        if self.relay.table().is_none() {
            Currency::Isolated
        } else if self.proof.age(now).is_some_and(|age| age <= bound) {
            Currency::Confirmed
        } else if self.hosts.majority() {
            Currency::Unconfirmed
        } else {
            Currency::Isolated
        }
    }

    /// Whether this host takes new callers: it has a table, is not cut off, and is not
    /// leaving.
    #[must_use]
    pub fn ready(&self, now: Time) -> bool {
        self.currency(now) != Currency::Isolated && self.left_at.is_none()
    }

    /// Which hosts a caller connects to for a row. `demand` is the number of hosts that
    /// its load needs, 0 if not known.
    ///
    /// # Errors
    ///
    /// [`Reason::NoTable`] without a table, or when this host is cut off;
    /// [`Reason::UnknownTarget`] if no row has the name; [`Reason::Draining`] if every
    /// host is leaving.
    pub fn address(&mut self, now: Time, target: &str, demand: u32) -> Result<Address, Reason> {
        let table = self.relay.table().cloned().ok_or(Reason::NoTable)?;
        if self.currency(now) == Currency::Isolated {
            return Err(Reason::NoTable);
        }
        let row = table.row(target).ok_or(Reason::UnknownTarget)?;
        self.turn = self.turn.wrapping_add(1);
        let answer = address::answer(&self.cx, &self.hosts, &table, row, demand, self.turn);
        if answer.addresses.is_empty() {
            return Err(Reason::Draining);
        }
        Ok(answer)
    }

    /// Which version is known to be in force on each host that is not dead.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let me = (self.hosts.me.name.clone(), self.relay.version());
        let others = self
            .hosts
            .map
            .values()
            .filter(|host| host.reachable())
            .map(|host| (host.peer.name.clone(), host.table));
        let mut hosts: Vec<(Name, u64)> = others.chain([me]).collect();
        hosts.sort();
        Progress { hosts }
    }

    /// After [`Input::Leave`]: when every address answer that named this host has run
    /// out.
    #[must_use]
    pub fn leave_until(&self) -> Option<Time> {
        let settings = &self.cx.settings;
        self.left_at
            .map(|at| at + settings.leave + settings.address)
    }

    /// Calls made to the key-value service since the start.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.store.total
    }

    fn store(&mut self) -> (&mut Store, &mut Context, Parts<'_>) {
        let parts = Parts {
            hosts: &self.hosts,
            relay: &mut self.relay,
            proof: &mut self.proof,
        };
        (&mut self.store, &mut self.cx, parts)
    }

    fn listing(&mut self, list: Option<Arc<[mulberryrack_core::node::Listing]>>) {
        let Some(list) = list else {
            return;
        };
        self.hosts.listing(&mut self.cx, &list);
        let acts = self.prober.contact(&mut self.cx, &self.hosts);
        self.act(acts);
    }

    fn tick(&mut self) {
        self.hosts.tick(&mut self.cx);
        let acts = self.prober.tick(&mut self.cx, &mut self.hosts);
        self.act(acts);
        let (store, cx, mut parts) = self.store();
        store.tick(cx, &mut parts);
        if let Some((to, ask)) = self.relay.ask(&mut self.cx, &self.hosts) {
            self.send(&to, Body::TableAsk(ask));
        }
        self.tick_record();
        self.tick_announce();
        self.tick_repair();
        self.tick_fetch();
        self.tick_progress();
        // Changes made by the steps above belong to this view.
        self.hosts.tick(&mut self.cx);
    }

    fn tick_record(&mut self) {
        if std::mem::take(&mut self.hosts.publish) {
            let record = self.hosts.own_record(self.cx.settings.weight);
            self.push_value(&record);
        }
    }

    fn tick_announce(&mut self) {
        if self.announce_at.is_none() && self.spread.has_fresh() {
            self.announce_at = Some(self.cx.now + self.cx.settings.announce);
        }
        if self.announce_at.is_none_or(|at| self.cx.now < at) {
            return;
        }
        self.announce_at = None;
        let announces = self.spread.announce(self.cx.now);
        let peers = self.few();
        for announce in announces {
            for peer in &peers {
                self.send(peer, Body::Announce(announce.clone()));
            }
        }
    }

    fn tick_repair(&mut self) {
        if self.cx.now < self.repair_at {
            return;
        }
        self.repair_at = self.cx.now + self.cx.settings.repair;
        self.drop_forgotten();
        let mut digest = self.spread.digest();
        digest.dead = self.hosts.deaths(self.cx.now, true);
        for peer in self.hosts.pick(&mut self.cx, 1) {
            self.send(&peer, Body::Digest(digest.clone()));
        }
    }

    fn drop_forgotten(&mut self) {
        let dropped: Vec<Name> = self
            .spread
            .host_keys()
            .filter(|key| !self.hosts.keeps(&key[hosts::PREFIX.len()..]))
            .cloned()
            .collect();
        for key in dropped {
            self.spread.drop_key(&key);
        }
    }

    fn tick_fetch(&mut self) {
        let due = match &self.fetch {
            Fetch::Wanted => self.prober.joined(),
            Fetch::Asked { at, .. } => self.cx.now >= *at + FETCH_AGAIN,
            Fetch::Done => false,
        };
        if !due {
            return;
        }
        let after = match &self.fetch {
            Fetch::Asked { after, .. } => after.clone(),
            Fetch::Wanted | Fetch::Done => String::new(),
        };
        if let Some(peer) = self.hosts.pick(&mut self.cx, 1).pop() {
            self.ask_page(peer, after);
        } else if let Fetch::Asked { at, .. } = &mut self.fetch {
            *at = self.cx.now;
        }
    }

    fn ask_page(&mut self, peer: Name, after: String) {
        let ask = wire::Fetch {
            after: after.clone(),
        };
        self.send(&peer, Body::Fetch(ask));
        self.fetch = Fetch::Asked {
            peer,
            after,
            at: self.cx.now,
        };
    }

    fn tick_progress(&mut self) {
        if let Some((at, version, origin)) = self.confirm.clone()
            && self.cx.now >= at
        {
            self.confirm = None;
            let version = self.relay.version().max(version);
            self.send(&origin, Body::InForce(wire::InForce { version }));
        }
        let Some(chase) = &mut self.chase else {
            return;
        };
        if self.cx.now >= chase.until {
            self.chase = None;
            return;
        }
        if self.cx.now < chase.next {
            return;
        }
        chase.next = self.cx.now + CHASE_EVERY;
        let version = chase.version;
        let behind: Vec<Name> = self
            .hosts
            .map
            .values()
            .filter(|host| host.reachable() && host.table < version)
            .map(|host| host.peer.name.clone())
            .take(CHASE_HOSTS)
            .collect();
        for name in behind {
            let ping = self.ping(&name, 0);
            self.send(&name, Body::Ping(ping));
        }
    }

    /// A higher version is in force: passes it on.
    fn adopted(&mut self) {
        let version = self.relay.version();
        self.proof.adopted(version);
        if let Some(made) = self.store.won.take() {
            self.origin = Some((made, self.hosts.me.name.clone()));
            self.chase = Some(Chase {
                version: made,
                next: self.cx.now + CHASE_EVERY,
                until: self.cx.now + CHASE_FOR,
            });
        }
        let origin = self
            .origin
            .take()
            .filter(|(made, _)| *made <= version)
            .map(|(_, name)| name);
        if let Some(record) = self.relay.newest() {
            let push = wire::TablePush {
                record: Some(record),
                origin: origin.as_deref().unwrap_or_default().to_owned(),
            };
            for peer in self.few() {
                self.send(&peer, Body::TablePush(push.clone()));
            }
        }
        if let Some(origin) = origin.filter(|origin| *origin != self.hosts.me.name) {
            let size = u32::try_from(self.hosts.size()).unwrap_or(u32::MAX);
            let at = self.cx.now + self.cx.jitter(CONFIRM_DELAY * size);
            self.confirm = Some((at, version, origin));
        }
    }

    fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Ping { to, sequence } => {
                    let ping = self.ping(&to, sequence);
                    self.send(&to, Body::Ping(ping));
                }
                Act::Detour {
                    via,
                    target,
                    sequence,
                } => {
                    let target = target.to_string();
                    self.send(&via, Body::Detour(wire::Detour { sequence, target }));
                }
            }
        }
    }

    fn ping(&mut self, to: &str, sequence: u64) -> wire::Ping {
        let want_host = self.hosts.map.get(to).is_none_or(|host| host.stamp == 0);
        let record = self.hosts.own_record(self.cx.settings.weight);
        wire::Ping {
            sequence,
            host: Some(spread::to_wire(&record)),
            beat: Some(self.beat(to)),
            want_host,
        }
    }

    fn beat(&mut self, to: &str) -> wire::Beat {
        let now = self.cx.now;
        let held = self
            .hosts
            .map
            .get(to)
            .filter(|host| host.health > hosts::Health::Alive)
            .map_or(0, |host| host.stamp);
        wire::Beat {
            table: self.relay.version(),
            currency: self.proof.held().map(|evidence| wire::Currency {
                version: evidence.version,
                age_ms: u64::try_from(now.since(evidence.at).as_millis()).unwrap_or(u64::MAX),
            }),
            rumours: self.prober.rumours(),
            held,
        }
    }

    fn send(&mut self, to: &str, body: Body) {
        let Some(host) = self.hosts.map.get(to) else {
            return;
        };
        self.cx.out.push(Output::Frame {
            to: host.peer.name.clone(),
            address: host.peer.peer_address.clone(),
            frame: Frame { body: Some(body) },
        });
    }

    /// The hosts that something new goes to.
    fn few(&mut self) -> Vec<Name> {
        let fanout = self.cx.settings.fanout;
        self.hosts.pick(&mut self.cx, fanout)
    }

    fn publish(&mut self, value: &Value) {
        if self.push_value(value) {
            self.cx.out.push(Output::Value(value.clone()));
        }
    }

    /// Adopts a value of this host and sends it to a few peers at once.
    fn push_value(&mut self, value: &Value) -> bool {
        if !self.spread.adopt(value) {
            return false;
        }
        let values = wire::Values {
            values: vec![spread::to_wire(value)],
        };
        for peer in self.few() {
            self.send(&peer, Body::Values(values.clone()));
        }
        true
    }

    /// Takes in a value of another host.
    fn take_value(&mut self, value: &wire::Value) {
        let value = spread::from_wire(value);
        let Some(name) = value.key.strip_prefix(hosts::PREFIX) else {
            if self.spread.adopt(&value) {
                self.cx.out.push(Output::Value(value));
            }
            return;
        };
        let name: Name = name.into();
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

    fn frame(&mut self, from: &Name, incarnation: Incarnation, body: Body) {
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
                    self.take_value(value);
                }
            }
            Body::Announce(announce) => {
                self.want(from, &announce.ids, &announce.versions);
            }
            Body::Ask(ask) => self.give(from, &ask.ids),
            Body::Digest(digest) => {
                self.hear(from, &digest.dead);
                if let Some(compare) = self.spread.compare(&digest) {
                    self.send(from, Body::Compare(compare));
                }
            }
            Body::Compare(compare) => {
                let missing = self.spread.missing(&compare);
                self.give(from, &missing);
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

    fn want(&mut self, from: &Name, ids: &[u64], versions: &[u64]) {
        if let Some(ask) = self.spread.wanted(self.cx.now, ids, versions) {
            self.send(from, Body::Ask(ask));
        }
    }

    fn give(&mut self, to: &Name, ids: &[u64]) {
        for values in self.spread.values(ids) {
            self.send(to, Body::Values(values));
        }
    }

    fn hear(&mut self, from: &Name, rumours: &[wire::Rumour]) {
        self.prober
            .hear(&mut self.cx, &mut self.hosts, from, rumours);
        let me = &*self.hosts.me.name;
        if rumours.iter().any(|rumour| rumour.name == me) {
            self.send_record(from);
        }
    }

    /// Sends the own record to a host that goes by an older one.
    fn send_record(&mut self, to: &Name) {
        let record = self.hosts.own_record(self.cx.settings.weight);
        let values = vec![spread::to_wire(&record)];
        self.send(to, Body::Values(wire::Values { values }));
    }

    fn on_ping(&mut self, from: &Name, ping: &wire::Ping) {
        if let Some(host) = &ping.host {
            self.take_value(host);
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

    fn on_ack(&mut self, from: &Name, incarnation: Incarnation, ack: &wire::Ack) {
        if !ack.subject.is_empty() {
            self.prober
                .vouched(&mut self.cx, ack.sequence, &ack.subject);
            return;
        }
        if let Some(host) = &ack.host {
            self.take_value(host);
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
    fn on_currency(&mut self, sent: Time, currency: &wire::Currency) {
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

    fn on_beat(&mut self, from: &Name, beat: &wire::Beat) {
        self.hosts.has_table(from, beat.table);
        self.relay.heard(self.cx.now, beat.table);
        if beat.held != 0 {
            self.hosts.refute(beat.held);
            self.send_record(from);
        }
        self.hear(from, &beat.rumours);
    }

    fn on_fetch(&mut self, from: &Name, after: &str) {
        let mut page = self.spread.page(after);
        if page.last {
            page.dead = self.hosts.deaths(self.cx.now, false);
        }
        self.send(from, Body::Page(page));
    }

    fn on_page(&mut self, from: &Name, page: &wire::Page) {
        for value in &page.values {
            self.take_value(value);
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

    fn on_push(&mut self, from: &Name, push: wire::TablePush) {
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
