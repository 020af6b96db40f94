//! Merging of pages and changes, compared with the service itself.

use mulberryrack_core::kv::{Entry, Revision};
use mulberryrack_replica::Fill;
use std::{collections::BTreeMap, sync::Arc};

fn entry(key: &str, revision: u64) -> Entry {
    Entry {
        key: key.into(),
        value: revision.to_string().into_bytes().into(),
        revision: Revision(revision),
    }
}

fn keys(entries: &[Entry]) -> Vec<&str> {
    entries.iter().map(|entry| &*entry.key).collect()
}

#[test]
fn entry_of_a_page_that_was_read_before_its_change_does_not_come_back() {
    let mut fill = Fill::new();
    fill.record_page(vec![entry("a", 1)]);
    assert_eq!(keys(&fill.record_written(vec![entry("b", 7)])), ["b"]);
    let applied = fill.record_page(vec![entry("b", 3), entry("c", 4)]);
    assert_eq!(keys(&applied), ["c"]);
}

#[test]
fn entry_that_was_deleted_meanwhile_does_not_come_back() {
    let mut fill = Fill::new();
    let deleted = fill.record_deleted(vec!["b".into()], Revision(9));
    assert_eq!(deleted, [Arc::from("b")]);
    assert!(fill.record_page(vec![entry("b", 3)]).is_empty());
    assert!(fill.into_keys().is_empty());
}

#[test]
fn entry_that_was_written_again_after_it_was_deleted_counts() {
    let mut fill = Fill::new();
    fill.record_deleted(vec!["b".into()], Revision(9));
    assert_eq!(keys(&fill.record_page(vec![entry("b", 12)])), ["b"]);
    let late = fill.record_deleted(vec!["b".into()], Revision(11));
    assert!(late.is_empty());
}

#[test]
fn page_continues_after_the_last_key_that_was_listed() {
    let mut fill = Fill::new();
    assert_eq!(fill.cursor(), None);
    fill.record_page(vec![entry("a", 1), entry("b", 2)]);
    fill.record_written(vec![entry("z", 3)]);
    assert_eq!(fill.cursor(), Some(&"b".into()));
}

/// A service whose keys change while it is listed and followed, with a fixed sequence of steps.
#[test]
fn copy_is_that_of_the_service_whenever_pages_and_changes_arrive() {
    let mut random = 1u64;
    let mut draw = |below: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % below
    };
    let mut compared = 0;
    for _ in 0..2_000 {
        let mut revision = 1;
        let mut service: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let mut changes: Vec<(u64, Arc<str>, bool)> = Vec::new();
        let (mut fill, mut copy) = (Fill::new(), BTreeMap::new());
        let mut followed = None;
        let mut listed = false;
        // A page and an answer to a watch that were made, and have not arrived.
        let mut page: Option<(Vec<Entry>, bool)> = None;
        let mut answer: Option<(Vec<Entry>, Vec<Arc<str>>, u64)> = None;
        for step in 0..200 {
            let key: Arc<str> = format!("k{}", draw(12)).into();
            match draw(6) {
                0 | 1 if step < 120 => {
                    revision += 1;
                    service.insert(key.clone(), revision);
                    changes.push((revision, key, true));
                }
                2 if step < 120 && service.remove(&key).is_some() => {
                    revision += 1;
                    changes.push((revision, key, false));
                }
                3 if page.is_none() && !listed => {
                    let after = fill.cursor().cloned();
                    let is_next = |key: &Arc<str>| after.as_ref().is_none_or(|after| key > after);
                    let next: Vec<Entry> = service
                        .iter()
                        .filter(|(key, _)| is_next(key))
                        .map(|(key, revision)| entry(key, *revision))
                        .collect();
                    let more = next.len() > 3;
                    page = Some((next.into_iter().take(3).collect(), more));
                    followed = followed.or(Some(revision));
                }
                4 => {
                    if let Some((entries, more)) = page.take() {
                        for entry in fill.record_page(entries) {
                            copy.insert(entry.key, entry.revision.0);
                        }
                        listed = !more;
                    }
                }
                5 if answer.is_none() => {
                    let Some(after) = followed else { continue };
                    let since = changes.iter().filter(|(at, ..)| *at > after);
                    let mut newest = BTreeMap::new();
                    newest.extend(since.map(|(at, key, exists)| (key.clone(), (*at, *exists))));
                    let written = newest.iter().filter(|(_, (_, exists))| *exists);
                    let written = written.map(|(key, (at, _))| entry(key, *at)).collect();
                    let deleted = newest.iter().filter(|(_, (_, exists))| !*exists);
                    let deleted = deleted.map(|(key, _)| key.clone()).collect();
                    answer = Some((written, deleted, revision));
                }
                _ => {
                    let Some((written, deleted, at)) = answer.take() else {
                        continue;
                    };
                    for entry in fill.record_written(written) {
                        copy.insert(entry.key, entry.revision.0);
                    }
                    for key in fill.record_deleted(deleted, Revision(at)) {
                        copy.remove(&key);
                    }
                    followed = Some(at);
                }
            }
        }
        if listed && followed == Some(revision) && page.is_none() && answer.is_none() {
            compared += 1;
            assert_eq!(copy, service);
            let keys: Vec<Arc<str>> = service.into_keys().collect();
            assert_eq!(fill.into_keys().into_iter().collect::<Vec<_>>(), keys);
        }
    }
    assert!(compared > 500, "{compared}");
}
