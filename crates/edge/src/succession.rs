//! Keeps the record of this host's claim in the key-value service, and tells the hosts that could
//! extend the previous holder's claim of the newer one.

use crate::{
    journal::journal,
    lease_extension, peers,
    shared::Shared,
    traffic::{Kind, Tally},
};
use bytes::Bytes;
use mulberryrack_core::{
    Name,
    kv::{Entry, Fault, Op, Reply},
};
use mulberryrack_fleet::{
    ClaimState, Fence,
    succession::{self, Earlier, Process, Record},
};
use mulberryrack_site::Dialect;
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{task::JoinSet, time};
use tonic::transport::Channel;

/// Key of the record of the newest claim.
pub const RECORD_KEY: &str = "mulberryrack/succession";
/// Interval between two rounds of questions to the previous holder and its voters.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Number of conflicting writes after which the record is left for the next check.
const MAX_CONFLICTS: usize = 3;

/// The record as it should be now for this host's claim.
fn record<D: Dialect>(shared: &Shared<D>, fence: Fence) -> Record {
    let others = shared.other_hosts().into_iter();
    let is_active = shared.claim_state(shared.clock.now()) == ClaimState::Active;
    Record {
        era: fence.era,
        revision: fence.revision,
        holder: shared.registration().process(),
        voters: succession::voters(others.map(|registration| registration.process())),
        earlier: if is_active {
            Earlier::Ended
        } else {
            shared.succession.borrow().earlier()
        },
    }
}

/// Writes the record of this host's claim if it is not in force as it should be.
pub async fn update_record<D: Dialect>(shared: &Shared<D>) {
    for _ in 0..MAX_CONFLICTS {
        let Some(fence) = shared.claim.borrow().fence() else {
            return;
        };
        let is_unread = shared.succession.borrow().is_unread(fence);
        if is_unread && read(shared, fence).await.is_err() {
            return;
        }
        let record = record(shared, fence);
        if !shared.succession.borrow().is_due(&record) || write(shared, record).await.is_ok() {
            return;
        }
    }
}

async fn read<D: Dialect>(shared: &Shared<D>, fence: Fence) -> Result<(), Fault> {
    let op = Op::Get {
        key: RECORD_KEY.into(),
    };
    let rises = shared.store.rises();
    match shared.store.call(&op).await {
        Ok(Reply::Entry(entry)) if shared.store.rises() == rises => {
            take_over(shared, fence, entry.as_ref());
            Ok(())
        }
        Ok(_) => Err(Fault::Unknown),
        Err(fault) => {
            let outcome = format_args!("{fault:?}");
            journal!(warn, "succession-not-read", outcome = outcome);
            Err(fault)
        }
    }
}

/// Takes over the record that this host has found under its claim.
fn take_over<D: Dialect>(shared: &Shared<D>, fence: Fence, entry: Option<&Entry>) {
    let is_first_era = shared.first_era.get().unwrap_or_default() == fence.era;
    let mut succession = shared.succession.borrow_mut();
    let parsed = entry.map(|entry| serde_json::from_slice::<Record>(&entry.value));
    match parsed.transpose() {
        Ok(record) => {
            let found = record
                .as_ref()
                .zip(entry)
                .map(|(record, entry)| (record, entry.revision));
            succession.read(fence, found, &shared.settings.host, is_first_era);
        }
        Err(error) => {
            journal!(warn, "succession-unreadable", error = error);
            let revision = entry.map(|entry| entry.revision).unwrap_or_default();
            succession.read_malformed(fence, revision);
        }
    }
}

/// Writes the record. Fails if the key has another revision than expected, which is then taken
/// over.
async fn write<D: Dialect>(shared: &Shared<D>, record: Record) -> Result<(), ()> {
    let expect = shared.succession.borrow().expected();
    let value = serde_json::to_vec(&record).expect("a record is plain data");
    let op = Op::Put {
        key: RECORD_KEY.into(),
        value: Bytes::from(value),
        expect,
        lease: None,
    };
    let fence = record.fence();
    let rises = shared.store.rises();
    let outcome = shared.store.call(&op).await;
    if shared.store.rises() != rises {
        return Ok(());
    }
    match outcome {
        Ok(Reply::Written(revision)) => {
            record_written(shared, record, revision);
            Ok(())
        }
        Ok(Reply::Conflict(found)) => {
            take_over(shared, fence, found.as_ref());
            Err(())
        }
        other => {
            // The service may have written it, or write it later.
            shared.succession.borrow_mut().unanswered(record);
            let outcome = format_args!("{other:?}");
            journal!(warn, "succession-not-written", outcome = outcome);
            Ok(())
        }
    }
}

fn record_written<D: Dialect>(
    shared: &Shared<D>,
    record: Record,
    revision: mulberryrack_core::kv::Revision,
) {
    let now = shared.clock.now();
    let fence = record.fence();
    let voters = record
        .voters
        .as_ref()
        .map_or_else(|| "none".to_owned(), |it| it.len().to_string());
    let mut succession = shared.succession.borrow_mut();
    succession.written(record, revision);
    let mut claim = shared.claim.borrow_mut();
    if claim.fence() != Some(fence) {
        return;
    }
    claim.recorded();
    claim.bound_wait(now, succession.earlier());
    let earlier = match succession.earlier() {
        Earlier::Unknown => "unknown",
        Earlier::Era => "era",
        Earlier::Ended => "ended",
    };
    journal!(
        info,
        "claim-recorded",
        fence = fence.revision.0,
        voters = voters,
        earlier = earlier,
        to_tell = succession.processes_to_tell().len(),
    );
}

/// Asks the previous holder and its voters until one of them has learned of this host's claim.
/// Runs until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut channels = BTreeMap::new();
    loop {
        time::sleep(ROUND_INTERVAL).await;
        let fence = shared.claim.borrow().fence();
        let processes = shared.succession.borrow().processes_to_tell().to_vec();
        let Some(fence) = fence.filter(|_| !processes.is_empty()) else {
            channels.clear();
            continue;
        };
        let tally = shared.metrics.traffic.of(Kind::Peers);
        let Some(host) = first_answer(fence, processes, &mut channels, tally).await else {
            continue;
        };
        let mut claim = shared.claim.borrow_mut();
        if claim.fence() == Some(fence) {
            let mut succession = shared.succession.borrow_mut();
            succession.predecessor_told();
            claim.bound_wait(shared.clock.now(), succession.earlier());
            let revision = fence.revision.0;
            journal!(info, "predecessor-told", fence = revision, host = host);
        }
    }
}

/// The first of the processes, or of their hosts, that has learned of the claim.
async fn first_answer(
    fence: Fence,
    processes: Vec<Process>,
    channels: &mut BTreeMap<Name, Channel>,
    tally: &Tally,
) -> Option<Name> {
    let mut questions = JoinSet::new();
    for process in processes {
        let connect = || peers::channel_to(process.peers, lease_extension::ANSWER_TIMEOUT, tally);
        let channel = channels.entry(process.host.clone()).or_insert_with(connect);
        let channel = channel.clone();
        questions.spawn(async move {
            let contact = peers::ask_contact(channel, fence).await?;
            // Without a number, the host does not remember the claim that it was told.
            let remembers = contact.incarnation.is_some();
            (remembers && contact.host == *process.host).then_some(process.host)
        });
    }
    while let Some(answer) = questions.join_next().await {
        if let Ok(Some(host)) = answer {
            return Some(host);
        }
    }
    None
}
