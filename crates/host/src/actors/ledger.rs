//! The actor of the ledger area.

use super::{Router, Shared, alarm::Alarm};
use crate::{Area, Effect};
use mulberryrack_ledger::{Input, Output};
use mulberryrack_wire::peer::envelope::Body;
use stakker::{Actor, CX, at, call};

/// Runs [`mulberryrack_ledger::Ledger`] and forwards its verdicts to the router.
pub struct Ledger {
    shared: Shared,
    machine: mulberryrack_ledger::Ledger,
    router: Option<Actor<Router>>,
    alarm: Alarm,
}

impl Ledger {
    /// Starts the actor; outputs for the router are dropped until [`Ledger::link`] is called.
    #[allow(clippy::unnecessary_wraps)]
    pub fn init(_: CX![], shared: Shared, machine: mulberryrack_ledger::Ledger) -> Option<Self> {
        Some(Self {
            shared,
            machine,
            router: None,
            alarm: Alarm::default(),
        })
    }

    /// Sets the router that receives verdicts, and wakes the state machine for the first time.
    pub fn link(&mut self, cx: CX![], router: Actor<Router>) {
        self.router = Some(router);
        self.handle(cx, Input::Wake);
    }

    /// Feeds one input to the state machine and carries out its outputs.
    pub fn handle(&mut self, cx: CX![], input: Input) {
        self.step(cx, input);
    }

    step_methods!();

    fn handle_output(&mut self, cx: CX![], output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Frame {
                to,
                incarnation,
                frame,
            } => shared.send(cx, &to, incarnation, Body::Ledger(frame)),
            Output::Kv { token, op } => shared.emit(
                cx,
                Effect::Kv {
                    area: Area::Ledger,
                    token,
                    op,
                },
            ),
            Output::Verdict { request, verdict } => {
                if let Some(router) = &self.router {
                    call!(
                        [router],
                        handle(mulberryrack_route::Input::Verdict { request, verdict })
                    );
                }
            }
            Output::Left => shared.drain.rw(cx).ledger_handed_over = true,
            Output::Note(note) => shared.emit(cx, Effect::Note(note)),
            Output::Count(counter) => shared.emit(cx, Effect::Count(counter)),
        }
    }
}
