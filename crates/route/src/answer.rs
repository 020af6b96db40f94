//! From an upstream's answer to the caller, and the end of a request.

use crate::{
    Output, Router,
    arrive::COME_BACK,
    life::{Event, Head, Life, Stage},
    retry::DISTRUST,
};
use bytes::Bytes;
use mulberryrack_core::{
    Time,
    caller::Answer,
    claim::End,
    note::Counter,
    outcome::{Outcome, Reason},
    request::Key,
    upstream::{self, DispatchId, Fault},
};
use mulberryrack_table::Kind;

impl Router {
    pub(crate) fn on_attempt(
        &mut self,
        now: Time,
        attempt: DispatchId,
        event: upstream::Event,
        out: &mut Vec<Output>,
    ) {
        let Some(&key) = self.attempts.get(&attempt) else {
            return;
        };
        let life = self.lives.get_mut(&key).expect("an attempt has a request");
        let index = life.run(attempt).expect("an attempt has a run");
        let run = &mut life.runs[index];
        match event {
            upstream::Event::Head { status, headers } => {
                run.heard = now;
                run.open = true;
                self.step(now, key, index, &Event::Head(status), out);
                self.accept_head(now, key, attempt, Head { status, headers }, out);
            }
            upstream::Event::Chunk(bytes) => {
                run.heard = now;
                if run.open && !bytes.is_empty() {
                    run.received += bytes.len() as u64;
                    run.resumes = 0;
                    self.deliver(now, key, bytes, out);
                    // The bound between chunks may be shorter than that on the first.
                    self.arm(now, key);
                }
            }
            upstream::Event::End if run.open => {
                self.step(now, key, index, &Event::Complete, out);
            }
            upstream::Event::End => {
                self.step(now, key, index, &Event::Fault(Fault::Broken), out);
            }
            upstream::Event::Fault(fault) => {
                self.step(now, key, index, &Event::Fault(fault), out);
            }
        }
    }

    /// Takes the head of a run that goes on: the first one wins over a hedge.
    fn accept_head(
        &mut self,
        now: Time,
        key: Key,
        attempt: DispatchId,
        head: Head,
        out: &mut Vec<Output>,
    ) {
        let Some(life) = self.lives.get_mut(&key) else {
            return;
        };
        let Some(index) = life.run(attempt) else {
            return;
        };
        if life.runs[index].resumed || life.stage != Stage::Running {
            return;
        }
        life.head = Some(head);
        let winner = life.runs.swap_remove(index);
        let losers = std::mem::replace(&mut life.runs, vec![winner]);
        for run in losers {
            // Its connection may have gone silent.
            self.upstreams.get_mut(run.upstream).distrust = now + DISTRUST;
            self.stop_run(now, run.attempt, run.upstream, true, out);
        }
    }

    /// Gives the caller a part of the body. The head goes with the first part, so that
    /// until then another run can still take this one's place.
    fn deliver(&mut self, now: Time, key: Key, bytes: Bytes, out: &mut Vec<Output>) {
        self.give_head(now, key, out);
        self.lives.get_mut(&key).expect("a known request").chunks += 1;
        self.tell(now, key, Answer::Chunk(bytes), out);
    }

    fn give_head(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let life = self.lives.get_mut(&key).expect("a known request");
        let Some(head) = life.head.take() else { return };
        life.given = true;
        life.first_byte = Some(now);
        let answer = Answer::Head {
            status: head.status,
            headers: head.headers,
        };
        self.tell(now, key, answer, out);
    }

    /// Tells the caller and everyone who follows the answer.
    fn tell(&mut self, now: Time, key: Key, answer: Answer, out: &mut Vec<Output>) {
        self.tell_followers(now, key, &answer, out);
        if self.lives.get(&key).is_some_and(|life| life.caller) {
            out.push(Output::Caller {
                request: key,
                answer,
            });
        }
    }

    /// Ends a request with what the caller is told.
    pub(crate) fn finish(&mut self, now: Time, key: Key, outcome: Outcome, out: &mut Vec<Output>) {
        if !self.lives.contains_key(&key) {
            return;
        }
        let outcome = self.with_return(key, outcome);
        if outcome == Outcome::Ran {
            self.give_head(now, key, out);
        }
        let answer = if self.lives[&key].given {
            Answer::End(outcome)
        } else {
            Answer::Final(outcome)
        };
        self.tell(now, key, answer, out);
        out.push(Output::Count(match outcome {
            Outcome::Ran => Counter::Ran,
            Outcome::NotRun(refusal) => Counter::Refused(refusal.reason),
            Outcome::Unknown(doubt) => Counter::Unknown(doubt),
        }));
        let life = self.remove(now, key, outcome == Outcome::Ran, out);
        self.measure(now, &life, outcome);
        if life.granted {
            let end = match outcome {
                Outcome::Ran if self.keeper.has(key) => End::Ran,
                Outcome::Ran => End::Forgotten,
                Outcome::NotRun(_) => End::NotSent,
                Outcome::Unknown(_) => End::Unknown,
            };
            out.push(Output::Done { request: key, end });
        }
        self.keep(now, key);
        if outcome == Outcome::Ran && life.suspect {
            self.clear_suspect(now, life.fingerprint, out);
        }
    }

    /// Adds a time to come back to refusals where coming back helps.
    fn with_return(&self, key: Key, outcome: Outcome) -> Outcome {
        let Outcome::NotRun(mut refusal) = outcome else {
            return outcome;
        };
        if refusal.retry_after.is_none() {
            refusal.retry_after = match refusal.reason {
                Reason::Deadline | Reason::Ceiling | Reason::Overload => {
                    self.come_back(self.lives[&key].row, refusal.reason)
                        .retry_after
                }
                Reason::RetryBudget | Reason::NoUpstream | Reason::NoCopy => Some(COME_BACK),
                _ => None,
            };
        }
        Outcome::NotRun(refusal)
    }

    /// Ends a request of which nobody wants to hear.
    pub(crate) fn drop_life(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let life = self.remove(now, key, false, out);
        if life.granted {
            out.push(Output::Done {
                request: key,
                end: End::NotSent,
            });
            self.keeper.discard(key);
        }
        if life.tries == 0 {
            out.push(Output::Count(Counter::Refused(Reason::CallerGone)));
        }
    }

    /// Takes a request out of every structure; `whole` tells whether its run has ended.
    fn remove(&mut self, now: Time, key: Key, whole: bool, out: &mut Vec<Output>) -> Life {
        self.end_isolation(now, key, out);
        match self.lives[&key].stage {
            Stage::Waiting => self.dequeue(key),
            Stage::Following => self.unfollow(key, out),
            _ => {}
        }
        let life = self.lives.remove(&key).expect("a known request");
        self.bytes -= life.bytes();
        if let Some(timer) = life.timer {
            self.timers
                .remove(&(timer, crate::router::Timer::Life(key)));
        }
        for run in &life.runs {
            self.stop_run(now, run.attempt, run.upstream, !whole, out);
        }
        let row = self.rows.get_mut(life.row);
        row.figures.pending -= 1;
        if life.permit {
            row.permits.release();
            self.ready.insert(life.row);
            self.give_back(now, life.row, out);
        }
        life
    }

    /// Forgets an attempt, and stops it at the upstream if it has not ended by itself.
    pub(crate) fn stop_run(
        &mut self,
        now: Time,
        attempt: DispatchId,
        id: crate::upstreams::UpstreamId,
        cancel: bool,
        out: &mut Vec<Output>,
    ) {
        self.attempts.remove(&attempt);
        self.upstreams.get_mut(id).stop(now, attempt);
        self.freed.insert(id);
        if cancel {
            out.push(Output::Cancel(attempt));
        }
    }

    fn measure(&mut self, now: Time, life: &Life, outcome: Outcome) {
        let row = self.rows.get_mut(life.row);
        match outcome {
            Outcome::Ran => {
                let Some(run) = life.runs.first() else { return };
                let first = life.first_byte.unwrap_or(now);
                let attained = if row.line.kind == Kind::Service {
                    now - life.arrived <= row.line.first_token
                } else {
                    let gaps = life.chunks.saturating_sub(1).max(1);
                    first - life.arrived <= row.line.first_token
                        && (now - first) / gaps <= row.line.token_gap
                };
                row.figures
                    .ran(now - run.started, first - run.started, attained);
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => row.figures.missed(false),
        }
    }
}
