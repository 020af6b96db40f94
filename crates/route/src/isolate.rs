//! Isolation of suspected requests: an upstream runs at most one suspected request of all
//! hosts at a time.
//!
//! If two ran together, a crash could not be attributed to either, and a harmless request
//! that ran beside the crashing one twice would be refused with it. For each upstream one
//! host, the winner of rendezvous hashing over the hosts that take duties, coordinates
//! isolation: it reserves the upstream for one suspected request at a time.

use crate::{Output, Router, upstreams::UpstreamId};
use mulberryrack_core::{Incarnation, Name, Time, hash::rendezvous, request::Key, view::Peer};
use mulberryrack_wire::route::{Frame, Isolate, Isolated, frame::Body};
use std::{collections::BTreeMap, time::Duration};

/// Interval after which a coordinator that has not answered is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of unanswered frames to a coordinator after which another upstream is tried. A
/// coordinator whose upstream is reserved does not answer.
const MAX_ASKS: u32 = 5;

/// Progress of a suspected request towards an upstream of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Isolation {
    /// No reservation was asked for.
    None,
    /// The coordinator of this upstream was asked for a reservation this many times.
    Asked(UpstreamId, u32),
    /// The upstream is reserved for the request.
    Granted(UpstreamId),
}

/// The suspected request for which an upstream is reserved.
#[derive(Debug)]
pub(crate) struct Reservation {
    host: Name,
    incarnation: Incarnation,
    request: u64,
    until: Time,
}

/// Reservations of the upstreams that this host coordinates.
pub(crate) type Reservations = BTreeMap<Name, Reservation>;

impl Router {
    /// The host that reserves an upstream for suspected requests, in this host's view.
    fn isolation_coordinator(&self, upstream: &str) -> Option<&Peer> {
        let weight = |peer: &Peer| rendezvous(upstream, &peer.name, 1.0);
        self.view
            .eligible()
            .max_by(|one, other| weight(one).total_cmp(&weight(other)))
    }

    /// The upstream reserved for a suspected request; asks a coordinator if there is none
    /// yet.
    pub(crate) fn isolated_upstream(
        &mut self,
        now: Time,
        key: Key,
        freed: Option<UpstreamId>,
        out: &mut Vec<Output>,
    ) -> Option<UpstreamId> {
        let unanswered = match self.requests[&key].isolation {
            Isolation::Granted(id) if self.upstreams.get(id).available() => return Some(id),
            Isolation::Asked(id, asks) if asks < MAX_ASKS => Some((id, asks)),
            Isolation::Asked(..) | Isolation::Granted(_) => {
                self.end_isolation(now, key, out);
                None
            }
            Isolation::None => None,
        };
        let (id, asks) = match unanswered {
            Some(unanswered) => unanswered,
            None => (self.choose_upstream(now, key, freed, &[])?, 0),
        };
        let req = self.requests.get_mut(&key).expect("a queued request");
        req.isolation = Isolation::Asked(id, asks + 1);
        req.not_before = now + ASK_INTERVAL;
        self.send_isolate(now, key, id, false, out);
        self.set_timer(now, key);
        match self.requests[&key].isolation {
            Isolation::Granted(id) => Some(id),
            _ => None,
        }
    }

    fn send_isolate(
        &mut self,
        now: Time,
        key: Key,
        id: UpstreamId,
        release: bool,
        out: &mut Vec<Output>,
    ) {
        let upstream = self.upstreams.get(id).name.clone();
        let Some((to, incarnation)) = self
            .isolation_coordinator(&upstream)
            .map(|peer| (peer.name.clone(), peer.incarnation))
        else {
            return;
        };
        let span = self
            .requests
            .get(&key)
            .map_or(Duration::ZERO, |req| req.deadline - now);
        let isolate = Isolate {
            upstream: upstream.to_string(),
            request: key.0,
            for_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
            release,
        };
        if to == self.me {
            self.on_isolate(now, &to, self.incarnation, &isolate, out);
        } else {
            out.push(frame(&to, incarnation, Body::Isolate(isolate)));
        }
    }

    /// Releases the upstream for which a reservation was asked for or granted.
    pub(crate) fn end_isolation(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let Some(req) = self.requests.get_mut(&key) else {
            return;
        };
        let isolation = std::mem::replace(&mut req.isolation, Isolation::None);
        if let Isolation::Asked(id, _) | Isolation::Granted(id) = isolation {
            self.send_isolate(now, key, id, true, out);
        }
    }

    /// Reserves an upstream for a suspected request, or releases it, as the upstream's
    /// coordinator.
    pub(crate) fn on_isolate(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        isolate: &Isolate,
        out: &mut Vec<Output>,
    ) {
        let name: Name = isolate.upstream.as_str().into();
        let same_request = |reservation: &Reservation| {
            reservation.host == *from
                && reservation.incarnation == incarnation
                && reservation.request == isolate.request
        };
        if isolate.release {
            if self.reservations.get(&name).is_some_and(same_request) {
                self.reservations.remove(&name);
            }
            return;
        }
        let free = self.reservations.get(&name).is_none_or(|reservation| {
            same_request(reservation)
                || reservation.until <= now
                || self.is_over(&reservation.host, reservation.incarnation)
        });
        if !free {
            return;
        }
        let reservation = Reservation {
            host: from.clone(),
            incarnation,
            request: isolate.request,
            until: now + Duration::from_millis(isolate.for_ms),
        };
        self.reservations.insert(name, reservation);
        let isolated = Isolated {
            upstream: isolate.upstream.clone(),
            request: isolate.request,
        };
        if *from == self.me {
            self.on_isolated(now, &isolated);
        } else {
            out.push(frame(from, incarnation, Body::Isolated(isolated)));
        }
    }

    /// Handles a coordinator's answer: the upstream is reserved for a request of this
    /// host.
    pub(crate) fn on_isolated(&mut self, now: Time, isolated: &Isolated) {
        let Some(id) = self.upstreams.find(&isolated.upstream) else {
            return;
        };
        let Some(req) = self.requests.get_mut(&Key(isolated.request)) else {
            return;
        };
        if matches!(req.isolation, Isolation::Asked(asked, _) if asked == id) {
            req.isolation = Isolation::Granted(id);
            req.not_before = now;
            self.rows_to_dispatch.insert(req.row);
        }
    }
}

fn frame(to: &Name, incarnation: Incarnation, body: Body) -> Output {
    Output::Frame {
        to: to.clone(),
        incarnation: Some(incarnation),
        frame: Frame { body: Some(body) },
    }
}
