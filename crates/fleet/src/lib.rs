//! Decisions about model engines: who gives orders, which model and adapter is where.
//!
//! State machines without I/O, clock or threads. One host at a time holds the claim to
//! give orders; it answers for the load of a site of up to a few hundred engines, with
//! an order to each at most at once.

mod balance;
mod claim;
mod engine;
mod planner;
mod window;
mod work;

pub use claim::{Claim, Stand};
pub use planner::{Demand, Planner, Wish};
