//! The JSON form of the key-value service's calls and replies, compared letter for letter.

use bytes::Bytes;
use mulberryrack_core::{
    kv::{Entry, Lease, Op, Reply, Revision},
    kv_json,
};
use std::time::Duration;

fn entry() -> Entry {
    Entry {
        key: "a/b".into(),
        value: Bytes::from_static(&[0, 255, 7]),
        revision: Revision(9),
    }
}

#[test]
fn calls_have_the_documented_json_and_parse_back() {
    let cases = [
        (Op::Get { key: "k".into() }, r#"{"op":"get","key":"k"}"#),
        (
            Op::List {
                prefix: "p".into(),
                after: Some("q".into()),
                limit: 3,
            },
            r#"{"op":"list","prefix":"p","after":"q","limit":3}"#,
        ),
        (
            Op::Put {
                key: "k".into(),
                value: Bytes::from_static(b"hi"),
                expect: None,
                lease: Some(Lease(4)),
            },
            r#"{"op":"put","key":"k","value":"aGk=","expect":null,"lease":4}"#,
        ),
        (
            Op::Delete {
                key: "k".into(),
                expect: Revision(2),
            },
            r#"{"op":"delete","key":"k","expect":2}"#,
        ),
        (
            Op::Watch {
                prefix: "p".into(),
                after: Revision(2),
                wait: Duration::from_secs(5),
            },
            r#"{"op":"watch","prefix":"p","after":2,"wait_ms":5000}"#,
        ),
        (
            Op::Grant {
                ttl: Duration::from_millis(1_500),
            },
            r#"{"op":"grant","ttl_ms":1500}"#,
        ),
        (Op::Renew { lease: Lease(1) }, r#"{"op":"renew","lease":1}"#),
        (
            Op::Revoke { lease: Lease(1) },
            r#"{"op":"revoke","lease":1}"#,
        ),
    ];
    for (op, text) in cases {
        let json = serde_json::to_string(&kv_json::Op::from(op.clone())).unwrap();
        assert_eq!(json, text);
        let back: kv_json::Op = serde_json::from_str(text).unwrap();
        assert_eq!(Op::from(back), op);
    }
}

#[test]
fn replies_have_the_documented_json_and_parse_back() {
    let cases = [
        (Reply::Entry(None), r#"{"reply":"entry","entry":null}"#),
        (
            Reply::Entries {
                entries: vec![entry()],
                more: true,
                revision: Revision(10),
            },
            r#"{"reply":"entries","entries":[{"key":"a/b","value":"AP8H","revision":9}],"more":true,"revision":10}"#,
        ),
        (
            Reply::Written(Revision(3)),
            r#"{"reply":"written","revision":3}"#,
        ),
        (
            Reply::Conflict(Some(entry())),
            r#"{"reply":"conflict","entry":{"key":"a/b","value":"AP8H","revision":9}}"#,
        ),
        (
            Reply::Changes {
                entries: vec![],
                deleted: vec!["c".into()],
                revision: Revision(11),
            },
            r#"{"reply":"changes","entries":[],"deleted":["c"],"revision":11}"#,
        ),
        (Reply::Granted(Lease(8)), r#"{"reply":"granted","lease":8}"#),
        (Reply::Renewed(true), r#"{"reply":"renewed","held":true}"#),
    ];
    for (reply, text) in cases {
        let json = serde_json::to_string(&kv_json::Reply::from(reply.clone())).unwrap();
        assert_eq!(json, text);
        let back: kv_json::Reply = serde_json::from_str(text).unwrap();
        assert_eq!(Reply::from(back), reply);
    }
}
