//! Logging: one line of `key=value` pairs for each event.

mod queue;

use crate::config::Log;
use log::LevelFilter;
use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
    },
    config::{Appender, Config, Logger, Root},
    encode::pattern::PatternEncoder,
};
use mulberryrack_core::note::{Level, Note};
use std::fmt::Write;

/// Name of the only appender.
const OUTPUT: &str = "output";
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} target={t} {m}{n}";

/// Starts logging to standard error.
///
/// # Errors
///
/// A message that names the level or target that cannot be used.
pub fn start(settings: &Log) -> Result<(), String> {
    let stderr = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    start_with(settings, Box::new(stderr))
}

/// Starts logging to standard output without ever blocking the thread that logs: lines are
/// dropped if the queue for the writing thread is full, and a `lines-dropped` line reports
/// their number.
///
/// # Errors
///
/// A message that names the level or target that cannot be used, or says why the writing
/// thread cannot be started.
pub fn start_queued(settings: &Log) -> Result<(), String> {
    let queue = queue::Queue::start(PATTERN).map_err(|error| error.to_string())?;
    start_with(settings, Box::new(queue))
}

fn start_with(settings: &Log, append: Box<dyn Append>) -> Result<(), String> {
    let mut config = Config::builder().appender(Appender::builder().build(OUTPUT, append));
    for pair in settings.targets.split(',').filter(|pair| !pair.is_empty()) {
        let (target, level_name) = pair
            .split_once('=')
            .ok_or_else(|| format!("[log] targets: {pair:?} is not target=level"))?;
        config = config.logger(Logger::builder().build(target.trim(), level(level_name.trim())?));
    }
    let root = Root::builder()
        .appender(OUTPUT)
        .build(level(&settings.level)?);
    let config = config.build(root).map_err(|error| error.to_string())?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|error| error.to_string())
}

fn level(level_name: &str) -> Result<LevelFilter, String> {
    level_name.parse().map_err(|_| {
        format!("[log] level {level_name:?} is not one of off, error, warn, info, debug")
    })
}

/// Logs a note under a target, which is the name of an area such as `route`.
pub fn write(target: &str, note: &Note) {
    let level = match note.level {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    if !log::log_enabled!(target: target, level) {
        return;
    }
    log::log!(target: target, level, "{}", format_note(note));
}

/// Formats a note as `key=value` pairs. Values that are empty or contain white space, control
/// characters, quotes or equals signs are quoted.
#[must_use]
pub fn format_note(note: &Note) -> String {
    let mut text = format!("event={}", note.event);
    for (key, value) in &note.fields {
        let plain = !value.is_empty()
            && !value
                .chars()
                .any(|c| c.is_whitespace() || c.is_control() || matches!(c, '"' | '='));
        // Writing to a string cannot fail.
        let _ = if plain {
            write!(text, " {key}={value}")
        } else {
            write!(text, " {key}={value:?}")
        };
    }
    text
}
