//! Which row is in which engine's memory: accounts, orders, plans, releases.
//!
//! [`Planner`] runs on every host; for each cell of engines one of them holds the lease
//! and plans. [`check`] tells without a planner whether a table can be placed.
//! `docs/placement.md` gives the rules that keep memory and reachability safe.

mod cell;
mod check;
mod demand;
mod dispatch;
mod engine;
mod plan;
mod planner;
mod port;
mod record;
mod room;
mod settings;
mod status;
mod survey;
mod tenure;
mod world;

pub use check::{Shortfall, check};
pub use planner::Planner;
pub use port::{Input, Output};
pub use record::{Intent, Record};
pub use settings::Settings;
pub use status::{Memory, Placement, Status};
pub use world::{Reason, Step};
