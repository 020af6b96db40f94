//! A complete host of mulberryrack without sockets, threads or a clock.
//!
//! A host joins four areas, each a state machine in a package of its own: membership and the
//! table (`mulberryrack-member`), the record of intents to run non-repeatable requests
//! (`mulberryrack-ledger`), routing of requests to upstreams (`mulberryrack-route`) and placement
//! of rows on engines (`mulberryrack-place`). This package runs them as actors and passes messages
//! between them.
//!
//! [`Host`] is the only entry point: the program that embeds it gives it settings and a seed at
//! the start, feeds it [`Event`]s and carries out the [`Effect`]s that it returns, and wakes it
//! when [`Host::next_wake`] asks for it. Everything that a caller, an operator, a peer, an
//! upstream or the platform can do or fail to do is an event. The daemon, the replays and the
//! tests embed the same [`Host`], so that all of them run the same decisions.
//!
//! Begin reading with [`Event`] and [`Effect`], then `host.rs`, which passes events to the areas,
//! and `actors`, which connects the areas to each other. [`operator`] has the commands of the
//! operators' client; `commands.rs` carries them out, and `answers.rs` makes the answers.
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
//! // Carry out the effects, pass their results to the host as events, and call it again with
//! // `Event::Wake` when this time has come.
//! let wake = host.next_wake();
//! # let _ = (effects, wake);
//! ```

mod actors;
mod answers;
mod commands;
mod drain;
mod event;
mod host;
pub mod operator;
mod settings;

pub use event::{Area, Effect, Event};
pub use host::{Host, Identity, Readiness};
pub use settings::Settings;
