//! Small stand-ins for what the users run: the key-value service, the weight store, the
//! list of machines, model engines and plain services.
//!
//! The models ([`kv`], [`memory`], [`engine`], [`weights`], [`list`], [`service`]) have
//! no sockets and no clock, so that tests and replays can drive them in virtual time.
//! [`world`] runs a whole deployment of them on loopback ports.

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
