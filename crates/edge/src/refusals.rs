//! Keys of the key-value service that name the requests, and the parts of prompts, that are
//! refused for crashing upstreams or contested. They outlast the hosts: without them, hosts that all end together would start without the
//! evidence and let the request crash further upstreams.

use crate::{journal::journal, shared::Shared, suspects};
use mulberryrack_core::{
    hash,
    kv::{Fault, Lease, Op, Reply},
};
use mulberryrack_site::Dialect;
use mulberryrack_suspect::Subject;
use mulberryrack_wire::route::Suspicion;
use prost::Message;
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time;

/// Prefix of the keys; the fingerprint in hexadecimal follows, for a part after [`PART_PREFIX`].
pub const REFUSAL_KEY_PREFIX: &str = "mulberryrack/refused/";
/// Marks the keys of parts, which earlier versions pass over.
const PART_PREFIX: &str = "part-";
/// Upper bound of the random delay before a key is written. Several hosts see the same crash,
/// but one key is enough.
const MAX_WRITE_JITTER_MS: u64 = 200;
/// The same for each host, if that is longer: any host that has refused requests with a subject
/// writes its key again when that has ended.
const WRITE_JITTER_PER_HOST_MS: u64 = 10;
/// Delay before keys that could not be written are tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest time to live that the key-value service allows for a lease.
const MAX_LEASE_TTL: Duration = Duration::from_secs(600);

/// Writes a key for each subject that is refused or contested, until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        if unwritten(&shared).is_empty() {
            shared.refusals_changed.notified().await;
        }
        let seed = shared.clock.now().as_micros();
        let host_count = shared.hosts.borrow().len() as u64;
        let max_jitter_ms = MAX_WRITE_JITTER_MS.max(host_count * WRITE_JITTER_PER_HOST_MS);
        let jitter_ms = hash::stable(shared.settings.host.as_bytes(), seed) % max_jitter_ms;
        time::sleep(Duration::from_millis(jitter_ms)).await;
        for subject in unwritten(&shared) {
            if let Err(fault) = write(&shared, subject).await {
                let fault = format_args!("{fault:?}");
                journal!(warn, "refusal-not-written", fault = fault);
                time::sleep(RETRY_DELAY).await;
                break;
            }
        }
    }
}

/// Refused and contested subjects without a key, of which this host itself has seen a crash.
fn unwritten<D>(shared: &Shared<D>) -> Vec<Subject> {
    let written = shared.written_refusals.borrow();
    let gate = shared.gate.borrow();
    let suspects = gate.suspects();
    let needs_key = |subject: &Subject| suspects.is_witness(*subject) && !written.contains(subject);
    suspects.weighty().filter(needs_key).collect()
}

async fn write<D: Dialect>(shared: &Shared<D>, subject: Subject) -> Result<(), Fault> {
    let now = shared.clock.now();
    let evidence = {
        let gate = shared.gate.borrow();
        let suspects = gate.suspects();
        suspects
            .remaining(subject, now)
            .zip(suspects.export(now, subject))
    };
    let Some((remaining, suspicion)) = evidence else {
        return Ok(());
    };
    let lease = grant(shared, remaining).await?;
    let op = Op::Put {
        key: key_of(subject),
        value: suspicion.encode_to_vec().into(),
        expect: None,
        lease: Some(lease),
    };
    match shared.store.call(&op).await? {
        Reply::Written(revision) => {
            journal!(
                info,
                "refusal-written",
                key = key_of(subject),
                revision = revision.0
            );
        }
        // Another host has written the key.
        Reply::Conflict(_) => {}
        _ => return Err(Fault::Unknown),
    }
    shared.written_refusals.borrow_mut().insert(subject);
    Ok(())
}

async fn grant<D: Dialect>(shared: &Shared<D>, remaining: Duration) -> Result<Lease, Fault> {
    let ttl = remaining.clamp(shared.settings.min_lease_ttl, MAX_LEASE_TTL);
    match shared.store.call(&Op::Grant { ttl }).await? {
        Reply::Granted(lease) => Ok(lease),
        _ => Err(Fault::Unknown),
    }
}

fn key_of(subject: Subject) -> Arc<str> {
    let kind = if subject.is_part() { PART_PREFIX } else { "" };
    format!("{REFUSAL_KEY_PREFIX}{kind}{:032x}", subject.id()).into()
}

/// The subject that a key names; `None` for other keys.
pub fn subject_of_key(key: &str) -> Option<Subject> {
    let name = key.strip_prefix(REFUSAL_KEY_PREFIX)?;
    let id = |text| u128::from_str_radix(text, 16).ok();
    match name.strip_prefix(PART_PREFIX) {
        Some(part) => id(part).map(Subject::Part),
        None => id(name).map(Subject::Request),
    }
}

/// Takes over the evidence of a key that this or another host has written.
pub fn apply<D>(shared: &Shared<D>, subject: Subject, value: &[u8]) {
    shared.written_refusals.borrow_mut().insert(subject);
    match Suspicion::decode(value) {
        Ok(suspicion) => suspects::learn(shared, vec![suspicion], "store"),
        Err(error) => journal!(warn, "refusal-unreadable", error = error),
    }
}

/// Forgets keys that no longer exist; they are written again if their requests are still
/// refused.
pub fn retain_keys<D>(shared: &Shared<D>, exists: impl Fn(&str) -> bool) {
    let mut written = shared.written_refusals.borrow_mut();
    written.retain(|subject| exists(&key_of(*subject)));
    drop(written);
    shared.refusals_changed.notify_one();
}
