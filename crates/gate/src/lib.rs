//! Decisions about callers' requests: which route, which upstream, whether to wait, to
//! send once more or to refuse.
//!
//! A state machine without I/O, clock or threads. What is known of upstreams and what all
//! requests share is in a [`Gate`]; what belongs to one request is in its [`Pass`], which
//! the edge that serves the request keeps.
//!
//! It answers for the load of one host: tens of requests a second on a host of a quarter
//! of a core, and several hundred upstreams. A step costs time in proportion to the
//! upstreams of one service.

mod budget;
mod cache;
mod choice;
mod gate;
mod read_time;
mod request;
mod tuning;
mod upstreams;

pub use budget::Budget;
pub use cache::Chain;
pub use gate::{Change, Gate, Notice, Wanted};
pub use request::{Ending, Pass, Step, Target};
pub use tuning::Tuning;
pub use upstreams::UpstreamId;
