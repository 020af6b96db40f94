//! What an upstream ran, so that tests can find requests that ran twice.

use mulberryrack_core::{Name, hash::fingerprint, request::Call};
use std::collections::BTreeMap;

/// Header that names a request over all its sends.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Text in a request's body that crashes each upstream that runs it.
pub const POISON: &str = "crash-upstream";

/// One run of a request: it had begun, whether it ended or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The stream's name at an engine; empty at a service.
    pub stream: Name,
    /// Row or service.
    pub target: Name,
    /// Value of [`IDEMPOTENCY`], if there was one.
    pub key: Option<Name>,
    /// Fingerprint of the body.
    pub body: u128,
}

impl Run {
    /// The run of a call.
    #[must_use]
    pub fn new(stream: Name, target: Name, call: &Call) -> Self {
        Self {
            stream,
            target,
            key: header(call, IDEMPOTENCY).cloned(),
            body: fingerprint(&call.body),
        }
    }
}

/// Keys that ran more than once, with the number of runs.
pub fn doubles<'a>(runs: impl IntoIterator<Item = &'a Run>) -> BTreeMap<Name, u32> {
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for key in runs.into_iter().filter_map(|run| run.key.clone()) {
        *counts.entry(key).or_default() += 1;
    }
    counts.retain(|_, count| *count > 1);
    counts
}

/// The value of a header; `name` in lower case.
#[must_use]
pub fn header<'a>(call: &'a Call, name: &str) -> Option<&'a Name> {
    call.headers
        .iter()
        .find(|(header, _)| **header == *name)
        .map(|(_, value)| value)
}

/// Whether a call crashes its upstream.
#[must_use]
pub fn is_poisonous(call: &Call) -> bool {
    call.body
        .windows(POISON.len())
        .any(|window| window == POISON.as_bytes())
}
