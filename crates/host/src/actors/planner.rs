//! The planner as an actor.

use super::{Member, Shared, alarm::Alarm};
use crate::{Area, Effect};
use mulberryrack_place::{Input, Output};
use mulberryrack_wire::peer::envelope::Body;
use stakker::{Actor, CX, at, call};

/// Runs [`mulberryrack_place::Planner`] and spreads the states of engines.
pub struct Planner {
    shared: Shared,
    machine: mulberryrack_place::Planner,
    member: Option<Actor<Member>>,
    alarm: Alarm,
}

impl Planner {
    /// Starts the actor.
    #[allow(clippy::unnecessary_wraps)]
    pub fn init(_: CX![], shared: Shared, machine: mulberryrack_place::Planner) -> Option<Self> {
        Some(Self {
            shared,
            machine,
            member: None,
            alarm: Alarm::default(),
        })
    }

    /// Names the membership actor that spreads values.
    pub fn link(&mut self, cx: CX![], member: Actor<Member>) {
        self.member = Some(member);
        self.input(cx, Input::Wake);
    }

    /// Asks the state machine something.
    pub fn ask<R>(
        &mut self,
        _: CX![],
        question: impl FnOnce(&mulberryrack_place::Planner) -> R,
    ) -> R {
        question(&self.machine)
    }

    /// Feeds one input and passes on what comes of it.
    pub fn input(&mut self, cx: CX![], input: Input) {
        self.step(cx, input);
    }

    steps!();

    fn output(&mut self, cx: CX![], output: Output) {
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
                    call!([member], input(mulberryrack_member::Input::Publish(value)));
                }
            }
            Output::Frame {
                to,
                incarnation,
                frame,
            } => shared.send(cx, &to, incarnation, Body::Place(frame)),
            Output::Left => shared.drain.rw(cx).planner_left = true,
            Output::Note(note) => shared.emit(cx, Effect::Note(note)),
            Output::Count(counter) => shared.emit(cx, Effect::Count(counter)),
        }
    }
}
