//! A sample deployment as a replay takes it.

use crate::world::Deployment;
use mulberryrack_core::{Name, node::Listing};
use mulberryrack_host::Settings;
use mulberryrack_standin::{
    deployment::{self, Kind},
    engine, service,
};
use mulberryrack_table::csv;
use std::collections::BTreeMap;

/// File of the first table.
pub const FIRST_TABLE: &str = "table.csv";
/// File of the release.
pub const RELEASE_TABLE: &str = "table-release.csv";

impl Deployment {
    /// The machines of a sample deployment, with names in place of addresses.
    #[must_use]
    pub fn sample(sample: &deployment::Deployment, settings: Settings) -> Self {
        let upstreams = sample.upstreams();
        let mut engine = engine::Settings::default();
        let mut service = service::Settings::default();
        for (_, kind) in &upstreams {
            match kind {
                Kind::Engine(settings, _) => engine = *settings,
                Kind::Service(settings) => service = *settings,
            }
        }
        let machines = sample
            .entry_hosts()
            .into_iter()
            .chain(upstreams.into_iter().map(|(listing, _)| listing))
            .map(addressed)
            .collect();
        Self {
            machines,
            engine,
            service,
            weights: sample.platform.weights,
            tables: tables(sample),
            settings,
        }
    }
}

/// In a replay a machine is reached by its name.
fn addressed(listing: Listing) -> Listing {
    Listing {
        address: format!("{}:callers", listing.name).into(),
        peer_address: format!("{}:peers", listing.name).into(),
        ..listing
    }
}

fn tables(sample: &deployment::Deployment) -> BTreeMap<Name, String> {
    [
        (FIRST_TABLE, &sample.table),
        (RELEASE_TABLE, &sample.release),
    ]
    .into_iter()
    .map(|(file, rows)| (file.into(), csv::render(rows)))
    .collect()
}
