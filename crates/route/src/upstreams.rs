//! Upstreams: health, load, and this host's own requests on them.

use crate::{choose::Cache, row::RowId, settings::Settings};
use mulberryrack_core::{
    Incarnation, Name, Time,
    request::Priority,
    upstream::{Contact, DispatchId, Report},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Key of an upstream in [`Upstreams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UpstreamId(pub u32);

/// Whether an upstream may get work, from the evidence of polls and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// No fresh report yet.
    Unknown,
    /// Fresh reports arrive.
    Up,
    /// It refused a connection; the next fresh report brings it back.
    Paused,
    /// Several failures in a row; several fresh reports in a row bring it back.
    Down,
}

/// What a poll said beyond health.
#[allow(clippy::struct_excessive_bools)] // Independent facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Change {
    /// It takes work now and did not before, or the other way round.
    pub availability: bool,
    /// It was found down.
    pub down: bool,
    /// It was taken back after having been down.
    pub back: bool,
    /// It has restarted.
    pub restarted: bool,
    /// It refused a connection.
    pub refused: bool,
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub name: Name,
    pub address: Name,
    pub data_centre: Name,
    /// Group of a plain service; empty for engines.
    pub group: Name,
    /// Whether it is a model engine, whose streams can be resumed.
    pub engine: bool,
    /// Rows that are routable on it.
    pub rows: Vec<RowId>,
    /// Whether its publisher, the platform's list or its own report says that it leaves.
    pub leaving: [bool; 3],
    pub health: Health,
    pub failures: u32,
    successes: u32,
    /// Newest life and sequence number seen in a report.
    seen: Option<(Incarnation, u64)>,
    /// The life before the newest one, if it was seen.
    pub former: Option<Incarnation>,
    /// Reported requests that are not this host's.
    others: u32,
    slots: u32,
    /// This host's attempts on it.
    pub flights: BTreeSet<DispatchId>,
    /// Changes of the number of flights since the last report's figures were taken.
    changes: VecDeque<(Time, i32)>,
    /// When it was taken back.
    back: Option<Time>,
    /// When the next poll is due; `None` while it is not watched.
    pub poll: Option<Time>,
    /// Until when it is polled.
    pub watched: Time,
    /// When the unanswered poll was sent.
    pub asked: Option<Time>,
    /// Requests whose connection broke there lately.
    pub broken: VecDeque<(Time, u128)>,
    /// Last time that it refused a connection.
    pub refused: Option<Time>,
    /// Attempt of a suspected request that runs there.
    pub suspect: Option<DispatchId>,
    /// Until when its pooled connections are not to be used.
    pub distrust: Time,
    /// Since when its first report is waited for.
    pub since: Option<Time>,
    /// Virtual time of weighted fair queueing, one for each priority.
    pub clock: [f64; 3],
    /// Prefix blocks that it holds.
    pub cache: Cache,
}

/// Position in [`Upstream::leaving`].
#[derive(Clone, Copy)]
pub(crate) enum Source {
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
            seen: None,
            former: None,
            others: 0,
            slots: 0,
            flights: BTreeSet::new(),
            changes: VecDeque::new(),
            back: None,
            poll: None,
            watched: Time::ZERO,
            asked: None,
            broken: VecDeque::new(),
            refused: None,
            suspect: None,
            distrust: Time::ZERO,
            since: None,
            clock: [0.0; 3],
            cache: Cache::default(),
        }
    }

    /// Whether it takes new work.
    pub fn available(&self) -> bool {
        self.health == Health::Up && !self.leaving.contains(&true)
    }

    /// Requests that it is thought to have.
    pub fn load(&self) -> u32 {
        self.others
            .saturating_add(u32::try_from(self.flights.len()).unwrap_or(u32::MAX))
    }

    /// Slots that requests of this priority may fill now.
    pub fn limit(&self, priority: Priority, settings: &Settings, now: Time) -> u32 {
        if self.slots == 0 {
            return u32::MAX;
        }
        let share = match priority {
            // A few may wait at the upstream, which serves them first.
            Priority::Urgent => 1.0 + settings.urgent_reserve,
            Priority::Normal | Priority::Bulk => 1.0 - settings.urgent_reserve,
        };
        let limit = f64::from(self.slots) * share * self.ramp(settings, now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = limit as u32;
        limit.max(1)
    }

    /// Load as a share of the slots; the lower the better.
    pub fn pressure(&self, settings: &Settings, now: Time) -> f64 {
        let slots = f64::from(self.slots.max(1)) * self.ramp(settings, now);
        f64::from(self.load() + 1) / slots
    }

    /// Part of its slots that a returned upstream may use by now.
    fn ramp(&self, settings: &Settings, now: Time) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        let span = settings.slow_start.as_secs_f64().max(1e-3);
        ((now - back).as_secs_f64() / span).clamp(0.1, 1.0)
    }

    /// Notes that an attempt was sent there.
    pub fn start(&mut self, now: Time, attempt: DispatchId) {
        if self.flights.insert(attempt) {
            self.changes.push_back((now, 1));
        }
    }

    /// Notes that an attempt there has ended.
    pub fn stop(&mut self, now: Time, attempt: DispatchId) {
        if self.flights.remove(&attempt) {
            self.changes.push_back((now, -1));
        }
        if self.suspect == Some(attempt) {
            self.suspect = None;
        }
    }

    /// Takes what came of a poll.
    pub fn contact(&mut self, now: Time, contact: &Contact, settings: &Settings) -> Change {
        self.asked = None;
        match contact {
            Contact::Report(report) => self.report(now, report, settings),
            Contact::NotSent => self.refuse(now, settings),
            Contact::Unanswered => self.fail(settings),
            Contact::Fenced => Change::default(),
        }
    }

    /// Takes a refused connection: no new work from this moment.
    pub fn refuse(&mut self, now: Time, settings: &Settings) -> Change {
        let before = self.available();
        self.refused = Some(now);
        if self.health == Health::Up {
            self.health = Health::Paused;
        }
        let mut change = self.fail(settings);
        change.availability = before != self.available();
        change.refused = true;
        change
    }

    /// Takes a failure that is not a refused connection.
    pub fn fail(&mut self, settings: &Settings) -> Change {
        let before = self.available();
        self.successes = 0;
        self.failures += 1;
        let down = self.failures >= settings.failures_to_leave
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

    fn report(&mut self, now: Time, report: &Report, settings: &Settings) -> Change {
        let mark = (report.incarnation, report.sequence);
        let restarted = self
            .seen
            .is_some_and(|(incarnation, _)| report.incarnation > incarnation);
        if self.seen.is_some_and(|seen| mark < seen) {
            return Change::default();
        }
        let before = self.available();
        let repeated = self.seen == Some(mark);
        let gap = restarted || self.seen.is_none_or(|(_, last)| report.sequence > last + 1);
        if restarted {
            self.former = self.seen.map(|(incarnation, _)| incarnation);
        }
        self.seen = Some(mark);
        self.leaving[Source::Report as usize] = report.leaving;
        self.slots = report.slots;
        let age = Duration::from_millis(report.age_ms);
        self.account(now, age, report);
        if !repeated {
            self.cache.adopt(now, report, gap, settings);
        }
        let mut change = Change {
            restarted,
            ..Change::default()
        };
        if age <= settings.fresh && !repeated {
            change.back = self.succeed(now, settings);
        }
        change.availability = before != self.available();
        change
    }

    fn succeed(&mut self, now: Time, settings: &Settings) -> bool {
        self.failures = 0;
        self.successes += 1;
        let back = match self.health {
            Health::Unknown | Health::Paused => true,
            Health::Down => self.successes >= settings.successes_to_return,
            Health::Up => false,
        };
        let was_down = back && self.health == Health::Down;
        if was_down {
            self.back = Some(now);
        }
        if back {
            self.health = Health::Up;
        }
        was_down
    }

    /// Splits the reported load into this host's part, which is known exactly, and the
    /// rest.
    fn account(&mut self, now: Time, age: Duration, report: &Report) {
        let taken = Time::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        while self.changes.front().is_some_and(|(at, _)| *at <= taken) {
            self.changes.pop_front();
        }
        let later: i64 = self.changes.iter().map(|(_, step)| i64::from(*step)).sum();
        let own = i64::try_from(self.flights.len()).unwrap_or(i64::MAX) - later;
        let total = i64::from(report.running) + i64::from(report.waiting);
        self.others = u32::try_from((total - own).max(0)).unwrap_or(u32::MAX);
    }

    /// Takes that it turned a request away: it has no room until the next report.
    pub fn turn_away(&mut self) {
        let own = u32::try_from(self.flights.len()).unwrap_or(u32::MAX);
        self.others = self.others.max(self.slots.saturating_sub(own));
    }

    /// Fingerprints of the requests that broke there within the window; they are
    /// forgotten here.
    pub fn take_broken(&mut self, now: Time, window: Duration) -> BTreeSet<u128> {
        self.broken
            .drain(..)
            .filter(|(at, _)| now - *at <= window)
            .map(|(_, print)| print)
            .collect()
    }

    /// The newest life seen in a report.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.seen.map(|(incarnation, _)| incarnation)
    }

    /// Stops polling it; what was known of its health is forgotten.
    pub fn unwatch(&mut self) {
        self.poll = None;
        self.asked = None;
        self.since = None;
        self.successes = 0;
        self.failures = 0;
        self.health = Health::Unknown;
    }
}

/// All upstreams that this host has heard of, by name and by key.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    all: Vec<Upstream>,
    names: BTreeMap<Name, UpstreamId>,
}

impl Upstreams {
    /// The key for this name, known before or not.
    pub fn intern(&mut self, name: &Name) -> UpstreamId {
        if let Some(&id) = self.names.get(name) {
            return id;
        }
        let id = UpstreamId(u32::try_from(self.all.len()).expect("fewer than 2^32 upstreams"));
        self.names.insert(name.clone(), id);
        self.all.push(Upstream::new(name.clone()));
        id
    }

    /// The key of the upstream with this name.
    pub fn find(&self, name: &str) -> Option<UpstreamId> {
        self.names.get(name).copied()
    }

    pub fn get(&self, id: UpstreamId) -> &Upstream {
        &self.all[id.0 as usize]
    }

    pub fn get_mut(&mut self, id: UpstreamId) -> &mut Upstream {
        &mut self.all[id.0 as usize]
    }

    /// Every key, in order.
    pub fn ids(&self) -> impl Iterator<Item = UpstreamId> + use<> {
        (0..u32::try_from(self.all.len()).expect("fewer than 2^32 upstreams")).map(UpstreamId)
    }
}
