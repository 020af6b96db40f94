//! Quotas of organisations over all hosts together.
//!
//! [`Ledger`] is the state of one host: a level for each organisation, what this host has spent,
//! and what the other hosts say that they have spent. Each host owns an even share of every
//! organisation's rate. The share of another host is credited when that host is heard, together
//! with what it has spent, so that a host which hears nothing has only its own share.
//!
//! State machines without I/O, clock or threads.

mod account;
mod hosts;
mod ledger;

pub use ledger::{Denied, Ledger, Limit, Limits, Receipt, Total};
