//! The planner of one host: its cells, and the state that all of them share.

use crate::{
    Input, Output, Settings,
    cell::{Calls, Cell, Effects, Purpose, Shared},
    check,
    demand::SmoothedDemand,
    layout::Row,
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

/// Fraction of a cell's memory that the minimum numbers of copies of its rows may take.
const MAX_MINIMUM_FILL: f64 = 0.8;

/// Plans for the cells whose lease this host holds. Does no input or output itself: see
/// [`Planner::handle`].
#[derive(Debug)]
pub struct Planner {
    pub(crate) shared: Shared,
    data_centre: Name,
    view: Option<Arc<View>>,
    /// The engines in the platform's list.
    engines: Vec<Listing>,
    /// The cell of each engine, by the engine's name.
    engine_cells: BTreeMap<Name, u32>,
    pub(crate) cells: BTreeMap<u32, Cell>,
    calls: Calls,
    random: ChaCha8Rng,
    leaving: bool,
    /// Whether [`Output::Left`] was sent.
    left: bool,
}

impl Planner {
    /// A planner that holds no cell and has neither table nor hosts nor engines yet.
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
                gone_hosts: Arc::default(),
                table: None,
                rows: Vec::new(),
                row_index: BTreeMap::new(),
                former_bases: BTreeMap::new(),
                row_cells: Vec::new(),
                data_centres: Vec::new(),
                target_engines: Vec::new(),
                cell_count: 1,
                demand: SmoothedDemand::default(),
                routable_rows: BTreeMap::new(),
            },
            data_centre,
            view: None,
            engines: Vec::new(),
            engine_cells: BTreeMap::new(),
            cells: BTreeMap::new(),
            calls: Calls::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            leaving: false,
            left: false,
        }
    }

    /// Handles an input, does everything else that is due, and pushes the resulting outputs
    /// to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Table(table) => self.adopt_table(table),
            Input::View(view) => {
                self.record_gone_hosts(now, &view);
                self.view = Some(view);
                self.update_preferred();
            }
            Input::Listing(listing) => self.set_listing(now, &listing),
            Input::Value(value) => self.on_value(&value),
            Input::Contact {
                engine,
                order,
                contact,
            } => {
                for cell in self.cells.values_mut() {
                    cell.on_contact(now, &engine, order, &contact, &self.shared);
                }
            }
            Input::Kv { token, outcome } => {
                if let Some((cell, term, purpose)) = self.calls.end(token) {
                    self.on_kv_outcome(now, cell, term, &purpose, &outcome, out);
                }
            }
            Input::Demand(demands) => self.on_demand(now, &demands, out),
            Input::Frame { from, frame, .. } => self.on_frame(now, from, frame),
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

    /// Ends overdue calls and does everything that is due in the cells.
    fn drive(&mut self, now: Time, out: &mut Vec<Output>) {
        for token in self.calls.overdue(now) {
            if let Some((cell, term, purpose)) = self.calls.end(token) {
                self.on_kv_outcome(now, cell, term, &purpose, &Err(Fault::Unknown), out);
            }
        }
        let s = &self.shared.settings;
        let (rise, fall, lifetime) = (s.rise_period, s.fall_period, s.demand_lifetime);
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

    fn on_kv_outcome(
        &mut self,
        now: Time,
        cell: u32,
        term: Option<u64>,
        purpose: &Purpose,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(cell) = self.cells.get_mut(&cell) else {
            return;
        };
        // The answer to a call of a former term says nothing about this term.
        if cell.term != term {
            return;
        }
        let mut fx = Effects {
            calls: &mut self.calls,
            random: &mut self.random,
            out,
        };
        cell.on_kv_outcome(now, purpose, outcome, &self.shared, &mut fx);
    }

    /// Adopts a table version if it is newer than the current one.
    fn adopt_table(&mut self, table: Arc<Table>) {
        let older = |known: &Arc<Table>| known.version >= table.version;
        if self.shared.table.as_ref().is_some_and(older) {
            return;
        }
        let based = self.shared.rows.iter().filter_map(|row| {
            let base = &self.shared.rows[row.base?];
            Some((row.name.clone(), base.name.clone()))
        });
        self.shared.former_bases = based.collect();
        (self.shared.rows, self.shared.row_index) = check::rows(&table);
        self.shared.table = Some(table);
        self.assign_rows();
    }

    /// Takes the engines from the platform's list and, if they have changed, assigns
    /// engines and rows to cells again.
    fn set_listing(&mut self, now: Time, listing: &[Listing]) {
        let engines: Vec<Listing> = listing
            .iter()
            .filter(|machine| machine.role == Role::Engine)
            .cloned()
            .collect();
        if engines == self.engines {
            return;
        }
        self.engines = engines;
        self.shared.data_centres = check::data_centres(&self.engines);
        self.assign_engines();
        let ttl = self.shared.settings.lease_ttl;
        for id in 0..self.shared.cell_count {
            let me = &self.shared.me;
            let new = || Cell::new(id, me.clone(), self.shared.incarnation, ttl, now);
            self.cells.entry(id).or_insert_with(new);
        }
        for (id, cell) in &mut self.cells {
            let own = |machine: &&Listing| self.engine_cells.get(&machine.name) == Some(id);
            let machines = self.engines.iter().filter(own).cloned().collect();
            cell.set_listings(now, machines, &self.shared);
        }
        self.assign_rows();
        self.update_preferred();
    }

    /// Records the incarnations of hosts that are gone, and forgets those recorded longer
    /// ago than twice the planner lifetime.
    fn record_gone_hosts(&mut self, now: Time, view: &View) {
        let gone = view
            .peers
            .iter()
            .filter(|peer| peer.standing == Standing::Gone)
            .map(|peer| (peer.name.clone(), peer.incarnation))
            .filter(|life| !self.shared.gone_hosts.contains_key(life));
        let gone: Vec<_> = gone.collect();
        if !gone.is_empty() {
            let known = Arc::make_mut(&mut self.shared.gone_hosts);
            known.extend(gone.into_iter().map(|life| (life, now)));
            known.retain(|_, at| now.since(*at) <= 2 * self.shared.settings.planner_lifetime);
        }
    }

    /// Assigns each engine to the cell with the highest rendezvous weight among those that
    /// have fewer than the maximum number of engines.
    fn assign_engines(&mut self) {
        let max_engines = self.shared.settings.cell_engines.max(1) as usize;
        let cells = self.engines.len().div_ceil(max_engines).max(1);
        self.shared.cell_count = u32::try_from(cells).unwrap_or(u32::MAX);
        self.engine_cells.clear();
        let mut filled = vec![0; cells];
        for engine in &self.engines {
            let best = (0..cells)
                .filter(|&cell| filled[cell] < max_engines)
                .max_by(|&a, &b| weight(&engine.name, a).total_cmp(&weight(&engine.name, b)));
            let cell = best.unwrap_or(0);
            filled[cell] += 1;
            let cell = u32::try_from(cell).unwrap_or(0);
            self.engine_cells.insert(engine.name.clone(), cell);
        }
    }

    /// Assigns each model with its adapters to a cell: of the cells that have memory left
    /// for their minimum numbers of copies, the one with the highest rendezvous weight; if
    /// there is none, the cell with most memory left.
    fn assign_rows(&mut self) {
        let cells = self.shared.cell_count as usize;
        let mut free = vec![0.0; cells];
        for engine in &self.engines {
            if let Some(&cell) = self.engine_cells.get(&engine.name) {
                free[cell as usize] += as_float(engine.memory_mb) * MAX_MINIMUM_FILL;
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
        let mut row_cells = vec![0; rows.len()];
        for model in models {
            let by_weight = |&a: &usize, &b: &usize| {
                let name = &rows[model].name;
                weight(name, a).total_cmp(&weight(name, b))
            };
            let fits = (0..cells).filter(|&cell| free[cell] >= sizes[model]);
            let roomiest = (0..cells).max_by(|&a, &b| free[a].total_cmp(&free[b]));
            let cell = fits.max_by(by_weight).or(roomiest).unwrap_or(0);
            free[cell] -= sizes[model];
            row_cells[model] = u32::try_from(cell).unwrap_or(0);
        }
        for row in 0..rows.len() {
            row_cells[row] = row_cells[rows[row].base.unwrap_or(row)];
        }
        self.shared.row_cells = row_cells;
        // With several cells, each cell holds only a part of the table.
        self.shared.target_engines = match &self.shared.table {
            Some(table) if cells == 1 => check::minimum_placement(table, &self.engines),
            _ => Vec::new(),
        };
        for cell in self.cells.values_mut() {
            cell.dirty = true;
        }
    }

    /// Recomputes which cells this host is the preferred holder of.
    fn update_preferred(&mut self) {
        for id in self.cells.keys().copied().collect::<Vec<_>>() {
            let mine = self.preferred_host(id).as_ref() == Some(&self.shared.me);
            if let Some(cell) = self.cells.get_mut(&id) {
                cell.preferred = mine && !self.leaving && id < self.shared.cell_count;
            }
        }
    }

    /// The preferred holder of a cell: the eligible host with the highest rendezvous
    /// weight, where hosts in a data centre of the cell's engines come first.
    fn preferred_host(&self, cell: u32) -> Option<Name> {
        let view = self.view.as_ref()?;
        let near = |centre: &Name| {
            self.engines.iter().any(|engine| {
                engine.data_centre == *centre && self.engine_cells.get(&engine.name) == Some(&cell)
            })
        };
        let score = |name: &str| rendezvous(&format!("cell/{cell}"), name, 1.0);
        view.eligible()
            .max_by(|a, b| {
                let distance = near(&a.data_centre).cmp(&near(&b.data_centre));
                distance.then(score(&a.name).total_cmp(&score(&b.name)))
            })
            .map(|peer| peer.name.clone())
    }

    /// Takes the routable rows of an engine from a published value.
    fn on_value(&mut self, value: &Value) {
        let Some(name) = value.key.strip_prefix("engine/") else {
            return;
        };
        let Some(&cell) = self.engine_cells.get(name) else {
            return;
        };
        let Ok(engine) = place::Engine::decode(value.bytes.clone()) else {
            return;
        };
        let routable = engine.residents.into_iter().filter(|r| r.routable);
        let rows = routable.map(|resident| resident.row.into()).collect();
        self.shared.routable_rows.insert(name.into(), (cell, rows));
    }

    /// Records this host's demand and sends it to the preferred holders of all cells.
    fn on_demand(&mut self, now: Time, demands: &[Demand], out: &mut Vec<Output>) {
        self.record_demand(now, self.shared.me.clone(), demands);
        let mut hosts: Vec<Name> = (0..self.shared.cell_count)
            .filter_map(|cell| self.preferred_host(cell))
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

    fn on_frame(&mut self, now: Time, from: Name, frame: Frame) {
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
        self.record_demand(now, from, &demands);
    }

    fn record_demand(&mut self, now: Time, host: Name, demands: &[Demand]) {
        self.shared.demand.report(now, host, demands);
        for cell in self.cells.values_mut() {
            cell.dirty = true;
        }
    }

    /// Releases all cells and holds none from now on.
    fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.leaving = true;
        self.update_preferred();
        let mut fx = Effects {
            calls: &mut self.calls,
            random: &mut self.random,
            out,
        };
        for cell in self.cells.values_mut() {
            cell.release(now, &self.shared, &mut fx);
        }
    }

    /// Emits [`Output::Left`] once no call is in flight after [`Input::Leave`].
    fn finish_leaving(&mut self, out: &mut Vec<Output>) {
        if self.leaving && !self.left && self.calls.next_wake().is_none() {
            self.left = true;
            out.push(Output::Left);
        }
    }

    /// The data centre of this host.
    #[must_use]
    pub const fn data_centre(&self) -> &Name {
        &self.data_centre
    }
}

/// Rendezvous weight of a cell for an engine or row.
fn weight(name: &str, cell: usize) -> f64 {
    rendezvous(name, &format!("cell/{cell}"), 1.0)
}

#[allow(clippy::cast_precision_loss)]
const fn as_float(value: u64) -> f64 {
    value as f64
}

/// Megabytes that the row's minimum number of copies takes.
fn minimum_mb(row: &Row) -> f64 {
    as_float(row.memory_mb) * f64::from(row.min)
}
