//! The router as an actor.

use super::{Ledger, Member, Planner, Shared, alarm::Alarm};
use crate::Effect;
use mulberryrack_core::{
    caller::Answer,
    request::{self, Request},
};
use mulberryrack_route::{Input, Output};
use mulberryrack_wire::peer::envelope::Body;
use stakker::{Actor, CX, at, call};
use std::collections::BTreeSet;

/// Runs [`mulberryrack_route::Router`] between callers, the ledger and upstreams.
pub struct Router {
    shared: Shared,
    machine: mulberryrack_route::Router,
    links: Option<Links>,
    /// Callers' requests without a final answer.
    open: BTreeSet<request::Key>,
    alarm: Alarm,
}

struct Links {
    member: Actor<Member>,
    ledger: Actor<Ledger>,
    planner: Actor<Planner>,
}

impl Router {
    /// Starts the actor.
    #[allow(clippy::unnecessary_wraps)]
    pub fn init(_: CX![], shared: Shared, machine: mulberryrack_route::Router) -> Option<Self> {
        Some(Self {
            shared,
            machine,
            links: None,
            open: BTreeSet::new(),
            alarm: Alarm::default(),
        })
    }

    /// Names the areas that the router works with.
    pub fn link(
        &mut self,
        cx: CX![],
        member: Actor<Member>,
        ledger: Actor<Ledger>,
        planner: Actor<Planner>,
    ) {
        self.links = Some(Links {
            member,
            ledger,
            planner,
        });
        self.input(cx, Input::Wake);
    }

    /// Requests without a final answer.
    pub fn open(&mut self, _: CX![]) -> usize {
        self.open.len()
    }

    /// Takes a caller's request.
    pub fn request(&mut self, cx: CX![], request: Request) {
        self.open.insert(request.key);
        self.input(cx, Input::Arrive(request));
    }

    /// Feeds one input and passes on what comes of it.
    pub fn input(&mut self, cx: CX![], input: Input) {
        self.step(cx, input);
    }

    steps!();

    fn output(&mut self, cx: CX![], output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Caller { request, answer } => {
                if matches!(answer, Answer::End(_) | Answer::Final(_)) {
                    self.open.remove(&request);
                }
                shared.emit(cx, Effect::Caller { request, answer });
            }
            Output::Send(send) => shared.emit(cx, Effect::Send(send)),
            Output::Cancel(attempt) => shared.emit(cx, Effect::Cancel(attempt)),
            Output::Detach(attempt) => shared.emit(cx, Effect::Forget(attempt)),
            Output::Poll { upstream, address } => {
                shared.emit(cx, Effect::Poll { upstream, address });
            }
            Output::Frame {
                to,
                incarnation,
                frame,
            } => shared.send(cx, &to, incarnation, Body::Route(frame)),
            Output::Note(note) => shared.emit(cx, Effect::Note(note)),
            Output::Count(counter) => shared.emit(cx, Effect::Count(counter)),
            Output::Claim { .. } | Output::Done { .. } | Output::Demand(_) | Output::Publish(_) => {
                self.pass(output);
            }
        }
    }

    /// Passes an output on to the area that it is for.
    fn pass(&self, output: Output) {
        let Some(links) = &self.links else {
            return;
        };
        match output {
            Output::Claim {
                request,
                id,
                body,
                until: deadline,
            } => call!(
                [links.ledger],
                input(mulberryrack_ledger::Input::Claim {
                    request,
                    id,
                    body,
                    deadline,
                })
            ),
            Output::Done { request, end } => call!(
                [links.ledger],
                input(mulberryrack_ledger::Input::Done { request, end })
            ),
            Output::Demand(demand) => call!(
                [links.planner],
                input(mulberryrack_place::Input::Demand(demand))
            ),
            Output::Publish(value) => call!(
                [links.member],
                input(mulberryrack_member::Input::Publish(value))
            ),
            _ => {}
        }
    }
}
