//! Faults that can be switched on and off, and the counters of a running deployment.

use mulberryrack_core::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::{collections::BTreeMap, time::Duration};

/// A fault to switch on or off. In JSON, the field `switch` contains the kind of fault and
/// `name` the name of a machine, which may be `kv` or `list`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "switch", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Switch {
    /// New connections are refused, and open ones broken off.
    Refuse {
        /// Name of the machine.
        name: Name,
        /// Whether the fault is switched on.
        on: bool,
    },
    /// Connections are accepted, but requests get no answer.
    Hang {
        /// Name of the machine.
        name: Name,
        /// Whether the fault is switched on.
        on: bool,
    },
    /// The connections that are open now go silent for good; new ones work.
    Silence {
        /// Name of the machine.
        name: Name,
    },
    /// An engine or service replica crashes and restarts by itself.
    Crash {
        /// Name of the machine.
        name: Name,
    },
    /// An engine or service replica is lost for good and is removed from the list.
    Lose {
        /// Name of the machine.
        name: Name,
    },
    /// An engine or service replica is about to go away: its reports say so, and so does
    /// the list after its lag.
    Leaving {
        /// Name of the machine.
        name: Name,
        /// Whether the fault is switched on.
        on: bool,
    },
    /// Every `one_in`-th order to an engine is lost; 0 for none.
    LoseOrders {
        /// Name of the engine.
        name: Name,
        /// Number of orders of which the last is lost.
        one_in: u32,
    },
    /// Orders to an engine take effect after a delay and are not answered; a delay of 0
    /// ends the fault.
    DelayOrders {
        /// Name of the engine.
        name: Name,
        /// Delay of each order.
        #[serde(rename = "delay_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay: Duration,
    },
    /// Answers of the key-value service are delayed; a delay of 0 ends the fault.
    KvSlow {
        /// Delay of each answer, added to the usual one.
        #[serde(rename = "delay_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay: Duration,
    },
    /// The answer to every `one_in`-th write to the key-value service is lost after the
    /// write has taken effect; 0 for none.
    KvLoseAnswers {
        /// Number of writes of which the last loses its answer.
        one_in: u32,
    },
    /// Calls to the key-value service are refused with 503 and not carried out.
    KvUnavailable {
        /// Whether the fault is switched on.
        on: bool,
    },
    /// Sets the lag of the list.
    ListLag {
        /// Delay after which readers see a change.
        #[serde(rename = "lag_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lag: Duration,
    },
}

/// Counters since the start of the deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Calls to the key-value service by operation.
    pub kv_calls: BTreeMap<Name, u64>,
    /// Calls to the key-value service by the caller's `user-agent`.
    pub kv_callers: BTreeMap<Name, u64>,
    /// Number of reads of the list of machines.
    pub list_reads: u64,
    /// Number of runs of requests, on engines and services.
    pub runs: u64,
    /// Idempotency keys of requests that ran more than once, over all upstreams, with the
    /// number of runs.
    pub doubles: BTreeMap<Name, u32>,
    /// Number of crashes by engine; engines without any are left out.
    pub crashes: BTreeMap<Name, u32>,
    /// Peak memory and capacity by engine.
    pub memory: BTreeMap<Name, Memory>,
    /// Number of loads begun by the weight store.
    pub loads: u64,
}

impl Tally {
    /// Names of the engines whose memory was ever overcommitted.
    pub fn overcommitted(&self) -> impl Iterator<Item = &Name> {
        self.memory
            .iter()
            .filter(|(_, memory)| memory.peak_mb > memory.capacity_mb)
            .map(|(name, _)| name)
    }
}

/// Peak use and capacity of an engine's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// Largest number of megabytes in use at once, over all incarnations.
    pub peak_mb: u64,
    /// Capacity in megabytes.
    pub capacity_mb: u64,
}
