//! State that all parts of one host's ledger share: settings, the view of the hosts,
//! outputs, the budget for writes.

use crate::{
    Output, Settings,
    life::{self, Interner, Life},
};
use mulberryrack_core::{
    Incarnation, Name, Time, hash,
    kv::{CallId, Op},
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

/// How long a host that has just started waits for other hosts to appear in its view.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a life of a host can still act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The life answers, or is only suspected of having failed.
    Up,
    /// The life answers, and its host is about to stop.
    Leaving,
    /// The life is presumed dead, but may still act, for instance after a pause.
    Dead,
    /// The life counts as ended for good: a newer life of its host has been seen, or the
    /// host is gone or has long been missing from the view.
    Gone,
}

/// State shared by all parts of one host's ledger.
#[derive(Debug)]
pub struct Context {
    pub settings: Settings,
    pub me: Life,
    pub my_key: life::Key,
    pub view: Arc<View>,
    pub interner: Interner,
    pub now: Time,
    /// Frames from this host to itself, not handled yet.
    pub local_frames: VecDeque<Body>,
    pub outputs: Vec<Output>,
    pub leaving: bool,
    /// When each host was first found missing from the view.
    missing_since: BTreeMap<Name, Time>,
    /// Cache of [`Context::preferred_owner`] under the current view.
    preferred_owners: BTreeMap<u32, Option<Life>>,
    /// Cache of [`Context::own_successor`] under the current view.
    own_successors: BTreeMap<u32, Option<Life>>,
    started: Time,
    write_budget: WriteBudget,
    rng: ChaCha8Rng,
    /// Last number used for a call token or a nonce.
    last_number: u64,
}

/// Token bucket that limits this host's writes to the key-value service.
#[derive(Debug)]
struct WriteBudget {
    tokens: f64,
    filled_at: Time,
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
            local_frames: VecDeque::new(),
            outputs: Vec::new(),
            leaving: false,
            missing_since: BTreeMap::new(),
            preferred_owners: BTreeMap::new(),
            own_successors: BTreeMap::new(),
            started: now,
            write_budget: WriteBudget {
                tokens: 0.0,
                filled_at: now,
                rate: 0.0,
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_number: 0,
        }
    }

    /// Sends a frame to a life of a host, which may be this life.
    pub fn send(&mut self, to: &Life, body: Body) {
        if *to == self.me {
            self.local_frames.push_back(body);
            return;
        }
        self.outputs.push(Output::Frame {
            to: to.host.clone(),
            incarnation: Some(to.incarnation),
            frame: Frame { body: Some(body) },
        });
    }

    /// Calls the key-value service for a shard. The shard is encoded in the token.
    pub fn call_service(&mut self, shard: u32, op: Op) -> CallId {
        self.last_number += 1;
        let token = CallId(self.last_number * u64::from(self.settings.shards) + u64::from(shard));
        self.outputs.push(Output::Kv { token, op });
        token
    }

    /// A number that this life has not used before.
    pub const fn nonce(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The shard that a call was made for.
    pub fn shard_of_call(&self, token: CallId) -> u32 {
        u32::try_from(token.0 % u64::from(self.settings.shards)).expect("less than shards")
    }

    /// The shard that a request id belongs to.
    pub fn shard_of(&self, id: u128) -> u32 {
        let high = u64::try_from(id >> 64).expect("upper half");
        u32::try_from(high % u64::from(self.settings.shards)).expect("less than shards")
    }

    pub fn count(&mut self, counter: Counter) {
        self.outputs.push(Output::Count(counter));
    }

    pub fn log_event(&mut self, level: Level, event: &'static str, shard: u32) {
        self.outputs
            .push(Output::Note(Note::new(level, event).with("shard", shard)));
    }

    /// Wall clock in milliseconds: that of the start of this life plus the time since then.
    pub fn wall_clock_ms(&self) -> u64 {
        self.me.incarnation.0 + self.now.as_micros() / 1_000
    }

    /// `interval`, shortened by a random part of up to a quarter.
    pub fn jitter(&mut self, interval: Duration) -> Duration {
        let share: f64 = self.rng.random();
        interval.mul_f64(1.0 - share / 4.0)
    }

    /// Replaces the view of the hosts.
    pub fn set_view(&mut self, view: Arc<View>) {
        self.missing_since
            .retain(|name, _| view.peer(name).is_none());
        self.view = view;
        self.preferred_owners.clear();
        self.own_successors.clear();
    }

    /// Whether a life can still act, according to the view. A host that is missing from the
    /// view counts as gone after [`Settings::absent_timeout`].
    pub fn liveness(&mut self, life: &Life) -> Liveness {
        if *life == self.me {
            return Liveness::Up;
        }
        let Some(peer) = self.view.peer(&life.host) else {
            let since = *self
                .missing_since
                .entry(life.host.clone())
                .or_insert(self.now);
            let is_gone = self.now.since(since) >= self.settings.absent_timeout;
            return if is_gone {
                Liveness::Gone
            } else {
                Liveness::Dead
            };
        };
        if peer.incarnation > life.incarnation {
            return Liveness::Gone;
        }
        match peer.standing {
            Standing::Alive | Standing::Suspect => Liveness::Up,
            Standing::Leaving => Liveness::Leaving,
            Standing::Dead => Liveness::Dead,
            Standing::Gone => Liveness::Gone,
        }
    }

    /// Hosts that may own a shard, in order of preference (rendezvous hashing).
    pub fn ranking(&self, shard: u32) -> Vec<&Peer> {
        let item = format!("ledger/{shard}");
        let mut ranked: Vec<(f64, &Peer)> = self
            .view
            .eligible()
            .filter(|peer| !self.leaving || peer.name != self.me.host)
            .map(|peer| (hash::rendezvous(&item, &peer.name, 1.0), peer))
            .collect();
        ranked.sort_by(|one, other| other.0.total_cmp(&one.0));
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }

    /// The preferred owner of a shard: the first host of the ranking.
    pub fn preferred_owner(&mut self, shard: u32) -> Option<Life> {
        if let Some(preferred) = self.preferred_owners.get(&shard) {
            return preferred.clone();
        }
        let preferred = self.ranking(shard).first().map(|peer| life_of(peer));
        self.preferred_owners.insert(shard, preferred.clone());
        preferred
    }

    /// The best successor for a shard that this host owns.
    pub fn own_successor(&mut self, shard: u32) -> Option<Life> {
        if let Some(successor) = self.own_successors.get(&shard) {
            return successor.clone();
        }
        let successor = self.best_successor(shard, &self.me);
        self.own_successors.insert(shard, successor.clone());
        successor
    }

    /// Removes this host from its own rankings: from now on it is the preferred owner of no
    /// shard.
    pub fn begin_leave(&mut self) {
        self.leaving = true;
        self.preferred_owners.clear();
        self.own_successors.clear();
    }

    /// The best successor for a shard of `owner`: the first other live host of the ranking
    /// in another data centre, or in the same one if there is no such host.
    pub fn best_successor(&self, shard: u32, owner: &Life) -> Option<Life> {
        let owner_data_centre = self.view.peer(&owner.host).map(|peer| &peer.data_centre);
        let others: Vec<&Peer> = self
            .ranking(shard)
            .into_iter()
            .filter(|peer| peer.name != owner.host && peer.standing == Standing::Alive)
            .collect();
        others
            .iter()
            .find(|peer| Some(&peer.data_centre) != owner_data_centre)
            .or(others.first())
            .map(|peer| life_of(peer))
    }

    /// Sets the rate of this host's write budget: the part of
    /// [`Settings::writes_per_second`] that is in proportion to the shards it owns.
    pub fn set_write_rate(&mut self, owned: usize) {
        let owned = u32::try_from(owned).unwrap_or(self.settings.shards);
        self.write_budget.rate = f64::from(self.settings.writes_per_second) * f64::from(owned)
            / f64::from(self.settings.shards);
    }

    /// When the next write may be made; `None` if one may be made now.
    pub fn write_blocked_until(&mut self) -> Option<Time> {
        self.write_budget.fill(self.now);
        if self.write_budget.tokens >= 1.0 {
            return None;
        }
        let missing = (1.0 - self.write_budget.tokens) / self.write_budget.rate.max(0.1);
        Some(self.now + Duration::from_secs_f64(missing) + Duration::from_micros(1))
    }

    /// Takes one write out of the budget. The first write of a takeover ignores the budget
    /// and may overdraw it by up to two writes.
    pub fn spend_write(&mut self) {
        self.write_budget.fill(self.now);
        self.write_budget.tokens = (self.write_budget.tokens - 1.0).max(-2.0);
    }

    /// Whether the view has fewer than two hosts and this host has only just started, so that
    /// other hosts may still appear.
    pub fn may_lack_peers(&self) -> bool {
        self.view.peers.len() < 2 && self.now.since(self.started) < FIRST_VIEW_TIMEOUT
    }
}

impl WriteBudget {
    /// Adds the writes earned since the last call. The budget saves up the writes of one
    /// second, or two writes if that is more.
    fn fill(&mut self, now: Time) {
        let earned = now.since(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate.max(2.0));
        self.filled_at = now;
    }
}

fn life_of(peer: &Peer) -> Life {
    Life {
        host: peer.name.clone(),
        incarnation: peer.incarnation,
    }
}
