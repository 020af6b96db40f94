//! Limits on the requests a second that an upstream takes from all hosts together.
//!
//! [`Statement`] holds what an upstream has said, in answers that may overtake one another. A
//! request is sent to a limited upstream with a token. One host, by its [`Roster`], gives the
//! tokens of an upstream to the requests of all hosts, by its [`Allocator`]; a second one gives
//! [`SECOND_SHARE`] of them to hosts that do not reach the first. A host that reaches neither has
//! a small [`Share`] of its own.
//!
//! State machines without I/O, clock or threads.

mod allocator;
mod bucket;
mod roster;
mod share;
mod statement;

pub use allocator::{Allocator, Answer, Ask, Holder};
pub use roster::{Roster, Standing};
pub use share::{SECOND_SHARE, Share};
pub use statement::{Change, Observation, Statement};
