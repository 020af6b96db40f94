//! Extends the claim to give orders during an outage of the key-value service. The holder
//! may go on giving orders as long as all voters that its record names say that they do not
//! reach the service either.

use crate::{
    journal::journal,
    peers,
    shared::Shared,
    traffic::{Kind, Tally},
};
use mulberryrack_core::{
    Name,
    kv::{Era, Revision},
};
use mulberryrack_fleet::{Fence, PeerEras, PeerView, succession::Process};
use mulberryrack_site::Dialect;
use mulberryrack_wire::plan::{Contact, Question};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{task::JoinSet, time};
use tonic::transport::Channel;

/// Interval between two rounds of questions. Two rounds fit into the period for which one
/// round extends the claim.
const ROUND_INTERVAL: Duration = Duration::from_millis(180);
/// Longest wait for a host's answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without an answer of the key-value service after which the other hosts are asked.
/// Longer than the interval between two renewals.
const OUTAGE_DELAY: Duration = Duration::from_millis(900);
/// This host's answer to another host that tells its claim: when the key-value service last
/// answered, and the newest claim that this host has seen or was told of. A claim of this host
/// that is older is given up.
pub fn kv_contact<D: Dialect>(shared: &Shared<D>, question: Question) -> Contact {
    let told = Fence {
        era: Era(question.fence_era),
        revision: Revision(question.fence),
    };
    let seen = shared.holder.borrow().as_ref().map(|(_, fence)| *fence);
    let newest = shared
        .newest_claim
        .get()
        .max(told)
        .max(seen.unwrap_or_default());
    shared.newest_claim.set(newest);
    if shared.claim.borrow_mut().supersede(newest) {
        journal!(
            warn,
            "claim-superseded",
            era = newest.era.0,
            revision = newest.revision.0
        );
    }
    let since_answer = shared.store.time_since_answer();
    Contact {
        unreached_ms: since_answer.map_or(u64::MAX, millis),
        fence: newest.revision.0,
        fence_era: newest.era.0,
        era: Some(shared.store.era().0),
        host: shared.settings.host.to_string(),
        incarnation: Some(shared.incarnation),
    }
}

/// What another host has seen of claims and eras.
fn view_of(contact: &Contact) -> PeerView {
    PeerView {
        newest: Revision(contact.fence),
        eras: contact.era.map(|known| PeerEras {
            of_claim: Era(contact.fence_era),
            known: Era(known),
        }),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Asks the voters in rounds while this host holds the claim and the key-value service
/// does not answer. Runs until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut channels = BTreeMap::new();
    let mut extended = false;
    loop {
        time::sleep(ROUND_INTERVAL).await;
        let in_outage = shared
            .store
            .time_since_answer()
            .is_some_and(|it| it > OUTAGE_DELAY);
        let lease_deadline = shared.claim.borrow().lease_deadline().filter(|_| in_outage);
        let Some(lease_deadline) = lease_deadline else {
            extended = false;
            channels.clear();
            continue;
        };
        let Some(fence) = shared.claim.borrow().fence() else {
            continue;
        };
        let asked_at = shared.clock.now();
        let tally = shared.metrics.traffic.of(Kind::Peers);
        let electorate = shared.succession.borrow().electorate(fence);
        let contacts = match electorate {
            Some(electorate) => ask_all(electorate, fence, &mut channels, tally).await,
            None => None,
        };
        // Every voter must have lost the service before the lease may have ended. The answers
        // are older than this moment, so that the comparison errs on the safe side.
        let since_lease_end_ms = millis(shared.clock.now().since(lease_deadline));
        let agrees =
            |it: &Contact| it.unreached_ms >= since_lease_end_ms && fence.is_newest_to(view_of(it));
        let is_same_claim = shared.claim.borrow().fence() == Some(fence);
        let now_extended =
            is_same_claim && contacts.is_some_and(|contacts| contacts.iter().all(agrees));
        if now_extended {
            shared.claim.borrow_mut().extended_by_peers(asked_at);
        }
        if now_extended != extended {
            let revision = fence.revision.0;
            journal!(
                info,
                "claim-vouched",
                vouched = now_extended,
                fence = revision
            );
            extended = now_extended;
        }
    }
}

/// Answers of all voters; `None` if one of them is silent or its process has ended. A later
/// process of its host does not know what the voter has promised.
async fn ask_all(
    electorate: Vec<Process>,
    fence: Fence,
    channels: &mut BTreeMap<Name, Channel>,
    tally: &Tally,
) -> Option<Vec<Contact>> {
    let mut questions = JoinSet::new();
    for voter in electorate {
        let connect = || peers::channel_to(voter.peers, ANSWER_TIMEOUT, tally);
        let channel = channels.entry(voter.host.clone()).or_insert_with(connect);
        let channel = channel.clone();
        questions.spawn(async move {
            let contact = peers::ask_contact(channel, fence).await?;
            let is_voter =
                contact.host == *voter.host && contact.incarnation == Some(voter.incarnation);
            is_voter.then_some(contact)
        });
    }
    let mut contacts = Vec::new();
    while let Some(answer) = questions.join_next().await {
        contacts.push(answer.ok().flatten()?);
    }
    Some(contacts)
}
