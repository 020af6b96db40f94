//! Answers that run on another host: asked for from an offset, confirmed, asked again.
//!
//! Frames may be lost, doubled or come out of order. The follower takes only the bytes
//! that come next and asks again from its offset after each part and after each pause;
//! the holder sends no more than a window beyond what was confirmed.

use crate::{
    Output, Router,
    kept::{Kept, Remote},
    life::{self, Stage},
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

/// Most bytes of a body in one frame.
const PART: usize = 32 << 10;

/// A request of this host that follows an answer of another host.
#[derive(Debug)]
pub(crate) struct Join {
    holder: Name,
    incarnation: Incarnation,
    request: Key,
    /// Bytes that have arrived.
    offset: u64,
    headed: bool,
}

/// All followed answers of other hosts, by the following request.
pub(crate) type Joins = BTreeMap<Key, Join>;

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
    /// Gives a request the answer that the ledger names.
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
        let life = self.lives.get_mut(&key).expect("a claiming request");
        life.stage = Stage::Following;
        if *holder == self.me && *incarnation == self.incarnation {
            self.follow_here(now, key, *request, out);
            return;
        }
        if self.ended(holder, *incarnation) {
            self.finish(now, key, Outcome::Unknown(Doubt::HostLost), out);
            return;
        }
        let join = Join {
            holder: holder.clone(),
            incarnation: *incarnation,
            request: *request,
            offset: 0,
            headed: false,
        };
        self.joins.insert(key, join);
        self.ask(key, false, out);
        self.timers
            .insert((now + self.settings.join_ask, Timer::Join(key)));
    }

    /// Whether a host's life is certainly over.
    pub(crate) fn ended(&self, host: &str, incarnation: Incarnation) -> bool {
        if host == &*self.me {
            return incarnation != self.incarnation;
        }
        self.view.peer(host).is_some_and(|peer| {
            peer.incarnation > incarnation
                || (peer.incarnation == incarnation && peer.standing == Standing::Gone)
        })
    }

    fn ask(&self, key: Key, stop: bool, out: &mut Vec<Output>) {
        let Some(join) = self.joins.get(&key) else {
            return;
        };
        let follow = Follow {
            follower: key.0,
            request: join.request.0,
            offset: join.offset,
            stop,
        };
        out.push(Output::Frame {
            to: join.holder.clone(),
            incarnation: Some(join.incarnation),
            frame: Frame {
                body: Some(Body::Follow(follow)),
            },
        });
    }

    pub(crate) fn on_join_timer(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        if self.joins.contains_key(&key) {
            self.ask(key, false, out);
            self.timers
                .insert((now + self.settings.join_ask, Timer::Join(key)));
        }
    }

    /// Stops following, at the end of the following request.
    pub(crate) fn unfollow(&mut self, key: Key, out: &mut Vec<Output>) {
        self.ask(key, true, out);
        self.joins.remove(&key);
    }

    /// Ends what follows hosts that are gone, and forgets followers on them.
    pub(crate) fn follow_view(&mut self, now: Time, out: &mut Vec<Output>) {
        let lost: Vec<_> = self
            .joins
            .iter()
            .filter(|(_, join)| self.ended(&join.holder, join.incarnation))
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            self.finish(now, key, Outcome::Unknown(Doubt::HostLost), out);
        }
    }

    /// Another host follows an answer of this one, or confirms a part of it.
    pub(crate) fn on_follow(
        &mut self,
        from: &Name,
        incarnation: Incarnation,
        follow: &Follow,
        out: &mut Vec<Output>,
    ) {
        let key = Key(follow.request);
        let Some(kept) = self.keeper.get_mut(key).filter(|kept| kept.whole) else {
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
        let found = kept.remotes.iter_mut().find(|remote| {
            remote.host == *from
                && remote.incarnation == incarnation
                && remote.follower == follow.follower
        });
        if follow.stop {
            kept.remotes.retain(|remote| {
                remote.host != *from
                    || remote.incarnation != incarnation
                    || remote.follower != follow.follower
            });
            return;
        }
        match found {
            Some(remote) => {
                // What was sent beyond the offset may be lost.
                remote.confirmed = follow.offset;
                remote.sent = follow.offset;
            }
            None => kept.remotes.push(Remote {
                host: from.clone(),
                incarnation,
                follower: follow.follower,
                confirmed: follow.offset,
                sent: follow.offset,
            }),
        }
        self.push_parts(key, out);
    }

    /// Sends the followers of an answer what is new to them, inside their windows.
    pub(crate) fn push_parts(&mut self, key: Key, out: &mut Vec<Output>) {
        let window = self.settings.join_window as u64;
        let Some(kept) = self.keeper.get_mut(key) else {
            return;
        };
        let mut remotes = std::mem::take(&mut kept.remotes);
        for remote in &mut remotes {
            while let Some(part) = next_part(kept, key, remote, window) {
                let last = part.data.len() < PART;
                remote.sent += part.data.len() as u64;
                send_part(&remote.host, remote.incarnation, part, out);
                if last {
                    break;
                }
            }
        }
        kept.remotes = remotes;
    }

    /// A part of a followed answer has come.
    pub(crate) fn on_part(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        part: Part,
        out: &mut Vec<Output>,
    ) {
        let key = Key(part.follower);
        let Some(join) = self.joins.get_mut(&key) else {
            return;
        };
        let expected = join.holder == *from
            && join.incarnation == incarnation
            && join.request.0 == part.request;
        if !expected {
            return;
        }
        let mut answers = Vec::new();
        if let Some(head) = part.head.filter(|_| !join.headed) {
            join.headed = true;
            answers.push(decode_head(head));
        }
        let known = join.offset.saturating_sub(part.offset);
        let fresh = part.offset <= join.offset && known < part.data.len() as u64;
        if fresh && join.headed {
            let known = usize::try_from(known).expect("less than the part's length");
            let bytes = part.data.slice(known..);
            join.offset += bytes.len() as u64;
            answers.push(Answer::Chunk(bytes));
        }
        let offset = join.offset;
        let progress = !answers.is_empty();
        for answer in &answers {
            self.give_follower(now, key, answer, out);
        }
        if let Some(end) = part.end.filter(|end| end.length == offset) {
            self.finish(now, key, decode_end(&end), out);
        } else if progress {
            self.ask(key, false, out);
        }
    }
}

fn next_part(kept: &Kept, key: Key, remote: &Remote, window: u64) -> Option<Part> {
    let open = (remote.confirmed + window).saturating_sub(remote.sent);
    let most = usize::try_from(open).unwrap_or(PART).min(PART);
    let data = if kept.whole {
        kept.slice(remote.sent, most)
    } else {
        Vec::new()
    };
    let reached = remote.sent + data.len() as u64 == kept.len;
    let end = if kept.whole {
        kept.end.filter(|_| reached)
    } else {
        Some(Outcome::Unknown(Doubt::AnswerGone))
    };
    let first = remote.sent == 0 && kept.head.is_some();
    if data.is_empty() && end.is_none() && !first {
        return None;
    }
    let length = if kept.whole {
        kept.len
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

fn encode_head(head: &life::Head) -> Head {
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
