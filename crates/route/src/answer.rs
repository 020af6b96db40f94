//! Forwarding of answers to callers, and the end of requests.

use crate::{
    Output, Router,
    active::{ActiveRequest, Event, Head, Stage},
    arrive::DEFAULT_RETRY_AFTER,
    retry::POOL_DISTRUST_PERIOD,
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
    pub(crate) fn on_attempt_event(
        &mut self,
        now: Time,
        attempt: DispatchId,
        event: upstream::Event,
        out: &mut Vec<Output>,
    ) {
        let Some(&key) = self.attempts.get(&attempt) else {
            return;
        };
        let req = self
            .requests
            .get_mut(&key)
            .expect("a dispatch belongs to a request");
        let index = req.run_index(attempt).expect("a dispatch belongs to a run");
        let run = &mut req.runs[index];
        match event {
            upstream::Event::Head { status, headers } => {
                run.last_heard = now;
                run.head_received = true;
                self.apply_event(now, key, index, &Event::Head(status), out);
                self.accept_head(now, key, attempt, Head { status, headers }, out);
            }
            upstream::Event::Chunk(bytes) => {
                run.last_heard = now;
                if run.head_received && !bytes.is_empty() {
                    run.received_bytes += bytes.len() as u64;
                    run.resumes = 0;
                    self.forward_chunk(now, key, bytes, out);
                    // The timeout between chunks may be shorter than that for the first
                    // byte.
                    self.set_timer(now, key);
                }
            }
            upstream::Event::End if run.head_received => {
                self.apply_event(now, key, index, &Event::Complete, out);
            }
            upstream::Event::End => {
                self.apply_event(now, key, index, &Event::Fault(Fault::Broken), out);
            }
            upstream::Event::Fault(fault) => {
                self.apply_event(now, key, index, &Event::Fault(fault), out);
            }
        }
    }

    /// Stores the head of a run that goes on. The first head decides a hedge: the other
    /// run is stopped.
    fn accept_head(
        &mut self,
        now: Time,
        key: Key,
        attempt: DispatchId,
        head: Head,
        out: &mut Vec<Output>,
    ) {
        let Some(req) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(index) = req.run_index(attempt) else {
            return;
        };
        // The head of a resumed stream repeats the first one, unless that was lost.
        let has_head = req.head.is_some() || req.answer_started;
        if (req.runs[index].resumed && has_head) || req.stage != Stage::Running {
            return;
        }
        req.head = Some(head);
        let winner = req.runs.swap_remove(index);
        let losers = std::mem::replace(&mut req.runs, vec![winner]);
        for run in losers {
            // The connection of the stopped run may have gone silent.
            self.upstreams.get_mut(run.upstream).pool_distrusted_until = now + POOL_DISTRUST_PERIOD;
            self.stop_run(now, run.attempt, run.upstream, true, out);
        }
    }

    /// Passes a part of the body on to the caller. The head is held back until the first
    /// part, so that another run can still replace this one.
    fn forward_chunk(&mut self, now: Time, key: Key, bytes: Bytes, out: &mut Vec<Output>) {
        self.forward_head(now, key, out);
        self.requests.get_mut(&key).expect("a known request").chunks += 1;
        self.send_answer(now, key, Answer::Chunk(bytes), out);
    }

    fn forward_head(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let req = self.requests.get_mut(&key).expect("a known request");
        let Some(head) = req.head.take() else { return };
        req.answer_started = true;
        req.first_byte_at = Some(now);
        let answer = Answer::Head {
            status: head.status,
            headers: head.headers,
        };
        self.send_answer(now, key, answer, out);
    }

    /// Sends a part of an answer to the caller and to all followers.
    fn send_answer(&mut self, now: Time, key: Key, answer: Answer, out: &mut Vec<Output>) {
        self.forward_to_followers(now, key, &answer, out);
        if self
            .requests
            .get(&key)
            .is_some_and(|req| req.caller_present)
        {
            out.push(Output::Caller {
                request: key,
                answer,
            });
        }
    }

    /// Ends a request and tells its caller the outcome.
    pub(crate) fn finish(&mut self, now: Time, key: Key, outcome: Outcome, out: &mut Vec<Output>) {
        if !self.requests.contains_key(&key) {
            return;
        }
        let outcome = self.with_retry_after(key, outcome);
        if outcome == Outcome::Ran {
            self.forward_head(now, key, out);
        }
        let answer = if self.requests[&key].answer_started {
            Answer::End(outcome)
        } else {
            Answer::Final(outcome)
        };
        self.send_answer(now, key, answer, out);
        out.push(Output::Count(match outcome {
            Outcome::Ran => Counter::Ran,
            Outcome::NotRun(refusal) => Counter::Refused(refusal.reason),
            Outcome::Unknown(doubt) => Counter::Unknown(doubt),
        }));
        let req = self.remove_request(now, key, outcome == Outcome::Ran, out);
        self.record_outcome(now, &req, outcome);
        if req.granted {
            let end = match outcome {
                Outcome::Ran if self.kept_answers.has_body(key) => End::Ran,
                Outcome::Ran => End::Forgotten,
                Outcome::NotRun(_) => End::NotSent,
                Outcome::Unknown(_) => End::Unknown,
            };
            out.push(Output::Done { request: key, end });
        }
        self.retain_answer(now, key);
        if outcome == Outcome::Ran && req.suspect {
            self.clear_suspect(now, req.fingerprint, out);
        }
    }

    /// Adds a time to retry after to refusals for which retrying can help.
    fn with_retry_after(&self, key: Key, outcome: Outcome) -> Outcome {
        let Outcome::NotRun(mut refusal) = outcome else {
            return outcome;
        };
        if refusal.retry_after.is_none() {
            refusal.retry_after = match refusal.reason {
                Reason::Deadline | Reason::Ceiling | Reason::Overload => {
                    self.refusal_with_wait(self.requests[&key].row, refusal.reason)
                        .retry_after
                }
                Reason::RetryBudget | Reason::NoUpstream | Reason::NoCopy => {
                    Some(DEFAULT_RETRY_AFTER)
                }
                _ => None,
            };
        }
        Outcome::NotRun(refusal)
    }

    /// Ends a request whose caller is gone, without an answer.
    pub(crate) fn discard_request(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let req = self.remove_request(now, key, false, out);
        if req.granted {
            out.push(Output::Done {
                request: key,
                end: End::NotSent,
            });
            self.kept_answers.discard(key);
        }
        if req.runs_started == 0 {
            out.push(Output::Count(Counter::Refused(Reason::CallerGone)));
        }
    }

    /// Removes a request from every structure. Its runs are cancelled at the upstreams
    /// unless `run_ended`.
    fn remove_request(
        &mut self,
        now: Time,
        key: Key,
        run_ended: bool,
        out: &mut Vec<Output>,
    ) -> ActiveRequest {
        self.end_isolation(now, key, out);
        match self.requests[&key].stage {
            Stage::Queued => self.dequeue(key),
            Stage::Following => self.stop_following(key, out),
            _ => {}
        }
        let req = self.requests.remove(&key).expect("a known request");
        self.body_bytes -= req.body_len();
        if let Some(timer) = req.timer {
            self.timers
                .remove(&(timer, crate::router::Timer::Request(key)));
        }
        for run in &req.runs {
            self.stop_run(now, run.attempt, run.upstream, !run_ended, out);
        }
        let row = self.rows.get_mut(req.row);
        row.stats.pending -= 1;
        if req.holds_permit {
            row.permits.release();
            self.rows_to_dispatch.insert(req.row);
            self.return_recalled_permits(now, req.row, out);
        }
        req
    }

    /// Forgets a dispatch; with `cancel`, also stops it at the upstream.
    pub(crate) fn stop_run(
        &mut self,
        now: Time,
        attempt: DispatchId,
        id: crate::upstreams::UpstreamId,
        cancel: bool,
        out: &mut Vec<Output>,
    ) {
        self.attempts.remove(&attempt);
        self.upstreams.get_mut(id).remove_attempt(now, attempt);
        self.freed_upstreams.insert(id);
        if cancel {
            out.push(Output::Cancel(attempt));
        }
    }

    fn record_outcome(&mut self, now: Time, req: &ActiveRequest, outcome: Outcome) {
        let row = self.rows.get_mut(req.row);
        match outcome {
            Outcome::Ran => {
                let Some(run) = req.runs.first() else { return };
                let first = req.first_byte_at.unwrap_or(now);
                let attained = if row.definition.kind == Kind::Service {
                    now - req.arrived <= row.definition.first_token
                } else {
                    let gaps = req.chunks.saturating_sub(1).max(1);
                    first - req.arrived <= row.definition.first_token
                        && (now - first) / gaps <= row.definition.token_gap
                };
                row.stats
                    .record_run(now - run.started, first - run.started, attained);
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => row.stats.record_attainment(false),
        }
    }
}
