//! Membership of hosts, spreading of values, the table in force, address answers.
//!
//! [`Member`] is one state machine without I/O or clock. Inside it `hosts` tracks who
//! is alive, `spread` carries values to every host, `relay` the table from host to
//! host, `store` the table in the key-value service, and `address` picks the hosts
//! that callers connect to.

mod address;
mod budget;
mod context;
mod currency;
mod hosts;
mod load;
mod member;
mod port;
mod probe;
mod proposal;
pub mod record;
mod relay;
mod settings;
mod spread;
mod store;

pub use currency::Currency;
pub use member::Member;
pub use port::{Address, Input, Output, Progress, Verdict};
pub use settings::Settings;
