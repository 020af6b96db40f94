//! Decides by its head whether a request is taken.

use crate::{
    shared::Shared,
    usage::{self, Charge},
};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use mulberryrack_core::outcome::{Reason, Refusal};
use mulberryrack_gate::{RequestState, UNAVAILABLE_RETRY_DELAY};
use mulberryrack_site::{RequestHead, organisation::Organisation, request::Identity};
use std::{rc::Rc, sync::Arc};

/// Checks the head of a request, and charges the quota of the organisation whose key it carries.
///
/// # Errors
///
/// Why the request is refused. It has not run.
pub fn check_head<D>(
    shared: &Rc<Shared<D>>,
    head: &RequestHead,
) -> Result<Option<Charge<D>>, Refusal> {
    match find_organisation(shared, head)? {
        Some(organisation) => usage::charge(shared, organisation, head),
        None => Ok(None),
    }
}

/// The organisation to which a request belongs; `None` if it needs no key.
///
/// # Errors
///
/// Why the request is refused by its route or key.
pub fn find_organisation<D>(
    shared: &Shared<D>,
    head: &RequestHead,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    let gate = shared.gate.borrow();
    let Some(config) = gate.config() else {
        return Err(no_config());
    };
    let Some(route) = config.route(&head.host, &head.path) else {
        return Err(Refusal {
            reason: Reason::UnknownTarget,
            retry_after: None,
        });
    };
    let is_current = shared.freshness.is_current();
    mulberryrack_access::access(config, route, head.key.as_ref(), is_current).permit()
}

/// Checks again the key of a request that is about to be dispatched. Returns its organisation in
/// the configuration in force, and what the upstream learns of it.
///
/// # Errors
///
/// Why the request must not be dispatched.
pub fn check_key<D>(
    shared: &Shared<D>,
    state: &RequestState,
) -> Result<(Option<Arc<Organisation>>, Identity), Refusal> {
    let gate = shared.gate.borrow();
    let config = gate.config().ok_or_else(no_config)?;
    let is_current = shared.freshness.is_current();
    let key = state.head.key.as_ref();
    let access = mulberryrack_access::access(config, &state.route, key, is_current);
    Ok((access.permit()?, access.identity()))
}

const fn no_config() -> Refusal {
    Refusal {
        reason: Reason::NoTable,
        retry_after: Some(UNAVAILABLE_RETRY_DELAY),
    }
}

/// Status of the answer to a request that is refused for a reason.
pub const fn refusal_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownTarget => StatusCode::NOT_FOUND,
        Reason::UnknownKey => StatusCode::UNAUTHORIZED,
        Reason::Quota => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Adds to the headers of an answer what its status requires.
pub fn complete_headers(headers: &mut HeaderMap, status: StatusCode) {
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        headers.insert(header::WWW_AUTHENTICATE, scheme);
    }
}
