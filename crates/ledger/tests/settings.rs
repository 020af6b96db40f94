//! Settings are read from strings, as an INI section has them, and from numbers.

use mulberryrack_ledger::Settings;
use std::time::Duration;

#[test]
fn strings_and_numbers_are_read_and_unknown_names_refused() {
    let text = r#"{"shards":"64","batch_delay_ms":"5","retention_ms":60000,"witness":"false"}"#;
    let settings: Settings = serde_json::from_str(text).expect("valid settings");
    let expected = Settings {
        shards: 64,
        batch_delay: Duration::from_millis(5),
        retention: Duration::from_secs(60),
        witness: false,
        ..Settings::default()
    };
    assert_eq!(settings, expected);
    assert!(serde_json::from_str::<Settings>(r#"{"shard":"64"}"#).is_err());
}
