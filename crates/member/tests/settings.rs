//! Settings as they come from a file, where every value is text.

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
fn text_is_read() {
    let settings = read(&[("heartbeat_ms", "700"), ("fanout", "6")]).expect("reads");
    assert_eq!(settings.heartbeat, Duration::from_millis(700));
    assert_eq!(settings.fanout, 6);
    assert_eq!(settings.ack, Settings::default().ack);
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
    // Every key is there: without one, another default would go unseen.
    let fields = format!("{:?}", Settings::default()).matches(": ").count();
    assert_eq!(pairs.len(), fields);
}
