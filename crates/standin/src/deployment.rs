//! Sample deployments: a directory with `deployment.ini`, `table.csv` and
//! `table-release.csv`.

mod section;

pub use section::{Fault, Problem};

use crate::{engine, service, weights};
use ini::Ini;
use mulberryrack_core::{
    Name,
    node::{Listing, Role},
};
use mulberryrack_table::{Row, csv};
use section::Section;
use std::{
    fmt, fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

/// Most machines of one group.
const MAX_COUNT: usize = 1_000;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: Name,
    /// Its data centres; machines are dealt out to them in turn.
    pub data_centres: Vec<Name>,
    /// Number of entry hosts.
    pub hosts: usize,
    /// The platform.
    pub platform: Platform,
    /// Groups of engines and services.
    pub groups: Vec<Group>,
    /// The table in force.
    pub table: Arc<[Row]>,
    /// The table of the next release.
    pub release: Arc<[Row]>,
}

/// What the platform is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Platform {
    /// The weight store.
    pub weights: weights::Settings,
    /// Lag of the list of machines.
    pub list_lag: Duration,
    /// Time that a call to the key-value service takes.
    pub kv_delay: Duration,
}

/// Machines of one kind.
#[derive(Clone, Debug)]
pub struct Group {
    /// `refill-llm`, `order-desk`.
    pub name: Name,
    /// Number of machines.
    pub count: usize,
    /// What they are.
    pub kind: Kind,
}

/// What the machines of a group are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Model engines with so many accelerators each.
    Engine(engine::Settings, u32),
    /// Replicas of a plain service.
    Service(service::Settings),
}

/// Why a deployment cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A file cannot be read.
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: Arc<str>,
    },
    /// `deployment.ini` has no INI form.
    Syntax {
        /// The file.
        path: PathBuf,
        /// Where and what.
        error: Arc<str>,
    },
    /// A setting is wrong.
    Setting(Problem),
    /// A table is wrong.
    Table {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        problem: mulberryrack_table::Problem,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, error } | Self::Syntax { path, error } => {
                write!(f, "{}: {error}", path.display())
            }
            Self::Setting(problem) => write!(f, "deployment.ini: {problem}"),
            Self::Table { path, problem } => write!(f, "{}: {problem}", path.display()),
        }
    }
}

impl Deployment {
    /// Reads a deployment from its directory.
    ///
    /// # Errors
    ///
    /// Everything that is wrong.
    pub fn read(directory: &Path) -> Result<Self, Vec<Error>> {
        let mut errors = Vec::new();
        let path = directory.join("deployment.ini");
        let text = file(&path, &mut errors).unwrap_or_default();
        let mut deployment = match Ini::load_from_str(&text) {
            Ok(ini) => Self::settings(&ini, &mut errors),
            Err(error) => {
                let error = error.to_string().into();
                return Err(vec![Error::Syntax { path, error }]);
            }
        };
        deployment.table = table(directory, "table.csv", &mut errors);
        deployment.release = table(directory, "table-release.csv", &mut errors);
        if errors.is_empty() {
            Ok(deployment)
        } else {
            Err(errors)
        }
    }

    /// Every entry host, without addresses.
    #[must_use]
    pub fn entry_hosts(&self) -> Vec<Listing> {
        self.machines("host", self.hosts, Role::Host).collect()
    }

    /// Every engine and service replica with its settings, without addresses.
    #[must_use]
    pub fn upstreams(&self) -> Vec<(Listing, Kind)> {
        self.groups
            .iter()
            .flat_map(|group| {
                let role = match group.kind {
                    Kind::Engine(..) => Role::Engine,
                    Kind::Service(_) => Role::Service,
                };
                self.machines(&group.name, group.count, role)
                    .map(|listing| (group.list(listing), group.kind))
            })
            .collect()
    }

    fn machines<'a>(
        &'a self,
        stem: &'a str,
        count: usize,
        role: Role,
    ) -> impl Iterator<Item = Listing> + 'a {
        (0..count).map(move |index| Listing {
            name: format!("{stem}-{:02}", index + 1).into(),
            role,
            group: Name::default(),
            data_centre: self.data_centres[index % self.data_centres.len()].clone(),
            address: Name::default(),
            peer_address: Name::default(),
            memory_mb: 0,
            accelerators: 0,
            fencing: false,
            leaving: false,
        })
    }

    fn settings(ini: &Ini, errors: &mut Vec<Error>) -> Self {
        let mut problems = Vec::new();
        let mut general = Section::open(ini, "deployment", &mut problems);
        let name = general.text("name").into();
        let data_centres = general.words("data_centres");
        let hosts = general.number("hosts", 1..=MAX_COUNT, None);
        general.close();
        let platform = Platform::read(Section::open(ini, "platform", &mut problems));
        let mut groups = Vec::new();
        for section in ini.sections().flatten() {
            let (kind, group) = section.split_once(' ').unwrap_or((section, ""));
            let open = |problems| Section::open(ini, section, problems);
            match kind {
                "engines" if !group.is_empty() => {
                    groups.push(Group::engines(group, open(&mut problems)));
                }
                "service" if !group.is_empty() => {
                    groups.push(Group::service(group, open(&mut problems)));
                }
                "deployment" | "platform" => {}
                _ => problems.push(Problem::unknown_section(section)),
            }
        }
        errors.extend(problems.into_iter().map(Error::Setting));
        Self {
            name,
            data_centres,
            hosts,
            platform,
            groups,
            table: [].into(),
            release: [].into(),
        }
    }
}

impl Platform {
    fn read(mut section: Section<'_>) -> Self {
        let default = weights::Settings::default();
        let platform = Self {
            weights: weights::Settings {
                rate: section.number("weight_rate", 0.01..=10_000.0, Some(default.rate)),
                parallel: section.number("weight_parallel", 1..=10_000, Some(default.parallel)),
                bandwidth_mb: section.number(
                    "weight_bandwidth_mb",
                    1..=10_000_000,
                    Some(default.bandwidth_mb),
                ),
            },
            list_lag: section.millis("list_lag_ms", Duration::from_secs(3)),
            kv_delay: section.millis("kv_delay_ms", Duration::from_millis(3)),
        };
        section.close();
        platform
    }
}

impl Group {
    fn engines(name: &str, mut section: Section<'_>) -> Self {
        let default = engine::Settings::default();
        let count = section.number("count", 1..=MAX_COUNT, None);
        let accelerators = section.number("accelerators", 1..=1_000, Some(1));
        let settings = engine::Settings {
            memory_mb: section.number("memory_mb", 1..=100_000_000, None),
            fencing: section.flag("fencing", default.fencing),
            slots: section.number("slots", 1..=10_000, Some(default.slots)),
            queue: section.number("queue", 0..=100_000, Some(default.queue)),
            token: section.millis("token_ms", default.token),
            token_per_stream: section.millis("token_per_stream_ms", default.token_per_stream),
            prefill_block: section.millis("prefill_block_ms", default.prefill_block),
            cache_blocks: section.number(
                "cache_blocks",
                0..=10_000_000,
                Some(default.cache_blocks),
            ),
            event_gap: section.number("event_gap", 0..=1_000_000, Some(default.event_gap)),
            report_lag: section.millis("report_lag_ms", default.report_lag),
            report_interval: section.millis("report_interval_ms", default.report_interval),
            keep: section.millis("keep_ms", default.keep),
            restart: section.millis("restart_ms", default.restart),
        };
        section.close();
        Self {
            name: name.into(),
            count,
            kind: Kind::Engine(settings, accelerators),
        }
    }

    fn service(name: &str, mut section: Section<'_>) -> Self {
        let default = service::Settings::default();
        let count = section.number("count", 1..=MAX_COUNT, None);
        let settings = service::Settings {
            latency: section.millis("latency_ms", default.latency),
            latency_per_call: section.millis("latency_per_call_ms", default.latency_per_call),
            slots: section.number("slots", 1..=10_000, Some(default.slots)),
            restart: section.millis("restart_ms", default.restart),
        };
        section.close();
        Self {
            name: name.into(),
            count,
            kind: Kind::Service(settings),
        }
    }

    fn list(&self, listing: Listing) -> Listing {
        let group = self.name.clone();
        match self.kind {
            Kind::Engine(settings, accelerators) => Listing {
                group,
                memory_mb: settings.memory_mb,
                accelerators,
                fencing: settings.fencing,
                ..listing
            },
            Kind::Service(_) => Listing { group, ..listing },
        }
    }
}

fn file(path: &Path, errors: &mut Vec<Error>) -> Option<String> {
    fs::read_to_string(path)
        .map_err(|error| {
            errors.push(Error::File {
                path: path.to_owned(),
                error: error.to_string().into(),
            });
        })
        .ok()
}

fn table(directory: &Path, name: &str, errors: &mut Vec<Error>) -> Arc<[Row]> {
    let path = directory.join(name);
    let Some(text) = file(&path, errors) else {
        return [].into();
    };
    csv::parse(&text).unwrap_or_else(|problems| {
        let errors_found = problems.into_iter().map(|problem| Error::Table {
            path: path.clone(),
            problem,
        });
        errors.extend(errors_found);
        [].into()
    })
}
