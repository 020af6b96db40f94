//! What planning works on: rows, engines and copies by index, as they are now.

use mulberryrack_core::{Name, request::Priority};
use std::collections::BTreeMap;

/// How a copy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Ordered, loading, or not routable yet.
    Coming,
    /// Observed ready and routable.
    Ready,
    /// An unload of it may take effect.
    Going,
}

/// A row of the table, or one that is resident without being in the table.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub name: Name,
    pub version: Name,
    pub memory_mb: u64,
    /// Index of the base, for adapters.
    pub base: Option<usize>,
    pub priority: Priority,
    pub min: u32,
    pub max: u32,
    /// Smoothed pending requests, weighted by share.
    pub load: f64,
    /// Whether it is in the table and belongs to this cell.
    pub listed: bool,
}

/// A version of a row on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub row: usize,
    pub version: Name,
    /// Whether it is the version in force.
    pub current: bool,
    pub memory_mb: u64,
    pub state: State,
}

/// An engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub name: Name,
    pub data_centre: usize,
    pub capacity_mb: u64,
    /// Megabytes possibly taken now.
    pub used_mb: u64,
    /// Megabytes possibly taken after a restart.
    pub restart_mb: u64,
    /// Whether it may be given orders now.
    pub open: bool,
    /// Whether its copies count: it answers and is not leaving.
    pub counts: bool,
    pub copies: Vec<Copy>,
    /// Rows that it refused a moment ago.
    pub refused: Vec<usize>,
}

/// Everything that planning looks at.
#[derive(Clone, Debug, Default)]
pub(crate) struct World {
    pub rows: Vec<Row>,
    pub engines: Vec<Engine>,
    /// Copies of each row, by engine and position; rebuilt by [`World::index`].
    places: Vec<Vec<(usize, usize)>>,
}

/// Why a step is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The row has no routable copy and none is coming.
    Restore,
    /// An urgent row has fewer copies than its lowest number.
    Urgent,
    /// The row has fewer copies of the version in force than its lowest number.
    Minimum,
    /// Another copy relieves pending requests.
    Demand,
    /// A base is needed where an adapter goes.
    Base,
    /// The copy moves, so that another row gets its room.
    Chain,
    /// The version is no longer in force.
    OldVersion,
    /// The row is no longer in the table.
    Removed,
    /// The row has more copies than its highest number.
    Surplus,
    /// Another row needs the room more.
    Room,
}

impl Reason {
    /// The name used in logs and status.
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

/// One change of an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Name of the engine.
    pub engine: Name,
    /// Name of the row.
    pub row: Name,
    /// Version of the weights.
    pub version: Name,
    /// Whether the row is loaded; otherwise it is unloaded.
    pub load: bool,
    /// Why.
    pub reason: Reason,
}

impl World {
    /// A world with these rows and engines.
    pub fn new(rows: Vec<Row>, engines: Vec<Engine>) -> Self {
        let mut world = Self {
            rows,
            engines,
            places: Vec::new(),
        };
        world.index();
        world
    }

    /// Whether steps are on their way.
    pub fn pending(&self) -> bool {
        let mut copies = self.engines.iter().flat_map(|engine| &engine.copies);
        copies.any(|copy| copy.state != State::Ready)
    }

    /// Rebuilds the index of copies by row.
    fn index(&mut self) {
        self.places = vec![Vec::new(); self.rows.len()];
        for (e, engine) in self.engines.iter().enumerate() {
            for (c, copy) in engine.copies.iter().enumerate() {
                self.places[copy.row].push((e, c));
            }
        }
    }

    /// Copies of a row with the index of their engine.
    pub fn copies(&self, row: usize) -> impl Iterator<Item = (usize, &Copy)> {
        self.places[row]
            .iter()
            .map(|&(e, c)| (e, &self.engines[e].copies[c]))
    }

    /// Copies that are ready on engines that count; `current` asks for the version in
    /// force only.
    pub fn ready(&self, row: usize, current: bool) -> u32 {
        let copies = self.copies(row).filter(|(e, copy)| {
            self.engines[*e].counts && copy.state == State::Ready && (copy.current || !current)
        });
        u32::try_from(copies.count()).unwrap_or(u32::MAX)
    }

    /// Whether a copy of any version is ready or coming on an engine that counts.
    pub fn stands(&self, row: usize) -> bool {
        self.copies(row)
            .any(|(e, copy)| self.engines[e].counts && copy.state != State::Going)
    }

    /// Copies of the version in force that are ready or coming on engines that count.
    pub fn have(&self, row: usize) -> u32 {
        let copies = self.copies(row).filter(|(e, copy)| {
            self.engines[*e].counts && copy.state != State::Going && copy.current
        });
        u32::try_from(copies.count()).unwrap_or(u32::MAX)
    }

    /// Whether the version in force, in whatever state, is on the engine, or any version
    /// of the row is going from it.
    pub fn occupied(&self, engine: usize, row: usize) -> bool {
        self.engines[engine]
            .copies
            .iter()
            .any(|copy| copy.row == row && (copy.current || copy.state == State::Going))
    }

    /// Adds a coming copy of the version in force and takes its memory.
    pub fn load(&mut self, engine: usize, row: usize) -> (Name, Name) {
        let (version, memory_mb) = (self.rows[row].version.clone(), self.rows[row].memory_mb);
        let place = &mut self.engines[engine];
        self.places[row].push((engine, place.copies.len()));
        place.copies.push(Copy {
            row,
            version: version.clone(),
            current: true,
            memory_mb,
            state: State::Coming,
        });
        place.used_mb += memory_mb;
        place.restart_mb += memory_mb;
        (self.rows[row].name.clone(), version)
    }

    /// Ends every step that is on its way: coming copies are ready, going ones are gone.
    pub fn settle(&mut self) {
        for engine in &mut self.engines {
            engine.copies.retain(|copy| copy.state != State::Going);
            engine.used_mb = engine.copies.iter().map(|copy| copy.memory_mb).sum();
            engine.restart_mb = 0;
            for copy in &mut engine.copies {
                copy.state = State::Ready;
            }
        }
        self.index();
    }

    /// Copies of a row in each data centre.
    pub fn spread(&self, row: usize) -> BTreeMap<usize, u32> {
        let mut spread = BTreeMap::new();
        for (e, copy) in self.copies(row) {
            if copy.state != State::Going && copy.current {
                *spread.entry(self.engines[e].data_centre).or_insert(0) += 1;
            }
        }
        spread
    }

    /// Megabytes that can be given to a new load.
    pub fn free_mb(&self, engine: usize) -> u64 {
        let engine = &self.engines[engine];
        engine
            .capacity_mb
            .saturating_sub(engine.used_mb.max(engine.restart_mb))
    }

    /// Pending requests that fall to the engine's copies.
    pub fn engine_load(&self, engine: usize) -> f64 {
        self.engines[engine]
            .copies
            .iter()
            .filter(|copy| copy.state != State::Going)
            .map(|copy| self.rows[copy.row].load / f64::from(self.have(copy.row).max(1)))
            .sum()
    }
}
