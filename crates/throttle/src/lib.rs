//! Limits on the requests a second that an upstream takes from all hosts together.
//!
//! [`Statement`] holds what an upstream has said, in answers that may overtake one another.
//!
//! State machines without I/O, clock or threads.

mod statement;

pub use statement::{Change, Observation, Statement};
