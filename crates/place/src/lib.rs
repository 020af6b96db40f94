//! Placement of model weights: decides which rows of the table (models and adapters) are in
//! the memory of which engine.
//!
//! The engines are divided into cells. A [`Planner`] runs on every host. For each cell, the
//! host that holds the cell's lease polls the engines, plans loads and unloads, and sends
//! them as orders. It writes every order to the engine's [`Record`] in the key-value
//! service before sending it, so that a later planner knows about all orders that can still
//! take effect. An unload is sent only after the copy has been published as not routable
//! for long enough that all hosts know, and only while another copy of the row is routable.
//!
//! The planner does no input or output itself: [`Planner::handle`] takes an [`Input`] and
//! returns [`Output`]s. Begin reading there, then with the modules `cell` (one cell),
//! `engine` (one engine's record and orders) and `plan` (choice of the next steps).
//! [`check`] tells without a planner whether a table can be placed on a set of engines.
//! `docs/placement.md` gives the rules that keep memory and reachability safe.

mod cell;
mod cell_layout;
mod cell_orders;
mod check;
mod claim;
mod demand;
mod engine;
mod eviction;
mod layout;
mod plan;
mod planner;
mod port;
mod record;
mod settings;
mod status;

pub use check::{Shortfall, check};
pub use layout::{Reason, Step};
pub use planner::Planner;
pub use port::{Input, Output};
pub use record::{Intent, Record};
pub use settings::Settings;
pub use status::{Memory, Placement, Status};
