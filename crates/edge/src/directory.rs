//! The answer to address queries: where callers may send their requests.

use crate::{registration::Registration, shared::Shared};
use mulberryrack_core::{Name, hash};
use mulberryrack_site::request::AddressQuery;
use std::{net::SocketAddr, time::Duration};

/// Maximum number of addresses in an answer, set by the users.
pub const MAX_ADDRESSES: usize = 64;
/// Longest time for which callers may keep an answer. It is short, so that callers soon stop
/// using a host that leaves.
const MAX_TTL: Duration = Duration::from_secs(1);
/// Weight of a host in the caller's data centre, compared with one of the same size elsewhere.
const LOCAL_WEIGHT: f64 = 32.0;

/// A host to which callers may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Unique name of the host.
    pub host: Name,
    /// Data centre in which the host runs.
    pub data_centre: Name,
    /// Thousandths of a processor core that the host may use.
    pub millicores: u32,
    /// Address on which the host accepts callers' requests.
    pub callers: SocketAddr,
}

impl From<Registration> for Candidate {
    fn from(registration: Registration) -> Self {
        Self {
            host: registration.host,
            data_centre: registration.data_centre,
            millicores: registration.millicores,
            callers: registration.callers,
        }
    }
}

/// Callers' addresses of the hosts that serve, and how long callers may keep the answer.
/// This host is left out unless it is ready.
pub fn addresses<D>(shared: &Shared<D>, query: &AddressQuery) -> (Vec<SocketAddr>, Duration) {
    let own = shared.is_ready().then(|| shared.registration());
    let hosts = shared.other_hosts().into_iter().chain(own);
    let candidates = hosts.map(Candidate::from).collect();
    let addresses = choose(candidates, query.data_centre.as_deref());
    (addresses, MAX_TTL.min(shared.settings.bounds.address_ttl))
}

/// Chooses up to [`MAX_ADDRESSES`] hosts for the callers of a data centre: at random by their size,
/// mostly near ones. All hosts choose the same, so that callers keep their connections, and the
/// hosts of a large deployment each serve some callers.
#[must_use]
pub fn choose(candidates: Vec<Candidate>, data_centre: Option<&str>) -> Vec<SocketAddr> {
    let score = |candidate: &Candidate| {
        let size = f64::from(candidate.millicores.max(1));
        let is_local = data_centre == Some(&*candidate.data_centre);
        let weight = if is_local { size * LOCAL_WEIGHT } else { size };
        hash::rendezvous(data_centre.unwrap_or_default(), &candidate.host, weight)
    };
    let mut scored: Vec<(f64, Candidate)> = candidates
        .into_iter()
        .map(|candidate| (score(&candidate), candidate))
        .collect();
    scored.sort_by(|one, other| other.0.total_cmp(&one.0));
    let chosen = scored.into_iter().take(MAX_ADDRESSES);
    chosen.map(|(_, candidate)| candidate.callers).collect()
}
