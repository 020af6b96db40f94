//! A cell of engines: the lease on it, the records and orders of its engines, and its
//! plans.

use crate::{
    Output, Settings,
    claim::{CallKind, Claim},
    demand::SmoothedDemand,
    engine::Engine,
    layout::{Row, Step},
    plan::{self, Limits},
    record::Intent,
};
use mulberryrack_core::{
    Incarnation, Name, Time, earliest,
    kv::{CallId, Fault, Op, Outcome, Reply},
    node::Listing,
    note::{Counter, Level, Note},
    upstream::{Action, Contact},
    view::Value,
};
use mulberryrack_table::Table;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Number of lower bits of an order's id that number the orders of a term.
const ORDER_BITS: u32 = 20;
/// Number of lower bits of a published value's version that number the versions of a term.
const VERSION_BITS: u32 = 24;

/// Time after which a plan is made even if nothing seems to have changed.
const MAX_PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// Purpose of a call to the key-value service.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// A call of the claim on the cell.
    Claim(CallKind),
    /// A read or write of an engine's record.
    Record(Name),
}

#[derive(Debug)]
struct Call {
    cell: u32,
    term: Option<u64>,
    purpose: Purpose,
    deadline: Time,
}

/// Calls to the key-value service that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    next_id: u64,
    in_flight: BTreeMap<CallId, Call>,
}

/// State of the planner that all of its cells use.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub me: Name,
    pub incarnation: Incarnation,
    /// Incarnations of hosts that can't act again, each with the time when this planner
    /// learnt of it.
    pub gone_hosts: Arc<BTreeMap<(Name, Incarnation), Time>>,
    pub table: Option<Arc<Table>>,
    /// The table's models and adapters, by the index in `row_index`.
    pub rows: Vec<Row>,
    pub row_index: BTreeMap<Name, usize>,
    /// Base of each adapter in the previous table, so that adapters that have left the
    /// table are unloaded before their bases.
    pub former_bases: BTreeMap<Name, Name>,
    /// The cell of each row, by the row's index.
    pub row_cells: Vec<u32>,
    pub data_centres: Vec<Name>,
    /// For each row, engines on which the minimum numbers of copies of all rows fit
    /// together; empty if not known.
    pub target_engines: Vec<BTreeSet<Name>>,
    /// Number of cells.
    pub cell_count: u32,
    pub demand: SmoothedDemand,
    /// For each engine, its cell and the rows that are published as routable on it.
    pub routable_rows: BTreeMap<Name, (u32, BTreeSet<Name>)>,
}

/// What a cell needs to make calls and to emit outputs.
pub(crate) struct Effects<'a> {
    pub calls: &'a mut Calls,
    pub random: &'a mut ChaCha8Rng,
    pub out: &'a mut Vec<Output>,
}

/// A cell as this host sees it.
#[derive(Debug)]
pub(crate) struct Cell {
    pub id: u32,
    claim: Claim,
    /// The term in which this host plans for the cell, to which `engines` belongs; `None`
    /// if it doesn't hold the cell.
    pub term: Option<u64>,
    /// The engines of the cell in the platform's list.
    listings: Vec<Listing>,
    /// The engines of the cell; empty unless this host holds the cell.
    pub engines: BTreeMap<Name, Engine>,
    /// Whether this host is the preferred holder of the cell.
    pub preferred: bool,
    /// Since when this host holds the cell without being its preferred holder.
    not_preferred_since: Option<Time>,
    /// When the lease was acquired, or when this process continued after a pause. Plans
    /// wait for reports that are newer.
    resumed_at: Time,
    /// Earliest time of the next plan.
    next_plan: Time,
    /// Whether something has changed that plans depend on.
    pub dirty: bool,
    last_plan: Time,
    /// Whether the values to publish may have changed.
    unpublished: bool,
    /// When [`Cell::drive`] last ran; a long gap means that this process was paused.
    last_drive: Time,
    /// Number of engines that answered when last counted.
    answering_engines: usize,
    /// Number of loads that may begin now; refilled at the rate of the weight store.
    load_allowance: f64,
    allowance_updated: Time,
    /// Number of orders recorded in this term.
    order_count: u64,
    /// Number of values published in this term.
    version_count: u64,
}

impl Calls {
    /// Creates a call with a deadline for its answer.
    fn start(&mut self, deadline: Time, cell: &Cell, purpose: Purpose, op: Op) -> Output {
        let token = CallId(self.next_id);
        self.next_id += 1;
        let entry = Call {
            cell: cell.id,
            term: cell.term,
            purpose,
            deadline,
        };
        self.in_flight.insert(token, entry);
        Output::Kv { token, op }
    }

    /// Removes the call that an answer belongs to and returns its cell, term and purpose.
    pub fn end(&mut self, token: CallId) -> Option<(u32, Option<u64>, Purpose)> {
        let call = self.in_flight.remove(&token)?;
        Some((call.cell, call.term, call.purpose))
    }

    /// Calls whose deadline has passed.
    pub fn overdue(&self, now: Time) -> Vec<CallId> {
        let overdue = self
            .in_flight
            .iter()
            .filter(|(_, call)| call.deadline <= now);
        overdue.map(|(token, _)| *token).collect()
    }

    pub fn next_wake(&self) -> Option<Time> {
        self.in_flight.values().map(|call| call.deadline).min()
    }
}

impl Cell {
    pub fn new(id: u32, me: Name, incarnation: Incarnation, ttl: Duration, now: Time) -> Self {
        Self {
            id,
            claim: Claim::new(id, me, incarnation, ttl, now),
            term: None,
            listings: Vec::new(),
            engines: BTreeMap::new(),
            preferred: false,
            not_preferred_since: None,
            resumed_at: now,
            next_plan: now,
            dirty: false,
            last_plan: now,
            unpublished: true,
            last_drive: now,
            answering_engines: 0,
            load_allowance: 0.0,
            allowance_updated: now,
            order_count: 0,
            version_count: 0,
        }
    }

    /// Replaces the list of the cell's engines.
    pub fn set_listings(&mut self, now: Time, listings: Vec<Listing>, shared: &Shared) {
        for engine in self.engines.values_mut() {
            engine.listed = listings.iter().any(|l| l.name == engine.listing.name);
        }
        if self.term.is_some() {
            for listing in &listings {
                self.engines
                    .entry(listing.name.clone())
                    .or_insert_with(|| Engine::new(listing.clone(), &shared.settings, now))
                    .listing = listing.clone();
            }
        }
        self.listings = listings;
        self.dirty = true;
    }

    /// Does everything that is due: claims and renews the lease, polls, plans, publishes,
    /// writes records and sends orders.
    pub fn drive(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        self.hand_over(now, shared, fx);
        if let Some((kind, op)) = self.claim.next_call(now, self.preferred) {
            self.call(now, shared, fx, Purpose::Claim(kind), op);
        }
        self.detect_pause(now, shared);
        let Some(term) = self.term else {
            return;
        };
        for engine in self.engines.values_mut() {
            engine.gone_hosts = shared.gone_hosts.clone();
        }
        self.remove_gone_engines(now, shared, fx);
        self.poll(now, shared, fx);
        if now >= self.next_plan {
            self.next_plan = now + shared.settings.plan_interval;
            self.unpublished = true;
            self.plan(now, term, shared, fx);
        }
        let changed = std::mem::take(&mut self.unpublished);
        if changed {
            self.publish(now, term, shared, fx);
        }
        self.store(now, term, shared, fx);
        self.send_due(now, term, changed, shared, fx);
    }

    /// When [`Cell::drive`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let claim = self.claim.next_wake(self.preferred);
        if self.term.is_none() {
            return claim;
        }
        let polls = self.engines.values().map(|engine| engine.next_poll).min();
        earliest(earliest(claim, polls), Some(self.next_plan))
    }

    /// Releases the cell if this host holds it. Returns `true` if so; then a call was made.
    pub fn release(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) -> bool {
        let Some((kind, op)) = self.claim.release(now) else {
            return false;
        };
        self.call(now, shared, fx, Purpose::Claim(kind), op);
        self.follow_claim(now, shared, fx);
        true
    }

    /// Releases the cell when another host has been its preferred holder for the handover
    /// delay.
    fn hand_over(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        if self.preferred || self.term.is_none() {
            self.not_preferred_since = None;
            return;
        }
        let since = *self.not_preferred_since.get_or_insert(now);
        if now.since(since) >= shared.settings.handover_delay {
            self.release(now, shared, fx);
        }
    }

    fn call(&self, now: Time, shared: &Shared, fx: &mut Effects<'_>, purpose: Purpose, op: Op) {
        let deadline = now + shared.settings.call_timeout;
        let output = fx.calls.start(deadline, self, purpose, op);
        fx.out.push(output);
    }

    /// Handles the outcome of a call.
    pub fn on_kv_outcome(
        &mut self,
        now: Time,
        purpose: &Purpose,
        outcome: &Outcome,
        shared: &Shared,
        fx: &mut Effects<'_>,
    ) {
        match purpose {
            Purpose::Claim(kind) => {
                if let Some((kind, op)) = self.claim.on_outcome(now, *kind, outcome) {
                    self.call(now, shared, fx, Purpose::Claim(kind), op);
                }
            }
            Purpose::Record(name) => self.on_record_outcome(now, name, outcome, shared),
        }
        self.follow_claim(now, shared, fx);
    }

    /// Handles the outcome of a read or write of an engine's record. Stops holding the cell
    /// if a planner of a later term has written the record.
    fn on_record_outcome(&mut self, now: Time, name: &Name, outcome: &Outcome, shared: &Shared) {
        let (Some(term), Some(engine)) = (self.term, self.engines.get_mut(name)) else {
            return;
        };
        let settings = &shared.settings;
        let current = match outcome {
            Ok(Reply::Entry(entry) | Reply::Conflict(entry)) => {
                engine.on_read(now, entry.as_ref(), term, settings)
            }
            Ok(Reply::Written(revision)) => {
                engine.on_written(now, *revision, settings);
                true
            }
            Err(Fault::NotApplied) => {
                engine.on_not_stored(now);
                true
            }
            _ => {
                engine.on_outcome_unknown(now);
                true
            }
        };
        self.dirty = true;
        self.unpublished = true;
        if !current {
            self.claim.reset(now);
        }
    }

    /// Starts or ends planning when the lease was acquired or lost.
    fn follow_claim(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        if self.claim.term() == self.term {
            return;
        }
        self.term = self.claim.term();
        self.engines.clear();
        self.resumed_at = now;
        self.next_plan = now;
        self.load_allowance = 0.0;
        self.allowance_updated = now;
        (self.order_count, self.version_count) = (0, 0);
        let event = if self.term.is_some() {
            "cell-taken"
        } else {
            "cell-given-up"
        };
        let note = Note::new(Level::Info, event).with("cell", self.id);
        fx.out.push(Output::Note(note));
        if self.term.is_some() {
            self.set_listings(now, self.listings.clone(), shared);
        }
    }

    /// Handles the outcome of a poll or of sending an order.
    pub fn on_contact(
        &mut self,
        now: Time,
        engine: &str,
        order: Option<u64>,
        contact: &Contact,
        shared: &Shared,
    ) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        if *contact == Contact::Fenced {
            self.claim.renew_now(now);
        }
        let changed = engine.on_contact(now, order, contact, &shared.settings);
        self.dirty |= changed;
        self.unpublished |= changed;
    }

    /// Detects a pause of this process. After a pause, missing answers say nothing about
    /// the engines, so their time starts anew.
    fn detect_pause(&mut self, now: Time, shared: &Shared) {
        if now.since(self.last_drive) > shared.settings.lost_timeout / 2 {
            for engine in self.engines.values_mut() {
                engine.last_answer = engine.last_answer.map(|_| now);
            }
            self.resumed_at = now;
        }
        self.last_drive = now;
    }

    /// Removes engines that are neither listed nor answer, once none of their copies is
    /// published as routable.
    fn remove_gone_engines(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        let lost = shared.settings.lost_timeout;
        let gone = |engine: &Engine| {
            !engine.listed && !engine.answers(now, lost) && engine.nothing_routable()
        };
        let names: Vec<Name> = self
            .engines
            .iter()
            .filter(|(_, engine)| gone(engine))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.engines.remove(&name);
            self.dirty = true;
            let note = Note::new(Level::Warn, "engine-gone").with("engine", name);
            fx.out.push(Output::Note(note));
        }
    }

    fn poll(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        let poll = shared.settings.poll_interval;
        for engine in self.engines.values_mut() {
            if now < engine.next_poll {
                continue;
            }
            let next = now + poll.mul_f64(fx.random.random_range(0.75..1.25));
            if engine.start_poll(now, next) {
                fx.out.push(Output::Poll {
                    engine: engine.listing.name.clone(),
                    address: engine.listing.address.clone(),
                });
            }
        }
    }

    /// Whether more than half of the engines don't answer. The fault may then be on the
    /// side of this host, so copies are not withdrawn.
    pub fn isolated(&self, now: Time, lost: Duration) -> bool {
        let silent = self.engines.values().filter(|e| !e.answers(now, lost));
        silent.count() * 2 > self.engines.len()
    }

    fn publish(&mut self, now: Time, term: u64, shared: &Shared, fx: &mut Effects<'_>) {
        let lost = shared.settings.lost_timeout;
        let isolated = self.isolated(now, lost);
        let base = |row: &str| {
            let row = &shared.rows[*shared.row_index.get(row)?];
            Some(shared.rows[row.base?].name.clone())
        };
        for engine in self.engines.values_mut() {
            let routing = isolated || engine.answers(now, lost);
            let Some(bytes) = engine.publish(now, term, routing, base) else {
                continue;
            };
            self.version_count += 1;
            fx.out.push(Output::Publish(Value {
                key: format!("engine/{}", engine.listing.name).into(),
                version: (term << VERSION_BITS) + self.version_count,
                bytes,
            }));
        }
    }

    fn store(&mut self, now: Time, term: u64, shared: &Shared, fx: &mut Effects<'_>) {
        let ops: Vec<(Name, Op)> = self
            .engines
            .iter_mut()
            .filter_map(|(name, engine)| Some((name.clone(), engine.store_call(now, term)?)))
            .collect();
        for (name, op) in ops {
            self.call(now, shared, fx, Purpose::Record(name), op);
        }
    }

    /// Plans the next steps and records their orders. Waits after a start or a pause until
    /// all engines have reported and their records are of this term, but no longer than the
    /// time after which silent engines count as lost. Releases the cell when the ids of a
    /// term are running out, since the next holder has a new term.
    fn plan(&mut self, now: Time, term: u64, shared: &Shared, fx: &mut Effects<'_>) {
        self.refill_allowance(now, shared);
        let settled = |e: &Engine| {
            e.is_recorded_by(term) && e.last_report.is_some_and(|at| at >= self.resumed_at)
        };
        let waiting = now.since(self.resumed_at) <= shared.settings.lost_timeout
            && !self.engines.values().all(settled);
        self.detect_silence(now, shared);
        if !self.dirty || waiting || shared.table.is_none() || self.engines.is_empty() {
            return;
        }
        if self.order_count >= 1 << (ORDER_BITS - 1) {
            self.release(now, shared, fx);
            return;
        }
        self.last_plan = now;
        let mut layout = self.layout(now, term, shared);
        let limits = self.limits(shared);
        let steps = plan::next_steps(&mut layout, limits);
        // Loads that wait for the allowance are planned again.
        self.dirty = !steps.is_empty() || limits.loads == 0;
        for step in steps {
            self.record_order(term, &step, shared, fx);
        }
    }

    /// Asks for a plan when the number of answering engines has changed, or when the last
    /// plan is older than [`MAX_PLAN_INTERVAL`].
    fn detect_silence(&mut self, now: Time, shared: &Shared) {
        let lost = shared.settings.lost_timeout;
        let answering = self.engines.values().filter(|e| e.answers(now, lost));
        let answering_engines = answering.count();
        let outdated = now.since(self.last_plan) >= MAX_PLAN_INTERVAL;
        self.dirty |= outdated || answering_engines != self.answering_engines;
        self.answering_engines = answering_engines;
    }

    /// Adds the cell's share of the weight store's rate to the allowance, up to the loads
    /// of one plan interval, but at least one load.
    fn refill_allowance(&mut self, now: Time, shared: &Shared) {
        let share = 1.0 / f64::from(shared.cell_count.max(1));
        let rate = shared.settings.loads_per_second * share;
        let earned = now.since(self.allowance_updated).as_secs_f64() * rate;
        self.allowance_updated = now;
        let max = (rate * shared.settings.plan_interval.as_secs_f64()).max(1.0);
        self.load_allowance = (self.load_allowance + earned).min(max);
    }

    /// Limits of the next plan: the allowance, and the cell's share of the concurrent loads
    /// of the weight store.
    fn limits(&self, shared: &Shared) -> Limits {
        let share = shared.settings.parallel_loads / shared.cell_count.max(1);
        let running: usize = self.engines.values().map(|e| e.loading().len()).sum();
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = self.load_allowance as u32;
        Limits {
            loads: allowed.min(share.max(1).saturating_sub(running)),
            move_price: shared.settings.move_price,
            copy_load: shared.settings.copy_load,
        }
    }

    /// Adds the order for a step to the engine's draft record.
    fn record_order(&mut self, term: u64, step: &Step, shared: &Shared, fx: &mut Effects<'_>) {
        let Some(engine) = self.engines.get_mut(&step.engine) else {
            return;
        };
        if step.load {
            self.load_allowance -= 1.0;
        }
        self.order_count += 1;
        engine.add(Intent {
            id: (term << ORDER_BITS) + self.order_count,
            term,
            host: shared.me.clone(),
            host_life: shared.incarnation,
            action: action(step, shared),
            spent: None,
        });
        let note = Note::new(Level::Info, "move")
            .with("engine", &step.engine)
            .with("row", &step.row)
            .with("version", &step.version)
            .with("load", step.load)
            .with("reason", step.reason.label());
        fx.out.push(Output::Note(note));
        fx.out.push(Output::Count(Counter::Move));
    }
}

impl Shared {
    /// The base of an adapter that is in the table.
    pub fn base(&self, row: &str) -> Option<Name> {
        let row = &self.rows[*self.row_index.get(row)?];
        Some(self.rows[row.base?].name.clone())
    }

    /// Whether a row of the table belongs to another cell and is routable only in `cell`.
    /// The copies in `cell` then stay until the other cell has its own.
    pub fn routable_only_in(&self, cell: u32, row: &str) -> bool {
        let Some(&index) = self.row_index.get(row) else {
            return false;
        };
        let elsewhere = || {
            let mut others = self
                .routable_rows
                .values()
                .filter(|(other, _)| *other != cell);
            others.any(|(_, rows)| rows.contains(row))
        };
        self.row_cells[index] != cell && !elsewhere()
    }
}

fn action(step: &Step, shared: &Shared) -> Action {
    let (row, version) = (step.row.clone(), step.version.clone());
    if !step.load {
        return Action::Unload { row, version };
    }
    let memory_mb = shared.rows[shared.row_index[&row]].memory_mb;
    let base = shared.base(&row);
    Action::Load {
        row,
        version,
        memory_mb,
        base,
    }
}
