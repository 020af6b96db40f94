//! What a deployment consists of, in the project's own words: the operators'
//! configuration, upstreams and what they say of themselves, orders, callers' requests,
//! and the port through which a platform's dialect is spoken.
//!
//! Nothing here does I/O. The adapter of a platform fills these types in; the decision
//! packages `gate` and `fleet` read them.

pub mod config;
mod dialect;
pub mod order;
pub mod request;
pub mod settings;
pub mod upstream;

pub use config::Config;
pub use dialect::Dialect;
pub use order::Order;
pub use request::Ask;
pub use settings::Settings;
pub use upstream::Upstream;
