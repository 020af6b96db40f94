//! The areas of a host as actors that pass each other's outputs on.

/// Methods that every area's actor has alike: `step` feeds its state machine one input,
/// passes on what comes of it and moves the timer; `wake` is the timer's end.
///
/// Expects the fields `shared`, `machine` and `alarm`, the method `output`, and the area's
/// `Input` in scope.
macro_rules! steps {
    () => {
        fn step(&mut self, cx: CX![], input: Input) {
            let now = self.shared.now(cx);
            let mut outputs = Vec::new();
            self.machine.handle(now, input, &mut outputs);
            for output in outputs {
                self.output(cx, output);
            }
            let base = self.shared.base;
            let this = cx.this().clone();
            self.alarm
                .set(cx, base, self.machine.next_wake(), |core, instant| {
                    at!(instant, [this, core], wake())
                });
        }

        fn wake(&mut self, cx: CX![]) {
            self.alarm.fired();
            self.step(cx, Input::Wake);
        }
    };
}

mod alarm;
mod ledger;
mod member;
mod planner;
mod router;

pub use ledger::Ledger;
pub use member::Member;
pub use planner::Planner;
pub use router::Router;

use crate::{Effect, drain::Drain};
use mulberryrack_core::{Incarnation, Name, Time, view::View};
use mulberryrack_wire::peer::{Envelope, envelope::Body};
use stakker::{Core, Share};
use std::{sync::Arc, time::Instant};

/// What all actors of a host share.
#[derive(Clone)]
pub struct Shared {
    /// The instant that stands for [`Time::ZERO`].
    pub base: Instant,
    /// Effects not yet fetched, in order.
    pub effects: Share<Vec<Effect>>,
    /// How far leaving has come.
    pub drain: Share<Drain>,
    /// The newest view.
    pub view: Share<Arc<View>>,
    /// This host's name.
    pub me: Name,
    /// This host's life.
    pub incarnation: Incarnation,
}

impl Shared {
    /// The core's time.
    pub fn now(&self, core: &Core) -> Time {
        let micros = core.now().saturating_duration_since(self.base).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Hands an effect out.
    pub fn emit(&self, core: &mut Core, effect: Effect) {
        self.effects.rw(core).push(effect);
    }

    /// Sends a message to a host of the view; drops it when the host is unknown.
    pub fn send(&self, core: &mut Core, to: &Name, incarnation: Option<Incarnation>, body: Body) {
        let address = self
            .view
            .ro(core)
            .peer(to)
            .map(|peer| peer.peer_address.clone());
        if let Some(address) = address {
            self.send_to(core, to, address, incarnation, body);
        }
    }

    /// Sends a message to an address.
    pub fn send_to(
        &self,
        core: &mut Core,
        to: &Name,
        address: Name,
        incarnation: Option<Incarnation>,
        body: Body,
    ) {
        let envelope = Envelope {
            from: self.me.to_string(),
            from_incarnation: self.incarnation.0,
            to: to.to_string(),
            to_incarnation: incarnation.map_or(0, |incarnation| incarnation.0),
            body: Some(body),
        };
        self.emit(core, Effect::Peer { address, envelope });
    }
}
