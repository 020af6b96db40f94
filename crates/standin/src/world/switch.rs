//! Faults that can be switched on and off, and the counters.

use mulberryrack_core::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::{collections::BTreeMap, time::Duration};

/// A fault, as JSON with the field `switch`. `name` is the name of a machine, `kv` or
/// `list`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "switch", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Switch {
    /// Connections are refused, and the open ones broken.
    Refuse {
        /// The machine.
        name: Name,
        /// On or off.
        on: bool,
    },
    /// Connections are taken and nothing is answered.
    Hang {
        /// The machine.
        name: Name,
        /// On or off.
        on: bool,
    },
    /// The connections that are open now go silent for good; new ones work.
    Silence {
        /// The machine.
        name: Name,
    },
    /// An engine or service crashes and comes back by itself.
    Crash {
        /// The machine.
        name: Name,
    },
    /// An engine or service is lost for good and leaves the list.
    Lose {
        /// The machine.
        name: Name,
    },
    /// An engine or service is about to go away: it says so itself, and so does the
    /// list after its lag.
    Leaving {
        /// The machine.
        name: Name,
        /// On or off.
        on: bool,
    },
    /// Every so many orders to an engine one is lost; 0 for none.
    LoseOrders {
        /// The engine.
        name: Name,
        /// How many.
        one_in: u32,
    },
    /// Orders to an engine take effect later and are not answered; 0 for at once.
    DelayOrders {
        /// The engine.
        name: Name,
        /// How much later.
        #[serde(rename = "delay_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay: Duration,
    },
    /// Each answer of the key-value service takes longer.
    KvSlow {
        /// How much longer.
        #[serde(rename = "delay_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay: Duration,
    },
    /// Every so many writes the answer is lost after the write has taken effect; 0 for
    /// none.
    KvLoseAnswers {
        /// How many.
        one_in: u32,
    },
    /// Calls to the key-value service are answered with 503 and not carried out.
    KvUnavailable {
        /// On or off.
        on: bool,
    },
    /// The list lags so much.
    ListLag {
        /// The lag.
        #[serde(rename = "lag_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lag: Duration,
    },
}

/// What has happened since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Calls to the key-value service by operation.
    pub kv_calls: BTreeMap<Name, u64>,
    /// Calls to the key-value service by the caller's `user-agent`.
    pub kv_callers: BTreeMap<Name, u64>,
    /// Reads of the list.
    pub list_reads: u64,
    /// Requests that ran, on engines and services.
    pub runs: u64,
    /// Idempotency keys that ran more than once, over all upstreams, with the count.
    pub doubles: BTreeMap<Name, u32>,
    /// Crashes by upstream.
    pub crashes: BTreeMap<Name, u32>,
    /// Most memory in use by engine.
    pub memory: BTreeMap<Name, Memory>,
    /// Loads begun by the weight store.
    pub loads: u64,
}

impl Tally {
    /// Engines whose memory was ever overcommitted.
    pub fn overcommitted(&self) -> impl Iterator<Item = &Name> {
        self.memory
            .iter()
            .filter(|(_, memory)| memory.peak_mb > memory.capacity_mb)
            .map(|(name, _)| name)
    }
}

/// Memory of an engine in megabytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// The most in use at once, over all its lives.
    pub peak_mb: u64,
    /// What there is.
    pub capacity_mb: u64,
}
