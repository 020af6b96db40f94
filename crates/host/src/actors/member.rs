//! The actor of the membership area.

use super::{Ledger, Planner, Router, Shared, alarm::Alarm};
use crate::{Area, Effect, answers};
use mulberryrack_core::Name;
use mulberryrack_member::{Input, Output};
use mulberryrack_table::Row;
use mulberryrack_wire::{peer::envelope::Body, place};
use prost::Message;
use stakker::{Actor, CX, at, call};
use std::{collections::BTreeMap, sync::Arc};

/// Prefix of the keys under which planners publish the states of engines; the engine's name
/// follows.
const ENGINE_KEY_PREFIX: &str = "engine/";

/// Runs [`mulberryrack_member::Member`] and forwards views, tables and replicated values to the
/// other areas.
pub struct Member {
    shared: Shared,
    machine: mulberryrack_member::Member,
    links: Option<Links>,
    /// Rows of proposals in progress by ticket. If another table is stored first, the answer
    /// lists how these rows differ from that table.
    proposals: BTreeMap<u64, Arc<[Row]>>,
    /// State of every engine by name, as last published by the planner of the engine's cell.
    engine_states: BTreeMap<Name, place::Engine>,
    alarm: Alarm,
}

/// The actors that receive views, tables and replicated values.
struct Links {
    ledger: Actor<Ledger>,
    router: Actor<Router>,
    planner: Actor<Planner>,
}

impl Member {
    /// Starts the actor; outputs for other areas are dropped until [`Member::link`] is called.
    #[allow(clippy::unnecessary_wraps)]
    pub fn init(_: CX![], shared: Shared, machine: mulberryrack_member::Member) -> Option<Self> {
        Some(Self {
            shared,
            machine,
            links: None,
            proposals: BTreeMap::new(),
            engine_states: BTreeMap::new(),
            alarm: Alarm::default(),
        })
    }

    /// Sets the actors that receive views, tables and values, sends them the first view, and
    /// wakes the state machine for the first time.
    pub fn link(
        &mut self,
        cx: CX![],
        ledger: Actor<Ledger>,
        router: Actor<Router>,
        planner: Actor<Planner>,
    ) {
        self.links = Some(Links {
            ledger,
            router,
            planner,
        });
        // The state machine reports a view only when it changes, which never happens on a host
        // without peers.
        let view = self.machine.view();
        self.forward(cx, Output::View(view));
        self.handle(cx, Input::Wake);
    }

    /// Reads from the state machine; mutable because a selection of addresses advances the
    /// rotation of hosts.
    pub fn with_machine<R>(
        &mut self,
        _: CX![],
        f: impl FnOnce(&mut mulberryrack_member::Member) -> R,
    ) -> R {
        f(&mut self.machine)
    }

    /// State of every engine by name, as last published by the planner of the engine's cell.
    pub fn engine_states(&mut self, _: CX![]) -> BTreeMap<Name, place::Engine> {
        self.engine_states.clone()
    }

    /// Feeds one input to the state machine and carries out its outputs.
    pub fn handle(&mut self, cx: CX![], input: Input) {
        if let Input::Propose { ticket, rows, .. } = &input {
            self.proposals.insert(*ticket, rows.clone());
        }
        self.step(cx, input);
    }

    step_methods!();

    fn handle_output(&mut self, cx: CX![], output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Frame { to, address, frame } => {
                shared.send_to_address(cx, &to, address, None, Body::Member(frame));
            }
            Output::Kv { token, op } => shared.emit(
                cx,
                Effect::Kv {
                    area: Area::Member,
                    token,
                    op,
                },
            ),
            Output::ProposalEnded { ticket, outcome } => {
                let rows = self.proposals.remove(&ticket);
                let answer = answers::proposal_answer(outcome, rows.as_deref().unwrap_or_default());
                shared.emit(cx, Effect::Operator { ticket, answer });
            }
            Output::Read { ticket, tables } => {
                let answer = answers::read_answer(tables);
                shared.emit(cx, Effect::Operator { ticket, answer });
            }
            Output::Note(note) => shared.emit(cx, Effect::Note(note)),
            Output::Count(counter) => shared.emit(cx, Effect::Count(counter)),
            Output::View(_) | Output::Value(_) | Output::Table(_) => self.forward(cx, output),
        }
    }

    /// Forwards a view, a value or a table to the other areas.
    fn forward(&mut self, cx: CX![], output: Output) {
        let Some(links) = &self.links else {
            return;
        };
        match output {
            Output::View(view) => {
                *self.shared.view.rw(cx) = view.clone();
                call!(
                    [links.ledger],
                    handle(mulberryrack_ledger::Input::View(view.clone()))
                );
                call!(
                    [links.router],
                    handle(mulberryrack_route::Input::View(view.clone()))
                );
                call!(
                    [links.planner],
                    handle(mulberryrack_place::Input::View(view))
                );
            }
            Output::Value(value) => {
                if let Some(name) = value.key.strip_prefix(ENGINE_KEY_PREFIX)
                    && let Ok(engine) = place::Engine::decode(value.bytes.clone())
                {
                    self.engine_states.insert(name.into(), engine);
                }
                call!(
                    [links.router],
                    handle(mulberryrack_route::Input::Value(value.clone()))
                );
                call!(
                    [links.planner],
                    handle(mulberryrack_place::Input::Value(value))
                );
            }
            Output::Table(table) => {
                call!(
                    [links.router],
                    handle(mulberryrack_route::Input::Table(table.clone()))
                );
                call!(
                    [links.planner],
                    handle(mulberryrack_place::Input::Table(table))
                );
            }
            _ => {}
        }
    }
}
