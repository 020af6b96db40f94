//! Lives of hosts, numbered so that records stay small.

use mulberryrack_core::{Incarnation, Name};
use mulberryrack_wire::ledger as wire;
use std::collections::BTreeMap;

/// One life of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    /// The host.
    pub host: Name,
    /// Which of its lives.
    pub incarnation: Incarnation,
}

impl Life {
    /// Reads the message form.
    pub fn read(wire: &wire::Life) -> Self {
        Self {
            host: Name::from(wire.host.as_str()),
            incarnation: Incarnation(wire.incarnation),
        }
    }

    /// The message form.
    pub fn write(&self) -> wire::Life {
        wire::Life {
            host: self.host.to_string(),
            incarnation: self.incarnation.0,
        }
    }
}

/// Number of a life in an [`Arena`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u32);

/// All lives met so far. Nothing is ever removed: a restart of a host adds one.
#[derive(Debug, Default)]
pub struct Arena {
    lives: Vec<Life>,
    keys: BTreeMap<Life, Key>,
}

impl Arena {
    /// The number of a life.
    pub fn key(&mut self, life: &Life) -> Key {
        if let Some(key) = self.keys.get(life) {
            return *key;
        }
        let key = Key(u32::try_from(self.lives.len()).expect("fewer than 2^32 lives"));
        self.lives.push(life.clone());
        self.keys.insert(life.clone(), key);
        key
    }

    /// The life with this number.
    pub fn get(&self, key: Key) -> &Life {
        &self.lives[key.0 as usize]
    }
}
