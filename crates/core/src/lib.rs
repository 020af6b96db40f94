//! Types that every other mulberryrack package shares: time, names, the key-value
//! service's operations, requests and their outcomes, and what is said to upstreams.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Every decision package is a
//! state machine that takes an input and the current [`Time`] and pushes outputs:
//!
//! ```
//! use mulberryrack_core::Time;
//! use std::time::Duration;
//!
//! let start = Time::ZERO;
//! let later = start + Duration::from_millis(40);
//! assert_eq!(later - start, Duration::from_millis(40));
//! ```

pub mod caller;
pub mod claim;
pub mod completion;
pub mod demand;
pub mod hash;
pub mod kv;
pub mod kv_json;
pub mod node;
pub mod note;
pub mod outcome;
pub mod request;
mod time;
pub mod upstream;
pub mod view;

pub use node::{Incarnation, Name};
pub use time::{Time, earliest};
