//! A naive router as the baseline: round robin over the copies, an equal part of each
//! ceiling for every host, no queue, priorities, polls or retries.

use mulberryrack_core::{
    Name, Time,
    caller::Answer,
    node::Role,
    outcome::{Doubt, Outcome, Reason, Refusal},
    request::{Key, Request},
    upstream::{Connection, Dispatch, DispatchId, Event},
};
use mulberryrack_route::{Input, Output};
use mulberryrack_table::Table;
use mulberryrack_wire::place::Engine;
use prost::Message;
use std::{collections::BTreeMap, sync::Arc};

#[derive(Debug, Default)]
pub struct Naive {
    hosts: u32,
    table: Option<Arc<Table>>,
    /// Rows of each engine.
    engines: BTreeMap<Name, Vec<Name>>,
    /// Row of each service replica.
    services: BTreeMap<Name, Name>,
    /// Position of the round robin.
    turn: usize,
    /// Id of the last dispatch.
    last_id: u64,
    /// Request, target and whether the head was passed on, for each dispatch.
    running: BTreeMap<DispatchId, (Key, Name, bool)>,
}

impl Naive {
    pub fn new(hosts: usize) -> Self {
        Self {
            hosts: u32::try_from(hosts).unwrap(),
            ..Self::default()
        }
    }

    pub fn handle(&mut self, _now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Table(table) => self.table = Some(table),
            Input::Value(value) => {
                if let Some(name) = value.key.strip_prefix("engine/") {
                    let engine = Engine::decode(value.bytes).unwrap();
                    let rows = engine.residents.iter().map(|row| row.row.as_str().into());
                    self.engines.insert(name.into(), rows.collect());
                }
            }
            Input::Listing(listing) => {
                let services = listing.iter().filter(|line| line.role == Role::Service);
                self.services = services
                    .map(|line| (line.name.clone(), line.group.clone()))
                    .collect();
            }
            Input::Arrive(request) => self.arrive(&request, out),
            Input::Attempt { attempt, event } => self.event(attempt, event, out),
            _ => {}
        }
    }

    fn arrive(&mut self, request: &Request, out: &mut Vec<Output>) {
        let refuse = |reason| Output::Caller {
            request: request.key,
            answer: Answer::Final(Outcome::NotRun(Refusal {
                reason,
                retry_after: None,
            })),
        };
        let target = &request.target;
        let engines = self
            .engines
            .iter()
            .filter(|(_, rows)| rows.contains(target));
        let services = self.services.iter().filter(|(_, group)| *group == target);
        let copies: Vec<_> = engines
            .map(|(name, _)| name)
            .chain(services.map(|(name, _)| name))
            .collect();
        let table = self.table.as_ref().unwrap();
        let ceiling = table.row(target).unwrap().ceiling.div_ceil(self.hosts);
        let running = self.running.values().filter(|one| one.1 == *target);
        if copies.is_empty() {
            out.push(refuse(Reason::NoCopy));
        } else if running.count() >= ceiling as usize {
            out.push(refuse(Reason::Ceiling));
        } else {
            self.turn += 1;
            self.last_id += 1;
            let upstream = copies[self.turn % copies.len()].clone();
            let attempt = DispatchId(self.last_id);
            self.running
                .insert(attempt, (request.key, target.clone(), false));
            out.push(Output::Send(Dispatch {
                attempt,
                upstream,
                address: "".into(),
                call: request.call.clone(),
                connection: Connection::Pooled,
                resume: None,
            }));
        }
    }

    fn event(&mut self, attempt: DispatchId, event: Event, out: &mut Vec<Output>) {
        let Some(entry) = self.running.get_mut(&attempt) else {
            return;
        };
        let request = entry.0;
        let answer = match event {
            Event::Head { status, headers } => {
                entry.2 = true;
                Answer::Head { status, headers }
            }
            Event::Chunk(bytes) => Answer::Chunk(bytes),
            Event::End => Answer::End(Outcome::Ran),
            Event::Fault(_) if entry.2 => Answer::End(Outcome::Unknown(Doubt::UpstreamLost)),
            Event::Fault(_) => Answer::Final(Outcome::Unknown(Doubt::UpstreamLost)),
        };
        if matches!(answer, Answer::End(_) | Answer::Final(_)) {
            self.running.remove(&attempt);
        }
        out.push(Output::Caller { request, answer });
    }
}
