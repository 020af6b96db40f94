//! A cell of engines: its lease, its engines' records and orders, and its plans.

use crate::{
    Output, Settings,
    demand::Book,
    engine::Engine,
    plan::{self, Limits},
    record::Intent,
    tenure::{Ask, Tenure},
    world::{Row, Step},
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

/// Bits of an order's id that count inside a term.
const ORDER_BITS: u32 = 20;
/// Bits of a spread value's version that count inside a term.
const VERSION_BITS: u32 = 24;

/// Time after which a plan is made though nothing seems to have changed.
const PLAN_AGAIN: Duration = Duration::from_secs(5);

/// What a call to the key-value service was made for.
#[derive(Clone, Debug)]
pub(crate) enum What {
    Tenure(Ask),
    Engine(Name),
}

#[derive(Debug)]
struct Call {
    cell: u32,
    term: Option<u64>,
    what: What,
    until: Time,
}

/// Calls to the key-value service that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    next: u64,
    open: BTreeMap<CallId, Call>,
}

/// What the whole planner knows and every cell uses.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub me: Name,
    pub incarnation: Incarnation,
    /// Lives of hosts that cannot act again, with the time when that was learnt.
    pub gone: Arc<BTreeMap<(Name, Incarnation), Time>>,
    pub table: Option<Arc<Table>>,
    /// The table's rows, by the index of `index`.
    pub rows: Vec<Row>,
    pub index: BTreeMap<Name, usize>,
    /// Bases of adapters that have left the table, so that they go before their bases.
    pub former: BTreeMap<Name, Name>,
    /// The cell of each row.
    pub homes: Vec<u32>,
    pub centres: Vec<Name>,
    /// Engines on which the lowest numbers of copies of all rows fit together, by row;
    /// empty when not known.
    pub targets: Vec<BTreeSet<Name>>,
    /// Number of cells.
    pub cells: u32,
    pub demand: Book,
    /// Rows that are routable on engines of cells other than the key.
    pub spread: BTreeMap<Name, (u32, BTreeSet<Name>)>,
}

/// Where effects go.
pub(crate) struct Effects<'a> {
    pub calls: &'a mut Calls,
    pub random: &'a mut ChaCha8Rng,
    pub out: &'a mut Vec<Output>,
}

/// One cell as this host sees it.
#[derive(Debug)]
pub(crate) struct Cell {
    pub id: u32,
    tenure: Tenure,
    /// The term that `engines` belongs to.
    pub term: Option<u64>,
    listings: Vec<Listing>,
    pub engines: BTreeMap<Name, Engine>,
    /// Whether this host should hold the cell.
    pub wanted: bool,
    unwanted_since: Option<Time>,
    /// When the lease was won, or when this process went on after a pause; plans wait
    /// for reports from after it.
    resumed: Time,
    next_plan: Time,
    pub dirty: bool,
    planned: Time,
    /// Whether what is published may have changed.
    unpublished: bool,
    driven: Time,
    answering: usize,
    /// Loads that may begin now.
    allowance: f64,
    allowance_at: Time,
    orders: u64,
    versions: u64,
}

impl Calls {
    /// Makes a call and bounds the wait for its answer.
    fn start(&mut self, until: Time, cell: &Cell, what: What, op: Op) -> Output {
        let token = CallId(self.next);
        self.next += 1;
        let entry = Call {
            cell: cell.id,
            term: cell.term,
            what,
            until,
        };
        self.open.insert(token, entry);
        Output::Kv { token, op }
    }

    /// The call that an answer belongs to: its cell, term and purpose.
    pub fn end(&mut self, token: CallId) -> Option<(u32, Option<u64>, What)> {
        let call = self.open.remove(&token)?;
        Some((call.cell, call.term, call.what))
    }

    /// Calls whose time is over.
    pub fn overdue(&self, now: Time) -> Vec<CallId> {
        let overdue = self.open.iter().filter(|(_, call)| call.until <= now);
        overdue.map(|(token, _)| *token).collect()
    }

    pub fn next_wake(&self) -> Option<Time> {
        self.open.values().map(|call| call.until).min()
    }
}

impl Cell {
    pub fn new(id: u32, me: Name, incarnation: Incarnation, ttl: Duration, now: Time) -> Self {
        Self {
            id,
            tenure: Tenure::new(id, me, incarnation, ttl, now),
            term: None,
            listings: Vec::new(),
            engines: BTreeMap::new(),
            wanted: false,
            unwanted_since: None,
            resumed: now,
            next_plan: now,
            dirty: false,
            planned: now,
            unpublished: true,
            driven: now,
            answering: 0,
            allowance: 0.0,
            allowance_at: now,
            orders: 0,
            versions: 0,
        }
    }

    /// Takes the platform's list of the cell's engines.
    pub fn list(&mut self, now: Time, listings: Vec<Listing>, shared: &Shared) {
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

    /// Does what is due.
    pub fn drive(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        self.hand_over(now, shared, fx);
        if let Some((ask, op)) = self.tenure.due(now, self.wanted) {
            self.call(now, shared, fx, What::Tenure(ask), op);
        }
        self.notice_pause(now, shared);
        let Some(term) = self.term else {
            return;
        };
        for engine in self.engines.values_mut() {
            engine.gone = shared.gone.clone();
        }
        self.drop_gone(now, shared, fx);
        self.poll(now, shared, fx);
        if now >= self.next_plan {
            self.next_plan = now + shared.settings.plan;
            self.unpublished = true;
            self.plan(now, term, shared, fx);
        }
        let changed = std::mem::take(&mut self.unpublished);
        if changed {
            self.publish(now, term, shared, fx);
        }
        self.store(now, term, shared, fx);
        self.send(now, term, changed, shared, fx);
    }

    /// When [`Cell::drive`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let tenure = self.tenure.next_wake(self.wanted);
        if self.term.is_none() {
            return tenure;
        }
        let polls = self.engines.values().map(|engine| engine.next_poll).min();
        earliest(earliest(tenure, polls), Some(self.next_plan))
    }

    /// Gives the cell up, if it is held. `true` if a call was made for it.
    pub fn release(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) -> bool {
        let Some((ask, op)) = self.tenure.release(now) else {
            return false;
        };
        self.call(now, shared, fx, What::Tenure(ask), op);
        self.follow_tenure(now, shared, fx);
        true
    }

    fn hand_over(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        if self.wanted || self.term.is_none() {
            self.unwanted_since = None;
            return;
        }
        let since = *self.unwanted_since.get_or_insert(now);
        if now.since(since) >= shared.settings.handover {
            self.release(now, shared, fx);
        }
    }

    fn call(&self, now: Time, shared: &Shared, fx: &mut Effects<'_>, what: What, op: Op) {
        let until = now + shared.settings.call_timeout;
        let output = fx.calls.start(until, self, what, op);
        fx.out.push(output);
    }

    /// Takes a call's outcome.
    pub fn kv(
        &mut self,
        now: Time,
        what: &What,
        outcome: &Outcome,
        shared: &Shared,
        fx: &mut Effects<'_>,
    ) {
        match what {
            What::Tenure(ask) => {
                if let Some((ask, op)) = self.tenure.answer(now, *ask, outcome) {
                    self.call(now, shared, fx, What::Tenure(ask), op);
                }
            }
            What::Engine(name) => self.stored(now, name, outcome, shared),
        }
        self.follow_tenure(now, shared, fx);
    }

    fn stored(&mut self, now: Time, name: &Name, outcome: &Outcome, shared: &Shared) {
        let (Some(term), Some(engine)) = (self.term, self.engines.get_mut(name)) else {
            return;
        };
        let settings = &shared.settings;
        let current = match outcome {
            Ok(Reply::Entry(entry) | Reply::Conflict(entry)) => {
                engine.adopt(now, entry.as_ref(), term, settings)
            }
            Ok(Reply::Written(revision)) => {
                engine.written(now, *revision, settings);
                true
            }
            Err(Fault::NotApplied) => {
                engine.not_stored(now);
                true
            }
            _ => {
                engine.unsure(now);
                true
            }
        };
        self.dirty = true;
        self.unpublished = true;
        if !current {
            self.tenure.idle(now);
        }
    }

    /// Starts or ends planning when the lease is won or lost.
    fn follow_tenure(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        if self.tenure.term() == self.term {
            return;
        }
        self.term = self.tenure.term();
        self.engines.clear();
        self.resumed = now;
        self.next_plan = now;
        self.allowance = 0.0;
        self.allowance_at = now;
        (self.orders, self.versions) = (0, 0);
        let event = if self.term.is_some() {
            "cell-taken"
        } else {
            "cell-given-up"
        };
        let note = Note::new(Level::Info, event).with("cell", self.id);
        fx.out.push(Output::Note(note));
        if self.term.is_some() {
            self.list(now, self.listings.clone(), shared);
        }
    }

    /// Takes what came of a poll or an order.
    pub fn contact(
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
            self.tenure.verify(now);
        }
        let changed = engine.contact(now, order, contact, &shared.settings);
        self.dirty |= changed;
        self.unpublished |= changed;
    }

    /// After a pause of this process silence says nothing about the engines.
    fn notice_pause(&mut self, now: Time, shared: &Shared) {
        if now.since(self.driven) > shared.settings.lost / 2 {
            for engine in self.engines.values_mut() {
                engine.heard = engine.heard.map(|_| now);
            }
            self.resumed = now;
        }
        self.driven = now;
    }

    /// Forgets engines that are neither listed nor answer, once that is published.
    fn drop_gone(&mut self, now: Time, shared: &Shared, fx: &mut Effects<'_>) {
        let lost = shared.settings.lost;
        let gone =
            |engine: &Engine| !engine.listed && !engine.answers(now, lost) && engine.unrouted();
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
        let poll = shared.settings.poll;
        for engine in self.engines.values_mut() {
            if now < engine.next_poll {
                continue;
            }
            let next = now + poll.mul_f64(fx.random.random_range(0.75..1.25));
            if engine.poll(now, next) {
                fx.out.push(Output::Poll {
                    engine: engine.listing.name.clone(),
                    address: engine.listing.address.clone(),
                });
            }
        }
    }

    /// Whether so many engines are silent that the fault may be on this side.
    pub fn isolated(&self, now: Time, lost: Duration) -> bool {
        let silent = self.engines.values().filter(|e| !e.answers(now, lost));
        silent.count() * 2 > self.engines.len()
    }

    fn publish(&mut self, now: Time, term: u64, shared: &Shared, fx: &mut Effects<'_>) {
        let lost = shared.settings.lost;
        let isolated = self.isolated(now, lost);
        let base = |row: &str| {
            let row = &shared.rows[*shared.index.get(row)?];
            Some(shared.rows[row.base?].name.clone())
        };
        for engine in self.engines.values_mut() {
            let routes = isolated || engine.answers(now, lost);
            let Some(bytes) = engine.publish(now, term, routes, base) else {
                continue;
            };
            self.versions += 1;
            fx.out.push(Output::Publish(Value {
                key: format!("engine/{}", engine.listing.name).into(),
                version: (term << VERSION_BITS) + self.versions,
                bytes,
            }));
        }
    }

    fn store(&mut self, now: Time, term: u64, shared: &Shared, fx: &mut Effects<'_>) {
        let ops: Vec<(Name, Op)> = self
            .engines
            .iter_mut()
            .filter_map(|(name, engine)| Some((name.clone(), engine.store(now, term)?)))
            .collect();
        for (name, op) in ops {
            self.call(now, shared, fx, What::Engine(name), op);
        }
    }

    fn plan(&mut self, now: Time, term: u64, shared: &Shared, fx: &mut Effects<'_>) {
        self.allow(now, shared);
        let settled = |e: &Engine| e.holds(term) && e.reported.is_some_and(|at| at >= self.resumed);
        let waiting =
            now.since(self.resumed) <= shared.settings.lost && !self.engines.values().all(settled);
        self.notice_silence(now, shared);
        if !self.dirty || waiting || shared.table.is_none() || self.engines.is_empty() {
            return;
        }
        if self.orders >= 1 << (ORDER_BITS - 1) {
            self.release(now, shared, fx);
            return;
        }
        self.planned = now;
        let mut world = self.survey(now, term, shared);
        let limits = self.limits(shared);
        let steps = plan::next(&mut world, limits);
        // What waits for the weight store's allowance is looked at again.
        self.dirty = !steps.is_empty() || limits.loads == 0;
        for step in steps {
            self.order(term, &step, shared, fx);
        }
    }

    /// Asks for a plan when an engine falls silent or answers again, and now and then.
    fn notice_silence(&mut self, now: Time, shared: &Shared) {
        let lost = shared.settings.lost;
        let answering = self.engines.values().filter(|e| e.answers(now, lost));
        let answering = answering.count();
        let old = now.since(self.planned) >= PLAN_AGAIN;
        self.dirty |= old || answering != self.answering;
        self.answering = answering;
    }

    fn allow(&mut self, now: Time, shared: &Shared) {
        let share = 1.0 / f64::from(shared.cells.max(1));
        let rate = shared.settings.loads_per_second * share;
        let earned = now.since(self.allowance_at).as_secs_f64() * rate;
        self.allowance_at = now;
        let most = (rate * shared.settings.plan.as_secs_f64()).max(1.0);
        self.allowance = (self.allowance + earned).min(most);
    }

    fn limits(&self, shared: &Shared) -> Limits {
        let share = shared.settings.parallel_loads / shared.cells.max(1);
        let running: usize = self.engines.values().map(|e| e.loading().len()).sum();
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = self.allowance as u32;
        Limits {
            loads: allowed.min(share.max(1).saturating_sub(running)),
            move_price: shared.settings.move_price,
            copy_load: shared.settings.copy_load,
        }
    }

    fn order(&mut self, term: u64, step: &Step, shared: &Shared, fx: &mut Effects<'_>) {
        let Some(engine) = self.engines.get_mut(&step.engine) else {
            return;
        };
        if step.load {
            self.allowance -= 1.0;
        }
        self.orders += 1;
        engine.add(Intent {
            id: (term << ORDER_BITS) + self.orders,
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
    /// The base of an adapter in the table.
    pub fn base(&self, row: &str) -> Option<Name> {
        let row = &self.rows[*self.index.get(row)?];
        Some(self.rows[row.base?].name.clone())
    }

    /// Whether a row of the table belongs to another cell and is routable only in this
    /// one: its copies stay until the other cell has its own.
    pub fn only_here(&self, cell: u32, row: &str) -> bool {
        let Some(&index) = self.index.get(row) else {
            return false;
        };
        let elsewhere = || {
            let mut others = self.spread.values().filter(|(other, _)| *other != cell);
            others.any(|(_, rows)| rows.contains(row))
        };
        self.homes[index] != cell && !elsewhere()
    }
}

fn action(step: &Step, shared: &Shared) -> Action {
    let (row, version) = (step.row.clone(), step.version.clone());
    if !step.load {
        return Action::Unload { row, version };
    }
    let memory_mb = shared.rows[shared.index[&row]].memory_mb;
    let base = shared.base(&row);
    Action::Load {
        row,
        version,
        memory_mb,
        base,
    }
}
