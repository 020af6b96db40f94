//! A sample deployment on loopback, in one process: stand-ins and daemons.

use crate::operator::{Error, Link};
use mulberryrack_core::{
    Name,
    node::{Listing, Role},
    upstream::Residency,
};
use mulberryrack_daemon::{
    Daemon,
    config::{self, Config, Limits},
};
use mulberryrack_host::{
    Settings,
    operator::{Answer, Command, Status},
};
use mulberryrack_standin::{
    deployment::Deployment,
    world::{KV, LIST, World},
};
use mulberryrack_table::{Row, csv};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// Time between looks at a state that is waited for.
const LOOK: Duration = Duration::from_millis(100);
/// Time between reads of the list, shorter than in earnest.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// A running deployment.
pub struct Cluster {
    /// The stand-ins.
    pub world: World,
    hosts: Vec<Running>,
    settings: Settings,
    limits: Limits,
}

/// A running host.
#[derive(Debug)]
struct Running {
    listing: Listing,
    daemon: Option<Daemon>,
}

impl Cluster {
    /// Starts a deployment's stand-ins and as many of its hosts.
    ///
    /// # Errors
    ///
    /// No port or thread is to be had.
    pub fn start(deployment: &Deployment, hosts: usize, settings: Settings) -> io::Result<Self> {
        Self::start_with(deployment, hosts, settings, Limits::default())
    }

    /// Starts a deployment with other bounds on what callers may use.
    ///
    /// # Errors
    ///
    /// No port or thread is to be had.
    pub fn start_with(
        deployment: &Deployment,
        hosts: usize,
        settings: Settings,
        limits: Limits,
    ) -> io::Result<Self> {
        let world = World::start(deployment)?;
        let mut cluster = Self {
            world,
            hosts: Vec::new(),
            settings,
            limits,
        };
        for listing in deployment.entry_hosts().into_iter().take(hosts) {
            let running = cluster.start_host(listing)?;
            cluster.hosts.push(running);
        }
        Ok(cluster)
    }

    fn start_host(&self, listing: Listing) -> io::Result<Running> {
        let daemon = Daemon::start(&self.config(&listing))?;
        let identity = daemon.identity();
        let listing = Listing {
            role: Role::Host,
            address: identity.address.clone(),
            peer_address: identity.peer_address.clone(),
            ..listing
        };
        self.world.register(listing.clone());
        Ok(Running {
            listing,
            daemon: Some(daemon),
        })
    }

    fn config(&self, listing: &Listing) -> Config {
        let url = |name: &str| -> Name {
            let address = self.world.address(name);
            address
                .map_or_else(String::new, |address| format!("http://{address}"))
                .into()
        };
        Config {
            host: config::Host {
                name: listing.name.clone(),
                data_centre: listing.data_centre.clone(),
                caller_address: "127.0.0.1:0".into(),
                peer_address: "127.0.0.1:0".into(),
                admin_address: "127.0.0.1:0".into(),
            },
            platform: config::Platform {
                kv_url: url(KV),
                list_url: url(LIST),
                list_interval: LIST_INTERVAL,
                ..config::Platform::default()
            },
            areas: self.settings.clone(),
            limits: self.limits.clone(),
            ..Config::default()
        }
    }

    /// Names of the hosts.
    #[must_use]
    pub fn names(&self) -> Vec<Name> {
        self.hosts
            .iter()
            .map(|host| host.listing.name.clone())
            .collect()
    }

    /// Addresses for callers of the hosts that run.
    #[must_use]
    pub fn callers(&self) -> Vec<Name> {
        self.running()
            .map(|host| host.listing.address.clone())
            .collect()
    }

    /// Addresses for operators of the hosts that run.
    #[must_use]
    pub fn operators(&self) -> Vec<String> {
        self.running()
            .map(|host| host.listing.peer_address.to_string())
            .collect()
    }

    fn running(&self) -> impl Iterator<Item = &Running> {
        self.hosts.iter().filter(|host| host.daemon.is_some())
    }

    /// Metrics of every host that runs, with its name.
    #[must_use]
    pub fn metrics(&self) -> Vec<(Name, String)> {
        self.hosts
            .iter()
            .filter_map(|host| {
                let daemon = host.daemon.as_ref()?;
                Some((host.listing.name.clone(), daemon.metrics()))
            })
            .collect()
    }

    /// Ends a host's decisions at once, as if it had died, and takes it off the list.
    pub fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.hosts[index].daemon.take() {
            daemon.handle().kill();
            self.world.unregister(&self.hosts[index].listing.name);
        }
    }

    /// Lets a host leave and waits until it has.
    pub fn drain(&mut self, index: usize) {
        if let Some(daemon) = self.hosts[index].daemon.take() {
            daemon.drain();
            daemon.wait();
            self.world.unregister(&self.hosts[index].listing.name);
        }
    }

    /// Starts a host again, as a new life on new ports.
    ///
    /// # Errors
    ///
    /// No port or thread is to be had.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let listing = self.hosts[index].listing.clone();
        self.hosts[index] = self.start_host(listing)?;
        Ok(())
    }

    /// Asks the first host that can be reached.
    ///
    /// # Errors
    ///
    /// No answer came.
    pub fn ask(&self, command: &Command) -> Result<Answer, Error> {
        Link::open(&self.operators(), None)?.ask(command)
    }

    /// Accepts a table that was edited from version `parent`, under a change id. Both stay
    /// the same when the command is repeated.
    ///
    /// # Errors
    ///
    /// No answer came.
    pub fn accept(&self, rows: &[Row], change: &str, parent: u64) -> Result<Answer, Error> {
        self.ask(&Command::Accept {
            csv: csv::render(rows),
            parent,
            change: change.into(),
            author: "operator".into(),
        })
    }

    /// The state as the first host sees it.
    #[must_use]
    pub fn status(&self) -> Option<Box<Status>> {
        match self.ask(&Command::Status) {
            Ok(Answer::Status(status)) => Some(status),
            _ => None,
        }
    }

    /// Waits until every host that runs has a version in force; the time it took.
    #[must_use]
    pub fn wait_version(&self, version: u64, at_most: Duration) -> Option<Duration> {
        wait(at_most, || {
            let answer = self.ask(&Command::Progress);
            let Ok(Answer::Progress { hosts, .. }) = answer else {
                return false;
            };
            let current = hosts.iter().filter(|host| host.version >= version).count();
            current >= self.running().count()
        })
    }

    /// Waits until every row in the table has a ready copy; the time it took.
    #[must_use]
    pub fn wait_rows(&self, rows: &[Row], at_most: Duration) -> Option<Duration> {
        let wanted: Vec<(Name, Name)> = rows
            .iter()
            .filter(|row| row.kind != mulberryrack_table::Kind::Service)
            .map(|row| (row.name.clone(), row.version.clone()))
            .collect();
        let engines: Vec<Name> = self
            .world
            .upstreams()
            .iter()
            .map(|listing| listing.name.clone())
            .collect();
        wait(at_most, || {
            let (wanted, engines) = (wanted.clone(), engines.clone());
            self.world.with_state(move |state, _| {
                let engines = engines.iter().filter_map(|name| state.engine(name));
                wanted.iter().all(|(row, version)| {
                    let mut engines = engines.clone();
                    engines.any(|one| one.memory().state(row, version) == Some(Residency::Ready))
                })
            })
        })
    }
}

/// Waits until a condition holds; the time it took.
#[must_use]
pub fn wait(at_most: Duration, holds: impl Fn() -> bool) -> Option<Duration> {
    let begin = Instant::now();
    loop {
        if holds() {
            return Some(begin.elapsed());
        }
        if begin.elapsed() > at_most {
            return None;
        }
        thread::sleep(LOOK);
    }
}
