//! The router: state of one host, its inputs and its timers.

use crate::{
    Input, Output, Settings,
    isolate::Wards,
    join::Joins,
    kept::Keeper,
    life::{Event, Life},
    retry::Budget,
    row::{RowId, Rows},
    suspect::Suspects,
    upstreams::{Source, UpstreamId, Upstreams},
};
use mulberryrack_core::{
    Incarnation, Name, Time,
    claim::Verdict,
    demand::Demand,
    node::{Listing, Role},
    request::Key,
    upstream::{CONTACT_TIMEOUT, DispatchId},
    view::{Value, View},
};
use mulberryrack_table::{Kind, Table};
use mulberryrack_wire::place::Engine;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// Time between two reports of demand.
const DEMAND_EVERY: Duration = Duration::from_secs(1);

/// What a wake-up is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request.
    Life(Key),
    /// An upstream's next poll, or the end of the wait for its answer.
    Poll(UpstreamId),
    /// A report of demand.
    Demand,
    /// A row's permits.
    Permit(RowId),
    /// A kept answer.
    Kept(Key),
    /// A joined answer of another host.
    Join(Key),
    /// Suspicions.
    Suspect,
}

/// Requests of one host, from their arrival to their end.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) me: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: Name,
    pub(crate) started: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) view: Arc<View>,
    /// Hosts on the platform's list; `None` until it was read.
    pub(crate) listed_hosts: Option<BTreeSet<Name>>,
    /// Whether the view has every listed host.
    pub(crate) view_whole: bool,
    pub(crate) leaving: bool,
    pub(crate) rows: Rows,
    pub(crate) upstreams: Upstreams,
    /// Newest version of each `engine/NAME` value.
    engines: BTreeMap<UpstreamId, (u64, Engine)>,
    services: BTreeSet<UpstreamId>,
    pub(crate) lives: BTreeMap<Key, Life>,
    pub(crate) attempts: BTreeMap<DispatchId, Key>,
    pub(crate) next_attempt: u64,
    /// Bytes of the bodies of `lives`.
    pub(crate) bytes: usize,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    /// Rows to look at before the current input is done with.
    pub(crate) ready: BTreeSet<RowId>,
    /// Upstreams with new room, to look at before the current input is done with.
    pub(crate) freed: BTreeSet<UpstreamId>,
    /// Requests in all queues.
    pub(crate) waiting: usize,
    pub(crate) budget: Budget,
    pub(crate) keeper: Keeper,
    pub(crate) joins: Joins,
    pub(crate) suspects: Suspects,
    pub(crate) wards: Wards,
}

impl Router {
    /// A router of a host that has just started.
    #[must_use]
    pub fn new(
        settings: Settings,
        me: Name,
        incarnation: Incarnation,
        data_centre: Name,
        seed: u64,
        now: Time,
    ) -> Self {
        let budget = Budget::new(&settings);
        Self {
            settings,
            me,
            incarnation,
            data_centre,
            started: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: None,
            view: Arc::default(),
            listed_hosts: None,
            view_whole: false,
            leaving: false,
            rows: Rows::default(),
            upstreams: Upstreams::default(),
            engines: BTreeMap::new(),
            services: BTreeSet::new(),
            lives: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            bytes: 0,
            timers: BTreeSet::from([(now + DEMAND_EVERY, Timer::Demand)]),
            ready: BTreeSet::new(),
            freed: BTreeSet::new(),
            waiting: 0,
            budget,
            keeper: Keeper::default(),
            joins: Joins::default(),
            suspects: Suspects::default(),
            wards: Wards::new(),
        }
    }

    /// When [`Input::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes an input and pushes what follows from it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.fire(now, out);
        match input {
            Input::Table(table) => self.on_table(now, table, out),
            Input::View(view) => self.on_view(now, view, out),
            Input::Listing(listing) => self.on_listing(now, &listing, out),
            Input::Value(value) => self.on_value(now, &value, out),
            Input::Arrive(request) => self.arrive(now, request, out),
            Input::Gone(key) => self.step(now, key, 0, &Event::CallerGone, out),
            Input::Verdict { request, verdict } => self.on_verdict(now, request, verdict, out),
            Input::Attempt { attempt, event } => self.on_attempt(now, attempt, event, out),
            Input::Contact { upstream, contact } => {
                self.on_contact(now, &upstream, &contact, out);
            }
            Input::Frame {
                from,
                incarnation,
                frame,
            } => self.on_frame(now, &from, incarnation, frame, out),
            // Whatever was in the frame is asked for again by its timer.
            Input::Undelivered { .. } | Input::Wake => {}
            Input::Leave => self.on_leave(now, out),
        }
        self.fire(now, out);
        self.pump(now, out);
    }

    fn on_verdict(&mut self, now: Time, key: Key, verdict: Verdict, out: &mut Vec<Output>) {
        let granted = verdict == Verdict::Granted;
        if let Some(life) = self.lives.get_mut(&key) {
            life.granted |= granted;
            if granted {
                self.keeper.open(key);
            }
        } else if granted {
            out.push(Output::Done {
                request: key,
                end: mulberryrack_core::claim::End::NotSent,
            });
        }
        self.step(now, key, 0, &Event::Verdict(verdict), out);
    }

    fn on_leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.leaving = true;
        self.return_permits(now, out);
    }

    fn fire(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Life(key) => self.on_life_timer(now, key, out),
                Timer::Poll(id) => self.on_poll_timer(now, id, out),
                Timer::Demand => self.report_demand(now, out),
                Timer::Permit(row) => self.on_permit_timer(now, row, out),
                Timer::Kept(key) => self.keeper.expire(key),
                Timer::Join(key) => self.on_join_timer(now, key, out),
                Timer::Suspect => self.on_suspect_timer(now),
            }
        }
    }

    fn report_demand(&mut self, now: Time, out: &mut Vec<Output>) {
        self.timers.insert((now + DEMAND_EVERY, Timer::Demand));
        let demand: Vec<_> = self
            .rows
            .ids()
            .filter_map(|id| self.row_demand(id))
            .collect();
        if !demand.is_empty() {
            out.push(Output::Demand(demand));
        }
    }

    fn row_demand(&mut self, id: RowId) -> Option<Demand> {
        /// Arrivals per second below which a row counts as idle.
        const IDLE: f64 = 0.001;
        let row = self.rows.get_mut(id);
        let figures = &mut row.figures;
        figures.arrivals += 0.3 * (f64::from(figures.arrived) - figures.arrivals);
        figures.arrived = 0;
        if figures.arrivals < IDLE && figures.pending == 0 {
            figures.arrivals = 0.0;
            return None;
        }
        Some(Demand {
            row: row.line.name.clone(),
            arrivals: figures.arrivals,
            pending: figures.pending,
            attained: figures.attained.unwrap_or(1.0),
        })
    }

    fn on_table(&mut self, now: Time, table: Arc<Table>, out: &mut Vec<Output>) {
        if self
            .table
            .as_ref()
            .is_some_and(|old| old.version >= table.version)
        {
            return;
        }
        self.rows.adopt(&table);
        self.table = Some(table);
        self.link_all();
        let ids: Vec<_> = self.rows.ids().collect();
        for id in ids {
            self.relist(now, id, out);
            self.ready.insert(id);
        }
    }

    fn on_view(&mut self, now: Time, view: Arc<View>, out: &mut Vec<Output>) {
        self.view = view;
        self.compare_view();
        self.follow_view(now, out);
        self.review_permits(now, out);
    }

    fn on_value(&mut self, now: Time, value: &Value, out: &mut Vec<Output>) {
        if let Some(host) = value.key.strip_prefix("suspect/") {
            self.on_suspicions(now, host, value, out);
            return;
        }
        let Some(name) = value.key.strip_prefix("engine/") else {
            return;
        };
        let Ok(engine) = Engine::decode(value.bytes.clone()) else {
            return;
        };
        let id = self.upstreams.intern(&name.into());
        if self
            .engines
            .get(&id)
            .is_some_and(|(version, _)| *version >= value.version)
        {
            return;
        }
        let upstream = self.upstreams.get_mut(id);
        upstream.engine = true;
        upstream.address = engine.address.as_str().into();
        upstream.data_centre = engine.data_centre.as_str().into();
        upstream.leaving[Source::Value as usize] = engine.leaving;
        self.engines.insert(id, (value.version, engine));
        self.relink(now, id, out);
    }

    fn on_listing(&mut self, now: Time, listing: &[Listing], out: &mut Vec<Output>) {
        self.listed_hosts = Some(
            listing
                .iter()
                .filter(|line| line.role == Role::Host)
                .map(|line| line.name.clone())
                .collect(),
        );
        self.compare_view();
        let mut gone = self.services.clone();
        for line in listing {
            let id = match line.role {
                Role::Host => continue,
                Role::Engine => {
                    let Some(id) = self.upstreams.find(&line.name) else {
                        continue;
                    };
                    id
                }
                Role::Service => self.upstreams.intern(&line.name),
            };
            let upstream = self.upstreams.get_mut(id);
            upstream.leaving[Source::Listing as usize] = line.leaving;
            if line.role == Role::Service {
                upstream.address = line.address.clone();
                upstream.data_centre = line.data_centre.clone();
                upstream.group = line.group.clone();
                gone.remove(&id);
                self.services.insert(id);
            }
            self.relink(now, id, out);
        }
        for id in gone {
            self.upstreams.get_mut(id).leaving[Source::Listing as usize] = true;
            self.relink(now, id, out);
        }
        self.review_permits(now, out);
    }

    fn compare_view(&mut self) {
        let mut listed = self.listed_hosts.iter().flatten();
        self.view_whole = listed.all(|host| self.view.peer(host).is_some());
    }

    /// Rows of the table that are routable on an upstream.
    fn routable(&self, id: UpstreamId) -> Vec<RowId> {
        let find = |name: &str, service: bool| {
            self.rows.find(name).filter(|row| {
                let row = self.rows.get(*row);
                row.listed && (row.line.kind == Kind::Service) == service
            })
        };
        let mut rows: Vec<_> = match self.engines.get(&id) {
            // A restarted engine is empty until its planner says otherwise.
            Some((_, engine))
                if engine.incarnation != 0
                    && self.upstreams.get(id).incarnation()
                        > Some(Incarnation(engine.incarnation)) =>
            {
                Vec::new()
            }
            Some((_, engine)) => engine
                .residents
                .iter()
                .filter(|resident| resident.routable)
                .filter_map(|resident| find(&resident.row, false))
                .collect(),
            None => find(&self.upstreams.get(id).group, true)
                .into_iter()
                .collect(),
        };
        rows.sort_unstable();
        rows.dedup();
        rows
    }

    /// Links every upstream with its rows after a change of the table.
    fn link_all(&mut self) {
        for id in self.rows.ids() {
            self.rows.get_mut(id).copies.clear();
        }
        for id in self.upstreams.ids() {
            let rows = self.routable(id);
            for row in &rows {
                self.rows.get_mut(*row).copies.push(id);
            }
            self.upstreams.get_mut(id).rows = rows;
        }
    }

    /// Links one upstream with its rows anew.
    pub(crate) fn relink(&mut self, now: Time, id: UpstreamId, out: &mut Vec<Output>) {
        let rows = self.routable(id);
        let old = std::mem::replace(&mut self.upstreams.get_mut(id).rows, rows.clone());
        for row in old.iter().filter(|row| !rows.contains(row)) {
            self.rows.get_mut(*row).copies.retain(|copy| *copy != id);
        }
        for row in rows.iter().filter(|row| !old.contains(row)) {
            self.rows.get_mut(*row).copies.push(id);
        }
        let touched: BTreeSet<_> = old.into_iter().chain(rows).collect();
        for row in touched {
            self.relist(now, row, out);
        }
        self.freed.insert(id);
    }

    /// Brings a row's lists of usable copies up to date; its waiting requests are refused
    /// at once if none can become usable.
    pub(crate) fn relist(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let row = self.rows.get(id);
        let usable = row
            .copies
            .iter()
            .copied()
            .filter(|copy| self.upstreams.get(*copy).available());
        let (near, far) =
            usable.partition(|copy| self.upstreams.get(*copy).data_centre == self.data_centre);
        let row = self.rows.get_mut(id);
        row.near = near;
        row.far = far;
        if row.watched.is_some_and(|until| until > now) {
            self.watch_copies(now, id);
        }
        self.refuse_stranded(now, id, out);
    }

    /// Sets the timer of a request.
    pub(crate) fn arm(&mut self, now: Time, key: Key) {
        let Some(due) = self.due(now, key) else {
            return;
        };
        let life = self.lives.get_mut(&key).expect("due for a known request");
        // A timer that is early finds nothing to do and is set again.
        if life.timer.is_some_and(|timer| timer <= due) {
            return;
        }
        if let Some(timer) = life.timer.replace(due) {
            self.timers.remove(&(timer, Timer::Life(key)));
        }
        self.timers.insert((due, Timer::Life(key)));
    }

    /// A poll's pause: half to one and a half of the mean.
    pub(crate) fn poll_pause(&mut self) -> Duration {
        self.settings.poll.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// The longest wait for a poll's answer.
    pub(crate) fn poll_patience() -> Duration {
        CONTACT_TIMEOUT + Duration::from_millis(500)
    }
}
