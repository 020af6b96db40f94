//! Extends the claim to give orders during an outage of the key-value service. The holder
//! may go on giving orders as long as all other hosts say that they do not reach the service
//! either.

use crate::{journal::journal, peers, shared::Shared};
use mulberryrack_core::{
    Name,
    kv::{Era, Revision},
};
use mulberryrack_fleet::{PeerEras, PeerView};
use mulberryrack_site::Dialect;
use mulberryrack_wire::plan::{Contact, Question};
use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{self, Instant},
};
use tonic::transport::Channel;

/// Interval between two rounds of questions. Two rounds fit into the period for which one
/// round extends the claim.
const ROUND_INTERVAL: Duration = Duration::from_millis(180);
/// Longest wait for a host's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without an answer of the key-value service after which the other hosts are asked.
/// Longer than the interval between two renewals.
const OUTAGE_DELAY: Duration = Duration::from_millis(900);
/// Largest number of hosts that are asked. With more other hosts the claim is not extended,
/// and no orders are given during an outage.
const MAX_HOSTS: usize = 24;

/// This host's answer to another host: when the key-value service last answered, and the
/// fencing token of the newest claim that this host has seen.
pub fn kv_contact<D: Dialect>(shared: &Shared<D>) -> Contact {
    let since_answer = shared.store.time_since_answer();
    let holder = shared.holder.borrow();
    Contact {
        unreached_ms: since_answer.map_or(u64::MAX, millis),
        fence: holder.as_ref().map_or(0, |(_, fence)| fence.revision.0),
        fence_era: holder.as_ref().map_or(0, |(_, fence)| fence.era.0),
        era: Some(shared.store.era().0),
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

/// Another host's answer.
enum PeerAnswer {
    Contact(Contact),
    /// The host refused the connection: its process does not run.
    Gone,
    Silent,
}

/// Asks the other hosts in rounds while this host holds the claim and the key-value service
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
        let asked_at = shared.clock.now();
        let contacts = ask_other_hosts(&shared, &mut channels).await;
        // Every other host must have lost the service before the lease may have ended. The
        // answers are older than this moment, so that the comparison errs on the safe side.
        let since_lease_end_ms = millis(shared.clock.now().since(lease_deadline));
        let Some(fence) = shared.claim.borrow().fence() else {
            continue;
        };
        let agrees =
            |it: &Contact| it.unreached_ms >= since_lease_end_ms && fence.is_newest_to(view_of(it));
        let now_extended = contacts.is_some_and(|contacts| contacts.iter().all(agrees));
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

/// Answers of all other hosts whose process runs; `None` if one of them is silent or there
/// are more than [`MAX_HOSTS`].
async fn ask_other_hosts<D>(
    shared: &Shared<D>,
    channels: &mut BTreeMap<Name, Channel>,
) -> Option<Vec<Contact>> {
    let other_hosts = shared.other_hosts();
    if other_hosts.len() > MAX_HOSTS {
        return None;
    }
    let mut questions = JoinSet::new();
    for registration in other_hosts {
        let connect = || peers::channel_to(registration.peers, ANSWER_TIMEOUT);
        let channel = channels.entry(registration.host).or_insert_with(connect);
        questions.spawn(ask(channel.clone(), registration.peers));
    }
    let mut contacts = Vec::new();
    while let Some(answer) = questions.join_next().await {
        match answer {
            Ok(PeerAnswer::Contact(contact)) => contacts.push(contact),
            Ok(PeerAnswer::Gone) => {}
            Ok(PeerAnswer::Silent) | Err(_) => return None,
        }
    }
    Some(contacts)
}

async fn ask(channel: Channel, address: SocketAddr) -> PeerAnswer {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut client = peers::client_on(channel);
    let answer = time::timeout_at(deadline, client.vouch(Question {})).await;
    if let Ok(Ok(contact)) = answer {
        return PeerAnswer::Contact(contact.into_inner());
    }
    // Only a host whose process has ended refuses a connection; one that is cut off or
    // frozen does not.
    match time::timeout_at(deadline, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => PeerAnswer::Gone,
        _ => PeerAnswer::Silent,
    }
}
