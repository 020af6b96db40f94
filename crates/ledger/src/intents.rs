//! The state of each request id in a shard, computed from the records of its log.

use crate::{
    life,
    record::{ClaimId, Kind, Record},
};
use std::collections::BTreeMap;

/// State of an intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not yet durable, so its claim is not granted.
    Pending,
    /// Durable, so its claim may be granted. How the request ended is not recorded.
    Durable,
    /// The holder ran the request and keeps the answer.
    Ran,
    /// The holder ran the request and no longer keeps the answer.
    Forgotten,
    /// The holder does not know whether the request ran.
    Unknown,
    /// The request may have run without a record: its claim came during a quarantine.
    Gap,
}

/// The newest intent for a request id: one host, the holder of the claim, may run the
/// request once.
#[derive(Clone, Copy, Debug)]
pub struct Intent {
    /// Lower half of the hash of the request body.
    pub body: u64,
    /// Key of the request on the holder.
    pub request: u64,
    /// Nonce of the holder's claim.
    pub nonce: u64,
    /// The holder's life.
    pub life: life::Key,
    /// Wall clock in seconds when the intent was recorded.
    pub recorded_s: u32,
    /// State of the intent.
    pub state: State,
}

impl Intent {
    /// Identity of the holder's claim.
    pub const fn claim(&self) -> ClaimId {
        ClaimId {
            life: self.life,
            nonce: self.nonce,
        }
    }
}

/// The newest intent of each request id of one shard.
#[derive(Debug, Default)]
pub struct Intents {
    by_id: BTreeMap<u128, Intent>,
}

impl Intents {
    /// The newest intent for `id`.
    pub fn get(&self, id: u128) -> Option<&Intent> {
        self.by_id.get(&id)
    }

    /// Applies a record. An intent enters with `state` and replaces the previous intent
    /// for its id; an owner records a second intent only after the release of the first.
    pub fn apply(&mut self, record: &Record, stamp_ms: u64, state: State) {
        match record.kind {
            Kind::Intent => self.insert(record, stamp_ms, state),
            Kind::Gap => self.insert(record, stamp_ms, State::Gap),
            Kind::Release => {
                if self.has_claim_of(record) {
                    self.by_id.remove(&record.id);
                }
            }
            Kind::Ran => self.set_end(record, State::Ran),
            Kind::Forgotten => self.set_end(record, State::Forgotten),
            Kind::Unknown => self.set_end(record, State::Unknown),
            Kind::Probe => {}
        }
    }

    /// Marks an intent as durable. Returns false if it was not pending or is no longer the
    /// newest intent for its id.
    pub fn mark_durable(&mut self, record: &Record) -> bool {
        let Some(intent) = self.by_id.get_mut(&record.id) else {
            return false;
        };
        if intent.claim() != record.claim || intent.state != State::Pending {
            return false;
        }
        intent.state = State::Durable;
        true
    }

    /// Drops intents recorded before a wall-clock time, except those still pending.
    pub fn expire(&mut self, before_ms: u64) {
        let before = whole_seconds(before_ms);
        self.by_id
            .retain(|_, intent| intent.recorded_s >= before || intent.state == State::Pending);
    }

    /// Number of ids with an intent.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    fn insert(&mut self, record: &Record, stamp_ms: u64, state: State) {
        let intent = Intent {
            body: record.body,
            request: record.request,
            nonce: record.claim.nonce,
            life: record.claim.life,
            recorded_s: whole_seconds(stamp_ms),
            state,
        };
        self.by_id.insert(record.id, intent);
    }

    fn has_claim_of(&self, record: &Record) -> bool {
        self.by_id
            .get(&record.id)
            .is_some_and(|intent| intent.claim() == record.claim)
    }

    fn set_end(&mut self, record: &Record, state: State) {
        if let Some(intent) = self.by_id.get_mut(&record.id)
            && intent.claim() == record.claim
            && intent.state != State::Gap
        {
            intent.state = state;
        }
    }
}

/// Whole seconds of a wall-clock time; 32 bits are enough until the year 2106.
fn whole_seconds(millis: u64) -> u32 {
    u32::try_from(millis / 1_000).unwrap_or(u32::MAX)
}
