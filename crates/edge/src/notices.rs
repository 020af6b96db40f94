//! Datagrams between hosts: prompts that a host sends to engines, changes of the models that
//! engines have in memory, upstreams that leave, evidence on requests that crash upstreams,
//! permits for those that are on trial, and proofs that the configuration is current.

use crate::{
    journal::journal,
    permits, proofs, replies,
    shared::Shared,
    suspects, tokens,
    traffic::{Kind, Tally},
    usage,
};
use mulberryrack_core::Name;
use mulberryrack_gate::{ModelChange, PromptNotice, SpeedSample};
use mulberryrack_site::Dialect;
use mulberryrack_wire::plan::{self, datagram::Body};
use prost::Message;
use std::{net::SocketAddr, rc::Rc};

/// Size of the receive buffer; a longer datagram is cut off.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Sends the prompt notices that the gate has collected since the last call to the other
/// hosts.
pub fn send_prompt_notices<D>(shared: &Shared<D>) {
    let notices = shared.gate.borrow_mut().take_prompt_notices();
    for notice in notices {
        let (incarnation, spent) = usage::take_news(shared, notice.prefixes.len());
        let notice = plan::Notice {
            upstream: notice.upstream.to_string(),
            #[allow(clippy::cast_possible_truncation)]
            read_ms: notice.read_ms as f32,
            links: notice.prefixes,
            spent,
            incarnation,
            measured: notice.sample.map_or(0, |it| it.engine),
            measurement: notice.sample.map_or(0, SpeedSample::encode),
        };
        broadcast(shared, Body::Notice(notice));
    }
}

/// Announces a change of an engine's models to the other hosts, and applies it to this
/// host's gate.
pub fn announce_change<D>(shared: &Shared<D>, change: &ModelChange) {
    let message = plan::Change {
        upstream: change.upstream.to_string(),
        model: change.model.to_string(),
        adapter: change.adapter.as_deref().unwrap_or_default().to_owned(),
        present: change.present,
    };
    broadcast(shared, Body::Change(message));
    let now = shared.clock.now();
    shared.gate.borrow_mut().record_change(now, change);
    shared.changed.notify_waiters();
}

/// Tells the other hosts that an upstream is leaving; above all the one that gives orders, so
/// that it has the models loaded elsewhere that only this upstream has.
pub fn announce_leaving<D>(shared: &Shared<D>, upstream: &str, incarnation: u64) {
    let message = plan::Leaving {
        upstream: upstream.to_owned(),
        incarnation,
    };
    broadcast(shared, Body::Leaving(message));
}

/// Sends a datagram to all other hosts. A datagram that cannot be sent is dropped.
pub fn broadcast<D>(shared: &Shared<D>, body: Body) {
    let tally = shared.metrics.traffic.of(Kind::of_datagram(&body));
    let bytes = plan::Datagram { body: Some(body) }.encode_to_vec();
    for (registration, _) in shared.hosts.borrow().values() {
        if registration.host == shared.settings.host {
            continue;
        }
        send_bytes(shared, tally, &bytes, registration.peers);
    }
}

/// Sends a datagram to the host with a name, if it is registered.
pub fn send_to_host<D>(shared: &Shared<D>, host: &Name, body: Body) {
    let address = shared.hosts.borrow().get(host).map(|(host, _)| host.peers);
    if let Some(address) = address {
        send(shared, body, address);
    }
}

/// Sends a datagram to one host. A datagram that cannot be sent is dropped.
pub fn send<D>(shared: &Shared<D>, body: Body, to: SocketAddr) {
    let tally = shared.metrics.traffic.of(Kind::of_datagram(&body));
    let bytes = plan::Datagram { body: Some(body) }.encode_to_vec();
    send_bytes(shared, tally, &bytes, to);
}

fn send_bytes<D>(shared: &Shared<D>, tally: &Tally, bytes: &[u8], to: SocketAddr) {
    match shared.datagrams.try_send_to(bytes, to) {
        Ok(length) => tally.record_sent(length),
        Err(error) => journal!(debug, "notice-not-sent", address = to, error = error),
    }
}

/// Receives the datagrams of the other hosts until the process ends.
pub async fn receive<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match shared.datagrams.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // The usual cause: a datagram sent earlier found no listener.
                journal!(debug, "notice-not-received", error = error);
                continue;
            }
        };
        match plan::Datagram::decode(&buffer[..length]) {
            Ok(datagram) => {
                if let Some(body) = &datagram.body {
                    let kind = Kind::of_datagram(body);
                    shared.metrics.traffic.of(kind).record_received(length);
                }
                handle(&shared, datagram.body, sender);
            }
            Err(error) => journal!(warn, "notice-unreadable", error = error),
        }
    }
}

fn handle<D: Dialect>(shared: &Shared<D>, body: Option<Body>, sender: SocketAddr) {
    let now = shared.clock.now();
    match body {
        Some(Body::Usage(message)) => usage::receive(shared, message.incarnation, &message.spent),
        Some(Body::Notice(message)) => {
            usage::receive(shared, message.incarnation, &message.spent);
            let notice = PromptNotice {
                upstream: message.upstream.into(),
                read_ms: f64::from(message.read_ms),
                prefixes: message.links,
                sample: SpeedSample::decode(message.measured, message.measurement),
            };
            shared.gate.borrow_mut().record_prompt_notice(now, &notice);
        }
        Some(Body::Change(message)) => {
            let change = ModelChange {
                upstream: message.upstream.into(),
                model: message.model.into(),
                adapter: (!message.adapter.is_empty()).then(|| message.adapter.into()),
                present: message.present,
            };
            shared.gate.borrow_mut().record_change(now, &change);
            shared.changed.notify_waiters();
        }
        Some(Body::Leaving(message)) => {
            let known = shared.gate.borrow().find(&message.upstream);
            if let Some(id) = known {
                replies::record_leaving(shared, id, message.incarnation, "host");
            }
        }
        Some(Body::Suspects(message)) => suspects::receive(shared, message, sender),
        Some(Body::PermitAsk(message)) => permits::answer(shared, message, sender),
        Some(Body::PermitAnswer(message)) => permits::receive(shared, message, sender),
        Some(Body::PermitRelease(message)) => permits::end(shared, message),
        Some(Body::Limits(message)) => {
            tokens::receive(shared, tokens::decode_limits(message), "host");
        }
        Some(Body::TokenAsk(message)) => {
            let host = message.host.clone();
            if let Some(message) = tokens::decode_ask(message) {
                tokens::receive(shared, message, &host);
            }
        }
        Some(Body::TokenAnswer(message)) => {
            tokens::receive(shared, tokens::decode_answer(message), "host");
        }
        Some(Body::TokenReturn(message)) => {
            tokens::receive(shared, tokens::decode_return(message), "host");
        }
        Some(Body::ProofQuery(message)) => proofs::answer(shared, message, sender),
        Some(Body::ProofAnswer(message)) => proofs::receive(shared, message),
        // A kind of datagram that only later versions of the program know.
        None => {}
    }
}
