//! What all parts of the ledger share: settings, the view, outputs, the write budget.

use crate::{
    Output, Settings,
    life::{self, Interner, Life},
};
use mulberryrack_core::{
    Incarnation, Name, Time, hash,
    kv::{Op, Token},
    note::{Counter, Level, Note},
    view::{Peer, Standing, View},
};
use mulberryrack_wire::ledger::{Frame, frame::Body};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// How long a host that has just started waits for others to come into its view.
const ALONE: Duration = Duration::from_secs(2);

/// Whether a life can still act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vital {
    /// It answers, or is merely suspected.
    Able,
    /// It answers, and is going away.
    Leaving,
    /// It is held dead and may still act.
    Dead,
    /// It cannot act again.
    Gone,
}

/// Shared by all parts of one host's ledger.
#[derive(Debug)]
pub struct Context {
    pub settings: Settings,
    pub me: Life,
    pub my_key: life::Key,
    pub view: Arc<View>,
    pub interner: Interner,
    pub now: Time,
    /// Frames from this host to itself.
    pub local: VecDeque<Body>,
    pub out: Vec<Output>,
    pub leaving: bool,
    absent: BTreeMap<Name, Time>,
    /// First choice of each shard under the current view, as far as asked for.
    firsts: BTreeMap<u32, Option<Life>>,
    /// Best successor of this host for each shard, likewise.
    heirs: BTreeMap<u32, Option<Life>>,
    started: Time,
    budget: Budget,
    rng: ChaCha8Rng,
    calls: u64,
}

/// A token bucket for writes to the key-value service.
#[derive(Debug)]
struct Budget {
    tokens: f64,
    filled: Time,
    rate: f64,
}

impl Context {
    pub fn new(
        settings: Settings,
        me: Name,
        incarnation: Incarnation,
        seed: u64,
        now: Time,
    ) -> Self {
        let me = Life {
            host: me,
            incarnation,
        };
        let mut interner = Interner::default();
        Self {
            my_key: interner.intern(&me),
            settings,
            me,
            view: Arc::default(),
            interner,
            now,
            local: VecDeque::new(),
            out: Vec::new(),
            leaving: false,
            absent: BTreeMap::new(),
            firsts: BTreeMap::new(),
            heirs: BTreeMap::new(),
            started: now,
            budget: Budget {
                tokens: 0.0,
                filled: now,
                rate: 0.0,
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls: 0,
        }
    }

    /// Sends to one life of a host, this one included.
    pub fn send(&mut self, to: &Life, body: Body) {
        if *to == self.me {
            self.local.push_back(body);
            return;
        }
        self.out.push(Output::Frame {
            to: to.host.clone(),
            incarnation: Some(to.incarnation),
            frame: Frame { body: Some(body) },
        });
    }

    /// Calls the key-value service for a shard.
    pub fn call(&mut self, shard: u32, op: Op) -> Token {
        self.calls += 1;
        let token = Token(self.calls * u64::from(self.settings.shards) + u64::from(shard));
        self.out.push(Output::Kv { token, op });
        token
    }

    /// A number that this life uses once.
    pub const fn nonce(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    /// The shard that a call was made for.
    pub fn shard_of_call(&self, token: Token) -> u32 {
        u32::try_from(token.0 % u64::from(self.settings.shards)).expect("less than shards")
    }

    /// The shard that an id lies in.
    pub fn shard_of(&self, id: u128) -> u32 {
        let high = u64::try_from(id >> 64).expect("upper half");
        u32::try_from(high % u64::from(self.settings.shards)).expect("less than shards")
    }

    pub fn count(&mut self, counter: Counter) {
        self.out.push(Output::Count(counter));
    }

    pub fn note(&mut self, level: Level, event: &'static str, shard: u32) {
        self.out
            .push(Output::Note(Note::new(level, event).with("shard", shard)));
    }

    /// Wall clock in milliseconds, as far as the start of this life told it.
    pub fn wall_ms(&self) -> u64 {
        self.me.incarnation.0 + self.now.as_micros() / 1_000
    }

    /// `span`, shortened by up to a quarter at random.
    pub fn jitter(&mut self, span: Duration) -> Duration {
        let share: f64 = self.rng.random();
        span.mul_f64(1.0 - share / 4.0)
    }

    /// Takes over a new view.
    pub fn adopt(&mut self, view: Arc<View>) {
        self.absent.retain(|name, _| view.peer(name).is_none());
        self.view = view;
        self.firsts.clear();
        self.heirs.clear();
    }

    /// Whether a life can still act, as far as the view tells.
    pub fn vital(&mut self, life: &Life) -> Vital {
        if *life == self.me {
            return Vital::Able;
        }
        let Some(peer) = self.view.peer(&life.host) else {
            let since = *self.absent.entry(life.host.clone()).or_insert(self.now);
            let gone = self.now.since(since) >= self.settings.absent;
            return if gone { Vital::Gone } else { Vital::Dead };
        };
        if peer.incarnation > life.incarnation {
            return Vital::Gone;
        }
        match peer.standing {
            Standing::Alive | Standing::Suspect => Vital::Able,
            Standing::Leaving => Vital::Leaving,
            Standing::Dead => Vital::Dead,
            Standing::Gone => Vital::Gone,
        }
    }

    /// Able hosts, first choice for a shard first.
    pub fn ranking(&self, shard: u32) -> Vec<&Peer> {
        let item = format!("ledger/{shard}");
        let mut ranked: Vec<(f64, &Peer)> = self
            .view
            .able()
            .filter(|peer| !self.leaving || peer.name != self.me.host)
            .map(|peer| (hash::rendezvous(&item, &peer.name, 1.0), peer))
            .collect();
        ranked.sort_by(|one, other| other.0.total_cmp(&one.0));
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }

    /// The first choice for a shard.
    pub fn first(&mut self, shard: u32) -> Option<Life> {
        if let Some(first) = self.firsts.get(&shard) {
            return first.clone();
        }
        let first = self.ranking(shard).first().map(|peer| life(peer));
        self.firsts.insert(shard, first.clone());
        first
    }

    /// The best successor of this host for a shard.
    pub fn heir(&mut self, shard: u32) -> Option<Life> {
        if let Some(heir) = self.heirs.get(&shard) {
            return heir.clone();
        }
        let heir = self.successor(shard, &self.me);
        self.heirs.insert(shard, heir.clone());
        heir
    }

    /// This host takes no new duties from here on.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.firsts.clear();
        self.heirs.clear();
    }

    /// The best successor for `owner` on a shard: in another data centre if there is one.
    pub fn successor(&self, shard: u32, owner: &Life) -> Option<Life> {
        let home = self.view.peer(&owner.host).map(|peer| &peer.data_centre);
        let others: Vec<&Peer> = self
            .ranking(shard)
            .into_iter()
            .filter(|peer| peer.name != owner.host && peer.standing == Standing::Alive)
            .collect();
        others
            .iter()
            .find(|peer| Some(&peer.data_centre) != home)
            .or(others.first())
            .map(|peer| life(peer))
    }

    /// Sets this host's share of the fleet's write budget.
    pub fn share(&mut self, owned: usize) {
        let owned = u32::try_from(owned).unwrap_or(self.settings.shards);
        self.budget.rate = f64::from(self.settings.writes_per_second) * f64::from(owned)
            / f64::from(self.settings.shards);
    }

    /// When the next write may be made; `None` for now.
    pub fn blocked(&mut self) -> Option<Time> {
        self.budget.fill(self.now);
        if self.budget.tokens >= 1.0 {
            return None;
        }
        let missing = (1.0 - self.budget.tokens) / self.budget.rate.max(0.1);
        Some(self.now + Duration::from_secs_f64(missing) + Duration::from_micros(1))
    }

    /// Takes one write out of the budget; a takeover overdraws it.
    pub fn spend(&mut self) {
        self.budget.fill(self.now);
        self.budget.tokens = (self.budget.tokens - 1.0).max(-2.0);
    }

    /// Whether the view may hold no other host only because this one has just started.
    pub fn alone_at_start(&self) -> bool {
        self.view.peers.len() < 2 && self.now.since(self.started) < ALONE
    }
}

impl Budget {
    /// Fills up; a second's worth is kept, and two writes at the least.
    fn fill(&mut self, now: Time) {
        let earned = now.since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate.max(2.0));
        self.filled = now;
    }
}

fn life(peer: &Peer) -> Life {
    Life {
        host: peer.name.clone(),
        incarnation: peer.incarnation,
    }
}
