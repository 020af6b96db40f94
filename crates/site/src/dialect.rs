//! The trait through which a platform's names, formats and calls are reached.

use crate::{
    Config, Order, RequestHead, Upstream,
    order::OrderOutcome,
    request::{AddressQuery, Dispatch, RequestError},
    upstream::{ReplyHead, Report},
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, request, response};
use mulberryrack_core::{Name, kv};
use std::{net::SocketAddr, time::Duration};

/// Translates between this crate's types and the names, formats and calls of one platform.
/// An implementation makes no decisions and does no I/O.
pub trait Dialect: 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Why the head is rejected.
    fn read_request_head(&self, head: &request::Parts) -> Result<RequestHead, RequestError>;

    /// The headers of a caller's request as they are sent to an upstream: hop-by-hop headers
    /// are removed, and the fields of `dispatch` are added.
    fn upstream_headers(&self, headers: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Parses the head of an upstream's answer.
    fn read_reply_head(&self, head: &response::Parts) -> ReplyHead;

    /// Builds the health check of an upstream at a path.
    fn health_call(&self, path: &str) -> Request<Bytes>;

    /// The headers of an upstream's answer as they are sent to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Headers of an answer that the host itself generates, such as a refusal.
    fn local_reply_headers(
        &self,
        attempt: Option<&str>,
        retry_after: Option<Duration>,
    ) -> HeaderMap;

    /// Whether a request is the platform's readiness check.
    fn is_readiness_check(&self, head: &request::Parts) -> bool;

    /// What a request asks that wants the addresses to which callers may send their requests; `None`
    /// for other requests.
    fn address_query(&self, head: &request::Parts) -> Option<AddressQuery>;

    /// The answer to an address query. Callers may keep `addresses` for `ttl`.
    fn address_reply(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Bytes>;

    /// Builds the request for an operation of the key-value service.
    fn store_call(&self, op: &kv::Op) -> Request<Bytes>;

    /// Parses the key-value service's answer to `op`.
    ///
    /// # Errors
    ///
    /// The service did not apply the operation, or the answer does not say whether it did.
    fn store_answer(&self, op: &kv::Op, answer: &Response<Bytes>) -> kv::Outcome;

    /// The era that an answer of the key-value service belongs to; `None` if the service does
    /// not tell its eras.
    fn store_era(&self, answer: &Response<Bytes>) -> Option<kv::Era>;

    /// Builds the request that carries an order to an engine.
    fn order_call(&self, order: &Order) -> Request<Bytes>;

    /// Parses an engine's answer to an order.
    fn order_answer(&self, answer: &Response<Bytes>) -> OrderOutcome;

    /// Builds the request for an engine's state.
    fn report_call(&self, engine: &str) -> Request<Bytes>;

    /// Parses an engine's state; `None` if the answer does not contain it.
    fn report_answer(&self, answer: &Response<Bytes>) -> Option<Report>;

    /// Key of the key-value service that holds the configuration.
    fn config_key(&self) -> &'static str;

    /// Parses the configuration.
    ///
    /// # Errors
    ///
    /// A description, for the log, of what cannot be parsed.
    fn read_config(&self, value: &[u8]) -> Result<Config, String>;

    /// The id of the upstream whose registration a key holds; `None` for other keys.
    fn upstream_of_key(&self, key: &str) -> Option<Name>;

    /// Parses an upstream's registration.
    ///
    /// # Errors
    ///
    /// A description, for the log, of what cannot be parsed.
    fn read_upstream(&self, id: &str, value: &[u8]) -> Result<Upstream, String>;
}
