//! Decides whether a request is granted to an organisation by its key.
//!
//! [`access`] decides about one request. [`Freshness`] knows whether the configuration in force is
//! provably the newest one, which strict revocation of keys requires. [`Renewal`] decides when that
//! proof is renewed, from other hosts or from the key-value service. Nothing here does I/O or reads a
//! clock.

mod freshness;
mod renewal;

pub use freshness::{Answer, Finding, Freshness, MARGIN, Statement};
pub use renewal::{Renewal, Step};

use mulberryrack_core::outcome::{Reason, Refusal};
use mulberryrack_site::{
    config::{Config, Route},
    organisation::{Key, Organisation},
    request::Identity,
};
use std::{sync::Arc, time::Duration};

/// Time after which a request may be sent again that was refused because the configuration is
/// stale.
const STALE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What holds for a request by its route and key.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The configuration has no organisations: nothing is checked.
    Unchecked,
    /// The route is public, and the request carries no key that is known to be valid.
    Public,
    /// The request carries a key of this organisation.
    Granted(Arc<Organisation>),
    /// The route requires a key, and the request carries none that the configuration has.
    UnknownKey,
    /// The route requires a key, and the configuration is not provably current.
    Stale,
}

/// Decides what holds for a request on `route` that carries `key`. `config` is the configuration
/// in force; `is_current` tells whether it is provably the newest one.
///
/// While the configuration is not provably current, no key is known to be valid or unknown: on a
/// public route the request counts as one without a key.
#[must_use]
pub fn access(config: &Config, route: &Route, key: Option<&Key>, is_current: bool) -> Access {
    let Some(organisations) = &config.organisations else {
        return Access::Unchecked;
    };
    let holder = key.and_then(|key| organisations.holder(key));
    match (holder, is_current) {
        (Some(organisation), true) => Access::Granted(organisation.clone()),
        _ if route.public => Access::Public,
        (None, true) => Access::UnknownKey,
        (_, false) => Access::Stale,
    }
}

impl Access {
    /// The organisation to which the request belongs, if it may be executed.
    ///
    /// # Errors
    ///
    /// Why it must not be executed.
    pub fn permit(&self) -> Result<Option<Arc<Organisation>>, Refusal> {
        match self {
            Self::Unchecked | Self::Public => Ok(None),
            Self::Granted(organisation) => Ok(Some(organisation.clone())),
            Self::UnknownKey => Err(Refusal {
                reason: Reason::UnknownKey,
                retry_after: None,
            }),
            Self::Stale => Err(Refusal {
                reason: Reason::ConfigurationStale,
                retry_after: Some(STALE_RETRY_DELAY),
            }),
        }
    }

    /// What the upstream learns of whom the request belongs to.
    #[must_use]
    pub fn identity(&self) -> Identity {
        match self {
            Self::Unchecked => Identity::AsSent,
            Self::Granted(organisation) => Identity::Organisation(Some(organisation.name.clone())),
            Self::Public | Self::UnknownKey | Self::Stale => Identity::Organisation(None),
        }
    }
}
