//! `mulberryrackd site`: runs a host on the users' platform, by [`mulberryrack_edge`].

use crate::{
    config::{self, Error, Log},
    logging,
};
use clap::Parser;
use mulberryrack_platform::Platform;
use mulberryrack_site::{
    Settings,
    settings::{BalanceRule, Bounds, QuotaBounds},
};
use serde::{Deserialize, Serialize};
use serde_with::{
    DisplayFromStr, DurationMilliSeconds, DurationSecondsWithFrac, PickFirst, serde_as,
};
use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

/// Arguments of `mulberryrackd site`.
#[derive(Debug, Parser)]
pub struct Args {
    /// File with the settings, in INI form.
    #[arg(long, value_name = "FILE", env = "MULBERRYRACK_CONFIG")]
    pub config: PathBuf,
    /// Only checks the settings; exits with 0 if they can be used, with 2 if not.
    #[arg(long)]
    pub check_config: bool,
}

/// `[host]`: name and addresses of the host.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Host {
    /// Unique name of the host.
    name: Arc<str>,
    /// Data centre in which the host runs.
    data_centre: Arc<str>,
    /// IP number for traffic between hosts.
    ip: Arc<str>,
    /// `IP:port` for callers.
    caller_address: Arc<str>,
    /// `IP:port` for the platform's readiness checks.
    readiness_address: Arc<str>,
    /// `IP:port` for callers' questions for the addresses of hosts.
    directory_address: Arc<str>,
    /// Port for the other hosts, on `ip`.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    peer_port: u16,
    /// Port for metrics, on `ip`.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    metrics_port: u16,
    /// Maximum number of file descriptors that the process may use.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    descriptors: usize,
    /// Processor cores that the process may use, also a part of one.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    cores: f64,
    /// Memory that the process may use, in megabytes; 0 sets no limit.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    memory_mb: u32,
    /// Rate of the machine's link in each direction, in megabits a second; 0 if it is not known.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    link_mbps: f64,
}

impl Default for Host {
    fn default() -> Self {
        Self {
            name: "".into(),
            data_centre: "".into(),
            ip: "".into(),
            caller_address: "".into(),
            readiness_address: "".into(),
            directory_address: "".into(),
            peer_port: 0,
            metrics_port: 0,
            descriptors: 0,
            cores: 1.0,
            memory_mb: 0,
            link_mbps: 0.0,
        }
    }
}

/// `[store]`: the key-value service.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Store {
    /// `IP:port` of the service.
    address: Arc<str>,
    /// Minimum time to live of a lease.
    #[serde(rename = "lease_min_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    lease_min: Duration,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            address: "".into(),
            lease_min: Duration::from_secs(1),
        }
    }
}

/// `[bounds]`: limits that the platform and the operators set for the deployment.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct BoundsSection {
    /// Time from the stop signal until the platform kills the process.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "PickFirst<(DurationSecondsWithFrac<f64>, DurationSecondsWithFrac<String>)>")]
    grace: Duration,
    /// Time within which an accepted configuration change must be in force.
    #[serde(rename = "config_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    config: Duration,
    /// Time after which a draining upstream must get no more requests.
    #[serde(rename = "drain_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    drain: Duration,
    /// Maximum retries as a share of requests.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    retry_share: f64,
    /// Retries allowed in addition to the share, over all hosts.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    retry_extra: f64,
    /// Window in which retries are counted.
    #[serde(rename = "retry_window_s")]
    #[serde_as(as = "PickFirst<(DurationSecondsWithFrac<f64>, DurationSecondsWithFrac<String>)>")]
    retry_window: Duration,
    /// Minimum time between orders of two different hosts to one engine.
    #[serde(rename = "order_lease_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    order_lease: Duration,
    /// Window in which loads of weights from the weight store are counted.
    #[serde(rename = "load_window_s")]
    #[serde_as(as = "PickFirst<(DurationSecondsWithFrac<f64>, DurationSecondsWithFrac<String>)>")]
    load_window: Duration,
    /// Maximum time for which callers keep an address answer.
    #[serde(rename = "address_ttl_s")]
    #[serde_as(as = "PickFirst<(DurationSecondsWithFrac<f64>, DurationSecondsWithFrac<String>)>")]
    address_ttl: Duration,
    /// Whether a key that was removed is of no use after `revoke` also at hosts that do not reach the
    /// key-value service.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    strict_revocation: bool,
    /// Time after which a key that was removed is of no use.
    #[serde(rename = "revoke_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    revoke: Duration,
    /// Window in which the use of quotas is counted.
    #[serde(rename = "quota_window_s")]
    #[serde_as(as = "PickFirst<(DurationSecondsWithFrac<f64>, DurationSecondsWithFrac<String>)>")]
    quota_window: Duration,
    /// Share by which quotas may be exceeded in a window.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    quota_overshoot: f64,
    /// Units by which quotas may be exceeded in a window beyond that share.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    quota_slack: f64,
}

/// `[balance]`: how upstreams are chosen by their load.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Balance {
    /// The rule: `least`, `even` or `stated`.
    rule: Rule,
    /// Whether hosts share the speeds of engines that they measure, where the rule `even` is in force.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    share_speeds: bool,
}

/// Value of `rule`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Rule {
    #[default]
    Least,
    Even,
    Stated,
}

impl From<Rule> for BalanceRule {
    fn from(rule: Rule) -> Self {
        match rule {
            Rule::Least => Self::Least,
            Rule::Even => Self::Even,
            Rule::Stated => Self::Stated,
        }
    }
}

impl Default for BoundsSection {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            config: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            retry_share: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            order_lease: Duration::from_secs(3),
            load_window: Duration::from_secs(5),
            address_ttl: Duration::from_secs(5),
            strict_revocation: false,
            revoke: Duration::from_secs(5),
            quota_window: Duration::from_secs(8),
            quota_overshoot: 0.1,
            quota_slack: 0.0,
        }
    }
}

/// Highest rate of a link, in megabits a second; a faster one is as good as one of this rate.
const MAX_LINK_MBPS: f64 = 30_000.0;
/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Largest number of processor cores that a host may be said to have.
const MAX_CORES: f64 = 4_096.0;

const SECTIONS: [&str; 5] = ["host", "store", "bounds", "balance", "log"];

/// Checks the text of a settings file; the error lists all problems.
fn parse(text: &str) -> Result<(Settings, Log), Error> {
    let ini = config::parse_ini(text)?;
    let mut problems = config::unknown_sections(&ini, &SECTIONS);
    let host: Host = config::read_section(&ini, "host", &mut problems);
    let store: Store = config::read_section(&ini, "store", &mut problems);
    let bounds: BoundsSection = config::read_section(&ini, "bounds", &mut problems);
    let balance: Balance = config::read_section(&ini, "balance", &mut problems);
    let log: Log = config::read_section(&ini, "log", &mut problems);
    let mut address = |section: &str, key: &str, text: &str| {
        text.parse().unwrap_or_else(|_| {
            let problem = format!("[{section}] {key} = {text:?} is not an IP number with a port");
            problems.push(problem);
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    };
    let caller_address = address("host", "caller_address", &host.caller_address);
    let readiness_address = address("host", "readiness_address", &host.readiness_address);
    let directory_address = address("host", "directory_address", &host.directory_address);
    let store_address = address("store", "address", &store.address);
    let ip: IpAddr = host.ip.parse().unwrap_or_else(|_| {
        problems.push(format!("[host] ip = {:?} is not an IP number", host.ip));
        caller_address.ip()
    });
    if host.name.is_empty() || host.data_centre.is_empty() {
        problems.push("[host] name and data_centre must be set".into());
    }
    if !(host.cores > 0.0 && host.cores <= MAX_CORES) {
        let cores = host.cores;
        problems.push(format!(
            "[host] cores = {cores} is not a number of processor cores"
        ));
    }
    if !(host.link_mbps >= 0.0 && host.link_mbps.is_finite()) {
        let rate = host.link_mbps;
        problems.push(format!("[host] link_mbps = {rate} is not a rate"));
    }
    if !problems.is_empty() {
        return Err(Error { problems });
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let millicores = (host.cores * 1_000.0).round() as u32;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let link_bytes_per_s = (host.link_mbps.min(MAX_LINK_MBPS) * BYTES_PER_MEGABIT).round() as u32;
    let settings = Settings {
        host: host.name,
        data_centre: host.data_centre,
        caller_address,
        readiness_address,
        directory_address,
        peer_address: SocketAddr::new(ip, host.peer_port),
        metrics_address: SocketAddr::new(ip, host.metrics_port),
        kv_address: store_address,
        min_lease_ttl: store.lease_min,
        bounds: Bounds {
            grace_period: bounds.grace,
            max_reaction_delay: bounds.config.min(bounds.drain),
            retry_share: bounds.retry_share,
            retry_extra: bounds.retry_extra,
            retry_window: bounds.retry_window,
            order_handover_delay: bounds.order_lease,
            load_window: bounds.load_window,
            address_ttl: bounds.address_ttl,
            revocation_delay: bounds.strict_revocation.then_some(bounds.revoke),
            quota: QuotaBounds {
                window: bounds.quota_window,
                overshoot: bounds.quota_overshoot,
                slack: bounds.quota_slack,
            },
        },
        millicores,
        max_sockets: host.descriptors,
        memory_mb: (host.memory_mb > 0).then_some(host.memory_mb),
        link_bytes_per_s: (link_bytes_per_s > 0).then_some(link_bytes_per_s),
        balance_rule: balance.rule.into(),
        shares_speeds: balance.share_speeds,
    };
    Ok((settings, log))
}

fn read(args: &Args) -> Result<(Settings, Log), Error> {
    let text = std::fs::read_to_string(&args.config).map_err(|error| Error {
        problems: vec![format!("{}: {error}", args.config.display())],
    })?;
    parse(&text)
}

/// Runs a host until a signal ends it.
#[must_use]
pub fn run(args: &Args) -> ExitCode {
    let (settings, log) = match read(args) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(crate::args::EXIT_INVALID_SETTINGS);
        }
    };
    if args.check_config {
        println!("{}: the settings can be used", args.config.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::start_queued(&log) {
        eprintln!("{error}");
        return ExitCode::from(crate::args::EXIT_INVALID_SETTINGS);
    }
    let result = mulberryrack_edge::run(settings, Platform);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "host", "event=start-failed error={error:?}");
            ExitCode::FAILURE
        }
    }
}
