//! Builds the deployment of a replay from a sample deployment's files.

use crate::world::Deployment;
use mulberryrack_core::{Name, node::Listing};
use mulberryrack_host::Settings;
use mulberryrack_standin::{
    deployment::{self, Kind},
    engine, service,
};
use mulberryrack_table::csv;
use std::collections::BTreeMap;

/// File name of the table that is accepted during the warm-up.
pub const FIRST_TABLE: &str = "table.csv";
/// File name of the table that the release scenario accepts.
pub const RELEASE_TABLE: &str = "table-release.csv";

impl Deployment {
    /// Takes over a sample deployment, with names of machines in place of addresses.
    ///
    /// All engines get the settings of the last engine that the sample lists, and all
    /// services those of the last service; memory and fencing come from each listing.
    #[must_use]
    pub fn from_sample(sample: &deployment::Deployment, settings: Settings) -> Self {
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
            .map(with_replay_addresses)
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

/// Replaces the addresses of a machine, which a replay reaches by its name.
fn with_replay_addresses(listing: Listing) -> Listing {
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
