//! Tokens of upstreams with a limit: sends and receives the gate's messages as datagrams, and
//! gives the tokens that fall due.

use crate::{journal::journal, notices, shared::Shared};
use mulberryrack_core::{Name, Rate};
use mulberryrack_gate::{LimitNotice, To, TokenCounts, TokenMessage, UpstreamId};
use mulberryrack_throttle::{Answer, Ask, Change, Holder};
use mulberryrack_wire::plan::{self, datagram::Body, token_answer::Verdict};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// Gives tokens and tells the other hosts the limits until the process ends.
pub async fn run<D>(shared: Rc<Shared<D>>) {
    loop {
        let changed = shared.tokens_changed.notified();
        let now = shared.clock.now();
        let next = shared.gate.borrow().next_token_poll(now);
        tokio::select! {
            () = time::sleep_until(shared.clock.instant(next)) => {}
            () = changed => {}
        }
        let now = shared.clock.now();
        let has_answers = shared.gate.borrow_mut().poll_tokens(now);
        if has_answers {
            shared.changed.notify_waiters();
        }
        send_messages(&shared);
        count(&shared);
    }
}

fn count<D>(shared: &Shared<D>) {
    let TokenCounts {
        given,
        used,
        without_token,
        denied,
        silent,
    } = shared.gate.borrow_mut().take_token_counts();
    let metrics = &shared.metrics.limits;
    metrics.record_tokens("given", given);
    metrics.record_tokens("used", used);
    metrics.record_tokens("share", without_token);
    metrics.record_tokens("denied", denied);
    metrics.record_tokens("silent", silent);
}

/// Sends the messages that the gate has collected since the last call.
pub fn send_messages<D>(shared: &Shared<D>) {
    let messages = shared.gate.borrow_mut().take_token_messages();
    for (to, message) in messages {
        let body = encode(message);
        match to {
            To::All => notices::broadcast(shared, body),
            To::Host(host) => notices::send_to_host(shared, &host, body),
        }
    }
}

/// Handles a message of another host, and wakes the requests that it concerns.
pub fn receive<D>(shared: &Shared<D>, message: TokenMessage, told_by: &str) {
    let now = shared.clock.now();
    let is_answer = matches!(message, TokenMessage::Answer { .. });
    let changes = {
        let mut gate = shared.gate.borrow_mut();
        gate.receive_token_message(now, message)
    };
    send_messages(shared);
    for (id, change) in changes {
        record_change(shared, id, change, told_by);
    }
    if is_answer {
        shared.changed.notify_waiters();
    } else {
        shared.tokens_changed.notify_one();
    }
}

/// Logs that a limit has begun, changed or ended, and tells those who are concerned.
pub fn record_change<D>(shared: &Shared<D>, id: UpstreamId, change: Change, told_by: &str) {
    let label = |limit: Option<Rate>| limit.map_or_else(|| "none".to_owned(), |it| it.to_string());
    let gate = shared.gate.borrow();
    journal!(
        info,
        "upstream-limit",
        upstream = gate.name(id),
        from = label(change.from),
        to = label(change.to),
        giver = gate.token_giver(id).map_or("-", |it| it),
        told_by = told_by,
    );
    let limited = i64::try_from(gate.limited_count()).unwrap_or(i64::MAX);
    shared.metrics.limits.upstreams.set(limited);
    drop(gate);
    shared.changed.notify_waiters();
    shared.tokens_changed.notify_one();
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn encode_limit(notice: &LimitNotice) -> plan::Limit {
    plan::Limit {
        upstream: notice.upstream.to_string(),
        incarnation: notice.incarnation,
        millis: notice.limit.map(Rate::as_millis),
        sent_age_ms: millis(notice.sent_age),
        heard_age_ms: millis(notice.heard_age),
    }
}

fn decode_limit(limit: plan::Limit) -> LimitNotice {
    LimitNotice {
        upstream: limit.upstream.into(),
        incarnation: limit.incarnation,
        limit: limit.millis.map(Rate::from_millis),
        sent_age: Duration::from_millis(limit.sent_age_ms.into()),
        heard_age: Duration::from_millis(limit.heard_age_ms.into()),
    }
}

fn encode(message: TokenMessage) -> Body {
    match message {
        TokenMessage::Limits(notices) => Body::Limits(plan::Limits {
            limits: notices.iter().map(encode_limit).collect(),
        }),
        TokenMessage::Ask { limit, ask } => Body::TokenAsk(plan::TokenAsk {
            host: ask.holder.host.to_string(),
            number: ask.holder.number,
            limit: Some(encode_limit(&limit)),
            rank: ask.rank.into(),
            patience_ms: millis(ask.patience),
        }),
        TokenMessage::Answer {
            giver,
            upstream,
            number,
            answer,
        } => {
            let (verdict, wait) = match answer {
                Answer::Elsewhere => (Verdict::Elsewhere, Duration::ZERO),
                Answer::Granted => (Verdict::Granted, Duration::ZERO),
                Answer::Queued(wait) => (Verdict::Queued, wait),
                Answer::Denied(wait) => (Verdict::Denied, wait),
            };
            Body::TokenAnswer(plan::TokenAnswer {
                host: giver.to_string(),
                upstream: upstream.to_string(),
                number,
                verdict: verdict.into(),
                wait_ms: millis(wait),
            })
        }
        TokenMessage::Return { upstream, holder } => Body::TokenReturn(plan::TokenReturn {
            host: holder.host.to_string(),
            number: holder.number,
            upstream: upstream.to_string(),
        }),
    }
}

/// The message in an ask; `None` if it lacks the limit.
pub fn decode_ask(message: plan::TokenAsk) -> Option<TokenMessage> {
    let holder = Holder {
        host: message.host.into(),
        number: message.number,
    };
    Some(TokenMessage::Ask {
        limit: decode_limit(message.limit?),
        ask: Ask {
            holder,
            rank: u8::try_from(message.rank).unwrap_or(u8::MAX),
            patience: Duration::from_millis(message.patience_ms.into()),
        },
    })
}

/// The message that tells limits.
pub fn decode_limits(message: plan::Limits) -> TokenMessage {
    TokenMessage::Limits(message.limits.into_iter().map(decode_limit).collect())
}

/// The message in an answer. One that only later versions of the program know says that tokens
/// are given elsewhere.
pub fn decode_answer(message: plan::TokenAnswer) -> TokenMessage {
    let wait = Duration::from_millis(message.wait_ms.into());
    let answer = match message.verdict() {
        Verdict::Elsewhere => Answer::Elsewhere,
        Verdict::Granted => Answer::Granted,
        Verdict::Queued => Answer::Queued(wait),
        Verdict::Denied => Answer::Denied(wait),
    };
    TokenMessage::Answer {
        giver: message.host.into(),
        upstream: message.upstream.into(),
        number: message.number,
        answer,
    }
}

/// The message that gives a token back.
pub fn decode_return(message: plan::TokenReturn) -> TokenMessage {
    let host: Name = message.host.into();
    TokenMessage::Return {
        upstream: message.upstream.into(),
        holder: Holder {
            host,
            number: message.number,
        },
    }
}
