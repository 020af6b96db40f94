//! Answers of granted requests, kept for resends while they run and for a time after.

use crate::{Output, Router, life::Head, router::Timer};
use bytes::Bytes;
use mulberryrack_core::{
    Incarnation, Name, Time,
    caller::Answer,
    outcome::{Doubt, Outcome},
    request::Key,
};
use std::collections::{BTreeMap, VecDeque};

/// A host that follows an answer.
#[derive(Clone, Debug)]
pub(crate) struct Remote {
    pub host: Name,
    pub incarnation: Incarnation,
    /// The following request, on that host.
    pub follower: u64,
    /// Bytes that it has confirmed.
    pub confirmed: u64,
    /// Bytes sent to it.
    pub sent: u64,
}

/// One answer.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    pub head: Option<Head>,
    pub body: Vec<Bytes>,
    /// Bytes of the body so far.
    pub len: u64,
    pub end: Option<Outcome>,
    /// Whether `body` has all of the body so far.
    pub whole: bool,
    /// Requests of this host that follow it.
    pub locals: Vec<Key>,
    pub remotes: Vec<Remote>,
}

impl Kept {
    /// At most `most` bytes of the body from an offset on.
    pub fn slice(&self, offset: u64, most: usize) -> Vec<u8> {
        let mut skip = usize::try_from(offset).unwrap_or(usize::MAX);
        let mut found = Vec::new();
        for part in &self.body {
            if skip >= part.len() {
                skip -= part.len();
                continue;
            }
            let room = most - found.len();
            let rest = &part[skip..];
            found.extend_from_slice(&rest[..rest.len().min(room)]);
            skip = 0;
            if found.len() == most {
                break;
            }
        }
        found
    }
}

/// All kept answers of this host.
#[derive(Debug, Default)]
pub(crate) struct Keeper {
    answers: BTreeMap<Key, Kept>,
    /// Ended answers, oldest first.
    ended: VecDeque<Key>,
    /// Bytes of all bodies.
    bytes: usize,
}

impl Keeper {
    /// Starts to keep a request's answer.
    pub fn open(&mut self, key: Key) {
        let kept = Kept {
            whole: true,
            ..Kept::default()
        };
        self.answers.entry(key).or_insert(kept);
    }

    pub fn get(&self, key: Key) -> Option<&Kept> {
        self.answers.get(&key)
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut Kept> {
        self.answers.get_mut(&key)
    }

    /// Whether the whole answer is to be had.
    pub fn has(&self, key: Key) -> bool {
        self.answers.get(&key).is_some_and(|kept| kept.whole)
    }

    pub fn discard(&mut self, key: Key) {
        if let Some(kept) = self.answers.remove(&key) {
            self.bytes -= kept.body.iter().map(Bytes::len).sum::<usize>();
        }
    }

    /// Discards an answer whose time is over.
    pub fn expire(&mut self, key: Key) {
        self.discard(key);
        self.ended.retain(|one| *one != key);
    }

    /// Takes a part of an answer, inside the bound on a single one.
    fn take(&mut self, key: Key, answer: &Answer, most: usize) {
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
                kept.len += bytes.len() as u64;
                if kept.len > most as u64 {
                    kept.whole = false;
                    self.bytes -= kept.body.drain(..).map(|part| part.len()).sum::<usize>();
                } else {
                    self.bytes += bytes.len();
                    kept.body.push(bytes.clone());
                }
            }
            Answer::End(outcome) | Answer::Final(outcome) => kept.end = Some(*outcome),
        }
    }

    /// Makes room: the answers that ended first go first.
    fn trim(&mut self, most: usize) {
        while self.bytes > most {
            let Some(key) = self.ended.pop_front() else {
                return;
            };
            self.discard(key);
        }
    }
}

impl Router {
    /// Passes a part of an answer on to everyone who follows it.
    pub(crate) fn tell_followers(
        &mut self,
        now: Time,
        key: Key,
        answer: &Answer,
        out: &mut Vec<Output>,
    ) {
        self.keeper
            .take(key, answer, self.settings.keep_answer_bytes);
        self.keeper.trim(self.settings.keep_bytes);
        let Some(kept) = self.keeper.get_mut(key) else {
            return;
        };
        let locals = match answer {
            Answer::End(_) | Answer::Final(_) => std::mem::take(&mut kept.locals),
            Answer::Head { .. } | Answer::Chunk(_) => kept.locals.clone(),
        };
        for local in locals {
            self.give_follower(now, local, answer, out);
        }
        self.push_parts(key, out);
    }

    /// Gives a following request of this host a part of the answer that it follows.
    pub(crate) fn give_follower(
        &mut self,
        now: Time,
        key: Key,
        answer: &Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(life) = self.lives.get_mut(&key) else {
            return;
        };
        match answer {
            Answer::Head { .. } => life.given = true,
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

    /// Attaches a request to an answer of this host, from its first byte on.
    pub(crate) fn follow_here(&mut self, now: Time, key: Key, holder: Key, out: &mut Vec<Output>) {
        let Some(kept) = self.keeper.get_mut(holder).filter(|kept| kept.whole) else {
            self.finish(now, key, Outcome::Unknown(Doubt::AnswerGone), out);
            return;
        };
        let head = kept.head.clone();
        let body = kept.body.clone();
        let end = kept.end;
        if end.is_none() {
            kept.locals.push(key);
        }
        if let Some(Head { status, headers }) = head {
            let head = Answer::Head { status, headers };
            self.give_follower(now, key, &head, out);
        }
        for part in body {
            self.give_follower(now, key, &Answer::Chunk(part), out);
        }
        if let Some(outcome) = end {
            self.finish(now, key, outcome, out);
        }
    }

    /// Keeps an ended answer for its time.
    pub(crate) fn keep(&mut self, now: Time, key: Key) {
        if self.keeper.get(key).is_none() {
            return;
        }
        self.keeper.ended.push_back(key);
        self.timers
            .insert((now + self.settings.keep, Timer::Kept(key)));
    }
}
