//! Rows of the table in force, each with its copies, queue, permits and statistics.

use crate::{choose::PrefixAffinity, permit::Permits, queue::Queue, upstreams::UpstreamId};
use mulberryrack_core::{Name, Time};
use mulberryrack_table::{Row as TableRow, Table};
use std::{collections::BTreeMap, time::Duration};

/// Weight of a new sample in an exponentially smoothed value.
const SMOOTHING: f64 = 0.1;

/// Index of a row in [`Rows`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RowId(pub u32);

/// A row and what this host knows of it.
#[derive(Debug)]
pub(crate) struct Row {
    /// The row in the newest table that contains it.
    pub definition: TableRow,
    /// Whether the table in force contains the row.
    pub in_table: bool,
    /// Every upstream to which the row's requests may be dispatched.
    pub copies: Vec<UpstreamId>,
    /// Invariant: the members of `copies` in this data centre that take new work.
    pub usable_near: Vec<UpstreamId>,
    /// Invariant: the members of `copies` in other data centres that take new work.
    pub usable_far: Vec<UpstreamId>,
    /// Upstreams to which prompts were last dispatched, by the first block.
    pub affinity: PrefixAffinity,
    /// Queued requests.
    pub queue: Queue,
    /// This host's part of the ceiling, and the loans if this host is the lender.
    pub permits: Permits,
    /// Moment until which the row's upstreams are polled.
    pub watched: Option<Time>,
    /// Statistics for planners and estimates.
    pub stats: RowStats,
}

/// Statistics of a row at this host. Averages are exponentially smoothed and `None` before
/// the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RowStats {
    /// Requests that arrived since the last output of demand.
    pub arrived: u32,
    /// Requests that arrive per second, smoothed.
    pub arrivals: f64,
    /// Requests in progress now.
    pub pending: u32,
    /// Share of recent requests that met their targets.
    pub attained: Option<f64>,
    /// Time from dispatch to the end of a run, in seconds.
    pub run_time_s: Option<f64>,
    /// Time from dispatch to the first byte, in seconds.
    pub first_byte_s: Option<f64>,
    /// Shortest recent time from dispatch to the end of a run, in seconds.
    pub shortest_run_s: Option<f64>,
    /// Interval between dispatches while other requests are queued, in seconds.
    pub dispatch_spacing_s: Option<f64>,
    /// Last dispatch that left other requests in the queue.
    pub last_contended_dispatch: Option<Time>,
}

fn smooth(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + SMOOTHING * (sample - old))
}

impl RowStats {
    /// Records a run with a complete answer: its duration and its time to the first byte.
    pub fn record_run(&mut self, span: Duration, first_byte: Duration, attained: bool) {
        self.first_byte_s = Some(smooth(self.first_byte_s, first_byte.as_secs_f64()));
        let sample = span.as_secs_f64();
        self.run_time_s = Some(smooth(self.run_time_s, sample));
        self.shortest_run_s = Some(
            self.shortest_run_s
                .map_or(sample, |old| sample.min(old + SMOOTHING * (sample - old))),
        );
        self.record_attainment(attained);
    }

    /// Records whether a request met its targets.
    pub fn record_attainment(&mut self, attained: bool) {
        self.attained = Some(smooth(self.attained, f64::from(u8::from(attained))));
    }

    /// Records a dispatch; `waiting` says whether other requests are still queued.
    pub fn record_dispatch(&mut self, now: Time, waiting: bool) {
        if let Some(last) = self.last_contended_dispatch {
            self.dispatch_spacing_s =
                Some(smooth(self.dispatch_spacing_s, (now - last).as_secs_f64()));
        }
        self.last_contended_dispatch = waiting.then_some(now);
        if !waiting {
            self.dispatch_spacing_s = None;
        }
    }

    /// Lower estimate of a run's duration: half of the shortest recent one.
    pub fn shortest_run(&self) -> Duration {
        Duration::from_secs_f64(self.shortest_run_s.unwrap_or(0.0) / 2.0)
    }

    /// Average time from dispatch to the first byte.
    pub fn typical_first_byte(&self) -> Duration {
        Duration::from_secs_f64(self.first_byte_s.unwrap_or(0.0))
    }

    /// Estimated time until `ahead` queued requests are dispatched; `None` without
    /// samples.
    pub fn estimated_wait(&self, ahead: usize) -> Option<Duration> {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        self.dispatch_spacing_s
            .map(|spacing| Duration::from_secs_f64((spacing * ahead).min(1e6)))
    }
}

/// All rows that this host has seen, by name and by id.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: Vec<Row>,
    names: BTreeMap<Name, RowId>,
}

impl Rows {
    /// Adopts a version of the table; ids of known rows stay the same.
    pub fn adopt(&mut self, table: &Table) {
        self.rows.iter_mut().for_each(|row| row.in_table = false);
        for definition in table.rows.iter() {
            if let Some(&id) = self.names.get(&definition.name) {
                let row = self.get_mut(id);
                row.definition = definition.clone();
                row.in_table = true;
                continue;
            }
            let id = RowId(u32::try_from(self.rows.len()).expect("fewer than 2^32 rows"));
            self.names.insert(definition.name.clone(), id);
            self.rows.push(Row {
                definition: definition.clone(),
                in_table: true,
                copies: Vec::new(),
                usable_near: Vec::new(),
                usable_far: Vec::new(),
                affinity: PrefixAffinity::default(),
                queue: Queue::default(),
                permits: Permits::default(),
                watched: None,
                stats: RowStats::default(),
            });
        }
    }

    /// The id of the row with this name, even if the table in force does not contain it.
    pub fn find(&self, name: &str) -> Option<RowId> {
        self.names.get(name).copied()
    }

    pub fn get(&self, id: RowId) -> &Row {
        &self.rows[id.0 as usize]
    }

    pub fn get_mut(&mut self, id: RowId) -> &mut Row {
        &mut self.rows[id.0 as usize]
    }

    /// All ids in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = RowId> + use<> {
        (0..u32::try_from(self.rows.len()).expect("fewer than 2^32 rows")).map(RowId)
    }
}
