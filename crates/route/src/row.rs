//! Rows of the table in force, each with its upstreams, queue and figures.

use crate::{choose::Homes, permit::Permits, queue::Queue, upstreams::UpstreamId};
use mulberryrack_core::{Name, Time};
use mulberryrack_table::{Row as Line, Table};
use std::{collections::BTreeMap, time::Duration};

/// Weight of a new sample in smoothed figures.
const SMOOTHING: f64 = 0.1;

/// Key of a row in [`Rows`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RowId(pub u32);

/// A row and what this host knows of it.
#[derive(Debug)]
pub(crate) struct Row {
    /// As in the table that last had it.
    pub line: Line,
    /// Whether the table in force has it.
    pub listed: bool,
    /// Every upstream that it is routable on.
    pub copies: Vec<UpstreamId>,
    /// Invariant: those of `copies` in this data centre that take new work.
    pub near: Vec<UpstreamId>,
    /// Invariant: those of `copies` in other data centres that take new work.
    pub far: Vec<UpstreamId>,
    /// Where prompts were last sent, by their first block.
    pub homes: Homes,
    /// Requests that wait.
    pub queue: Queue,
    /// This host's part of the ceiling.
    pub permits: Permits,
    /// Until when its upstreams are polled.
    pub watched: Option<Time>,
    /// Figures for planners and estimates.
    pub figures: Figures,
}

/// Smoothed figures of a row at this host.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    /// Arrivals since the last demand report.
    pub arrived: u32,
    /// Arrivals per second.
    pub arrivals: f64,
    /// Running and waiting now.
    pub pending: u32,
    /// Share of recent requests that met their targets.
    pub attained: Option<f64>,
    /// Time from dispatch to the end.
    pub service: Option<f64>,
    /// Time from dispatch to the first byte, in seconds.
    pub first: Option<f64>,
    /// Shortest recent time from dispatch to the end, in seconds.
    pub fastest: Option<f64>,
    /// Time between two dispatches while others waited, in seconds.
    pub spacing: Option<f64>,
    /// Last dispatch that left others waiting.
    pub dispatched: Option<Time>,
}

fn smooth(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + SMOOTHING * (sample - old))
}

impl Figures {
    /// Takes the length of a run that ended well, and the time to its first byte.
    pub fn ran(&mut self, span: Duration, first: Duration, attained: bool) {
        self.first = Some(smooth(self.first, first.as_secs_f64()));
        let sample = span.as_secs_f64();
        self.service = Some(smooth(self.service, sample));
        self.fastest = Some(
            self.fastest
                .map_or(sample, |old| sample.min(old + SMOOTHING * (sample - old))),
        );
        self.missed(attained);
    }

    /// Takes whether a request met its targets.
    pub fn missed(&mut self, attained: bool) {
        self.attained = Some(smooth(self.attained, f64::from(u8::from(attained))));
    }

    /// Takes a dispatch; `waiting` tells whether others still wait.
    pub fn dispatch(&mut self, now: Time, waiting: bool) {
        if let Some(last) = self.dispatched {
            self.spacing = Some(smooth(self.spacing, (now - last).as_secs_f64()));
        }
        self.dispatched = waiting.then_some(now);
        if !waiting {
            self.spacing = None;
        }
    }

    /// The shortest time that a run is known to take.
    pub fn least_run(&self) -> Duration {
        Duration::from_secs_f64(self.fastest.unwrap_or(0.0) / 2.0)
    }

    /// The usual time from dispatch to the first byte.
    pub fn first_byte(&self) -> Duration {
        Duration::from_secs_f64(self.first.unwrap_or(0.0))
    }

    /// The wait behind `ahead` others, if it can be told.
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        self.spacing
            .map(|spacing| Duration::from_secs_f64((spacing * ahead).min(1e6)))
    }
}

/// All rows that this host has seen, by name and by key.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: Vec<Row>,
    names: BTreeMap<Name, RowId>,
}

impl Rows {
    /// Takes a version of the table over; keys of known rows stay.
    pub fn adopt(&mut self, table: &Table) {
        self.rows.iter_mut().for_each(|row| row.listed = false);
        for line in table.rows.iter() {
            if let Some(&id) = self.names.get(&line.name) {
                let row = self.get_mut(id);
                row.line = line.clone();
                row.listed = true;
                continue;
            }
            let id = RowId(u32::try_from(self.rows.len()).expect("fewer than 2^32 rows"));
            self.names.insert(line.name.clone(), id);
            self.rows.push(Row {
                line: line.clone(),
                listed: true,
                copies: Vec::new(),
                near: Vec::new(),
                far: Vec::new(),
                homes: Homes::default(),
                queue: Queue::default(),
                permits: Permits::default(),
                watched: None,
                figures: Figures::default(),
            });
        }
    }

    /// The key of the row with this name, in force or not.
    pub fn find(&self, name: &str) -> Option<RowId> {
        self.names.get(name).copied()
    }

    pub fn get(&self, id: RowId) -> &Row {
        &self.rows[id.0 as usize]
    }

    pub fn get_mut(&mut self, id: RowId) -> &mut Row {
        &mut self.rows[id.0 as usize]
    }

    /// Every key, in order.
    pub fn ids(&self) -> impl Iterator<Item = RowId> + use<> {
        (0..u32::try_from(self.rows.len()).expect("fewer than 2^32 rows")).map(RowId)
    }
}
