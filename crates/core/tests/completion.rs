//! Parsing of completion and chat completion bodies, and hashes of prompt prefixes.

use mulberryrack_core::{
    completion::{CHAT_PATH, Completion, Malformed, PATH},
    hash::{PREFIX_BLOCK_BYTES, prefix_blocks},
};

#[test]
fn completions_and_chat_completions_are_parsed() {
    let body = br#"{"model":"m","prompt":"hello","max_tokens":7,"stream":true,"top_p":1}"#;
    let text = Completion::read("/v1/completions?x=1", body).unwrap();
    assert_eq!((&*text.model, &*text.prompt), ("m", "hello"));
    assert_eq!((text.chat, text.stream, text.max_tokens), (false, true, 7));

    let body = br#"{"model":"m","messages":[{"role":"system","content":"brief"},
        {"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}"#;
    let chat = Completion::read(CHAT_PATH, body).unwrap();
    assert_eq!(&*chat.prompt, "system: brief\nuser: ab\n");
    assert_eq!((chat.chat, chat.stream, chat.max_tokens), (true, false, 64));
}

#[test]
fn malformed_bodies_are_rejected() {
    assert_eq!(Completion::read("/v1/models", b"{}"), Err(Malformed::Path));
    let bodies: [&[u8]; 5] = [
        b"",
        b"[]",
        b"{\"model\":\"m\"}",
        b"{\"prompt\":\"p\"}",
        b"{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":-1}",
    ];
    for body in bodies {
        let read = Completion::read(PATH, body);
        assert!(matches!(read, Err(Malformed::Json(_))), "{read:?}");
    }
}

#[test]
fn a_block_hash_depends_on_the_model_and_all_earlier_blocks() {
    let one = "a".repeat(PREFIX_BLOCK_BYTES) + &"b".repeat(PREFIX_BLOCK_BYTES) + "rest";
    let other = "c".repeat(PREFIX_BLOCK_BYTES) + &"b".repeat(PREFIX_BLOCK_BYTES);
    assert_eq!(prefix_blocks("m", &one).len(), 2);
    assert_eq!(
        prefix_blocks("m", &one)[..1],
        prefix_blocks("m", &one[..PREFIX_BLOCK_BYTES])
    );
    assert_ne!(prefix_blocks("m", &one)[1], prefix_blocks("m", &other)[1]);
    assert_ne!(prefix_blocks("m", &one), prefix_blocks("n", &one));
}
