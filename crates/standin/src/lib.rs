//! Small stand-ins, for tests and demos, of the systems that the users run: the key-value
//! service, the weight store, the list of machines, model engines and plain services.
//!
//! The simulated systems ([`kv`], [`memory`], [`engine`], [`weights`], [`list`],
//! [`service`]) have no sockets and no clock: the caller passes the time in and asks for
//! the next wake-up, so that tests and replays can drive them in virtual time.
//! [`deployment`] reads how many machines of which kind there are, and [`world`] runs a
//! whole deployment on loopback ports over HTTP. [`answer`] and [`run`] let tests check
//! that answers are complete and that no request ran twice.
//!
//! Begin reading with [`engine::Engine`] for the simulations and with [`world::World`]
//! for the servers.

pub mod answer;
pub mod deployment;
pub mod engine;
pub mod kv;
pub mod list;
pub mod memory;
pub mod run;
pub mod service;
pub mod weights;
pub mod world;
