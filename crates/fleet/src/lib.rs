//! Decisions about model engines: which host gives orders, and which models and adapters
//! the engines have in memory.
//!
//! State machines without I/O, clock or threads. One host at a time holds the [`Claim`] to
//! give orders; [`Claim::state`] says whether this host may give them, and [`succession`] how a
//! holder knows that the one before it gives no more. The holder of the claim
//! plans the orders with its [`Planner`], which records the registrations and reports of
//! engines and the [`Demand`] of all hosts. [`Planner::plan`] returns the orders to send; start
//! reading there. The strategy is in `balance`, the state of one engine in `engine`.
//!
//! An engine loads the weights of a model from its own main memory or disk or, seconds slower,
//! from the weight store, the shared storage with the weights of all models.
//!
//! Designed for up to a few hundred engines, with at most one open order for each.

mod balance;
mod claim;
mod consolidate;
mod engine;
mod planner;
pub mod succession;
mod window;
mod work;

pub use claim::{
    Claim, ClaimState, Fence, MAX_EXTENSION, PeerEras, PeerView, Rewrite, precedence_delay,
};
pub use planner::{Demand, PlannedOrder, Planner};
