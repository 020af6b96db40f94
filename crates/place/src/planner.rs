//! The planner of one host: its cells, and what all of them share.

use crate::{
    Input, Output, Settings,
    cell::{Calls, Cell, Effects, Shared, What},
    check,
    demand::Book,
    world::Row,
};
use mulberryrack_core::{
    Incarnation, Name, Time,
    demand::Demand,
    earliest,
    hash::rendezvous,
    kv::{Fault, Outcome},
    node::{Listing, Role},
    view::{Standing, Value, View},
};
use mulberryrack_table::Table;
use mulberryrack_wire::place::{self, Frame, frame::Body};
use prost::Message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, sync::Arc};

/// Part of a cell's memory that its rows' lowest numbers of copies may take.
const HOME_FILL: f64 = 0.8;

/// Plans for the cells whose lease this host holds.
#[derive(Debug)]
pub struct Planner {
    pub(crate) shared: Shared,
    data_centre: Name,
    view: Option<Arc<View>>,
    engines: Vec<Listing>,
    /// The cell of each engine.
    assigned: BTreeMap<Name, u32>,
    pub(crate) cells: BTreeMap<u32, Cell>,
    calls: Calls,
    random: ChaCha8Rng,
    leaving: bool,
    left: bool,
}

impl Planner {
    /// A planner that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: Settings,
        me: Name,
        incarnation: Incarnation,
        data_centre: Name,
        seed: u64,
        _now: Time,
    ) -> Self {
        Self {
            shared: Shared {
                settings,
                me,
                incarnation,
                gone: Arc::default(),
                table: None,
                rows: Vec::new(),
                index: BTreeMap::new(),
                former: BTreeMap::new(),
                homes: Vec::new(),
                centres: Vec::new(),
                targets: Vec::new(),
                cells: 1,
                demand: Book::default(),
                spread: BTreeMap::new(),
            },
            data_centre,
            view: None,
            engines: Vec::new(),
            assigned: BTreeMap::new(),
            cells: BTreeMap::new(),
            calls: Calls::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            leaving: false,
            left: false,
        }
    }

    /// Takes an input and pushes what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Table(table) => self.table(table),
            Input::View(view) => {
                self.note_gone(now, &view);
                self.view = Some(view);
                self.elect();
            }
            Input::Listing(listing) => self.listing(now, &listing),
            Input::Value(value) => self.value(&value),
            Input::Contact {
                engine,
                order,
                contact,
            } => {
                for cell in self.cells.values_mut() {
                    cell.contact(now, &engine, order, &contact, &self.shared);
                }
            }
            Input::Kv { token, outcome } => {
                if let Some((cell, term, what)) = self.calls.end(token) {
                    self.kv(now, cell, term, &what, &outcome, out);
                }
            }
            Input::Demand(demands) => self.demand(now, &demands, out),
            Input::Frame { from, frame, .. } => self.frame(now, from, frame),
            Input::Leave => self.leave(now, out),
            Input::Wake => {}
        }
        self.drive(now, out);
    }

    /// When the next [`Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let cells = self.cells.values().filter_map(Cell::next_wake).min();
        earliest(cells, self.calls.next_wake())
    }

    fn drive(&mut self, now: Time, out: &mut Vec<Output>) {
        for token in self.calls.overdue(now) {
            if let Some((cell, term, what)) = self.calls.end(token) {
                self.kv(now, cell, term, &what, &Err(Fault::Unknown), out);
            }
        }
        let s = &self.shared.settings;
        let (rise, fall, lifetime) = (s.rise, s.fall, s.demand_lifetime);
        if self.cells.values().any(|cell| cell.term.is_some()) {
            self.shared.demand.advance(now, rise, fall, lifetime);
        }
        let mut fx = Effects {
            calls: &mut self.calls,
            random: &mut self.random,
            out,
        };
        for cell in self.cells.values_mut() {
            cell.drive(now, &self.shared, &mut fx);
        }
        self.finish_leaving(out);
    }

    fn kv(
        &mut self,
        now: Time,
        cell: u32,
        term: Option<u64>,
        what: &What,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(cell) = self.cells.get_mut(&cell) else {
            return;
        };
        // An answer to what a former term asked says nothing about this one.
        if cell.term != term {
            return;
        }
        let mut fx = Effects {
            calls: &mut self.calls,
            random: &mut self.random,
            out,
        };
        cell.kv(now, what, outcome, &self.shared, &mut fx);
    }

    fn table(&mut self, table: Arc<Table>) {
        let older = |known: &Arc<Table>| known.version >= table.version;
        if self.shared.table.as_ref().is_some_and(older) {
            return;
        }
        let based = self.shared.rows.iter().filter_map(|row| {
            let base = &self.shared.rows[row.base?];
            Some((row.name.clone(), base.name.clone()))
        });
        self.shared.former = based.collect();
        (self.shared.rows, self.shared.index) = check::rows(&table);
        self.shared.table = Some(table);
        self.house();
    }

    fn listing(&mut self, now: Time, listing: &[Listing]) {
        let engines: Vec<Listing> = listing
            .iter()
            .filter(|line| line.role == Role::Engine)
            .cloned()
            .collect();
        if engines == self.engines {
            return;
        }
        self.engines = engines;
        self.shared.centres = check::centres(&self.engines);
        self.assign();
        let ttl = self.shared.settings.lease;
        for id in 0..self.shared.cells {
            let me = &self.shared.me;
            let new = || Cell::new(id, me.clone(), self.shared.incarnation, ttl, now);
            self.cells.entry(id).or_insert_with(new);
        }
        for (id, cell) in &mut self.cells {
            let own = |line: &&Listing| self.assigned.get(&line.name) == Some(id);
            let lines = self.engines.iter().filter(own).cloned().collect();
            cell.list(now, lines, &self.shared);
        }
        self.house();
        self.elect();
    }

    fn note_gone(&mut self, now: Time, view: &View) {
        let gone = view
            .peers
            .iter()
            .filter(|peer| peer.standing == Standing::Gone)
            .map(|peer| (peer.name.clone(), peer.incarnation))
            .filter(|life| !self.shared.gone.contains_key(life));
        let gone: Vec<_> = gone.collect();
        if !gone.is_empty() {
            let known = Arc::make_mut(&mut self.shared.gone);
            known.extend(gone.into_iter().map(|life| (life, now)));
            known.retain(|_, at| now.since(*at) <= 2 * self.shared.settings.planner_lifetime);
        }
    }

    /// Gives each engine to the cell of its highest weight that has a place left.
    fn assign(&mut self) {
        let bound = self.shared.settings.cell_engines.max(1) as usize;
        let cells = self.engines.len().div_ceil(bound).max(1);
        self.shared.cells = u32::try_from(cells).unwrap_or(u32::MAX);
        self.assigned.clear();
        let mut filled = vec![0; cells];
        for engine in &self.engines {
            let best = (0..cells)
                .filter(|&cell| filled[cell] < bound)
                .max_by(|&a, &b| weight(&engine.name, a).total_cmp(&weight(&engine.name, b)));
            let cell = best.unwrap_or(0);
            filled[cell] += 1;
            let cell = u32::try_from(cell).unwrap_or(0);
            self.assigned.insert(engine.name.clone(), cell);
        }
    }

    /// Gives each model with its adapters to the cell of its highest weight that has
    /// memory left for their lowest numbers of copies.
    fn house(&mut self) {
        let cells = self.shared.cells as usize;
        let mut free = vec![0.0; cells];
        for engine in &self.engines {
            if let Some(&cell) = self.assigned.get(&engine.name) {
                free[cell as usize] += as_float(engine.memory_mb) * HOME_FILL;
            }
        }
        let rows = &self.shared.rows;
        let mut sizes: Vec<f64> = rows.iter().map(minimum_mb).collect();
        for row in rows {
            if let Some(base) = row.base {
                sizes[base] += minimum_mb(row);
            }
        }
        let mut models: Vec<usize> = (0..rows.len())
            .filter(|&r| rows[r].base.is_none())
            .collect();
        models.sort_by(|&a, &b| sizes[b].total_cmp(&sizes[a]).then(a.cmp(&b)));
        let mut homes = vec![0; rows.len()];
        for model in models {
            let by_weight = |&a: &usize, &b: &usize| {
                let name = &rows[model].name;
                weight(name, a).total_cmp(&weight(name, b))
            };
            let fits = (0..cells).filter(|&cell| free[cell] >= sizes[model]);
            let roomiest = (0..cells).max_by(|&a, &b| free[a].total_cmp(&free[b]));
            let cell = fits.max_by(by_weight).or(roomiest).unwrap_or(0);
            free[cell] -= sizes[model];
            homes[model] = u32::try_from(cell).unwrap_or(0);
        }
        for row in 0..rows.len() {
            homes[row] = homes[rows[row].base.unwrap_or(row)];
        }
        self.shared.homes = homes;
        // With several cells each holds only a part of the table.
        self.shared.targets = match &self.shared.table {
            Some(table) if cells == 1 => check::placement(table, &self.engines),
            _ => Vec::new(),
        };
        for cell in self.cells.values_mut() {
            cell.dirty = true;
        }
    }

    /// Decides which cells this host should hold.
    fn elect(&mut self) {
        for id in self.cells.keys().copied().collect::<Vec<_>>() {
            let mine = self.chosen(id).as_ref() == Some(&self.shared.me);
            if let Some(cell) = self.cells.get_mut(&id) {
                cell.wanted = mine && !self.leaving && id < self.shared.cells;
            }
        }
    }

    /// The host that should hold a cell: one in a data centre of the cell's engines
    /// where there is one.
    fn chosen(&self, cell: u32) -> Option<Name> {
        let view = self.view.as_ref()?;
        let near = |centre: &Name| {
            self.engines.iter().any(|engine| {
                engine.data_centre == *centre && self.assigned.get(&engine.name) == Some(&cell)
            })
        };
        let score = |name: &str| rendezvous(&format!("cell/{cell}"), name, 1.0);
        view.eligible()
            .max_by(|a, b| {
                let far = near(&a.data_centre).cmp(&near(&b.data_centre));
                far.then(score(&a.name).total_cmp(&score(&b.name)))
            })
            .map(|peer| peer.name.clone())
    }

    fn value(&mut self, value: &Value) {
        let Some(name) = value.key.strip_prefix("engine/") else {
            return;
        };
        let Some(&cell) = self.assigned.get(name) else {
            return;
        };
        let Ok(engine) = place::Engine::decode(value.bytes.clone()) else {
            return;
        };
        let routable = engine.residents.into_iter().filter(|r| r.routable);
        let rows = routable.map(|resident| resident.row.into()).collect();
        self.shared.spread.insert(name.into(), (cell, rows));
    }

    /// Hands this host's demand to the planners of the cells.
    fn demand(&mut self, now: Time, demands: &[Demand], out: &mut Vec<Output>) {
        self.report(now, self.shared.me.clone(), demands);
        let mut hosts: Vec<Name> = (0..self.shared.cells)
            .filter_map(|cell| self.chosen(cell))
            .filter(|host| *host != self.shared.me)
            .collect();
        hosts.sort();
        hosts.dedup();
        let rows = demands.iter().map(|demand| place::Demand {
            row: demand.row.to_string(),
            arrivals: demand.arrivals,
            pending: demand.pending,
            attained: demand.attained,
        });
        let body = Body::Demands(place::Demands {
            rows: rows.collect(),
        });
        for to in hosts {
            out.push(Output::Frame {
                to,
                incarnation: None,
                frame: Frame {
                    body: Some(body.clone()),
                },
            });
        }
    }

    fn frame(&mut self, now: Time, from: Name, frame: Frame) {
        let Some(Body::Demands(demands)) = frame.body else {
            return;
        };
        let demands: Vec<Demand> = demands
            .rows
            .into_iter()
            .map(|row| Demand {
                row: row.row.into(),
                arrivals: row.arrivals,
                pending: row.pending,
                attained: row.attained,
            })
            .collect();
        self.report(now, from, &demands);
    }

    fn report(&mut self, now: Time, host: Name, demands: &[Demand]) {
        self.shared.demand.report(now, host, demands);
        for cell in self.cells.values_mut() {
            cell.dirty = true;
        }
    }

    fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.leaving = true;
        self.elect();
        let mut fx = Effects {
            calls: &mut self.calls,
            random: &mut self.random,
            out,
        };
        for cell in self.cells.values_mut() {
            cell.release(now, &self.shared, &mut fx);
        }
    }

    fn finish_leaving(&mut self, out: &mut Vec<Output>) {
        if self.leaving && !self.left && self.calls.next_wake().is_none() {
            self.left = true;
            out.push(Output::Left);
        }
    }

    /// The data centre that this host stands in.
    #[must_use]
    pub const fn data_centre(&self) -> &Name {
        &self.data_centre
    }
}

fn weight(name: &str, cell: usize) -> f64 {
    rendezvous(name, &format!("cell/{cell}"), 1.0)
}

#[allow(clippy::cast_precision_loss)]
const fn as_float(value: u64) -> f64 {
    value as f64
}

fn minimum_mb(row: &Row) -> f64 {
    as_float(row.memory_mb) * f64::from(row.min)
}
