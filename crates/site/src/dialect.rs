//! The port through which a platform's names, formats and calls are reached.

use crate::{
    Ask, Config, Order, Upstream,
    order::Verdict,
    request::{Fault, Send},
    upstream::{Reply, Report},
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, request, response};
use mulberryrack_core::{Name, kv};
use std::{net::SocketAddr, time::Duration};

/// Names, formats and calls of a platform. Decides nothing and does no I/O.
pub trait Dialect: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// What makes the head unusable.
    fn ask(&self, head: &request::Parts) -> Result<Ask, Fault>;

    /// The headers of a caller's request as they go to an upstream.
    fn forward(&self, headers: &HeaderMap, send: &Send) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn reply(&self, head: &response::Parts) -> Reply;

    /// The headers of an upstream's answer as they go to the caller.
    fn answer(&self, headers: &HeaderMap) -> HeaderMap;

    /// Headers of an answer of the host's own.
    fn own_answer(&self, attempt: Option<&str>, retry_after: Option<Duration>) -> HeaderMap;

    /// Whether a call asks if the host is ready.
    fn asks_ready(&self, head: &request::Parts) -> bool;

    /// Whether a call asks which addresses to use.
    fn asks_addresses(&self, head: &request::Parts) -> bool;

    /// The answer to a call for addresses.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Bytes>;

    /// A call to the key-value service.
    fn store_call(&self, op: &kv::Op) -> Request<Bytes>;

    /// What an answer of the key-value service says.
    ///
    /// # Errors
    ///
    /// The call did nothing, or may have taken effect without a usable answer.
    fn store_answer(&self, op: &kv::Op, answer: &Response<Bytes>) -> kv::Outcome;

    /// An order to an engine.
    fn order_call(&self, order: &Order) -> Request<Bytes>;

    /// What an engine says to an order.
    fn order_answer(&self, answer: &Response<Bytes>) -> Verdict;

    /// A question for an engine's state.
    fn report_call(&self, engine: &str) -> Request<Bytes>;

    /// An engine's state; `None` if the answer is none.
    fn report_answer(&self, answer: &Response<Bytes>) -> Option<Report>;

    /// Key under which the configuration is kept.
    fn config_key(&self) -> &'static str;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// What cannot be read, for the log.
    fn config(&self, value: &[u8]) -> Result<Config, String>;

    /// The upstream that a key belongs to; `None` for other keys.
    fn upstream_key(&self, key: &str) -> Option<Name>;

    /// Reads an upstream's entry.
    ///
    /// # Errors
    ///
    /// What cannot be read, for the log.
    fn upstream(&self, id: &str, value: &[u8]) -> Result<Upstream, String>;
}
