//! Routing of callers' requests to upstreams on one host: admission, choice of an
//! upstream, retries, and isolation of requests that may crash upstreams.
//!
//! Callers request the rows of the table: models, adapters and services. A copy of a row is
//! an upstream that serves the row: an engine with its weights in memory, or a replica of
//! the service.
//!
//! [`Router`] is a state machine without I/O: [`Router::handle`] takes an [`Input`] and
//! the current time and pushes [`Output`]s, and [`Router::next_wake`] says when it needs
//! an [`Input::Wake`]. Its state holds one `ActiveRequest` for each request in progress,
//! one `Row` for each row of the table and one `Upstream` for each upstream.
//!
//! Begin with the module `active`, the state machine of one request, then follow a
//! request through `arrive` (admission), `dispatch` and `choose` (from the queue to an
//! upstream), `answer` and `retry`. Shared between hosts are the permits of a row's
//! ceiling (`permit`, `lender`), answers for resends (`kept`, `join`) and suspected
//! requests (`suspect`, `isolate`).

mod active;
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
