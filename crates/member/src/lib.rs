//! The membership area: which hosts are alive, which table version is in force, and which
//! hosts callers connect to.
//!
//! A life of a host is one run of its process; a higher incarnation is a later life. A
//! table version is in force on a host from when the host adopts it until it adopts a
//! higher one.
//!
//! [`Member`] is a state machine without I/O and without a clock. Its owner passes each
//! [`Input`] with the current time to [`Member::handle`] and carries out the [`Output`]s.
//!
//! - `hosts` and `probe` detect failed hosts by direct and indirect probes (SWIM).
//! - `gossip` replicates keyed values to every host and repairs lost ones by anti-entropy.
//! - `table_sync` holds the table in force and exchanges versions with other hosts.
//! - `table_store`, `table_read` and `proposal` read and write the table in the key-value
//!   service; `freshness` keeps the evidence that the table in force is the newest version.
//! - `address` selects the hosts that callers connect to.
//!
//! Begin with `port` for the inputs and outputs, then `member` for how the parts are
//! called.

mod address;
mod budget;
mod context;
mod freshness;
mod gossip;
mod hosts;
mod member;
mod port;
mod probe;
mod proposal;
pub mod record;
mod settings;
mod table_read;
mod table_store;
mod table_sync;

pub use freshness::Freshness;
pub use member::Member;
pub use port::{AddressAnswer, Input, Output, Progress, ProposalOutcome};
pub use settings::Settings;
