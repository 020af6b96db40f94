//! A host's copy of the keys of the key-value service, while a listing of them is read in pages and
//! changes are followed beside it.
//!
//! State machines without I/O, clock or threads.

mod fill;
mod pace;

pub use fill::Fill;
pub use pace::pause;
