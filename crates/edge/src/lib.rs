//! The I/O of one host on a platform: sockets, timers and signals.
//!
//! [`run`] runs a host until the process is told to stop; start reading in `host`. Decisions
//! are made elsewhere: the package `gate` decides about callers' requests and the package
//! `fleet` about model engines. A [`Dialect`](mulberryrack_site::Dialect) converts between
//! their types and the platform's formats. One thread runs all tasks; they share the state
//! in `shared::Shared`.
//!
//! - Requests: `caller` accepts callers' connections, `arrival` tells for how long a request has
//!   waited, `admission` checks heads, `exchange` takes one request from its admission to its final
//!   answer, `client` holds the connections to upstreams, `link` is one of them.
//! - Ends of answers: [`framing`] tells what marks the end of a body, [`events`] whether an event
//!   stream has ended between two events.
//! - Bytes without end: `bounds` has what is read of any peer at most, `meter` counts it.
//! - Memory and places for callers: `holdings` keeps the account of the package `room`.
//!   `unread` knows for how long an upstream was not read.
//! - Key-value service: `store` makes the calls, `listing` reads all keys, `watch` follows the configuration
//!   and the registrations, `config_watch` the configuration alone while their bytes take long, of which
//!   `transfer` keeps account; `membership` writes this host's own keys.
//! - Keys of organisations: `freshness` knows whether the configuration is provably current.
//! - Engines: `orders` sends the planner's orders while this host holds the claim to give
//!   orders; `lease_extension` extends the claim during an outage of the key-value service, and
//!   `succession` makes sure that the holder before gives no more orders.
//! - Speeds of engines: `speeds` logs what the gate has learned.
//! - This host's own pace: `lateness` measures how late its thread is, and has waits that do not take
//!   that for the silence of others.
//! - The host's link: `traffic` counts what crosses it; the package `uplink` tells how long bytes wait there.
//! - Other hosts: `peers` makes and serves calls, `notices` sends and receives datagrams.
//! - Requests that crash upstreams: `crashes` finds out whether an upstream has ended,
//!   `suspects` shares the evidence with the other hosts, `refusals` keeps the requests that
//!   are refused in the key-value service.
//! - Proofs that the configuration is current: `proofs` asks other hosts and the key-value service
//!   for them.
//! - Upstreams with a limit on requests: `tokens` has the hosts give each other the right to send
//!   them requests.
//! - Quotas of organisations: `usage` charges requests and has the hosts tell each other what they
//!   have spent.
//! - Short requests on ports of their own: `endpoint` serves readiness, addresses and
//!   metrics; `preview` tells operators where a request would go now.

mod admission;
mod arrival;
pub mod bounds;
mod caller;
mod caller_metrics;
mod client;
mod clock;
mod config_watch;
mod crashes;
pub mod directory;
mod endpoint;
mod eras;
pub mod events;
mod exchange;
mod fairness_metrics;
pub mod framing;
mod freshness;
mod holdings;
mod host;
mod journal;
mod lateness;
mod lease_extension;
mod limit_metrics;
mod link;
mod listing;
mod membership;
mod meter;
mod metrics;
mod notices;
mod orders;
mod peers;
mod permits;
mod preview;
mod proofs;
pub mod quota;
mod refusals;
mod registration;
mod replies;
mod shared;
mod socket;
mod speeds;
mod store;
mod succession;
mod suspects;
mod tokens;
mod traffic;
mod transfer;
pub mod unread;
mod usage;
mod usage_metrics;
mod watch;

pub use host::run;
pub use metrics::registered;
