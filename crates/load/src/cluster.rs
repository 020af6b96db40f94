//! Runs a sample deployment, stand-ins and daemons, on loopback in one process.

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

/// Time between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between a host's reads of the platform's list, shorter than the default.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// A running deployment: the stand-ins and the hosts.
pub struct Cluster {
    /// The stand-ins of the platform, the engines and the services.
    pub world: World,
    hosts: Vec<HostSlot>,
    settings: Settings,
    limits: Limits,
}

/// A host of the deployment; `daemon` is `None` while the host does not run.
#[derive(Debug)]
struct HostSlot {
    listing: Listing,
    daemon: Option<Daemon>,
}

impl Cluster {
    /// Starts a deployment's stand-ins and the first `hosts` of its hosts.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no port or thread.
    pub fn start(deployment: &Deployment, hosts: usize, settings: Settings) -> io::Result<Self> {
        Self::start_with_limits(deployment, hosts, settings, Limits::default())
    }

    /// Starts a deployment as [`Cluster::start`] does, with other limits on callers' use of a
    /// host.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no port or thread.
    pub fn start_with_limits(
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
            let slot = cluster.start_host(listing)?;
            cluster.hosts.push(slot);
        }
        Ok(cluster)
    }

    fn start_host(&self, listing: Listing) -> io::Result<HostSlot> {
        let daemon = Daemon::start(&self.config(&listing))?;
        let identity = daemon.identity();
        let listing = Listing {
            role: Role::Host,
            address: identity.address.clone(),
            peer_address: identity.peer_address.clone(),
            ..listing
        };
        self.world.register(listing.clone());
        Ok(HostSlot {
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

    /// Names of all hosts, running or not.
    #[must_use]
    pub fn names(&self) -> Vec<Name> {
        self.hosts
            .iter()
            .map(|host| host.listing.name.clone())
            .collect()
    }

    /// Addresses at which running hosts serve callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<Name> {
        self.running_hosts()
            .map(|host| host.listing.address.clone())
            .collect()
    }

    /// Addresses at which running hosts serve operators.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<String> {
        self.running_hosts()
            .map(|host| host.listing.peer_address.to_string())
            .collect()
    }

    fn running_hosts(&self) -> impl Iterator<Item = &HostSlot> {
        self.hosts.iter().filter(|host| host.daemon.is_some())
    }

    /// Names of the running hosts, with their metrics as text.
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

    /// Stops a host at once, as if it had crashed, and takes it off the list.
    pub fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.hosts[index].daemon.take() {
            daemon.handle().kill();
            self.world.unregister(&self.hosts[index].listing.name);
        }
    }

    /// Drains a host, waits until it has ended, and takes it off the list.
    pub fn drain(&mut self, index: usize) {
        if let Some(daemon) = self.hosts[index].daemon.take() {
            daemon.drain();
            daemon.wait();
            self.world.unregister(&self.hosts[index].listing.name);
        }
    }

    /// Starts a host again in a new life, on new ports.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no port or thread.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let listing = self.hosts[index].listing.clone();
        self.hosts[index] = self.start_host(listing)?;
        Ok(())
    }

    /// Sends a command to the first host that can be reached and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails if no host can be reached or no readable answer comes.
    pub fn ask(&self, command: &Command) -> Result<Answer, Error> {
        Link::open(&self.operator_addresses(), None)?.ask(command)
    }

    /// Sends a command to accept a table that was edited from version `parent`. A repeated
    /// command has to have the same `change` id and `parent` as the first.
    ///
    /// # Errors
    ///
    /// Fails if no host can be reached or no readable answer comes.
    pub fn accept(&self, rows: &[Row], change: &str, parent: u64) -> Result<Answer, Error> {
        self.ask(&Command::Accept {
            csv: csv::render(rows),
            parent,
            change: change.into(),
            author: "operator".into(),
        })
    }

    /// Status that the first reachable host reports; `None` if there is no such answer.
    #[must_use]
    pub fn status(&self) -> Option<Box<Status>> {
        match self.ask(&Command::Status) {
            Ok(Answer::Status(status)) => Some(status),
            _ => None,
        }
    }

    /// Waits until every running host has this version or a later one in force. Returns the
    /// time it took, or `None` after `timeout`.
    #[must_use]
    pub fn wait_for_version(&self, version: u64, timeout: Duration) -> Option<Duration> {
        wait_until(timeout, || {
            let answer = self.ask(&Command::Progress);
            let Ok(Answer::Progress { hosts, .. }) = answer else {
                return false;
            };
            let current = hosts.iter().filter(|host| host.version >= version).count();
            current >= self.running_hosts().count()
        })
    }

    /// Waits until every model and adapter of the table has a ready copy in its version.
    /// Returns the time it took, or `None` after `timeout`.
    #[must_use]
    pub fn wait_until_loaded(&self, rows: &[Row], timeout: Duration) -> Option<Duration> {
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
        wait_until(timeout, || {
            let (wanted, engines) = (wanted.clone(), engines.clone());
            self.world.with_state(move |state, _| {
                let engines = engines.iter().filter_map(|name| state.engine(name));
                wanted.iter().all(|(row, version)| {
                    let mut engines = engines.clone();
                    engines
                        .any(|engine| engine.memory().state(row, version) == Some(Residency::Ready))
                })
            })
        })
    }
}

/// Waits until a condition holds. Returns the time it took, or `None` after `timeout`.
#[must_use]
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> Option<Duration> {
    let begin = Instant::now();
    loop {
        if condition() {
            return Some(begin.elapsed());
        }
        if begin.elapsed() > timeout {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
}
