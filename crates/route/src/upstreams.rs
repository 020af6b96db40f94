//! Upstreams: their health, load, and the dispatches of this host in flight there.

use crate::{choose::PrefixCache, row::RowId, settings::Settings};
use mulberryrack_core::{
    Incarnation, Name, Time,
    request::Priority,
    upstream::{Contact, DispatchId, Report},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Index of an upstream in [`Upstreams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UpstreamId(pub u32);

/// Whether an upstream may get work, by the results of polls and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// No fresh report has arrived yet.
    Unknown,
    /// Fresh reports arrive.
    Up,
    /// The upstream refused a connection; it gets work again after the next fresh report.
    Paused,
    /// Several failures in a row; the upstream gets work again after several fresh reports in
    /// a row.
    Down,
}

/// Changes of an upstream's state that the router has to act on.
#[allow(clippy::struct_excessive_bools)] // Independent facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Change {
    /// Whether the upstream began or ceased to take new work.
    pub availability: bool,
    /// Whether the upstream was found down.
    pub down: bool,
    /// Whether the upstream takes work again after it was down.
    pub back: bool,
    /// Whether the upstream restarted, by the incarnation in its report.
    pub restarted: bool,
    /// Whether the upstream refused a connection.
    pub connection_refused: bool,
}

/// An upstream and what this host knows of it.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub name: Name,
    pub address: Name,
    pub data_centre: Name,
    /// Name of the row that a service replica serves; empty for engines.
    pub group: Name,
    /// Whether the upstream is a model engine, whose streams can be resumed.
    pub engine: bool,
    /// Rows whose requests may be dispatched to the upstream.
    pub rows: Vec<RowId>,
    /// Whether the upstream is leaving, by source: see [`LeavingSource`].
    pub leaving: [bool; 3],
    pub health: Health,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive fresh reports.
    successes: u32,
    /// Highest incarnation and sequence number in a report.
    last_report: Option<(Incarnation, u64)>,
    /// The incarnation before the newest one, if reports of both have arrived.
    pub previous_incarnation: Option<Incarnation>,
    /// Requests in the last report that were not dispatched by this host.
    other_load: u32,
    /// Slots in the last report; zero before the first one.
    slots: u32,
    /// Dispatches of this host that have not ended.
    pub in_flight: BTreeSet<DispatchId>,
    /// Changes to the size of `in_flight` after the figures of the last report were
    /// taken.
    in_flight_changes: VecDeque<(Time, i32)>,
    /// When the upstream took work again after it was down.
    returned: Option<Time>,
    /// When the next poll is due; `None` while the upstream is not polled.
    pub next_poll: Option<Time>,
    /// Moment until which the upstream is polled.
    pub watched_until: Time,
    /// When the unanswered poll was sent.
    pub poll_sent: Option<Time>,
    /// Recent requests whose connection to the upstream broke: time and fingerprint.
    pub broken_requests: VecDeque<(Time, u128)>,
    /// When the upstream last refused a connection.
    pub last_refused: Option<Time>,
    /// Dispatch of a suspected request that is in flight there.
    pub suspect_attempt: Option<DispatchId>,
    /// Moment until which pooled connections to the upstream are not used.
    pub pool_distrusted_until: Time,
    /// When the upstream was first polled. Requests wait for its first report for
    /// `probe_timeout` from this moment.
    pub first_poll: Option<Time>,
    /// Virtual time of weighted fair queueing, for each priority.
    pub virtual_time: [f64; 3],
    /// Prefix blocks that are probably in the upstream's cache.
    pub prefix_cache: PrefixCache,
}

/// Who says that an upstream is leaving: the planner's value, the platform's list, or its
/// own report. The numbers are indices into [`Upstream::leaving`].
#[derive(Clone, Copy)]
pub(crate) enum LeavingSource {
    Value = 0,
    Listing = 1,
    Report = 2,
}

impl Upstream {
    fn new(name: Name) -> Self {
        Self {
            name,
            address: "".into(),
            data_centre: "".into(),
            group: "".into(),
            engine: false,
            rows: Vec::new(),
            leaving: [false; 3],
            health: Health::Unknown,
            failures: 0,
            successes: 0,
            last_report: None,
            previous_incarnation: None,
            other_load: 0,
            slots: 0,
            in_flight: BTreeSet::new(),
            in_flight_changes: VecDeque::new(),
            returned: None,
            next_poll: None,
            watched_until: Time::ZERO,
            poll_sent: None,
            broken_requests: VecDeque::new(),
            last_refused: None,
            suspect_attempt: None,
            pool_distrusted_until: Time::ZERO,
            first_poll: None,
            virtual_time: [0.0; 3],
            prefix_cache: PrefixCache::default(),
        }
    }

    /// Whether the upstream takes new work.
    pub fn available(&self) -> bool {
        self.health == Health::Up && !self.leaving.contains(&true)
    }

    /// Estimated number of requests that the upstream runs or queues.
    pub fn load(&self) -> u32 {
        self.other_load
            .saturating_add(u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX))
    }

    /// Load below which a request of this priority may be dispatched to the upstream. There
    /// is no limit while the number of slots is unknown.
    pub fn limit(&self, priority: Priority, settings: &Settings, now: Time) -> u32 {
        if self.slots == 0 {
            return u32::MAX;
        }
        let share = match priority {
            // A few urgent requests may queue at the upstream, which serves them first.
            Priority::Urgent => 1.0 + settings.urgent_reserve,
            Priority::Normal | Priority::Bulk => 1.0 - settings.urgent_reserve,
        };
        let limit = f64::from(self.slots) * share * self.slow_start_share(settings, now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = limit as u32;
        limit.max(1)
    }

    /// Load as a share of the slots that may be used now, with one request more.
    pub fn relative_load(&self, settings: &Settings, now: Time) -> f64 {
        let slots = f64::from(self.slots.max(1)) * self.slow_start_share(settings, now);
        f64::from(self.load() + 1) / slots
    }

    /// Share of its slots that an upstream may use at this moment after it was down.
    fn slow_start_share(&self, settings: &Settings, now: Time) -> f64 {
        let Some(at) = self.returned else { return 1.0 };
        let span = settings.slow_start_period.as_secs_f64().max(1e-3);
        ((now - at).as_secs_f64() / span).clamp(0.1, 1.0)
    }

    /// Records a dispatch to the upstream.
    pub fn add_attempt(&mut self, now: Time, attempt: DispatchId) {
        if self.in_flight.insert(attempt) {
            self.in_flight_changes.push_back((now, 1));
        }
    }

    /// Records the end of a dispatch.
    pub fn remove_attempt(&mut self, now: Time, attempt: DispatchId) {
        if self.in_flight.remove(&attempt) {
            self.in_flight_changes.push_back((now, -1));
        }
        if self.suspect_attempt == Some(attempt) {
            self.suspect_attempt = None;
        }
    }

    /// Handles the result of a poll.
    pub fn on_contact(&mut self, now: Time, contact: &Contact, settings: &Settings) -> Change {
        self.poll_sent = None;
        match contact {
            Contact::Report(report) => self.on_report(now, report, settings),
            Contact::NotSent => self.on_connection_refused(now, settings),
            Contact::Unanswered => self.on_failure(settings),
            Contact::Fenced => Change::default(),
        }
    }

    /// Handles a refused connection: no new work until the next fresh report.
    pub fn on_connection_refused(&mut self, now: Time, settings: &Settings) -> Change {
        let before = self.available();
        self.last_refused = Some(now);
        if self.health == Health::Up {
            self.health = Health::Paused;
        }
        let mut change = self.on_failure(settings);
        change.availability = before != self.available();
        change.connection_refused = true;
        change
    }

    /// Counts a failure, such as a broken connection or an unanswered poll.
    pub fn on_failure(&mut self, settings: &Settings) -> Change {
        let before = self.available();
        self.successes = 0;
        self.failures += 1;
        let down = self.failures >= settings.failures_until_down
            && !matches!(self.health, Health::Down | Health::Unknown);
        if down {
            self.health = Health::Down;
        }
        Change {
            availability: before != self.available(),
            down,
            ..Change::default()
        }
    }

    fn on_report(&mut self, now: Time, report: &Report, settings: &Settings) -> Change {
        let position = (report.incarnation, report.sequence);
        let restarted = self
            .last_report
            .is_some_and(|(incarnation, _)| report.incarnation > incarnation);
        if self
            .last_report
            .is_some_and(|last_report| position < last_report)
        {
            return Change::default();
        }
        let before = self.available();
        let repeated = self.last_report == Some(position);
        let gap = restarted
            || self
                .last_report
                .is_none_or(|(_, last)| report.sequence > last + 1);
        if restarted {
            self.previous_incarnation = self.last_report.map(|(incarnation, _)| incarnation);
        }
        self.last_report = Some(position);
        self.leaving[LeavingSource::Report as usize] = report.leaving;
        self.slots = report.slots;
        let age = Duration::from_millis(report.age_ms);
        self.update_other_load(now, age, report);
        if !repeated {
            self.prefix_cache.apply_report(now, report, gap, settings);
        }
        let mut change = Change {
            restarted,
            ..Change::default()
        };
        if age <= settings.max_report_age && !repeated {
            change.back = self.on_fresh_report(now, settings);
        }
        change.availability = before != self.available();
        change
    }

    fn on_fresh_report(&mut self, now: Time, settings: &Settings) -> bool {
        self.failures = 0;
        self.successes += 1;
        let back = match self.health {
            Health::Unknown | Health::Paused => true,
            Health::Down => self.successes >= settings.successes_to_return,
            Health::Up => false,
        };
        let was_down = back && self.health == Health::Down;
        if was_down {
            self.returned = Some(now);
        }
        if back {
            self.health = Health::Up;
        }
        was_down
    }

    /// Splits the reported load into that of this host, which is known exactly, and that of
    /// others. This host's part is the dispatches that were in flight when the figures were
    /// taken.
    fn update_other_load(&mut self, now: Time, age: Duration, report: &Report) {
        let taken_at = Time::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        while self
            .in_flight_changes
            .front()
            .is_some_and(|(at, _)| *at <= taken_at)
        {
            self.in_flight_changes.pop_front();
        }
        let net_change: i64 = self
            .in_flight_changes
            .iter()
            .map(|(_, change)| i64::from(*change))
            .sum();
        let own = i64::try_from(self.in_flight.len()).unwrap_or(i64::MAX) - net_change;
        let total = i64::from(report.running) + i64::from(report.waiting);
        self.other_load = u32::try_from((total - own).max(0)).unwrap_or(u32::MAX);
    }

    /// Handles a rejected request: the upstream counts as full until the next report.
    pub fn on_rejection(&mut self) {
        let own = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        self.other_load = self.other_load.max(self.slots.saturating_sub(own));
    }

    /// Removes all broken requests; returns the fingerprints of those within the window.
    pub fn take_recently_broken(&mut self, now: Time, window: Duration) -> BTreeSet<u128> {
        self.broken_requests
            .drain(..)
            .filter(|(at, _)| now - *at <= window)
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }

    /// Highest incarnation seen in a report.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.last_report.map(|(incarnation, _)| incarnation)
    }

    /// Stops polling the upstream and forgets its health.
    pub fn stop_polling(&mut self) {
        self.next_poll = None;
        self.poll_sent = None;
        self.first_poll = None;
        self.successes = 0;
        self.failures = 0;
        self.health = Health::Unknown;
    }
}

/// All upstreams known to this host, by name and by id.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    all: Vec<Upstream>,
    names: BTreeMap<Name, UpstreamId>,
}

impl Upstreams {
    /// The id of the upstream with this name, which is added if unknown.
    pub fn intern(&mut self, name: &Name) -> UpstreamId {
        if let Some(&id) = self.names.get(name) {
            return id;
        }
        let id = UpstreamId(u32::try_from(self.all.len()).expect("fewer than 2^32 upstreams"));
        self.names.insert(name.clone(), id);
        self.all.push(Upstream::new(name.clone()));
        id
    }

    /// The id of the upstream with this name, if known.
    pub fn find(&self, name: &str) -> Option<UpstreamId> {
        self.names.get(name).copied()
    }

    pub fn get(&self, id: UpstreamId) -> &Upstream {
        &self.all[id.0 as usize]
    }

    pub fn get_mut(&mut self, id: UpstreamId) -> &mut Upstream {
        &mut self.all[id.0 as usize]
    }

    /// All ids in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = UpstreamId> + use<> {
        (0..u32::try_from(self.all.len()).expect("fewer than 2^32 upstreams")).map(UpstreamId)
    }
}
