//! At-most-once execution of non-repeatable requests: the intent to run a request is
//! recorded before the first byte goes upstream.
//!
//! A request has an id, the hash of its target and idempotency key. Ids are divided into
//! shards. Each shard has a log in the key-value service, and the log alone determines
//! which host owns the shard. A host that is to run a request, the claimant, sends a
//! claim to the owner of the id's shard. The owner grants the first claim of an id once
//! an intent for it is durable; the claimant is then the holder of the claim. Later
//! claims of the id join the holder's request, or get the answer that it did not run or
//! that its outcome is unknown. While the key-value service is slow or down, an intent is
//! durable once the owner's successor, another host that the log names, has a copy.
//!
//! [`Ledger`] is the state machine of one host. It does no I/O: it takes each [`Input`]
//! and returns [`Output`]s. Begin reading in `ledger.rs`, which passes inputs on. The
//! claimant's side is in `claimant.rs`. `shard.rs` has a host's part in one shard,
//! `takeover.rs` decides who becomes the owner, and `owner.rs` decides claims, with
//! `commit.rs`, `witness.rs`, `fate_query.rs`, `merge.rs` and `handover.rs`. The log and
//! its records are in `log.rs`, `record.rs`, `intents.rs` and `compaction.rs`.
//!
//! See `docs/at-most-once.md`.

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
