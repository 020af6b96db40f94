//! Settings read from a file, in which every value is text.

use mulberryrack_member::Settings;
use serde::{
    Deserialize,
    de::value::{Error, MapDeserializer},
};
use std::time::Duration;

const GUIDE: &str = include_str!("../../../guide/src/reference/member-settings.md");

fn read(pairs: &[(&str, &str)]) -> Result<Settings, Error> {
    Settings::deserialize(MapDeserializer::new(pairs.iter().copied()))
}

#[test]
fn text_values_are_parsed() {
    let settings = read(&[("heartbeat_ms", "700"), ("fanout", "6")]).expect("reads");
    assert_eq!(settings.heartbeat_interval, Duration::from_millis(700));
    assert_eq!(settings.fanout, 6);
    assert_eq!(settings.ack_timeout, Settings::default().ack_timeout);
}

#[test]
fn unknown_key_is_refused() {
    assert!(read(&[("heartbeat", "700")]).is_err());
}

#[test]
fn guide_names_every_key_with_its_default() {
    let pairs: Vec<(&str, &str)> = GUIDE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| {
            let (key, rest) = line.split_once("` | ")?;
            Some((key, rest.split_once(" |")?.0))
        })
        .collect();
    assert_eq!(read(&pairs), Ok(Settings::default()));
    // The guide must list every key; a missing key would hide a changed default.
    let fields = format!("{:?}", Settings::default()).matches(": ").count();
    assert_eq!(pairs.len(), fields);
}
