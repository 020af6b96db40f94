//! Answers of another host: followed by a request of this host, or sent to its followers.
//!
//! Frames may be lost, duplicated or reordered. The following host accepts only the bytes
//! at its offset, and asks again from the offset after each part and at intervals. The
//! sending host stays within a window beyond the confirmed offset.

use crate::{
    Output, Router,
    active::{self, Stage},
    kept::{KeptAnswer, RemoteFollower},
    router::Timer,
};
use mulberryrack_core::{
    Incarnation, Name, Time,
    caller::Answer,
    claim::Verdict,
    note::Counter,
    outcome::{Doubt, Outcome, Reason, Refusal},
    request::Key,
    view::Standing,
};
use mulberryrack_wire::route::{End, Follow, Frame, Head, Header, Part, end::Kind, frame::Body};
use std::{collections::BTreeMap, time::Duration};

/// Maximum number of body bytes in one frame.
const MAX_PART_BYTES: usize = 32 << 10;

/// An answer of another host that a request of this host follows.
#[derive(Debug)]
pub(crate) struct RemoteAnswer {
    host: Name,
    incarnation: Incarnation,
    request: Key,
    /// Bytes of the body that have arrived.
    offset: u64,
    head_received: bool,
}

/// Followed answers of other hosts, by the following request.
pub(crate) type RemoteAnswers = BTreeMap<Key, RemoteAnswer>;

fn encode_end(outcome: Outcome, length: u64) -> End {
    let (kind, label, retry_after) = match outcome {
        Outcome::Ran => (Kind::Ran, "", None),
        Outcome::NotRun(refusal) => (Kind::NotRun, refusal.reason.label(), refusal.retry_after),
        Outcome::Unknown(doubt) => (Kind::Unknown, doubt.label(), None),
    };
    End {
        kind: kind.into(),
        label: label.into(),
        retry_after_ms: retry_after.map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        length,
    }
}

fn decode_end(end: &End) -> Outcome {
    let reason = Reason::ALL
        .iter()
        .find(|reason| reason.label() == end.label);
    let doubt = Doubt::ALL.iter().find(|doubt| doubt.label() == end.label);
    match (Kind::try_from(end.kind), reason, doubt) {
        (Ok(Kind::Ran), _, _) => Outcome::Ran,
        (Ok(Kind::NotRun), Some(reason), _) => Outcome::NotRun(Refusal {
            reason: *reason,
            retry_after: end.retry_after_ms.map(Duration::from_millis),
        }),
        (_, _, Some(doubt)) => Outcome::Unknown(*doubt),
        _ => Outcome::Unknown(Doubt::AnswerGone),
    }
}

impl Router {
    /// Gives a request the answer that the verdict names.
    pub(crate) fn follow(&mut self, now: Time, key: Key, verdict: &Verdict, out: &mut Vec<Output>) {
        let Verdict::Join {
            holder,
            incarnation,
            request,
        } = verdict
        else {
            return;
        };
        out.push(Output::Count(Counter::Joined));
        let req = self.requests.get_mut(&key).expect("a claiming request");
        req.stage = Stage::Following;
        if *holder == self.me && *incarnation == self.incarnation {
            self.follow_local(now, key, *request, out);
            return;
        }
        if self.is_over(holder, *incarnation) {
            self.finish(now, key, Outcome::Unknown(Doubt::HostLost), out);
            return;
        }
        let followed = RemoteAnswer {
            host: holder.clone(),
            incarnation: *incarnation,
            request: *request,
            offset: 0,
            head_received: false,
        };
        self.remote_answers.insert(key, followed);
        self.send_follow(key, false, out);
        self.timers.insert((
            now + self.settings.join_ask_interval,
            Timer::RemoteAnswer(key),
        ));
    }

    /// Whether an incarnation of a host has certainly ended.
    pub(crate) fn is_over(&self, host: &str, incarnation: Incarnation) -> bool {
        if host == &*self.me {
            return incarnation != self.incarnation;
        }
        self.view.peer(host).is_some_and(|peer| {
            peer.incarnation > incarnation
                || (peer.incarnation == incarnation && peer.standing == Standing::Gone)
        })
    }

    fn send_follow(&self, key: Key, stop: bool, out: &mut Vec<Output>) {
        let Some(followed) = self.remote_answers.get(&key) else {
            return;
        };
        let follow = Follow {
            follower: key.0,
            request: followed.request.0,
            offset: followed.offset,
            stop,
        };
        out.push(Output::Frame {
            to: followed.host.clone(),
            incarnation: Some(followed.incarnation),
            frame: Frame {
                body: Some(Body::Follow(follow)),
            },
        });
    }

    pub(crate) fn on_remote_answer_timer(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        if self.remote_answers.contains_key(&key) {
            self.send_follow(key, false, out);
            self.timers.insert((
                now + self.settings.join_ask_interval,
                Timer::RemoteAnswer(key),
            ));
        }
    }

    /// Stops following an answer, when the following request ends.
    pub(crate) fn stop_following(&mut self, key: Key, out: &mut Vec<Output>) {
        self.send_follow(key, true, out);
        self.remote_answers.remove(&key);
    }

    /// Ends requests that follow answers of hosts that are gone.
    pub(crate) fn end_lost_follows(&mut self, now: Time, out: &mut Vec<Output>) {
        let lost: Vec<_> = self
            .remote_answers
            .iter()
            .filter(|(_, followed)| self.is_over(&followed.host, followed.incarnation))
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            self.finish(now, key, Outcome::Unknown(Doubt::HostLost), out);
        }
    }

    /// Handles a host that begins to follow an answer of this host, confirms a part, or
    /// stops.
    pub(crate) fn on_follow(
        &mut self,
        from: &Name,
        incarnation: Incarnation,
        follow: &Follow,
        out: &mut Vec<Output>,
    ) {
        let key = Key(follow.request);
        let Some(kept) = self.kept_answers.get_mut(key).filter(|kept| kept.body_kept) else {
            if !follow.stop {
                let gone = Part {
                    follower: follow.follower,
                    request: follow.request,
                    offset: follow.offset,
                    end: Some(encode_end(
                        Outcome::Unknown(Doubt::AnswerGone),
                        follow.offset,
                    )),
                    ..Part::default()
                };
                send_part(from, incarnation, gone, out);
            }
            return;
        };
        let found = kept.remote_followers.iter_mut().find(|remote| {
            remote.host == *from
                && remote.incarnation == incarnation
                && remote.follower == follow.follower
        });
        if follow.stop {
            kept.remote_followers.retain(|remote| {
                remote.host != *from
                    || remote.incarnation != incarnation
                    || remote.follower != follow.follower
            });
            return;
        }
        match found {
            Some(remote) => {
                // Bytes sent beyond the offset may be lost, so they are sent again.
                remote.confirmed = follow.offset;
                remote.sent = follow.offset;
            }
            None => kept.remote_followers.push(RemoteFollower {
                host: from.clone(),
                incarnation,
                follower: follow.follower,
                confirmed: follow.offset,
                sent: follow.offset,
            }),
        }
        self.send_parts(key, out);
    }

    /// Sends new parts of an answer to the hosts that follow it, within their windows.
    pub(crate) fn send_parts(&mut self, key: Key, out: &mut Vec<Output>) {
        let window = self.settings.join_window_bytes as u64;
        let Some(kept) = self.kept_answers.get_mut(key) else {
            return;
        };
        let mut remote_followers = std::mem::take(&mut kept.remote_followers);
        for remote in &mut remote_followers {
            while let Some(part) = next_part(kept, key, remote, window) {
                let last = part.data.len() < MAX_PART_BYTES;
                remote.sent += part.data.len() as u64;
                send_part(&remote.host, remote.incarnation, part, out);
                if last {
                    break;
                }
            }
        }
        kept.remote_followers = remote_followers;
    }

    /// Handles a part of a followed answer.
    pub(crate) fn on_part(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        part: Part,
        out: &mut Vec<Output>,
    ) {
        let key = Key(part.follower);
        let Some(followed) = self.remote_answers.get_mut(&key) else {
            return;
        };
        let expected = followed.host == *from
            && followed.incarnation == incarnation
            && followed.request.0 == part.request;
        if !expected {
            return;
        }
        let mut answers = Vec::new();
        if let Some(head) = part.head.filter(|_| !followed.head_received) {
            followed.head_received = true;
            answers.push(decode_head(head));
        }
        let overlap = followed.offset.saturating_sub(part.offset);
        let has_new_bytes = part.offset <= followed.offset && overlap < part.data.len() as u64;
        if has_new_bytes && followed.head_received {
            let overlap = usize::try_from(overlap).expect("less than the part's length");
            let bytes = part.data.slice(overlap..);
            followed.offset += bytes.len() as u64;
            answers.push(Answer::Chunk(bytes));
        }
        let offset = followed.offset;
        let progress = !answers.is_empty();
        for answer in &answers {
            self.forward_to_follower(now, key, answer, out);
        }
        if let Some(end) = part.end.filter(|end| end.length == offset) {
            self.finish(now, key, decode_end(&end), out);
        } else if progress {
            self.send_follow(key, false, out);
        }
    }
}

/// The next part to send to a follower; `None` if there is nothing new or the window is full.
fn next_part(kept: &KeptAnswer, key: Key, remote: &RemoteFollower, window: u64) -> Option<Part> {
    let room = (remote.confirmed + window).saturating_sub(remote.sent);
    let max_bytes = usize::try_from(room)
        .unwrap_or(MAX_PART_BYTES)
        .min(MAX_PART_BYTES);
    let data = if kept.body_kept {
        kept.slice(remote.sent, max_bytes)
    } else {
        Vec::new()
    };
    let reached = remote.sent + data.len() as u64 == kept.body_len;
    let end = if kept.body_kept {
        kept.outcome.filter(|_| reached)
    } else {
        Some(Outcome::Unknown(Doubt::AnswerGone))
    };
    let first = remote.sent == 0 && kept.head.is_some();
    if data.is_empty() && end.is_none() && !first {
        return None;
    }
    let length = if kept.body_kept {
        kept.body_len
    } else {
        remote.confirmed
    };
    Some(Part {
        follower: remote.follower,
        request: key.0,
        head: kept.head.as_ref().filter(|_| first).map(encode_head),
        offset: remote.sent,
        data: data.into(),
        end: end.map(|outcome| encode_end(outcome, length)),
    })
}

fn encode_head(head: &active::Head) -> Head {
    Head {
        status: u32::from(head.status),
        headers: head
            .headers
            .iter()
            .map(|(name, value)| Header {
                name: name.to_string(),
                value: value.to_string(),
            })
            .collect(),
    }
}

fn decode_head(head: Head) -> Answer {
    Answer::Head {
        status: u16::try_from(head.status).unwrap_or(502),
        headers: head
            .headers
            .into_iter()
            .map(|header| (header.name.into(), header.value.into()))
            .collect(),
    }
}

fn send_part(to: &Name, incarnation: Incarnation, part: Part, out: &mut Vec<Output>) {
    out.push(Output::Frame {
        to: to.clone(),
        incarnation: Some(incarnation),
        frame: Frame {
            body: Some(Body::Part(part)),
        },
    });
}
