//! The types that describe a deployment, independent of the platform that it runs on.
//!
//! - [`Config`]: the operators' routes, services and limits. A [`config::Route`] sends
//!   requests to a [`config::Service`], which is a group of interchangeable upstreams.
//! - [`Upstream`]: the registration of one upstream. An upstream is a model engine or a
//!   replica of a plain service.
//! - [`Order`]: tells an engine to load or unload a model or adapter.
//! - [`RequestHead`]: what a caller's request asks for.
//! - [`Settings`]: the addresses and limits that a host process is started with.
//!
//! A platform implements the [`Dialect`] trait, which converts between these types and the
//! platform's own formats; start reading there. The packages `gate` and `fleet` decide on
//! the basis of these types. Nothing here does I/O.

mod dialect;

pub mod config;
pub mod order;
pub mod organisation;
pub mod request;
pub mod settings;
pub mod upstream;

pub use config::Config;
pub use dialect::Dialect;
pub use order::Order;
pub use request::RequestHead;
pub use settings::Settings;
pub use upstream::Upstream;
