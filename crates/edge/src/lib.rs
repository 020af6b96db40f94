//! Sockets around the decisions of one host on a platform.
//!
//! One thread runs everything: the servers for callers, for address questions and for
//! readiness, the connections to upstreams and to the key-value service, and the calls
//! between hosts. `gate` and `fleet` decide; a [`Dialect`](mulberryrack_site::Dialect)
//! translates.

mod caller;
mod client;
mod clock;
mod directory;
mod endpoint;
mod events;
mod exchange;
mod host;
mod journal;
mod lease_extension;
mod membership;
mod metrics;
mod notices;
mod orders;
mod peers;
mod registration;
mod shared;
mod socket;
mod store;
mod watch;

pub use host::run;
pub use metrics::registered;
