//! Which hosts callers connect to for a row.

use crate::{context::Context, hosts::Hosts, port::Address};
use mulberryrack_core::{Name, hash, view::Standing};
use mulberryrack_table::{Row, Table};

/// Hosts of other data centres named behind the near ones, for the loss of all of those.
const FAR_HOSTS: usize = 1;

#[derive(Clone, Debug)]
struct Candidate<'a> {
    score: f64,
    near: bool,
    suspect: bool,
    name: &'a Name,
    address: &'a Name,
}

/// Number of near hosts that a row is steered to.
pub(crate) fn width(cx: &Context, row: &Row, demand: u32) -> usize {
    let by_ceiling = row.ceiling.div_ceil(cx.settings.subset_ceiling.max(1));
    let wanted = usize::try_from(by_ceiling.max(demand)).unwrap_or(usize::MAX);
    wanted.max(cx.settings.subset)
}

/// Addresses for a row, best first: the near hosts of highest weight in an order that
/// `turn` rotates, then those of other data centres.
pub(crate) fn answer(
    cx: &Context,
    hosts: &Hosts,
    table: &Table,
    row: &Row,
    demand: u32,
    turn: usize,
) -> Address {
    let ranked = rank(cx, hosts, &row.name);
    let width = width(cx, row, demand);
    let mut near: Vec<&Candidate> = ranked.iter().filter(|it| it.near).take(width).collect();
    let missing = width.saturating_sub(near.len());
    let far = ranked.iter().filter(|it| !it.near);
    if !near.is_empty() {
        let by = turn % near.len();
        near.rotate_left(by);
        near.sort_by_key(|it| it.suspect);
    }
    near.extend(far.take(missing.max(FAR_HOSTS)));
    Address {
        addresses: near.iter().map(|it| it.address.clone()).collect(),
        lifetime: cx.settings.address,
        version: table.version,
    }
}

fn rank<'a>(cx: &Context, hosts: &'a Hosts, target: &str) -> Vec<Candidate<'a>> {
    let mine = &hosts.me.data_centre;
    let own = (!hosts.leaving).then(|| Candidate {
        score: hash::rendezvous(target, &hosts.me.name, f64::from(cx.settings.weight)),
        near: true,
        suspect: false,
        name: &hosts.me.name,
        address: &hosts.me.address,
    });
    let others = hosts
        .map
        .values()
        .filter(|host| matches!(host.peer.standing, Standing::Alive | Standing::Suspect))
        .filter(|host| host.weight > 0)
        .map(|host| Candidate {
            score: hash::rendezvous(target, &host.peer.name, f64::from(host.weight)),
            near: host.peer.data_centre == *mine,
            suspect: host.peer.standing == Standing::Suspect,
            name: &host.peer.name,
            address: &host.peer.address,
        });
    let mut ranked: Vec<Candidate> = others.chain(own).collect();
    ranked.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.name.cmp(b.name)));
    ranked
}
