//! The router of one host: its state, its inputs and its timers.

use crate::{
    Input, Output, Settings,
    active::{ActiveRequest, Event},
    isolate::Reservations,
    join::RemoteAnswers,
    kept::KeptAnswers,
    retry::RetryBudget,
    row::{RowId, Rows},
    suspect::SharedSuspects,
    upstreams::{LeavingSource, UpstreamId, Upstreams},
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

/// Interval between two outputs of demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request's next timeout, backoff or deadline.
    Request(Key),
    /// An upstream's next poll, also when the last one was not answered.
    Poll(UpstreamId),
    /// The next output of demand.
    Demand,
    /// A row's permits: frames to send again, idle permits to return, loans to reclaim.
    Permit(RowId),
    /// The end of the time for which an answer is kept.
    KeptAnswer(Key),
    /// The next frame that asks for an answer of another host.
    RemoteAnswer(Key),
    /// The end of the time for which suspicions hold.
    Suspicions,
}

/// Routes the requests of one host from their arrival to their end.
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
    /// Hosts on the platform's list; `None` until the list was read.
    pub(crate) listed_hosts: Option<BTreeSet<Name>>,
    /// Whether the view contains every listed host.
    pub(crate) view_complete: bool,
    pub(crate) leaving: bool,
    pub(crate) rows: Rows,
    pub(crate) upstreams: Upstreams,
    /// Newest `engine/NAME` value of each engine, with its version.
    engines: BTreeMap<UpstreamId, (u64, Engine)>,
    /// Service replicas that the platform's list has named so far.
    services: BTreeSet<UpstreamId>,
    /// Requests in progress.
    pub(crate) requests: BTreeMap<Key, ActiveRequest>,
    /// The request of each dispatch that has not ended.
    pub(crate) attempts: BTreeMap<DispatchId, Key>,
    pub(crate) next_attempt: u64,
    /// Total size of the bodies of `requests`.
    pub(crate) body_bytes: usize,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    /// Rows that may be able to dispatch; handled before the current input is done.
    pub(crate) rows_to_dispatch: BTreeSet<RowId>,
    /// Upstreams that may have new room; handled before the current input is done.
    pub(crate) freed_upstreams: BTreeSet<UpstreamId>,
    /// Number of requests in the queues of all rows.
    pub(crate) queued: usize,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) kept_answers: KeptAnswers,
    pub(crate) remote_answers: RemoteAnswers,
    pub(crate) shared_suspects: SharedSuspects,
    pub(crate) reservations: Reservations,
}

impl Router {
    /// Creates the router of a host that starts at `now`.
    #[must_use]
    pub fn new(
        settings: Settings,
        me: Name,
        incarnation: Incarnation,
        data_centre: Name,
        seed: u64,
        now: Time,
    ) -> Self {
        let retry_budget = RetryBudget::new(&settings);
        let shared_suspects = SharedSuspects::new(&settings);
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
            view_complete: false,
            leaving: false,
            rows: Rows::default(),
            upstreams: Upstreams::default(),
            engines: BTreeMap::new(),
            services: BTreeSet::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            body_bytes: 0,
            timers: BTreeSet::from([(now + DEMAND_PERIOD, Timer::Demand)]),
            rows_to_dispatch: BTreeSet::new(),
            freed_upstreams: BTreeSet::new(),
            queued: 0,
            retry_budget,
            kept_answers: KeptAnswers::default(),
            remote_answers: RemoteAnswers::default(),
            shared_suspects,
            reservations: Reservations::new(),
        }
    }

    /// When [`Input::Wake`] is due; `None` if no timer is set.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles an input and pushes the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.run_timers(now, out);
        match input {
            Input::Table(table) => self.on_table(now, table, out),
            Input::View(view) => self.on_view(now, view, out),
            Input::Listing(listing) => self.on_listing(now, &listing, out),
            Input::Value(value) => self.on_value(now, &value, out),
            Input::Arrive(request) => self.on_arrival(now, request, out),
            Input::CallerGone(key) => self.apply_event(now, key, 0, &Event::CallerGone, out),
            Input::Verdict { request, verdict } => self.on_verdict(now, request, verdict, out),
            Input::Attempt { attempt, event } => self.on_attempt_event(now, attempt, event, out),
            Input::Contact { upstream, contact } => {
                self.on_contact(now, &upstream, &contact, out);
            }
            Input::Frame {
                from,
                incarnation,
                frame,
            } => self.on_frame(now, &from, incarnation, frame, out),
            // Lost frames are sent again by timers.
            Input::Undelivered { .. } | Input::Wake => {}
            Input::Leave => self.on_leave(now, out),
        }
        self.run_timers(now, out);
        self.dispatch_queued(now, out);
    }

    fn on_verdict(&mut self, now: Time, key: Key, verdict: Verdict, out: &mut Vec<Output>) {
        let granted = verdict == Verdict::Granted;
        if let Some(req) = self.requests.get_mut(&key) {
            req.granted |= granted;
            if granted {
                self.kept_answers.start(key);
            }
        } else if granted {
            out.push(Output::Done {
                request: key,
                end: mulberryrack_core::claim::End::NotSent,
            });
        }
        self.apply_event(now, key, 0, &Event::Verdict(verdict), out);
    }

    fn on_leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.leaving = true;
        self.return_idle_permits(now, out);
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Request(key) => self.on_request_timer(now, key, out),
                Timer::Poll(id) => self.on_poll_timer(now, id, out),
                Timer::Demand => self.report_demand(now, out),
                Timer::Permit(row) => self.on_permit_timer(now, row, out),
                Timer::KeptAnswer(key) => self.kept_answers.expire(key),
                Timer::RemoteAnswer(key) => self.on_remote_answer_timer(now, key, out),
                Timer::Suspicions => self.on_suspect_timer(now),
            }
        }
    }

    fn report_demand(&mut self, now: Time, out: &mut Vec<Output>) {
        self.timers.insert((now + DEMAND_PERIOD, Timer::Demand));
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
        /// Arrivals per second below which a row is idle and reports no demand.
        const IDLE: f64 = 0.001;
        let row = self.rows.get_mut(id);
        let stats = &mut row.stats;
        stats.arrivals += 0.3 * (f64::from(stats.arrived) - stats.arrivals);
        stats.arrived = 0;
        if stats.arrivals < IDLE && stats.pending == 0 {
            stats.arrivals = 0.0;
            return None;
        }
        Some(Demand {
            row: row.definition.name.clone(),
            arrivals: stats.arrivals,
            pending: stats.pending,
            attained: stats.attained.unwrap_or(1.0),
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
        self.relink_all();
        let ids: Vec<_> = self.rows.ids().collect();
        for id in ids {
            self.refresh_usable_copies(now, id, out);
            self.rows_to_dispatch.insert(id);
        }
    }

    fn on_view(&mut self, now: Time, view: Arc<View>, out: &mut Vec<Output>) {
        self.view = view;
        self.check_view_complete();
        self.end_lost_follows(now, out);
        self.review_loans(now, out);
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
        upstream.leaving[LeavingSource::Value as usize] = engine.leaving;
        self.engines.insert(id, (value.version, engine));
        self.relink(now, id, out);
    }

    fn on_listing(&mut self, now: Time, listing: &[Listing], out: &mut Vec<Output>) {
        self.listed_hosts = Some(
            listing
                .iter()
                .filter(|entry| entry.role == Role::Host)
                .map(|entry| entry.name.clone())
                .collect(),
        );
        self.check_view_complete();
        let mut unlisted = self.services.clone();
        for entry in listing {
            let id = match entry.role {
                Role::Host => continue,
                Role::Engine => {
                    let Some(id) = self.upstreams.find(&entry.name) else {
                        continue;
                    };
                    id
                }
                Role::Service => self.upstreams.intern(&entry.name),
            };
            let upstream = self.upstreams.get_mut(id);
            upstream.leaving[LeavingSource::Listing as usize] = entry.leaving;
            if entry.role == Role::Service {
                upstream.address = entry.address.clone();
                upstream.data_centre = entry.data_centre.clone();
                upstream.group = entry.group.clone();
                unlisted.remove(&id);
                self.services.insert(id);
            }
            self.relink(now, id, out);
        }
        for id in unlisted {
            self.upstreams.get_mut(id).leaving[LeavingSource::Listing as usize] = true;
            self.relink(now, id, out);
        }
        self.review_loans(now, out);
    }

    fn check_view_complete(&mut self) {
        let mut listed = self.listed_hosts.iter().flatten();
        self.view_complete = listed.all(|host| self.view.peer(host).is_some());
    }

    /// Rows of the table in force that may be dispatched to an upstream.
    fn routable(&self, id: UpstreamId) -> Vec<RowId> {
        let find = |name: &str, service: bool| {
            self.rows.find(name).filter(|row| {
                let row = self.rows.get(*row);
                row.in_table && (row.definition.kind == Kind::Service) == service
            })
        };
        let mut rows: Vec<_> = match self.engines.get(&id) {
            // The value describes an earlier incarnation of the engine. A restarted
            // engine holds no rows until its planner publishes them.
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

    /// Updates the links between all upstreams and rows after a change of the table.
    fn relink_all(&mut self) {
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

    /// Updates the links between one upstream and its rows.
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
            self.refresh_usable_copies(now, row, out);
        }
        self.freed_upstreams.insert(id);
    }

    /// Recomputes which copies of a row take new work. Refuses the row's queued requests
    /// if no copy does or may soon.
    pub(crate) fn refresh_usable_copies(&mut self, now: Time, id: RowId, out: &mut Vec<Output>) {
        let row = self.rows.get(id);
        let usable = row
            .copies
            .iter()
            .copied()
            .filter(|copy| self.upstreams.get(*copy).available());
        let (near, far) =
            usable.partition(|copy| self.upstreams.get(*copy).data_centre == self.data_centre);
        let row = self.rows.get_mut(id);
        row.usable_near = near;
        row.usable_far = far;
        if row.watched.is_some_and(|until| until > now) {
            self.schedule_polls(now, id);
        }
        self.refuse_unreachable(now, id, out);
    }

    /// Sets the timer of a request, unless an earlier one is set.
    pub(crate) fn set_timer(&mut self, now: Time, key: Key) {
        let Some(due) = self.next_due(now, key) else {
            return;
        };
        let req = self.requests.get_mut(&key).expect("a known request is due");
        // A timer that fires early finds nothing to do and is set again.
        if req.timer.is_some_and(|timer| timer <= due) {
            return;
        }
        if let Some(timer) = req.timer.replace(due) {
            self.timers.remove(&(timer, Timer::Request(key)));
        }
        self.timers.insert((due, Timer::Request(key)));
    }

    /// Delay until the next poll of an upstream: half to one and a half times the mean
    /// interval, drawn at random.
    pub(crate) fn next_poll_delay(&mut self) -> Duration {
        self.settings
            .poll_interval
            .mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Time after which an unanswered poll counts as a failure.
    pub(crate) fn poll_timeout() -> Duration {
        CONTACT_TIMEOUT + Duration::from_millis(500)
    }
}
