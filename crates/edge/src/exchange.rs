//! Takes one request from its admission to its final answer: dispatches it to upstreams as
//! the gate decides, and relays the answer to the caller. Start reading at [`run`].
//!
//! `dispatch` sends the request to one upstream and reads the head of its `answer`, while `silence`
//! bounds the wait; `whole` and `stream` relay the answer to the `recipient`. `record` and `ending` tell
//! the gate, the metrics and the log; `refusal` has the answers that the host makes up itself.

mod answer;
mod dispatch;
mod ending;
mod recipient;
mod record;
mod refusal;
mod silence;
mod stream;
mod whole;

pub use recipient::Recipient;

use crate::{
    admission,
    arrival::Arrival,
    crashes,
    holdings::HeldBytes,
    notices,
    peers::{self, PlannerLink},
    permits,
    shared::Shared,
    tokens,
    usage::Charge,
};
use bytes::Bytes;
use http::{Response, request, response};
use mulberryrack_core::{Time, outcome::Retry};
use mulberryrack_gate::{Decision, Ending, RequestState, Target};
use mulberryrack_site::Dialect;
use record::BodyRead;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};

/// Longest wait before a request that waits for a placement is decided on again.
const PLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// A part of an answer to a caller.
pub enum Part {
    /// A whole answer; no other part follows.
    Whole(Response<HeldBytes>),
    /// The head of a stream.
    Head(Box<response::Parts>),
    /// Bytes of a stream.
    Data(HeldBytes),
    /// The stream is complete.
    End,
}

/// What the end of one dispatch means for the request.
enum DispatchEnd {
    /// The caller has its final answer or has gone away.
    Finished(Ending),
    /// The request may be dispatched again, for this reason.
    Retryable(Ending, Retry),
    /// The upstream answered with an error. The request may be dispatched again; if no
    /// other answer comes, the caller gets this one.
    ErrorAnswer(Response<HeldBytes>),
}

/// What the caller has received of its answer, over all dispatches.
#[derive(Default)]
struct Progress {
    /// Whether the head of a stream was sent to the caller.
    head_sent: bool,
    /// Id of the last event that was sent to the caller.
    last_event_id: Option<String>,
    /// Time at which the last data of the stream arrived, and the longest time between two
    /// arrivals.
    event_gap: Option<(Time, Duration)>,
    /// Time from the request's arrival to the first event of the answer.
    first_event_after: Option<Duration>,
    /// The last error answer of an upstream, for the caller if no other answer comes.
    error_answer: Option<Response<HeldBytes>>,
    /// Times of the last dispatch.
    send_times: SendTimes,
    /// How the answer to the last dispatch was read; `None` if it had no head.
    body_read: Option<BodyRead>,
}

/// Times of one dispatch, for the log; `None` for a step that was not reached.
#[derive(Clone, Copy, Debug, Default)]
struct SendTimes {
    /// The upstream was selected.
    selected: Option<Time>,
    /// There was a connection to it.
    connected: Option<Time>,
    /// The first byte was written.
    written: Option<Time>,
}

/// A request together with the state of its answer.
struct Exchange<D> {
    shared: Rc<Shared<D>>,
    head: request::Parts,
    body: Bytes,
    caller: Recipient,
    progress: Progress,
    /// Whether the request is at an upstream, or on the way there.
    is_dispatched: bool,
    /// How late the request was read, and what its ways take.
    arrival: Arrival,
}

/// A request that was admitted.
pub struct Admitted<D> {
    /// The state of the request in the gate.
    pub state: RequestState,
    /// What it has charged its organisation's quota.
    pub charge: Option<Charge<D>>,
    /// How late it was read, and what its ways take.
    pub arrival: Arrival,
}

/// Serves a request until its caller has the final answer or has gone away.
pub async fn run<D: Dialect>(
    shared: Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    head: request::Parts,
    body: Bytes,
    admitted: Admitted<D>,
    caller: Recipient,
) {
    let Admitted {
        mut state,
        charge,
        arrival,
    } = admitted;
    shared.open_requests.set(shared.open_requests.get() + 1);
    shared.metrics.open_requests.inc();
    let mut exchange = Exchange {
        shared: shared.clone(),
        head,
        body,
        caller,
        progress: Progress::default(),
        is_dispatched: false,
        arrival,
    };
    let is_answered = {
        let serve = exchange.serve(&mut state, &link);
        tokio::select! {
            () = serve => true,
            () = shared.ending() => false,
        }
    };
    if !is_answered {
        exchange.end_early(&mut state).await;
    }
    if let Some(charge) = charge
        && (exchange.is_dispatched || !state.certainly_not_run())
    {
        charge.keep();
    }
    permits::forget(&shared, &state);
    shared.gate.borrow_mut().give_token_back(&mut state);
    tokens::send_messages(&shared);
    shared.metrics.open_requests.dec();
    shared.open_requests.set(shared.open_requests.get() - 1);
}

impl<D: Dialect> Exchange<D> {
    async fn serve(&mut self, state: &mut RequestState, link: &Rc<PlannerLink>) {
        let shared = self.shared.clone();
        let mut retry = None;
        loop {
            let changed = shared.changed.notified();
            match admission::check_key(&shared, state) {
                Ok((organisation, _)) => state.organisation = organisation,
                Err(refusal) => return self.withdraw(state, refusal).await,
            }
            let now = self.shared.clock.now();
            let decision = self.shared.gate.borrow_mut().decide(now, state, retry);
            notices::send_prompt_notices(&shared);
            tokens::send_messages(&shared);
            match decision {
                Decision::Dispatch(target) => {
                    self.is_dispatched = true;
                    self.progress.send_times = SendTimes {
                        selected: Some(now),
                        ..SendTimes::default()
                    };
                    let end = self.dispatch(state, &target).await;
                    match end {
                        DispatchEnd::Finished(ending) => {
                            return self.finish(state, &target, ending);
                        }
                        DispatchEnd::Retryable(ending, why) => {
                            self.record_ending(state, &target, ending);
                            self.is_dispatched = false;
                            if ending == Ending::Broken {
                                self.await_probe(state, &target).await;
                            }
                            retry = Some(why);
                        }
                        DispatchEnd::ErrorAnswer(answer) => {
                            self.record_ending(state, &target, Ending::Failed);
                            self.is_dispatched = false;
                            self.progress.error_answer = Some(answer);
                            retry = Some(Retry::Broken);
                        }
                    }
                }
                Decision::Hold(until) => {
                    let wake = self.shared.clock.instant(until);
                    tokio::select! {
                        () = time::sleep_until(wake) => {}
                        () = self.caller.closed() => return self.abandon(state),
                    }
                }
                Decision::AwaitPlacement(until) => {
                    self.ask_for_placement(now, state, link);
                    let wake = self
                        .shared
                        .clock
                        .instant(until.min(now + PLACEMENT_CHECK_INTERVAL));
                    tokio::select! {
                        () = changed => {}
                        () = time::sleep_until(wake) => {}
                        () = self.caller.closed() => return self.abandon(state),
                    }
                }
                Decision::AwaitPermit(until) => {
                    if permits::ask(&shared, state) {
                        continue;
                    }
                    let again = now + shared.gate.borrow().ask_interval();
                    let wake = self.shared.clock.instant(until.min(again));
                    tokio::select! {
                        () = changed => {}
                        () = time::sleep_until(wake) => {}
                        () = self.caller.closed() => return self.abandon(state),
                    }
                }
                Decision::AwaitToken(until) => {
                    shared.tokens_changed.notify_one();
                    let wake = self.shared.clock.instant(until);
                    tokio::select! {
                        () = changed => {}
                        () = time::sleep_until(wake) => {}
                        () = self.caller.closed() => return self.abandon(state),
                    }
                }
                Decision::Refuse(refusal) => return self.refuse(state, refusal).await,
                Decision::Fail => return self.fail(state).await,
            }
        }
    }

    fn ask_for_placement(&self, now: Time, state: &RequestState, link: &Rc<PlannerLink>) {
        let Some(generation) = &state.head.generation else {
            return;
        };
        let model = generation.model.clone();
        // An adapter can be loaded only on an engine that has the model: without one, only
        // the model is asked for.
        let adapter = generation.adapter.clone();
        let held = self.shared.gate.borrow().is_model_available(now, &model);
        let adapter = adapter.filter(|_| held);
        let (shared, link) = (self.shared.clone(), link.clone());
        task::spawn_local(peers::request_placement(shared, link, model, adapter));
    }

    /// Waits, before a retry, until it is known whether the upstream has crashed: a request
    /// that was in flight on a crash is kept apart from others.
    async fn await_probe(&self, state: &RequestState, target: &Target) {
        if !state.may_rerun(self.progress.head_sent) {
            return;
        }
        let known = crashes::await_probe(&self.shared, target.id);
        tokio::select! {
            () = known => {}
            () = time::sleep(crashes::MAX_PROBE_WAIT) => {}
            () = self.caller.closed() => {}
        }
    }

    fn elapsed(&self, state: &RequestState) -> Duration {
        self.shared.clock.now().since(state.arrived_at)
    }
}
