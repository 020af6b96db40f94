//! Selection of the hosts that callers connect to for a row.

use crate::{context::Context, hosts::Hosts, port::AddressAnswer};
use mulberryrack_core::{Name, hash, view::Standing};
use mulberryrack_table::{Row, Table};

/// Minimum number of hosts of other data centres that follow the near hosts in an answer,
/// for the case that all near hosts fail.
const MIN_FAR_HOSTS: usize = 1;

#[derive(Clone, Debug)]
struct Candidate<'a> {
    score: f64,
    near: bool,
    suspect: bool,
    name: &'a Name,
    address: &'a Name,
}

/// Number of near hosts (hosts of the own data centre) that receive the requests of a
/// row.
pub(crate) fn subset_size(cx: &Context, row: &Row, demand: u32) -> usize {
    let by_ceiling = row.ceiling.div_ceil(cx.settings.subset_ceiling.max(1));
    let wanted = usize::try_from(by_ceiling.max(demand)).unwrap_or(usize::MAX);
    wanted.max(cx.settings.subset)
}

/// Addresses for a row, best first: the near hosts with the highest rendezvous scores,
/// then hosts of other data centres. `rotation` shifts the order of the near hosts;
/// suspects come last among them.
pub(crate) fn select_hosts(
    cx: &Context,
    hosts: &Hosts,
    table: &Table,
    row: &Row,
    demand: u32,
    rotation: usize,
) -> AddressAnswer {
    let ranked = rank(cx, hosts, &row.name);
    let size = subset_size(cx, row, demand);
    let mut selected: Vec<&Candidate> = ranked
        .iter()
        .filter(|candidate| candidate.near)
        .take(size)
        .collect();
    let missing = size.saturating_sub(selected.len());
    let far = ranked.iter().filter(|candidate| !candidate.near);
    if !selected.is_empty() {
        let by = rotation % selected.len();
        selected.rotate_left(by);
        selected.sort_by_key(|candidate| candidate.suspect);
    }
    selected.extend(far.take(missing.max(MIN_FAR_HOSTS)));
    AddressAnswer {
        addresses: selected
            .iter()
            .map(|candidate| candidate.address.clone())
            .collect(),
        lifetime: cx.settings.address_lifetime,
        version: table.version,
    }
}

/// All hosts that take new callers, by descending rendezvous score for the row.
fn rank<'a>(cx: &Context, hosts: &'a Hosts, target: &str) -> Vec<Candidate<'a>> {
    let own_data_centre = &hosts.me.data_centre;
    let own = (!hosts.leaving).then(|| Candidate {
        score: hash::rendezvous(target, &hosts.me.name, f64::from(cx.settings.weight)),
        near: true,
        suspect: false,
        name: &hosts.me.name,
        address: &hosts.me.address,
    });
    let others = hosts
        .others
        .values()
        .filter(|host| matches!(host.peer.standing, Standing::Alive | Standing::Suspect))
        .filter(|host| host.weight > 0)
        .map(|host| Candidate {
            score: hash::rendezvous(target, &host.peer.name, f64::from(host.weight)),
            near: host.peer.data_centre == *own_data_centre,
            suspect: host.peer.standing == Standing::Suspect,
            name: &host.peer.name,
            address: &host.peer.address,
        });
    let mut ranked: Vec<Candidate> = others.chain(own).collect();
    ranked.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.name.cmp(b.name)));
    ranked
}
