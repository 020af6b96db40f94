//! The actor of the routing area.

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

/// Runs [`mulberryrack_route::Router`] and forwards its outputs to callers, upstreams and the
/// other areas.
pub struct Router {
    shared: Shared,
    machine: mulberryrack_route::Router,
    links: Option<Links>,
    /// Keys of callers' requests that have no final answer yet.
    open_requests: BTreeSet<request::Key>,
    alarm: Alarm,
}

/// The actors that receive outputs of the router.
struct Links {
    member: Actor<Member>,
    ledger: Actor<Ledger>,
    planner: Actor<Planner>,
}

impl Router {
    /// Starts the actor; outputs for other areas are dropped until [`Router::link`] is called.
    #[allow(clippy::unnecessary_wraps)]
    pub fn init(_: CX![], shared: Shared, machine: mulberryrack_route::Router) -> Option<Self> {
        Some(Self {
            shared,
            machine,
            links: None,
            open_requests: BTreeSet::new(),
            alarm: Alarm::default(),
        })
    }

    /// Sets the actors that receive outputs, and wakes the state machine for the first time.
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
        self.handle(cx, Input::Wake);
    }

    /// Number of callers' requests that have no final answer yet.
    pub fn open_requests(&mut self, _: CX![]) -> usize {
        self.open_requests.len()
    }

    /// Passes a caller's request to the state machine and counts it as open until its final
    /// answer.
    pub fn start_request(&mut self, cx: CX![], request: Request) {
        self.open_requests.insert(request.key);
        self.handle(cx, Input::Arrive(request));
    }

    /// Feeds one input to the state machine and carries out its outputs.
    pub fn handle(&mut self, cx: CX![], input: Input) {
        self.step(cx, input);
    }

    step_methods!();

    fn handle_output(&mut self, cx: CX![], output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Caller { request, answer } => {
                if matches!(answer, Answer::End(_) | Answer::Final(_)) {
                    self.open_requests.remove(&request);
                }
                shared.emit(cx, Effect::Caller { request, answer });
            }
            Output::Send(send) => shared.emit(cx, Effect::Send(send)),
            Output::Cancel(attempt) => shared.emit(cx, Effect::Cancel(attempt)),
            Output::Detach(attempt) => shared.emit(cx, Effect::Detach(attempt)),
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
                self.forward(output);
            }
        }
    }

    /// Forwards an output to the area that handles it.
    fn forward(&self, output: Output) {
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
                handle(mulberryrack_ledger::Input::Claim {
                    request,
                    id,
                    body,
                    deadline,
                })
            ),
            Output::Done { request, end } => call!(
                [links.ledger],
                handle(mulberryrack_ledger::Input::Done { request, end })
            ),
            Output::Demand(demand) => call!(
                [links.planner],
                handle(mulberryrack_place::Input::Demand(demand))
            ),
            Output::Publish(value) => call!(
                [links.member],
                handle(mulberryrack_member::Input::Publish(value))
            ),
            _ => {}
        }
    }
}
