//! Answers of granted requests, kept for resends while they run and for some time after.

use crate::{Output, Router, active::Head, router::Timer};
use bytes::Bytes;
use mulberryrack_core::{
    Incarnation, Name, Time,
    caller::Answer,
    outcome::{Doubt, Outcome},
    request::Key,
};
use std::collections::{BTreeMap, VecDeque};

/// A request of another host that follows an answer.
#[derive(Clone, Debug)]
pub(crate) struct RemoteFollower {
    pub host: Name,
    pub incarnation: Incarnation,
    /// Key of the following request on its host.
    pub follower: u64,
    /// Offset up to which the host has confirmed the body, in bytes.
    pub confirmed: u64,
    /// Offset up to which the body was sent to the host, in bytes.
    pub sent: u64,
}

/// An answer kept for resends.
#[derive(Debug, Default)]
pub(crate) struct KeptAnswer {
    pub head: Option<Head>,
    pub body: Vec<Bytes>,
    /// Length of the body so far, in bytes, even if it is not kept.
    pub body_len: u64,
    /// Set once the answer has ended.
    pub outcome: Option<Outcome>,
    /// Whether `body` contains the whole body so far; false once it exceeded the limit.
    pub body_kept: bool,
    /// Requests of this host that follow the answer.
    pub local_followers: Vec<Key>,
    pub remote_followers: Vec<RemoteFollower>,
}

impl KeptAnswer {
    /// At most `max_bytes` bytes of the body from `offset` on.
    pub fn slice(&self, offset: u64, max_bytes: usize) -> Vec<u8> {
        let mut skip = usize::try_from(offset).unwrap_or(usize::MAX);
        let mut found = Vec::new();
        for part in &self.body {
            if skip >= part.len() {
                skip -= part.len();
                continue;
            }
            let room = max_bytes - found.len();
            let rest = &part[skip..];
            found.extend_from_slice(&rest[..rest.len().min(room)]);
            skip = 0;
            if found.len() == max_bytes {
                break;
            }
        }
        found
    }
}

/// All kept answers of this host.
#[derive(Debug, Default)]
pub(crate) struct KeptAnswers {
    answers: BTreeMap<Key, KeptAnswer>,
    /// Keys of ended answers, oldest first.
    ended: VecDeque<Key>,
    /// Total size of the kept bodies.
    bytes: usize,
}

impl KeptAnswers {
    /// Starts to keep the answer of a request.
    pub fn start(&mut self, key: Key) {
        let kept = KeptAnswer {
            body_kept: true,
            ..KeptAnswer::default()
        };
        self.answers.entry(key).or_insert(kept);
    }

    pub fn get(&self, key: Key) -> Option<&KeptAnswer> {
        self.answers.get(&key)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut KeptAnswer> {
        self.answers.get_mut(&key)
    }

    /// Whether the answer's whole body so far is kept.
    pub fn has_body(&self, key: Key) -> bool {
        self.answers.get(&key).is_some_and(|kept| kept.body_kept)
    }

    pub fn discard(&mut self, key: Key) {
        if let Some(kept) = self.answers.remove(&key) {
            self.bytes -= kept.body.iter().map(Bytes::len).sum::<usize>();
        }
    }

    /// Discards an answer at the end of its `keep_period`.
    pub fn expire(&mut self, key: Key) {
        self.discard(key);
        self.ended.retain(|one| *one != key);
    }

    /// Appends a part to a kept answer. Drops its body once it is longer than `max_bytes`.
    fn record(&mut self, key: Key, answer: &Answer, max_bytes: usize) {
        let Some(kept) = self.answers.get_mut(&key) else {
            return;
        };
        match answer {
            Answer::Head { status, headers } => {
                kept.head = Some(Head {
                    status: *status,
                    headers: headers.clone(),
                });
            }
            Answer::Chunk(bytes) => {
                kept.body_len += bytes.len() as u64;
                if kept.body_len > max_bytes as u64 {
                    kept.body_kept = false;
                    self.bytes -= kept.body.drain(..).map(|part| part.len()).sum::<usize>();
                } else {
                    self.bytes += bytes.len();
                    kept.body.push(bytes.clone());
                }
            }
            Answer::End(outcome) | Answer::Final(outcome) => kept.outcome = Some(*outcome),
        }
    }

    /// Discards ended answers, oldest first, until at most `max_bytes` are kept. Answers that
    /// have not ended stay, also beyond the limit.
    fn evict(&mut self, max_bytes: usize) {
        while self.bytes > max_bytes {
            let Some(key) = self.ended.pop_front() else {
                return;
            };
            self.discard(key);
        }
    }
}

impl Router {
    /// Records a part of an answer and sends it to all followers.
    pub(crate) fn forward_to_followers(
        &mut self,
        now: Time,
        key: Key,
        answer: &Answer,
        out: &mut Vec<Output>,
    ) {
        self.kept_answers
            .record(key, answer, self.settings.max_kept_answer_bytes);
        self.kept_answers.evict(self.settings.max_kept_bytes);
        let Some(kept) = self.kept_answers.get_mut(key) else {
            return;
        };
        let local_followers = match answer {
            Answer::End(_) | Answer::Final(_) => std::mem::take(&mut kept.local_followers),
            Answer::Head { .. } | Answer::Chunk(_) => kept.local_followers.clone(),
        };
        for local in local_followers {
            self.forward_to_follower(now, local, answer, out);
        }
        self.send_parts(key, out);
    }

    /// Sends a part of a followed answer to the caller of a request of this host.
    pub(crate) fn forward_to_follower(
        &mut self,
        now: Time,
        key: Key,
        answer: &Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(req) = self.requests.get_mut(&key) else {
            return;
        };
        match answer {
            Answer::Head { .. } => req.answer_started = true,
            Answer::Chunk(_) => {}
            Answer::End(outcome) | Answer::Final(outcome) => {
                self.finish(now, key, *outcome, out);
                return;
            }
        }
        out.push(Output::Caller {
            request: key,
            answer: answer.clone(),
        });
    }

    /// Gives a request an answer of this host from its first byte on.
    pub(crate) fn follow_local(
        &mut self,
        now: Time,
        key: Key,
        followed: Key,
        out: &mut Vec<Output>,
    ) {
        let Some(kept) = self
            .kept_answers
            .get_mut(followed)
            .filter(|kept| kept.body_kept)
        else {
            self.finish(now, key, Outcome::Unknown(Doubt::AnswerGone), out);
            return;
        };
        let head = kept.head.clone();
        let body = kept.body.clone();
        let end = kept.outcome;
        if end.is_none() {
            kept.local_followers.push(key);
        }
        if let Some(Head { status, headers }) = head {
            let head = Answer::Head { status, headers };
            self.forward_to_follower(now, key, &head, out);
        }
        for part in body {
            self.forward_to_follower(now, key, &Answer::Chunk(part), out);
        }
        if let Some(outcome) = end {
            self.finish(now, key, outcome, out);
        }
    }

    /// Keeps an ended answer for `keep_period`.
    pub(crate) fn retain_answer(&mut self, now: Time, key: Key) {
        if self.kept_answers.get(key).is_none() {
            return;
        }
        self.kept_answers.ended.push_back(key);
        self.timers
            .insert((now + self.settings.keep_period, Timer::KeptAnswer(key)));
    }
}
