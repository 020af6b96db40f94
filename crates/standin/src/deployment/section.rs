//! Reads the settings of one section of an INI file and collects the problems found.

use ini::Ini;
use mulberryrack_core::Name;
use std::{
    collections::BTreeSet,
    fmt::{self, Display},
    ops::RangeInclusive,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

/// Minimum similarity, from 0 to 1, of a known key that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;
/// Maximum of a duration in milliseconds: one day.
const MAX_MILLIS: f64 = 86_400_000.0;

/// A problem with a section or one of its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the section.
    pub section: Name,
    /// The key; empty if the problem concerns the whole section.
    pub key: Name,
    /// The value as read from the file.
    pub value: Arc<str>,
    /// The kind of problem.
    pub fault: Fault,
}

/// The kind of a [`Problem`], with what would be allowed instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No section of this name is known.
    UnknownSection,
    /// The section is missing.
    MissingSection,
    /// The section has no such key.
    UnknownKey {
        /// The most similar known key, if one is similar enough.
        nearest: Option<&'static str>,
    },
    /// The key has no default and is missing or empty.
    Missing,
    /// The value is not allowed; contains a description of the allowed values.
    Allowed(Arc<str>),
}

impl Problem {
    pub(super) fn unknown_section(section: &str) -> Self {
        Self::new(section, "", "", Fault::UnknownSection)
    }

    fn new(section: &str, key: &str, value: &str, fault: Fault) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            value: value.into(),
            fault,
        }
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "section {:?}", self.section)?;
        if !self.key.is_empty() {
            write!(f, ", key {:?}, value {:?}", self.key, self.value)?;
        }
        match &self.fault {
            Fault::UnknownSection => f.write_str(
                ": allowed are deployment, platform, \"engines NAME\" and \"service NAME\"",
            ),
            Fault::MissingSection => f.write_str(": the section is missing"),
            Fault::UnknownKey { nearest: None } => f.write_str(": there is no such key"),
            Fault::UnknownKey {
                nearest: Some(suggestion),
            } => write!(f, ": there is no such key; did you mean {suggestion:?}?"),
            Fault::Missing => f.write_str(": must be given"),
            Fault::Allowed(allowed) => write!(f, ": allowed are {allowed}"),
        }
    }
}

/// One section. Each key that is read counts as known; [`Section::close`] reports the
/// others.
pub(super) struct Section<'a> {
    name: &'a str,
    ini: &'a Ini,
    known_keys: BTreeSet<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Section<'a> {
    /// Opens a section. If the section is missing, that is a problem, and all its keys read
    /// as missing.
    pub fn open(ini: &'a Ini, name: &'a str, problems: &'a mut Vec<Problem>) -> Self {
        if ini.section(Some(name)).is_none() {
            problems.push(Problem::new(name, "", "", Fault::MissingSection));
        }
        Self {
            name,
            ini,
            known_keys: BTreeSet::new(),
            problems,
        }
    }

    /// Reports every key of the section that was not read as unknown.
    pub fn close(self) {
        let Some(properties) = self.ini.section(Some(self.name)) else {
            return;
        };
        for (key, value) in properties {
            if !self.known_keys.contains(key) {
                let nearest = self
                    .known_keys
                    .iter()
                    .map(|known| (strsim::jaro_winkler(key, known), *known))
                    .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
                    .max_by(|(one, _), (other, _)| one.total_cmp(other))
                    .map(|(_, known)| known);
                let fault = Fault::UnknownKey { nearest };
                self.problems
                    .push(Problem::new(self.name, key, value, fault));
            }
        }
    }

    /// Reads a text; a missing one is a problem.
    pub fn text(&mut self, key: &'static str) -> &'a str {
        let value = self.value(key);
        if value.is_empty() {
            self.fault(key, Fault::Missing);
        }
        value
    }

    /// Reads names separated by commas; a missing list is a problem.
    pub fn name_list(&mut self, key: &'static str) -> Vec<Name> {
        self.text(key)
            .split(',')
            .map(|word| word.trim().into())
            .collect()
    }

    /// Reads `yes` or `no` (or `true` or `false`).
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.value(key) {
            "" => default,
            "yes" | "true" => true,
            "no" | "false" => false,
            _ => {
                self.fault(key, Fault::Allowed("yes and no".into()));
                default
            }
        }
    }

    /// Reads a number in the range `allowed`. A wrong number, or a missing one without a
    /// default, is a problem, and the lowest allowed number is returned instead.
    pub fn number<T>(
        &mut self,
        key: &'static str,
        allowed: RangeInclusive<T>,
        default: Option<T>,
    ) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let value = self.value(key);
        match (value, default) {
            ("", Some(default)) => return default,
            ("", None) => self.fault(key, Fault::Missing),
            _ => {
                if let Some(number) = value.parse().ok().filter(|n| allowed.contains(n)) {
                    return number;
                }
                let text = format!("numbers from {} to {}", allowed.start(), allowed.end());
                self.fault(key, Fault::Allowed(text.into()));
            }
        }
        *allowed.start()
    }

    /// Reads a duration in milliseconds, which may have a fraction.
    pub fn millis(&mut self, key: &'static str, default: Duration) -> Duration {
        let default = default.as_secs_f64() * 1_000.0;
        let millis = self.number(key, 0.0..=MAX_MILLIS, Some(default));
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn value(&mut self, key: &'static str) -> &'a str {
        self.known_keys.insert(key);
        self.ini.get_from(Some(self.name), key).unwrap_or_default()
    }

    fn fault(&mut self, key: &'static str, fault: Fault) {
        let value = self.value(key);
        self.problems
            .push(Problem::new(self.name, key, value, fault));
    }
}
