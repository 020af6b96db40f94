//! Datagrams by which hosts tell each other what they send to engines.

use crate::{journal::journal, shared::Shared};
use mulberryrack_gate::{ModelChange, PromptNotice};
use mulberryrack_wire::plan::{self, datagram::Body};
use prost::Message;
use std::rc::Rc;

/// Largest datagram that is taken.
const LARGEST: usize = 1_200;

/// Tells the other hosts what has been decided since the last call.
pub fn tell<D>(shared: &Shared<D>) {
    let notices = shared.gate.borrow_mut().take_prompt_notices();
    for notice in notices {
        let notice = plan::Notice {
            upstream: notice.upstream.to_string(),
            #[allow(clippy::cast_possible_truncation)]
            read_ms: notice.read_ms as f32,
            links: notice.prefixes,
        };
        send(shared, Body::Notice(notice));
    }
}

/// Tells the other hosts what an engine has from now on, or no longer has.
pub fn tell_change<D>(shared: &Shared<D>, change: &ModelChange) {
    let message = plan::Change {
        upstream: change.upstream.to_string(),
        model: change.model.to_string(),
        adapter: change.adapter.as_deref().unwrap_or_default().to_owned(),
        present: change.present,
    };
    send(shared, Body::Change(message));
    let now = shared.clock.now();
    shared.gate.borrow_mut().record_change(now, change);
    shared.changed.notify_waiters();
}

fn send<D>(shared: &Shared<D>, body: Body) {
    let bytes = plan::Datagram { body: Some(body) }.encode_to_vec();
    for (seat, _) in shared.hosts.borrow().values() {
        if seat.host == shared.settings.host {
            continue;
        }
        if let Err(error) = shared.datagrams.try_send_to(&bytes, seat.peers) {
            journal!(debug, "notice-not-sent", host = seat.host, error = error);
        }
    }
}

/// Takes what other hosts tell, until the process ends.
pub async fn receive<D>(shared: Rc<Shared<D>>) {
    let mut buffer = [0u8; LARGEST];
    loop {
        let length = match shared.datagrams.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                // An earlier datagram found no listener.
                journal!(debug, "notice-not-received", error = error);
                continue;
            }
        };
        match plan::Datagram::decode(&buffer[..length]) {
            Ok(datagram) => take(&shared, datagram.body),
            Err(error) => journal!(warn, "notice-unreadable", error = error),
        }
    }
}

fn take<D>(shared: &Shared<D>, body: Option<Body>) {
    let now = shared.clock.now();
    match body {
        Some(Body::Notice(message)) => {
            let notice = PromptNotice {
                upstream: message.upstream.into(),
                read_ms: f64::from(message.read_ms),
                prefixes: message.links,
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
        // A kind of a later version.
        None => {}
    }
}
