//! Small stand-ins for what the users run: the key-value service, the weight store, the
//! list of machines, model engines and plain services.
//!
//! The models ([`kv`], [`memory`]) have no sockets and no clock, so that tests and
//! replays can drive them in virtual time; servers wrap them for real connections.

pub mod kv;
pub mod memory;
