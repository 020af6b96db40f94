//! Settings of the daemon, read from an INI file. All settings are checked at start, and all
//! problems are reported together.

use ini::{Ini, Properties};
use mulberryrack_host::Settings;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use serde_with::{DisplayFromStr, DurationMilliSeconds, PickFirst, serde_as};
use std::{fmt, path::Path, sync::Arc, time::Duration};

/// All settings of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Name and addresses of the host.
    pub host: Host,
    /// URLs of the platform's services, and limits on calls to them.
    pub platform: Platform,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Certificates of hosts and operators.
    pub tls: Tls,
    /// Log levels.
    pub log: Log,
    /// Settings of the decision areas: `[member]`, `[ledger]`, `[route]`, `[place]`.
    pub areas: Settings,
}

/// `[host]`: name and addresses of the host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Host {
    /// Unique name of the host.
    pub name: Arc<str>,
    /// Data centre in which the host runs.
    pub data_centre: Arc<str>,
    /// `IP:port` for callers. With port 0 the system chooses a free port.
    pub caller_address: Arc<str>,
    /// `IP:port` for other hosts and operators.
    pub peer_address: Arc<str>,
    /// `IP:port` for metrics and health checks; callers must not reach it.
    pub admin_address: Arc<str>,
}

/// `[platform]`: URLs of the platform's services, and limits on calls to them.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the key-value service.
    pub kv_url: Arc<str>,
    /// Base URL of the list of machines.
    pub list_url: Arc<str>,
    /// Time between two reads of the list of machines.
    #[serde(rename = "list_interval_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub list_interval: Duration,
    /// Timeout of a call to either service. A watch may take longer by its own wait.
    #[serde(rename = "kv_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub kv_timeout: Duration,
    /// Maximum number of calls to the key-value service at once, not counting watches.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub kv_calls: usize,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            kv_url: "".into(),
            list_url: "".into(),
            list_interval: Duration::from_secs(2),
            kv_timeout: Duration::from_secs(2),
            kv_calls: 32,
        }
    }
}

/// `[limits]`: limits on callers' requests and connections.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum length of a request body in bytes.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub max_body_bytes: usize,
    /// Maximum number of requests served at once; further requests are refused as `overload`.
    #[serde_as(as = "PickFirst<(_, DisplayFromStr)>")]
    pub max_requests: usize,
    /// Time to answer if the caller doesn't give one.
    #[serde(rename = "default_deadline_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub default_deadline: Duration,
    /// Maximum time to answer; a longer one from a caller is reduced to this value.
    #[serde(rename = "max_deadline_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub max_deadline: Duration,
    /// Time allowed for a caller to send the body.
    #[serde(rename = "body_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub body_timeout: Duration,
    /// Time after which a silent connection of a caller is closed, between requests and while
    /// a request is being sent.
    #[serde(rename = "idle_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub idle_timeout: Duration,
    /// Maximum wait for a caller to read more of its answer; after it, the caller counts as
    /// gone.
    #[serde(rename = "write_timeout_ms")]
    #[serde_as(as = "PickFirst<(DurationMilliSeconds<u64>, DurationMilliSeconds<String>)>")]
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_requests: 2_000,
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(600),
            body_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// `[tls]`: certificate files in PEM format. Without them hosts communicate in plain text,
/// which is allowed on loopback only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the authority that signs the certificates of hosts and operators.
    pub authority_file: Arc<str>,
    /// Certificate of this host, followed by any intermediate certificates.
    pub certificate_file: Arc<str>,
    /// Private key of this host.
    pub key_file: Arc<str>,
}

impl Tls {
    /// Whether any of the files is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        *self != Self::default()
    }
}

/// `[log]`: log levels.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Default level: `error`, `warn`, `info`, `debug` or `off`.
    pub level: Arc<str>,
    /// Levels of single targets, for example `route=debug,member=warn`.
    pub targets: Arc<str>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".into(),
            targets: "".into(),
        }
    }
}

/// Why settings cannot be used: all problems found, unknown sections first, then the problems
/// of each section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// One line for each problem.
    pub problems: Vec<String>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.problems.join("\n"))
    }
}

impl std::error::Error for Error {}

const SECTIONS: [&str; 9] = [
    "host", "platform", "limits", "tls", "log", "member", "ledger", "route", "place",
];

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// All problems, each with its section and key, or why the file cannot be read.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| Error {
            problems: vec![format!("{}: {error}", path.display())],
        })?;
        Self::parse(&text)
    }

    /// Checks the text of a file, but only the sections of the decision areas. A replay uses no
    /// others.
    ///
    /// # Errors
    ///
    /// All problems in these sections, each with its section and key.
    pub fn areas(text: &str) -> Result<Settings, Error> {
        let ini = parse_ini(text)?;
        let mut problems = Vec::new();
        let areas = areas(&ini, &mut problems);
        if problems.is_empty() {
            Ok(areas)
        } else {
            Err(Error { problems })
        }
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// All problems, each with its section and key.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let ini = parse_ini(text)?;
        let mut problems = unknown_sections(&ini, &SECTIONS);
        let config = Self {
            host: read_section(&ini, "host", &mut problems),
            platform: read_section(&ini, "platform", &mut problems),
            limits: read_section(&ini, "limits", &mut problems),
            tls: read_section(&ini, "tls", &mut problems),
            log: read_section(&ini, "log", &mut problems),
            areas: areas(&ini, &mut problems),
        };
        config.check(&mut problems);
        if problems.is_empty() {
            Ok(config)
        } else {
            Err(Error { problems })
        }
    }

    fn check(&self, problems: &mut Vec<String>) {
        let required = [
            ("host", "name", &self.host.name),
            ("host", "data_centre", &self.host.data_centre),
            ("platform", "kv_url", &self.platform.kv_url),
            ("platform", "list_url", &self.platform.list_url),
        ];
        for (section, key, _) in required.iter().filter(|(.., text)| text.is_empty()) {
            problems.push(format!("[{section}] {key} is missing"));
        }
        let addresses = [
            ("caller_address", &self.host.caller_address),
            ("peer_address", &self.host.peer_address),
            ("admin_address", &self.host.admin_address),
        ];
        for (key, address) in addresses {
            if address.parse::<std::net::SocketAddr>().is_err() {
                problems.push(format!(
                    "[host] {key} = {address:?} is not an IP number with a port"
                ));
            }
        }
        self.check_tls(problems);
        if self.limits.idle_timeout.is_zero() || self.limits.write_timeout.is_zero() {
            problems
                .push("[limits] idle_timeout_ms and write_timeout_ms must be at least 1".into());
        }
        if self.limits.max_requests == 0 || self.platform.kv_calls == 0 {
            problems
                .push("[limits] max_requests and [platform] kv_calls must be at least 1".into());
        }
    }
}

impl Config {
    fn check_tls(&self, problems: &mut Vec<String>) {
        let files = [
            ("authority_file", &self.tls.authority_file),
            ("certificate_file", &self.tls.certificate_file),
            ("key_file", &self.tls.key_file),
        ];
        if self.tls.is_set() {
            for (key, path) in files {
                if let Err(error) = std::fs::File::open(&**path) {
                    problems.push(format!("[tls] {key} = {path:?}: {error}"));
                }
            }
            return;
        }
        let address = self.host.peer_address.parse::<std::net::SocketAddr>();
        if address.is_ok_and(|address| !address.ip().is_loopback()) {
            problems.push(format!(
                "[tls] must be set: [host] peer_address = {:?} is not on loopback",
                self.host.peer_address
            ));
        }
    }
}

pub(crate) fn parse_ini(text: &str) -> Result<Ini, Error> {
    Ini::load_from_str(text).map_err(|error| Error {
        problems: vec![format!("settings: {error}")],
    })
}

fn areas(ini: &Ini, problems: &mut Vec<String>) -> Settings {
    Settings {
        member: read_section(ini, "member", problems),
        ledger: read_section(ini, "ledger", problems),
        route: read_section(ini, "route", problems),
        place: read_section(ini, "place", problems),
    }
}

pub(crate) fn unknown_sections(ini: &Ini, known: &[&str]) -> Vec<String> {
    ini.sections()
        .flatten()
        .filter(|name| !known.contains(name))
        .map(|name| {
            format!(
                "[{name}] is not a section{}",
                suggestion(name, known.iter().copied())
            )
        })
        .collect()
}

/// Reads one section; keys that are missing have their defaults. Adds a problem for each
/// unknown key and each value that cannot be used, and then returns the defaults.
pub(crate) fn read_section<T>(ini: &Ini, name: &str, problems: &mut Vec<String>) -> T
where
    T: Default + Serialize + DeserializeOwned,
{
    let Some(properties) = ini.section(Some(name)) else {
        return T::default();
    };
    let known = match serde_json::to_value(T::default()) {
        Ok(Value::Object(map)) => map,
        _ => Map::new(),
    };
    let before = problems.len();
    check_keys::<T>(name, properties, &known, problems);
    if problems.len() > before {
        return T::default();
    }
    let map: Map<String, Value> = properties
        .iter()
        .map(|(key, value)| (key.to_owned(), Value::from(value)))
        .collect();
    serde_json::from_value(Value::Object(map)).unwrap_or_else(|error| {
        problems.push(format!("[{name}]: {error}"));
        T::default()
    })
}

fn check_keys<T: DeserializeOwned>(
    name: &str,
    properties: &Properties,
    known: &Map<String, Value>,
    problems: &mut Vec<String>,
) {
    for (key, value) in properties {
        if !known.contains_key(key) {
            let hint = suggestion(key, known.keys().map(String::as_str));
            problems.push(format!("[{name}] {key} is not a setting{hint}"));
            continue;
        }
        let single = Map::from_iter([(key.to_owned(), Value::from(value))]);
        if serde_json::from_value::<T>(Value::Object(single)).is_err() {
            let example = &known[key];
            problems.push(format!(
                "[{name}] {key} = {value:?} cannot be used; the default is {example}"
            ));
        }
    }
}

fn suggestion<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> String {
    known
        .map(|candidate| (strsim::damerau_levenshtein(unknown, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= candidate.len().div_ceil(2))
        .min()
        .map_or_else(String::new, |(_, candidate)| {
            format!("; did you mean {candidate}?")
        })
}
