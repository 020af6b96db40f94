//! What a shard's records come to: the state of each id.

use crate::{
    life,
    record::{Claim, Kind, Record},
};
use std::collections::BTreeMap;

/// How far an intent has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not yet durable: not granted.
    Waiting,
    /// Durable; its end is not recorded.
    Held,
    /// Its holder ran it and kept the answer.
    Ran,
    /// Its holder ran it and no longer keeps the answer.
    Forgotten,
    /// Its holder does not know whether it ran.
    Unknown,
    /// It may have run without a record.
    Gap,
}

/// The newest intent of an id.
#[derive(Clone, Copy, Debug)]
pub struct Intent {
    /// Hash of the body.
    pub body: u64,
    /// The request on the holder.
    pub request: u64,
    /// The nonce of the holder's claim.
    pub nonce: u64,
    /// The holder.
    pub life: life::Key,
    /// Wall clock in seconds when it was recorded.
    pub stamp: u32,
    /// How far it has come.
    pub state: State,
}

impl Intent {
    /// The holder's claim.
    pub const fn claim(&self) -> Claim {
        Claim {
            life: self.life,
            nonce: self.nonce,
        }
    }
}

/// The intents of one shard by id.
#[derive(Debug, Default)]
pub struct Book {
    intents: BTreeMap<u128, Intent>,
}

impl Book {
    /// The newest intent of an id.
    pub fn get(&self, id: u128) -> Option<&Intent> {
        self.intents.get(&id)
    }

    /// Applies a record. Intents become `state`; an intent replaces the one before,
    /// which was released if the record was made by the rules.
    pub fn apply(&mut self, record: &Record, stamp_ms: u64, state: State) {
        match record.kind {
            Kind::Intent => self.insert(record, stamp_ms, state),
            Kind::Gap => self.insert(record, stamp_ms, State::Gap),
            Kind::Release => {
                if self.holds(record) {
                    self.intents.remove(&record.id);
                }
            }
            Kind::Ran => self.end(record, State::Ran),
            Kind::Forgotten => self.end(record, State::Forgotten),
            Kind::Unknown => self.end(record, State::Unknown),
            Kind::Probe => {}
        }
    }

    /// Marks an intent as durable; says whether it is still the newest of its id.
    pub fn hold(&mut self, record: &Record) -> bool {
        let Some(intent) = self.intents.get_mut(&record.id) else {
            return false;
        };
        if intent.claim() != record.claim || intent.state != State::Waiting {
            return false;
        }
        intent.state = State::Held;
        true
    }

    /// Drops intents recorded before a moment of the wall clock.
    pub fn expire(&mut self, before_ms: u64) {
        let before = seconds(before_ms);
        self.intents
            .retain(|_, intent| intent.stamp >= before || intent.state == State::Waiting);
    }

    /// How many ids are kept.
    pub fn len(&self) -> usize {
        self.intents.len()
    }

    fn insert(&mut self, record: &Record, stamp_ms: u64, state: State) {
        let intent = Intent {
            body: record.body,
            request: record.request,
            nonce: record.claim.nonce,
            life: record.claim.life,
            stamp: seconds(stamp_ms),
            state,
        };
        self.intents.insert(record.id, intent);
    }

    fn holds(&self, record: &Record) -> bool {
        self.intents
            .get(&record.id)
            .is_some_and(|intent| intent.claim() == record.claim)
    }

    fn end(&mut self, record: &Record, state: State) {
        if let Some(intent) = self.intents.get_mut(&record.id)
            && intent.claim() == record.claim
            && intent.state != State::Gap
        {
            intent.state = state;
        }
    }
}

/// Whole seconds, enough until the year 2106.
fn seconds(millis: u64) -> u32 {
    u32::try_from(millis / 1_000).unwrap_or(u32::MAX)
}
