//! Reads a deployment from a directory with `deployment.ini`, `table.csv` and
//! `table-release.csv`: how many machines of which kind there are, and their tables.

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

/// Maximum number of machines in one group, and of entry hosts.
const MAX_GROUP_SIZE: usize = 1_000;

/// The machines, platform settings and tables of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: Name,
    /// Data centres, at least one; the machines of a group are assigned to them in turn.
    pub data_centres: Vec<Name>,
    /// Number of entry hosts, the machines that receive requests from callers.
    pub hosts: usize,
    /// Settings of the platform's own services.
    pub platform: Platform,
    /// Groups of engines and service replicas, in the order of the file.
    pub groups: Vec<Group>,
    /// The table with which the deployment starts.
    pub table: Arc<[Row]>,
    /// The table of the next release, which replaces [`Deployment::table`].
    pub release: Arc<[Row]>,
}

/// Settings of the weight store, the list of machines and the key-value service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Platform {
    /// Limits of the weight store.
    pub weights: weights::Settings,
    /// Delay after which readers of the list of machines see a change.
    pub list_lag: Duration,
    /// Time that a call to the key-value service takes.
    pub kv_delay: Duration,
}

/// A group of machines of the same kind and settings.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of the group, such as `refill-llm` or `order-desk`; the names of its machines
    /// begin with it.
    pub name: Name,
    /// Number of machines.
    pub count: usize,
    /// Kind and settings of the machines.
    pub kind: Kind,
}

/// Kind and settings of the machines of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Model engines, with the number of accelerators of each.
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
        /// The operating system's message.
        error: Arc<str>,
    },
    /// `deployment.ini` is not a valid INI file.
    Syntax {
        /// The file.
        path: PathBuf,
        /// Position of the error, and the parser's message.
        error: Arc<str>,
    },
    /// A section or setting of `deployment.ini` is wrong.
    Setting(Problem),
    /// A table has an error.
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
    /// All errors of all files; only a syntax error in `deployment.ini` is returned alone,
    /// and hides those of the tables.
    pub fn read(directory: &Path) -> Result<Self, Vec<Error>> {
        let mut errors = Vec::new();
        let path = directory.join("deployment.ini");
        let text = read_file(&path, &mut errors).unwrap_or_default();
        let mut deployment = match Ini::load_from_str(&text) {
            Ok(ini) => Self::parse_settings(&ini, &mut errors),
            Err(error) => {
                let error = error.to_string().into();
                return Err(vec![Error::Syntax { path, error }]);
            }
        };
        deployment.table = read_table(directory, "table.csv", &mut errors);
        deployment.release = read_table(directory, "table-release.csv", &mut errors);
        if errors.is_empty() {
            Ok(deployment)
        } else {
            Err(errors)
        }
    }

    /// The listing of every entry host, with empty addresses.
    #[must_use]
    pub fn entry_hosts(&self) -> Vec<Listing> {
        self.listings("host", self.hosts, Role::Host).collect()
    }

    /// The listing and kind of every engine and service replica, with empty addresses.
    #[must_use]
    pub fn upstreams(&self) -> Vec<(Listing, Kind)> {
        self.groups
            .iter()
            .flat_map(|group| {
                let role = match group.kind {
                    Kind::Engine(..) => Role::Engine,
                    Kind::Service(_) => Role::Service,
                };
                self.listings(&group.name, group.count, role)
                    .map(|listing| (group.complete_listing(listing), group.kind))
            })
            .collect()
    }

    fn listings<'a>(
        &'a self,
        name_prefix: &'a str,
        count: usize,
        role: Role,
    ) -> impl Iterator<Item = Listing> + 'a {
        (0..count).map(move |index| Listing {
            name: format!("{name_prefix}-{:02}", index + 1).into(),
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

    fn parse_settings(ini: &Ini, errors: &mut Vec<Error>) -> Self {
        let mut problems = Vec::new();
        let mut general = Section::open(ini, "deployment", &mut problems);
        let name = general.text("name").into();
        let data_centres = general.name_list("data_centres");
        let hosts = general.number("hosts", 1..=MAX_GROUP_SIZE, None);
        general.close();
        let platform = Platform::read(Section::open(ini, "platform", &mut problems));
        let mut groups = Vec::new();
        for section in ini.sections().flatten() {
            let (kind, group) = section.split_once(' ').unwrap_or((section, ""));
            let open = |problems| Section::open(ini, section, problems);
            match kind {
                "engines" if !group.is_empty() => {
                    groups.push(Group::read_engines(group, open(&mut problems)));
                }
                "service" if !group.is_empty() => {
                    groups.push(Group::read_service(group, open(&mut problems)));
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
    fn read_engines(name: &str, mut section: Section<'_>) -> Self {
        let default = engine::Settings::default();
        let count = section.number("count", 1..=MAX_GROUP_SIZE, None);
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

    fn read_service(name: &str, mut section: Section<'_>) -> Self {
        let default = service::Settings::default();
        let count = section.number("count", 1..=MAX_GROUP_SIZE, None);
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

    fn complete_listing(&self, listing: Listing) -> Listing {
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

fn read_file(path: &Path, errors: &mut Vec<Error>) -> Option<String> {
    fs::read_to_string(path)
        .map_err(|error| {
            errors.push(Error::File {
                path: path.to_owned(),
                error: error.to_string().into(),
            });
        })
        .ok()
}

fn read_table(directory: &Path, name: &str, errors: &mut Vec<Error>) -> Arc<[Row]> {
    let path = directory.join(name);
    let Some(text) = read_file(&path, errors) else {
        return [].into();
    };
    csv::parse(&text).unwrap_or_else(|problems| {
        let table_errors = problems.into_iter().map(|problem| Error::Table {
            path: path.clone(),
            problem,
        });
        errors.extend(table_errors);
        [].into()
    })
}
