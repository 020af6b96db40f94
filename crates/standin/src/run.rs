//! Records of the requests that an upstream began to run, so that tests can find requests
//! that ran more than once.

use mulberryrack_core::{Name, hash::fingerprint, request::Call};
use std::collections::BTreeMap;

/// Header whose value identifies a request across all its attempts and dispatches.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Text in a request's body that crashes every upstream that begins to run the request.
pub const POISON: &str = "crash-upstream";

/// One run of a request by an upstream, recorded when the run begins; the run may never
/// have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the stream on an engine; empty for a service.
    pub stream: Name,
    /// Name of the table row (on an engine) or of the service that was called.
    pub target: Name,
    /// Value of the [`IDEMPOTENCY_HEADER`], if the request had one.
    pub key: Option<Name>,
    /// Fingerprint of the request's body.
    pub body: u128,
}

impl Run {
    /// Records that `call` begins to run.
    #[must_use]
    pub fn new(stream: Name, target: Name, call: &Call) -> Self {
        Self {
            stream,
            target,
            key: header(call, IDEMPOTENCY_HEADER).cloned(),
            body: fingerprint(&call.body),
        }
    }
}

/// Idempotency keys that occur in more than one run, with the number of runs. Runs without
/// a key are left out.
pub fn repeated_keys<'a>(runs: impl IntoIterator<Item = &'a Run>) -> BTreeMap<Name, u32> {
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for key in runs.into_iter().filter_map(|run| run.key.clone()) {
        *counts.entry(key).or_default() += 1;
    }
    counts.retain(|_, count| *count > 1);
    counts
}

/// Value of the first header called `name`, which must be in lower case.
#[must_use]
pub fn header<'a>(call: &'a Call, name: &str) -> Option<&'a Name> {
    call.headers
        .iter()
        .find(|(header, _)| **header == *name)
        .map(|(_, value)| value)
}

/// Whether the call's body contains [`POISON`] and so crashes its upstream.
#[must_use]
pub fn contains_poison(call: &Call) -> bool {
    call.body
        .windows(POISON.len())
        .any(|window| window == POISON.as_bytes())
}
