//! The life of a request: limits, choice of upstream, retries, silence and poison.
//!
//! [`Router`] is a pure state machine: inputs and the time go in, outputs come out, and
//! [`Router::next_wake`] says when it has to be woken. The life of a single request is
//! the state machine of the module `life`.

mod answer;
mod arrive;
mod choose;
mod dispatch;
mod frames;
mod hedge;
mod isolate;
mod join;
mod kept;
mod lender;
mod life;
mod permit;
mod poll;
mod port;
mod queue;
mod retry;
mod router;
mod row;
mod settings;
mod suspect;
mod upstreams;

pub use port::{Input, Output};
pub use router::Router;
pub use settings::Settings;
