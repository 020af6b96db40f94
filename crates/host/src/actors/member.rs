//! Membership as an actor.

use super::{Ledger, Planner, Router, Shared, alarm::Alarm};
use crate::{Area, Effect, desk};
use mulberryrack_core::Name;
use mulberryrack_member::{Input, Output};
use mulberryrack_table::Row;
use mulberryrack_wire::{peer::envelope::Body, place};
use prost::Message;
use stakker::{Actor, CX, at, call};
use std::{collections::BTreeMap, sync::Arc};

/// What the keys of engines' states start with.
const ENGINE_KEY: &str = "engine/";

/// Runs [`mulberryrack_member::Member`] and tells the other areas what it finds.
pub struct Member {
    shared: Shared,
    machine: mulberryrack_member::Member,
    links: Option<Links>,
    /// Rows of proposals in progress by ticket, to show how they differ from a winner.
    proposals: BTreeMap<u64, Arc<[Row]>>,
    /// State of every engine, as spread by the planners, by name.
    engines: BTreeMap<Name, place::Engine>,
    alarm: Alarm,
}

struct Links {
    ledger: Actor<Ledger>,
    router: Actor<Router>,
    planner: Actor<Planner>,
}

impl Member {
    /// Starts the actor.
    #[allow(clippy::unnecessary_wraps)]
    pub fn init(_: CX![], shared: Shared, machine: mulberryrack_member::Member) -> Option<Self> {
        Some(Self {
            shared,
            machine,
            links: None,
            proposals: BTreeMap::new(),
            engines: BTreeMap::new(),
            alarm: Alarm::default(),
        })
    }

    /// Names the areas that are told of views, tables and values.
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
        // A host that is alone never sees its view change.
        let view = self.machine.view();
        self.tell(cx, Output::View(view));
        self.input(cx, Input::Wake);
    }

    /// Asks the state machine something.
    pub fn ask<R>(
        &mut self,
        _: CX![],
        question: impl FnOnce(&mut mulberryrack_member::Member) -> R,
    ) -> R {
        question(&mut self.machine)
    }

    /// State of every engine, as spread by the planners, by name.
    pub fn engines(&mut self, _: CX![]) -> BTreeMap<Name, place::Engine> {
        self.engines.clone()
    }

    /// Feeds one input and passes on what comes of it.
    pub fn input(&mut self, cx: CX![], input: Input) {
        if let Input::Propose { ticket, rows, .. } = &input {
            self.proposals.insert(*ticket, rows.clone());
        }
        self.step(cx, input);
    }

    steps!();

    fn output(&mut self, cx: CX![], output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Frame { to, address, frame } => {
                shared.send_to(cx, &to, address, None, Body::Member(frame));
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
                let answer = desk::accepted(outcome, rows.as_deref().unwrap_or_default());
                shared.emit(cx, Effect::Operator { ticket, answer });
            }
            Output::Read { ticket, tables } => {
                let answer = desk::read(tables);
                shared.emit(cx, Effect::Operator { ticket, answer });
            }
            Output::Note(note) => shared.emit(cx, Effect::Note(note)),
            Output::Count(counter) => shared.emit(cx, Effect::Count(counter)),
            Output::View(_) | Output::Value(_) | Output::Table(_) => self.tell(cx, output),
        }
    }

    /// Tells the other areas of a view, a value or a table.
    fn tell(&mut self, cx: CX![], output: Output) {
        let Some(links) = &self.links else {
            return;
        };
        match output {
            Output::View(view) => {
                *self.shared.view.rw(cx) = view.clone();
                call!(
                    [links.ledger],
                    input(mulberryrack_ledger::Input::View(view.clone()))
                );
                call!(
                    [links.router],
                    input(mulberryrack_route::Input::View(view.clone()))
                );
                call!(
                    [links.planner],
                    input(mulberryrack_place::Input::View(view))
                );
            }
            Output::Value(value) => {
                if let Some(name) = value.key.strip_prefix(ENGINE_KEY)
                    && let Ok(engine) = place::Engine::decode(value.bytes.clone())
                {
                    self.engines.insert(name.into(), engine);
                }
                call!(
                    [links.router],
                    input(mulberryrack_route::Input::Value(value.clone()))
                );
                call!(
                    [links.planner],
                    input(mulberryrack_place::Input::Value(value))
                );
            }
            Output::Table(table) => {
                call!(
                    [links.router],
                    input(mulberryrack_route::Input::Table(table.clone()))
                );
                call!(
                    [links.planner],
                    input(mulberryrack_place::Input::Table(table))
                );
            }
            _ => {}
        }
    }
}
