//! Reads the settings of one section and notes what is wrong with them.

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

/// Least similarity, from 0 to 1, of a key that is suggested.
const MIN_SIMILARITY: f64 = 0.8;
/// Longest span, one day.
const MAX_MILLIS: f64 = 86_400_000.0;

/// Something that is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The section.
    pub section: Name,
    /// The key; empty where the section is meant.
    pub key: Name,
    /// The value as it was read.
    pub value: Arc<str>,
    /// What is wrong.
    pub fault: Fault,
}

/// What is wrong, and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The section is not one of those that are known.
    UnknownSection,
    /// The section is missing.
    MissingSection,
    /// The section has no such key.
    UnknownKey {
        /// The most similar key.
        nearest: Option<&'static str>,
    },
    /// The key is missing or empty.
    Missing,
    /// Not one of these values.
    Allowed(Arc<str>),
}

impl Problem {
    pub(super) fn unknown_section(section: &str) -> Self {
        Self::of(section, "", "", Fault::UnknownSection)
    }

    fn of(section: &str, key: &str, value: &str, fault: Fault) -> Self {
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
                nearest: Some(near),
            } => write!(f, ": there is no such key; did you mean {near:?}?"),
            Fault::Missing => f.write_str(": must be given"),
            Fault::Allowed(allowed) => write!(f, ": allowed are {allowed}"),
        }
    }
}

/// One section; each key that is asked for is known.
pub(super) struct Section<'a> {
    name: &'a str,
    ini: &'a Ini,
    known: BTreeSet<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Section<'a> {
    /// Opens a section; keys of a missing one read as missing.
    pub fn open(ini: &'a Ini, name: &'a str, problems: &'a mut Vec<Problem>) -> Self {
        if ini.section(Some(name)).is_none() {
            problems.push(Problem::of(name, "", "", Fault::MissingSection));
        }
        Self {
            name,
            ini,
            known: BTreeSet::new(),
            problems,
        }
    }

    /// Notes the keys that were not asked for.
    pub fn close(self) {
        let Some(properties) = self.ini.section(Some(self.name)) else {
            return;
        };
        for (key, value) in properties {
            if !self.known.contains(key) {
                let nearest = self
                    .known
                    .iter()
                    .map(|known| (strsim::jaro_winkler(key, known), *known))
                    .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
                    .max_by(|(one, _), (other, _)| one.total_cmp(other))
                    .map(|(_, known)| known);
                let fault = Fault::UnknownKey { nearest };
                self.problems
                    .push(Problem::of(self.name, key, value, fault));
            }
        }
    }

    /// A text that must be given.
    pub fn text(&mut self, key: &'static str) -> &'a str {
        let value = self.value(key);
        if value.is_empty() {
            self.fault(key, Fault::Missing);
        }
        value
    }

    /// Words with commas between; at least one.
    pub fn words(&mut self, key: &'static str) -> Vec<Name> {
        self.text(key)
            .split(',')
            .map(|word| word.trim().into())
            .collect()
    }

    /// `yes` or `no`.
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

    /// A number in a range; it must be given where there is no default.
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

    /// A span in milliseconds, with a fraction where wanted.
    pub fn millis(&mut self, key: &'static str, default: Duration) -> Duration {
        let default = default.as_secs_f64() * 1_000.0;
        let millis = self.number(key, 0.0..=MAX_MILLIS, Some(default));
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn value(&mut self, key: &'static str) -> &'a str {
        self.known.insert(key);
        self.ini.get_from(Some(self.name), key).unwrap_or_default()
    }

    fn fault(&mut self, key: &'static str, fault: Fault) {
        let value = self.value(key);
        self.problems
            .push(Problem::of(self.name, key, value, fault));
    }
}
