//! Types that all other mulberryrack packages share.
//!
//! A host accepts a [`request::Request`] from a caller, dispatches it to an upstream (a
//! model engine or a replica of a plain service) as an [`upstream::Dispatch`], and answers
//! the caller with [`caller::Answer`] parts. An [`outcome::Outcome`] says how the request
//! ended. Hosts coordinate through the platform's key-value service ([`kv`]) and know one
//! another through a [`view::View`]. Begin reading at [`request`], then [`upstream`] and
//! [`outcome`].
//!
//! Nothing here does I/O, reads a clock or starts a thread. The packages that make the
//! decisions are state machines: each takes an input together with the current [`Time`] and
//! appends its outputs to a list. [`Time`] is therefore a plain value that tests can set:
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
mod rate;
pub mod request;
mod time;
pub mod upstream;
pub mod view;

pub use node::{Incarnation, Name};
pub use rate::Rate;
pub use time::{Time, earliest};
