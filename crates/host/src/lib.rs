//! A whole host of mulberryrack without sockets, threads or a clock.
//!
//! [`Host`] is the one entry to the decision core: settings and a seed at the start,
//! [`Event`]s in, [`Effect`]s out, and the time of the next wake-up. The daemon, the
//! replays and the tests use it and no other. Everything that a caller, an operator, a
//! peer, an upstream or the platform can do or fail to do is an event.
//!
//! ```
//! use mulberryrack_core::{Incarnation, Time};
//! use mulberryrack_host::{Event, Host, Identity, Settings};
//!
//! let identity = Identity {
//!     name: "entry-1".into(),
//!     incarnation: Incarnation(1),
//!     data_centre: "casa-hall".into(),
//!     address: "127.0.0.1:8080".into(),
//!     peer_address: "127.0.0.1:8081".into(),
//! };
//! let mut host = Host::new(Settings::default(), identity, 7, Time::ZERO);
//! let effects = host.handle(Time::ZERO, Event::Listing(None));
//! // Carry out the effects, feed back what comes of them, and wake the host in time.
//! let wake = host.next_wake();
//! # let _ = (effects, wake);
//! ```

mod actors;
mod commands;
mod desk;
mod drain;
mod event;
mod host;
pub mod operator;
mod settings;

pub use event::{Area, Effect, Event};
pub use host::{Host, Identity, Readiness};
pub use settings::Settings;
