//! Suspected requests run alone among suspects on an upstream, over all hosts.
//!
//! Otherwise a crash could not be laid at the door of one of them, and an innocent that
//! ran beside the cause twice would be refused with it. For each upstream the winner of
//! rendezvous hashing over the able hosts is its guardian and lets one suspect in at a
//! time.

use crate::{Output, Router, upstreams::UpstreamId};
use mulberryrack_core::{Incarnation, Name, Time, hash::rendezvous, request::Key, view::Peer};
use mulberryrack_wire::route::{Frame, Isolate, Isolated, frame::Body};
use std::{collections::BTreeMap, time::Duration};

/// Time after which a guardian that has not answered is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Questions to one guardian before another upstream is tried.
const ASKS: u32 = 5;

/// What a suspected request has of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Isolation {
    /// Nothing.
    None,
    /// The guardian was asked this often.
    Asked(UpstreamId, u32),
    /// It may run there.
    Granted(UpstreamId),
}

/// The suspect that an upstream is kept for.
#[derive(Debug)]
pub(crate) struct Ward {
    host: Name,
    incarnation: Incarnation,
    request: u64,
    until: Time,
}

/// Upstreams that this host is the guardian of and that run a suspect.
pub(crate) type Wards = BTreeMap<Name, Ward>;

impl Router {
    fn guardian(&self, upstream: &str) -> Option<&Peer> {
        let weight = |peer: &Peer| rendezvous(upstream, &peer.name, 1.0);
        self.view
            .eligible()
            .max_by(|one, other| weight(one).total_cmp(&weight(other)))
    }

    /// The upstream that a suspect may run on now; asks for one if there is none.
    pub(crate) fn isolated(
        &mut self,
        now: Time,
        key: Key,
        freed: Option<UpstreamId>,
        out: &mut Vec<Output>,
    ) -> Option<UpstreamId> {
        let asks = match self.lives[&key].isolation {
            Isolation::Granted(id) if self.upstreams.get(id).available() => return Some(id),
            Isolation::Asked(id, asks) if asks < ASKS => Some((id, asks)),
            Isolation::Asked(..) | Isolation::Granted(_) => {
                self.end_isolation(now, key, out);
                None
            }
            Isolation::None => None,
        };
        let (id, asks) = match asks {
            Some(asks) => asks,
            None => (self.pick(now, key, freed, &[])?, 0),
        };
        let life = self.lives.get_mut(&key).expect("a waiting request");
        life.isolation = Isolation::Asked(id, asks + 1);
        life.hold = now + ASK_AGAIN;
        self.ask_guardian(now, key, id, false, out);
        self.arm(now, key);
        match self.lives[&key].isolation {
            Isolation::Granted(id) => Some(id),
            _ => None,
        }
    }

    fn ask_guardian(
        &mut self,
        now: Time,
        key: Key,
        id: UpstreamId,
        release: bool,
        out: &mut Vec<Output>,
    ) {
        let upstream = self.upstreams.get(id).name.clone();
        let Some((to, incarnation)) = self
            .guardian(&upstream)
            .map(|peer| (peer.name.clone(), peer.incarnation))
        else {
            return;
        };
        let span = self
            .lives
            .get(&key)
            .map_or(Duration::ZERO, |life| life.deadline - now);
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

    /// Gives up what a request has of an upstream.
    pub(crate) fn end_isolation(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let Some(life) = self.lives.get_mut(&key) else {
            return;
        };
        let isolation = std::mem::replace(&mut life.isolation, Isolation::None);
        if let Isolation::Asked(id, _) | Isolation::Granted(id) = isolation {
            self.ask_guardian(now, key, id, true, out);
        }
    }

    /// A host asks this one, as the guardian, for an upstream.
    pub(crate) fn on_isolate(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        isolate: &Isolate,
        out: &mut Vec<Output>,
    ) {
        let name: Name = isolate.upstream.as_str().into();
        let ours = |ward: &Ward| {
            ward.host == *from && ward.incarnation == incarnation && ward.request == isolate.request
        };
        if isolate.release {
            if self.wards.get(&name).is_some_and(ours) {
                self.wards.remove(&name);
            }
            return;
        }
        let free = self.wards.get(&name).is_none_or(|ward| {
            ours(ward) || ward.until <= now || self.ended(&ward.host, ward.incarnation)
        });
        if !free {
            return;
        }
        let ward = Ward {
            host: from.clone(),
            incarnation,
            request: isolate.request,
            until: now + Duration::from_millis(isolate.for_ms),
        };
        self.wards.insert(name, ward);
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

    /// The guardian lets a request of this host in.
    pub(crate) fn on_isolated(&mut self, now: Time, isolated: &Isolated) {
        let Some(id) = self.upstreams.find(&isolated.upstream) else {
            return;
        };
        let Some(life) = self.lives.get_mut(&Key(isolated.request)) else {
            return;
        };
        if matches!(life.isolation, Isolation::Asked(asked, _) if asked == id) {
            life.isolation = Isolation::Granted(id);
            life.hold = now;
            self.ready.insert(life.row);
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
