//! Settings that a host process is started with.

use mulberryrack_core::Name;
use std::{net::SocketAddr, time::Duration};

/// Settings of one host on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Unique name of the host.
    pub host: Name,
    /// Data centre in which the host runs.
    pub data_centre: Name,
    /// Address on which the host accepts callers' requests.
    pub caller_address: SocketAddr,
    /// Address on which the host answers the platform's readiness checks.
    pub readiness_address: SocketAddr,
    /// Address on which the host answers callers' address queries.
    pub directory_address: SocketAddr,
    /// Address on which the host accepts calls from the other hosts.
    pub peer_address: SocketAddr,
    /// Address on which the host serves its metrics.
    pub metrics_address: SocketAddr,
    /// Address of the key-value service.
    pub kv_address: SocketAddr,
    /// Shortest time to live that the key-value service allows for a lease.
    pub min_lease_ttl: Duration,
    /// Limits that the host must keep, alone or together with the other hosts.
    pub bounds: Bounds,
    /// Thousandths of a processor core that the process may use.
    pub millicores: u32,
    /// Number of file descriptors that the process may use for sockets.
    pub max_sockets: usize,
    /// Memory that the process may use, in megabytes; `None` sets no limit.
    pub memory_mb: Option<u32>,
    /// Bytes a second that the host's link carries in each direction; `None` if that is not known.
    pub link_bytes_per_s: Option<u32>,
    /// How upstreams are chosen by their load.
    pub balance_rule: BalanceRule,
    /// Whether hosts share the speeds of engines that they measure, where the rule `Even` is in force.
    pub shares_speeds: bool,
}

/// How the upstream of a request is chosen by the load of the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalanceRule {
    /// The upstream with the lowest cost by its last report.
    #[default]
    Least,
    /// By estimates that allow for the age of reports and the speed of upstreams.
    Even,
    /// As [`BalanceRule::Even`] for services whose upstreams state how long work takes on their
    /// machines, else as [`BalanceRule::Least`].
    Stated,
}

/// Limits that the deployment sets for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the platform's stop signal to the forced end of the process.
    pub grace_period: Duration,
    /// The shorter of two limits: the time until an accepted configuration is in force, and
    /// the time until an upstream that drains gets no more requests.
    pub max_reaction_delay: Duration,
    /// Retries allowed in `retry_window`, as a share of the requests in the window.
    pub retry_share: f64,
    /// Retries allowed in `retry_window` beyond that share, over all hosts together.
    pub retry_extra: f64,
    /// Length of the sliding window in which retries are counted.
    pub retry_window: Duration,
    /// Shortest time between orders of two different hosts to the same engine.
    pub order_handover_delay: Duration,
    /// Length of the sliding window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Longest time for which callers may keep the answer to an address query.
    pub address_ttl: Duration,
    /// Time after which a key that the configuration no longer has is of no use at any host, whether
    /// the host reaches the key-value service or not; `None` sets no limit for hosts that do not.
    pub revocation_delay: Option<Duration>,
    /// How far the quotas of organisations may be exceeded.
    pub quota: QuotaBounds,
}

/// How far the quotas of organisations may be exceeded: in each window at most (rate x window +
/// burst) x (1 + `overshoot`) + `slack`, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window in which use is counted.
    pub window: Duration,
    /// Share of the quota by which it may be exceeded.
    pub overshoot: f64,
    /// Units by which it may be exceeded beyond that share.
    pub slack: f64,
}
