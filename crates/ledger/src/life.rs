//! Lives of hosts, and their short numbers, which keep records in memory small.

use mulberryrack_core::{Incarnation, Name};
use mulberryrack_wire::ledger as wire;
use std::collections::BTreeMap;

/// One life of a host: one run of its process. A restart begins a new life.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    /// Name of the host.
    pub host: Name,
    /// Number of the life; higher than that of every earlier life of the host.
    pub incarnation: Incarnation,
}

impl Life {
    /// Converts from the protobuf message.
    pub fn from_wire(wire: &wire::Life) -> Self {
        Self {
            host: Name::from(wire.host.as_str()),
            incarnation: Incarnation(wire.incarnation),
        }
    }

    /// Converts to the protobuf message.
    pub fn to_wire(&self) -> wire::Life {
        wire::Life {
            host: self.host.to_string(),
            incarnation: self.incarnation.0,
        }
    }
}

/// Number of a life in an [`Interner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u32);

/// Assigns a number to each life that this host has met. Lives are never removed: each
/// restart of a host adds one.
#[derive(Debug, Default)]
pub struct Interner {
    lives: Vec<Life>,
    keys: BTreeMap<Life, Key>,
}

impl Interner {
    /// Returns the number of a life and assigns one to a new life.
    pub fn intern(&mut self, life: &Life) -> Key {
        if let Some(key) = self.keys.get(life) {
            return *key;
        }
        let key = Key(u32::try_from(self.lives.len()).expect("fewer than 2^32 lives"));
        self.lives.push(life.clone());
        self.keys.insert(life.clone(), key);
        key
    }

    /// The life with this number, which must come from this interner.
    pub fn get(&self, key: Key) -> &Life {
        &self.lives[key.0 as usize]
    }
}
