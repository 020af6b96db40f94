//! A host's copy of the keys of the key-value service, while a listing of them is read in pages and
//! changes are followed beside it; and for how long changes gather before the next ones are asked for.
//!
//! State machines without I/O, clock or threads.

mod fill;
mod gathering;
mod pace;

pub use fill::Fill;
pub use gathering::{Lateness, gathering};
pub use pace::pause;
