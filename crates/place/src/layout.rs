//! The layout of copies that planning works on: the rows, engines and copies of a cell.
//! Rows and engines are referred to by their index, a copy by its engine and its position
//! there.

use mulberryrack_core::{Name, request::Priority};
use std::collections::BTreeMap;

/// State of a copy for planning, which includes recorded orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyState {
    /// Ordered, loading, or not routable yet.
    Incoming,
    /// Reported as ready, and routable.
    Ready,
    /// An unload of the copy may take effect.
    Outgoing,
}

/// A row of the table, or a row that is in an engine's memory without being in the table.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub name: Name,
    pub version: Name,
    pub memory_mb: u64,
    /// Index of the base model; `None` for a model.
    pub base: Option<usize>,
    pub priority: Priority,
    pub min: u32,
    pub max: u32,
    /// Smoothed number of pending requests, weighted by the row's priority.
    pub demand: f64,
    /// Whether the row is in the table and belongs to this cell.
    pub listed: bool,
}

/// A version of a row on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub row: usize,
    pub version: Name,
    /// Whether the version is in force; for an adapter, also whether the engine has the
    /// base in its version in force.
    pub current: bool,
    pub memory_mb: u64,
    pub state: CopyState,
}

/// An engine with its copies.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub name: Name,
    pub data_centre: usize,
    pub capacity_mb: u64,
    /// Megabytes that may be in use now, and megabytes that are reserved for planned loads.
    pub used_mb: u64,
    /// Megabytes that may be in use after a restart of the engine.
    pub restart_mb: u64,
    /// Whether orders may be added to the engine now.
    pub accepts_orders: bool,
    /// Whether the copies of the engine count: it answers and is not leaving.
    pub available: bool,
    pub copies: Vec<Copy>,
    /// Rows that the engine refused to load a moment ago.
    pub refused_rows: Vec<usize>,
}

/// The layout of a cell's copies, changed step by step while a plan is made.
#[derive(Clone, Debug, Default)]
pub(crate) struct Layout {
    pub rows: Vec<Row>,
    pub engines: Vec<Engine>,
    /// Whether loads go to the engine with the least free memory that suffices (best fit).
    /// It leaves room for the largest rows where spreading the copies evenly would not.
    pub best_fit: bool,
    /// For each row, engines on which the minimum numbers of copies of all rows fit
    /// together. May be empty.
    pub targets: Vec<Vec<usize>>,
    /// Copies of each row: the engine's index and the position on the engine. Rebuilt by
    /// [`Layout::index`].
    copy_positions: Vec<Vec<(usize, usize)>>,
}

/// Why a step is taken. The reasons for loads come in order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The row has no routable copy and none is on its way.
    Restore,
    /// A row of urgent priority has fewer copies than its minimum.
    Urgent,
    /// The row has fewer copies of the version in force than its minimum.
    Minimum,
    /// A further copy relieves pending requests.
    Demand,
    /// The engine needs the base for an adapter that is to be loaded there.
    Base,
    /// The copy moves to another engine to make room for a copy of another row.
    Chain,
    /// The copy's version is no longer in force.
    OldVersion,
    /// The row is no longer in the table or belongs to another cell.
    Removed,
    /// The row has more copies than its maximum.
    Surplus,
    /// Another row needs the memory more.
    Room,
}

impl Reason {
    /// The name used in log lines and in the status.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Restore => "restore",
            Self::Urgent => "urgent",
            Self::Minimum => "minimum",
            Self::Demand => "demand",
            Self::Base => "base",
            Self::Chain => "chain",
            Self::OldVersion => "old-version",
            Self::Removed => "removed",
            Self::Surplus => "surplus",
            Self::Room => "room",
        }
    }
}

/// The load or unload of a copy on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Name of the engine.
    pub engine: Name,
    /// Name of the row.
    pub row: Name,
    /// Version of the weights.
    pub version: Name,
    /// Whether the copy is loaded; otherwise it is unloaded.
    pub load: bool,
    /// Why the step is taken.
    pub reason: Reason,
}

impl Layout {
    /// A layout with these rows and engines.
    pub fn new(rows: Vec<Row>, engines: Vec<Engine>) -> Self {
        let mut layout = Self {
            rows,
            engines,
            best_fit: false,
            targets: Vec::new(),
            copy_positions: Vec::new(),
        };
        layout.index();
        layout
    }

    /// Whether any copy is incoming or outgoing.
    pub fn has_pending_steps(&self) -> bool {
        let mut copies = self.engines.iter().flat_map(|engine| &engine.copies);
        copies.any(|copy| copy.state != CopyState::Ready)
    }

    /// Rebuilds the positions of the copies of each row.
    fn index(&mut self) {
        self.copy_positions = vec![Vec::new(); self.rows.len()];
        for (e, engine) in self.engines.iter().enumerate() {
            for (c, copy) in engine.copies.iter().enumerate() {
                self.copy_positions[copy.row].push((e, c));
            }
        }
    }

    /// Copies of a row, each with the index of its engine.
    pub fn copies(&self, row: usize) -> impl Iterator<Item = (usize, &Copy)> {
        self.copy_positions[row]
            .iter()
            .map(|&(e, c)| (e, &self.engines[e].copies[c]))
    }

    /// Number of ready copies on available engines. With `current`, only copies of the
    /// version in force.
    pub fn ready_copies(&self, row: usize, current: bool) -> u32 {
        let copies = self.copies(row).filter(|(e, copy)| {
            self.engines[*e].available
                && copy.state == CopyState::Ready
                && (copy.current || !current)
        });
        u32::try_from(copies.count()).unwrap_or(u32::MAX)
    }

    /// Whether a copy of any version is ready or incoming on an available engine.
    pub fn has_copy(&self, row: usize) -> bool {
        self.copies(row)
            .any(|(e, copy)| self.engines[e].available && copy.state != CopyState::Outgoing)
    }

    /// Number of copies of the version in force that are ready or incoming on available
    /// engines.
    pub fn current_copies(&self, row: usize) -> u32 {
        let copies = self.copies(row).filter(|(e, copy)| {
            self.engines[*e].available && copy.state != CopyState::Outgoing && copy.current
        });
        u32::try_from(copies.count()).unwrap_or(u32::MAX)
    }

    /// Whether no load of the row can be added on the engine, because the version in force
    /// is there in any state, or a copy of any version is outgoing.
    pub fn occupied(&self, engine: usize, row: usize) -> bool {
        self.engines[engine]
            .copies
            .iter()
            .any(|copy| copy.row == row && (copy.current || copy.state == CopyState::Outgoing))
    }

    /// Adds an incoming copy of the version in force and takes its memory. Returns the
    /// row's name and the version.
    pub fn load(&mut self, engine: usize, row: usize) -> (Name, Name) {
        let (version, memory_mb) = (self.rows[row].version.clone(), self.rows[row].memory_mb);
        let target = &mut self.engines[engine];
        self.copy_positions[row].push((engine, target.copies.len()));
        target.copies.push(Copy {
            row,
            version: version.clone(),
            current: true,
            memory_mb,
            state: CopyState::Incoming,
        });
        target.used_mb += memory_mb;
        target.restart_mb += memory_mb;
        (self.rows[row].name.clone(), version)
    }

    /// Completes every pending step: incoming copies become ready, outgoing ones are
    /// removed.
    pub fn complete_steps(&mut self) {
        for engine in &mut self.engines {
            engine
                .copies
                .retain(|copy| copy.state != CopyState::Outgoing);
            engine.used_mb = engine.copies.iter().map(|copy| copy.memory_mb).sum();
            engine.restart_mb = 0;
            for copy in &mut engine.copies {
                copy.state = CopyState::Ready;
            }
        }
        self.index();
    }

    /// Whether `targets` has the engine for the row.
    pub fn is_target(&self, engine: usize, row: usize) -> bool {
        self.targets
            .get(row)
            .is_some_and(|engines| engines.contains(&engine))
    }

    /// Number of copies of the version in force in each data centre, without outgoing ones.
    pub fn copies_by_data_centre(&self, row: usize) -> BTreeMap<usize, u32> {
        let mut counts = BTreeMap::new();
        for (e, copy) in self.copies(row) {
            if copy.state != CopyState::Outgoing && copy.current {
                *counts.entry(self.engines[e].data_centre).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Megabytes that a new load may take.
    pub fn free_mb(&self, engine: usize) -> u64 {
        let engine = &self.engines[engine];
        engine
            .capacity_mb
            .saturating_sub(engine.used_mb.max(engine.restart_mb))
    }

    /// Weighted pending requests that the engine's copies serve.
    pub fn engine_demand(&self, engine: usize) -> f64 {
        self.engines[engine]
            .copies
            .iter()
            .filter(|copy| copy.state != CopyState::Outgoing)
            .map(|copy| {
                self.rows[copy.row].demand / f64::from(self.current_copies(copy.row).max(1))
            })
            .sum()
    }
}
