//! Intents of non-repeatable requests: recorded before the first byte goes upstream.
//!
//! Ids are cut into shards. Each shard has one owner, and a log in the key-value service
//! that alone says who the owner is. See `docs/at-most-once.md`.

mod claimant;
mod commit;
mod compaction;
mod context;
mod fate_query;
mod handover;
mod intents;
mod ledger;
mod life;
mod log;
mod merge;
mod owner;
mod port;
mod record;
mod settings;
mod shard;
mod takeover;
mod witness;

pub use ledger::Ledger;
pub use port::{Input, Output};
pub use settings::Settings;
