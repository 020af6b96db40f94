//! Whether the host that gives orders may go on while the key-value service is out: it may
//! as long as all others say that they do not reach the service either.

use crate::{journal::journal, peers, shared::Shared};
use mulberryrack_core::Name;
use mulberryrack_site::Dialect;
use mulberryrack_wire::plan::{Contact, Question, planner_client::PlannerClient};
use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{self, Instant},
};
use tonic::transport::Channel;

/// Time between two rounds of questions; two fit into the time for which a round holds.
const ROUND: Duration = Duration::from_millis(180);
/// Time for a host to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without an answer of the key-value service after which others are asked: longer
/// than the pause between two renewals.
const OUT_AFTER: Duration = Duration::from_millis(900);
/// Most hosts that are asked; a larger site stops giving orders during an outage.
const MOST_HOSTS: usize = 24;

/// What this host knows of the service and the claim.
pub fn contact<D: Dialect>(shared: &Shared<D>) -> Contact {
    let unreached = shared.store.time_since_answer();
    let holder = shared.holder.borrow();
    Contact {
        unreached_ms: unreached.map_or(u64::MAX, millis),
        fence: holder.as_ref().map_or(0, |(_, revision)| revision.0),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// What another host answered.
enum Word {
    Contact(Contact),
    /// Its process is not there.
    Gone,
    Silent,
}

/// Asks the others for as long as this host has the claim and the service is out.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut channels = BTreeMap::new();
    let mut vouched = false;
    loop {
        time::sleep(ROUND).await;
        let out = shared
            .store
            .time_since_answer()
            .is_some_and(|it| it > OUT_AFTER);
        let lease_end = shared.claim.borrow().lease_deadline().filter(|_| out);
        let Some(lease_end) = lease_end else {
            vouched = false;
            channels.clear();
            continue;
        };
        let asked = shared.clock.now();
        let all = ask_all(&shared, &mut channels).await;
        // Their words are from some time before this moment.
        let beyond = millis(shared.clock.now().since(lease_end));
        let fence = shared.claim.borrow().fence().unwrap_or_default();
        let agrees = |it: &Contact| it.unreached_ms >= beyond && it.fence <= fence;
        let now_vouched = all.is_some_and(|all| all.iter().all(agrees));
        if now_vouched {
            shared.claim.borrow_mut().extended_by_peers(asked);
        }
        if now_vouched != vouched {
            journal!(info, "claim-vouched", vouched = now_vouched, fence = fence);
            vouched = now_vouched;
        }
    }
}

/// Answers of all other hosts that are there; `None` if one of them is silent.
async fn ask_all<D>(
    shared: &Shared<D>,
    channels: &mut BTreeMap<Name, Channel>,
) -> Option<Vec<Contact>> {
    let others = shared.other_hosts();
    if others.len() > MOST_HOSTS {
        return None;
    }
    let mut questions = JoinSet::new();
    for seat in others {
        let dial = || peers::dial(seat.peers, ANSWER_TIMEOUT);
        let channel = channels.entry(seat.host).or_insert_with(dial);
        questions.spawn(ask(channel.clone(), seat.peers));
    }
    let mut contacts = Vec::new();
    while let Some(word) = questions.join_next().await {
        match word {
            Ok(Word::Contact(contact)) => contacts.push(contact),
            Ok(Word::Gone) => {}
            Ok(Word::Silent) | Err(_) => return None,
        }
    }
    Some(contacts)
}

async fn ask(channel: Channel, address: SocketAddr) -> Word {
    let until = Instant::now() + ANSWER_TIMEOUT;
    let mut client = PlannerClient::new(channel);
    let answer = time::timeout_at(until, client.vouch(Question {})).await;
    if let Ok(Ok(contact)) = answer {
        return Word::Contact(contact.into_inner());
    }
    // A host that is cut off or frozen does not refuse a connection.
    match time::timeout_at(until, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Word::Gone,
        _ => Word::Silent,
    }
}
