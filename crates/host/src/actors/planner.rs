//! The actor of the placement area.

use super::{Member, Shared, alarm::Alarm};
use crate::{Area, Effect};
use mulberryrack_place::{Input, Output};
use mulberryrack_wire::peer::envelope::Body;
use stakker::{Actor, CX, at, call};

/// Runs [`mulberryrack_place::Planner`] and publishes the states of engines through the
/// membership actor.
pub struct Planner {
    shared: Shared,
    machine: mulberryrack_place::Planner,
    member: Option<Actor<Member>>,
    alarm: Alarm,
}

impl Planner {
    /// Starts the actor; published values are dropped until [`Planner::link`] is called.
    #[allow(clippy::unnecessary_wraps)]
    pub fn init(_: CX![], shared: Shared, machine: mulberryrack_place::Planner) -> Option<Self> {
        Some(Self {
            shared,
            machine,
            member: None,
            alarm: Alarm::default(),
        })
    }

    /// Sets the membership actor, which replicates published values to all hosts, and wakes the
    /// state machine for the first time.
    pub fn link(&mut self, cx: CX![], member: Actor<Member>) {
        self.member = Some(member);
        self.handle(cx, Input::Wake);
    }

    /// Reads from the state machine.
    pub fn with_machine<R>(
        &mut self,
        _: CX![],
        f: impl FnOnce(&mulberryrack_place::Planner) -> R,
    ) -> R {
        f(&self.machine)
    }

    /// Feeds one input to the state machine and carries out its outputs.
    pub fn handle(&mut self, cx: CX![], input: Input) {
        self.step(cx, input);
    }

    step_methods!();

    fn handle_output(&mut self, cx: CX![], output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Order {
                engine,
                address,
                order,
            } => shared.emit(
                cx,
                Effect::Order {
                    engine,
                    address,
                    order,
                },
            ),
            Output::Poll { engine, address } => shared.emit(
                cx,
                Effect::Poll {
                    upstream: engine,
                    address,
                },
            ),
            Output::Kv { token, op } => shared.emit(
                cx,
                Effect::Kv {
                    area: Area::Place,
                    token,
                    op,
                },
            ),
            Output::Publish(value) => {
                if let Some(member) = &self.member {
                    call!([member], handle(mulberryrack_member::Input::Publish(value)));
                }
            }
            Output::Frame {
                to,
                incarnation,
                frame,
            } => shared.send(cx, &to, incarnation, Body::Place(frame)),
            Output::Left => shared.drain.rw(cx).planner_handed_over = true,
            Output::Note(note) => shared.emit(cx, Effect::Note(note)),
            Output::Count(counter) => shared.emit(cx, Effect::Count(counter)),
        }
    }
}
