//! Decisions about callers' requests: the route and upstream of a request, and whether to
//! dispatch it, hold it back, retry it or refuse it.
//!
//! A state machine without I/O, clock or threads. A [`Gate`] has the state that all requests
//! of a host share: the configuration, the upstreams and the retry budgets. The caller of
//! this package keeps one [`RequestState`] for each request. [`Gate::admit`] creates it and
//! [`Gate::decide`] returns the next [`Decision`]; start reading there. After a dispatch,
//! [`Gate::record_ending`] takes the result, and `decide` is called again if the request is
//! not done.
//!
//! An engine reads a prompt before it produces the first event of the answer, and reading a
//! prompt delays the events of all other streams of the engine. The estimates of a decision
//! are therefore times to read prompts (`read_ms`) and the parts of prompts that engines have
//! cached.
//!
//! The planner is the host that holds the claim to give orders to engines; the package `fleet`
//! decides what it orders. A placement is the load of a model or adapter by such an order.
//!
//! Designed for the load of one host with a quarter of a processor core: tens of requests a
//! second and several hundred upstreams. A decision takes time in proportion to the number
//! of upstreams.

mod admission;
mod budget;
mod cache;
mod choice;
mod completions;
mod crash;
mod failures;
mod fairness;
mod gate;
mod held;
mod limit;
mod load;
mod pauses;
mod preview;
mod read_time;
mod recheck;
mod request;
mod rest;
mod speed;
mod token_message;
mod trial;
mod tuning;
mod upstreams;

pub use budget::RetryBudget;
pub use cache::PrefixChain;
pub use crash::{CrashReport, CrashSign};
pub use fairness::{Claim, Shares};
pub use gate::{Gate, ModelChange, ModelDemand, PromptNotice, UNAVAILABLE_RETRY_DELAY};
pub use limit::TokenCounts;
pub use preview::{Considered, Preview, Standing};
pub use request::{Decision, Ending, RequestState, Target};
pub use speed::{Speed, SpeedSample};
pub use token_message::{LimitNotice, To, TokenMessage};
pub use trial::PermitAsk;
pub use tuning::Tuning;
pub use upstreams::UpstreamId;
