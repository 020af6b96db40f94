//! One request between its admission and its final answer.

use crate::{
    client::{Connection, Fault, Remote},
    events::Splitter,
    journal::journal,
    notices,
    peers::{self, PlannerLink},
    shared::Shared,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request, response, uri::PathAndQuery};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mulberryrack_core::{
    Time,
    outcome::{Reason, Refusal, Retry},
};
use mulberryrack_gate::{Decision, Ending, RequestState, Target};
use mulberryrack_site::{Dialect, request::Dispatch, upstream::ReplyHead};
use std::{rc::Rc, time::Duration};
use tokio::{sync::mpsc, task, time};

/// Largest answer of a plain service that is kept whole, so that a broken one can be
/// replaced.
const WHOLE_ANSWER: usize = 1 << 20;
/// Largest event of a stream.
const LARGEST_EVENT: usize = 1 << 20;
/// Longest pause before a request that waits for a placement is looked at again.
const PLACE_CHECK: Duration = Duration::from_millis(150);
/// Longest pause before a silent upstream is judged again.
const SILENCE_CHECK: Duration = Duration::from_millis(250);
/// Least time without a first event after which a request is sent once more.
const LEAST_SILENCE: Duration = Duration::from_millis(250);

/// A part of an answer to a caller.
pub enum Part {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// The head of a stream.
    Head(Box<response::Parts>),
    /// A part of a stream.
    Data(Bytes),
    /// The stream is complete.
    End,
}

/// How one send ended, for the request.
enum Sent {
    /// The caller has its final answer, or is gone.
    Over(Ending),
    /// It may be sent once more.
    Again(Ending, Retry),
    /// As before, and this is the answer if it is not.
    Failed(Response<Bytes>),
}

/// An upstream's answer whose head has come.
struct Answer {
    /// When the request was sent.
    sent: Time,
    connection: Connection,
    head: response::Parts,
    body: Incoming,
    reply: ReplyHead,
}

/// What the caller has of its answer.
#[derive(Default)]
struct Progress {
    /// Whether the head went out.
    begun: bool,
    /// Id of the last event that went out.
    last: Option<String>,
    /// When the last event came, and the longest time between two.
    paused: Option<(Time, Duration)>,
    /// Time from the arrival to the first event.
    first: Option<Duration>,
    /// An upstream's failure, kept in case that no other answer comes.
    failure: Option<Response<Bytes>>,
}

struct Exchange<D> {
    shared: Rc<Shared<D>>,
    head: request::Parts,
    body: Bytes,
    caller: mpsc::Sender<Part>,
    progress: Progress,
}

/// Serves a request until its caller has a final answer or is gone.
pub async fn run<D: Dialect>(
    shared: Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    head: request::Parts,
    body: Bytes,
    mut pass: RequestState,
    caller: mpsc::Sender<Part>,
) {
    shared.open_requests.set(shared.open_requests.get() + 1);
    shared.metrics.open_requests.inc();
    let mut exchange = Exchange {
        shared: shared.clone(),
        head,
        body,
        caller,
        progress: Progress::default(),
    };
    exchange.serve(&mut pass, &link).await;
    shared.metrics.open_requests.dec();
    shared.open_requests.set(shared.open_requests.get() - 1);
}

impl<D: Dialect> Exchange<D> {
    async fn serve(&mut self, pass: &mut RequestState, link: &Rc<PlannerLink>) {
        let shared = self.shared.clone();
        let mut retry = None;
        loop {
            let changed = shared.changed.notified();
            let now = self.shared.clock.now();
            let step = self.shared.gate.borrow_mut().decide(now, pass, retry);
            notices::send_prompt_notices(&shared);
            match step {
                Decision::Dispatch(target) => match self.send(pass, &target).await {
                    Sent::Over(ending) => return self.over(pass, &target, ending),
                    Sent::Again(ending, why) => {
                        self.note_send(pass, &target, ending);
                        retry = Some(why);
                    }
                    Sent::Failed(answer) => {
                        self.note_send(pass, &target, Ending::Failed);
                        self.progress.failure = Some(answer);
                        retry = Some(Retry::Broken);
                    }
                },
                Decision::Hold(until) => {
                    let wake = self.shared.clock.instant(until);
                    tokio::select! {
                        () = time::sleep_until(wake) => {}
                        () = self.caller.closed() => return self.abandoned(pass),
                    }
                }
                Decision::AwaitPlacement(until) => {
                    self.ask_for_placement(now, pass, link);
                    let wake = self.shared.clock.instant(until.min(now + PLACE_CHECK));
                    tokio::select! {
                        () = changed => {}
                        () = time::sleep_until(wake) => {}
                        () = self.caller.closed() => return self.abandoned(pass),
                    }
                }
                Decision::Refuse(refusal) => return self.refuse(pass, refusal).await,
                Decision::Fail => return self.fail(pass).await,
            }
        }
    }

    fn ask_for_placement(&self, now: Time, pass: &RequestState, link: &Rc<PlannerLink>) {
        let Some(generation) = &pass.head.generation else {
            return;
        };
        let model = generation.model.clone();
        // An adapter can only be brought to where its model is.
        let adapter = generation.adapter.clone();
        let held = self.shared.gate.borrow().is_model_available(now, &model);
        let adapter = adapter.filter(|_| held);
        let (shared, link) = (self.shared.clone(), link.clone());
        task::spawn_local(peers::request_placement(shared, link, model, adapter));
    }

    fn took(&self, pass: &RequestState) -> Duration {
        self.shared.clock.now().since(pass.arrived_at)
    }

    fn over(&self, pass: &mut RequestState, target: &Target, ending: Ending) {
        self.note_send(pass, target, ending);
        let (outcome, reason) = match ending {
            Ending::Done => ("ran", ""),
            Ending::Abandoned => ("abandoned", Reason::CallerGone.label()),
            _ => ("failed", "upstream"),
        };
        self.shared
            .metrics
            .record_end(outcome, reason, self.took(pass));
    }

    /// Tells the gate and the log how a send ended.
    fn note_send(&self, pass: &mut RequestState, target: &Target, ending: Ending) {
        let now = self.shared.clock.now();
        self.shared
            .gate
            .borrow_mut()
            .record_ending(now, pass, target.id, ending);
        if ending != Ending::Done && ending != Ending::Abandoned {
            self.shared
                .metrics
                .record_retry(target.retry.map_or("none", Retry::label));
        }
        let (running, waiting, age) = target.load_report.map_or((0, 0, 0), |(load, age)| {
            (load.running, load.waiting, age.as_millis())
        });
        journal!(
            info,
            "sent",
            id = pass.head.attempt_id,
            route = pass.route.name,
            config = pass.config_version,
            upstream = target.name,
            candidates = target.candidates,
            running = running,
            waiting = waiting,
            load_age_ms = age,
            read_ms = target.read_ms.round(),
            backlog_ms = target.backlog_ms.round(),
            first_ms = self.progress.first.map_or(0, |first| first.as_millis()),
            longest_pause_ms = self.progress.paused.map_or(0, |it| it.1.as_millis()),
            model = pass.head.generation.as_ref().map_or("-", |it| &it.model),
            retry = target.retry.map_or("-", Retry::label),
            ending = format_args!("{ending:?}"),
            took_ms = self.took(pass).as_millis(),
        );
    }

    fn abandoned(&self, pass: &mut RequestState) {
        self.shared.gate.borrow_mut().end_hold(pass);
        let reason = Reason::CallerGone.label();
        self.shared
            .metrics
            .record_end("abandoned", reason, self.took(pass));
        journal!(
            info,
            "abandoned",
            id = pass.head.attempt_id,
            took_ms = self.took(pass).as_millis()
        );
    }

    async fn refuse(&mut self, pass: &RequestState, refusal: Refusal) {
        let Refusal {
            reason,
            retry_after,
        } = refusal;
        self.note_end(pass, "refused", reason.label());
        let whole = self.own(pass, StatusCode::SERVICE_UNAVAILABLE, retry_after);
        self.tell(Part::Whole(whole)).await;
    }

    async fn fail(&mut self, pass: &RequestState) {
        let timely = pass.remaining(self.shared.clock.now()) > Duration::from_millis(5);
        let reason = if timely { "upstream" } else { "timeout" };
        self.note_end(pass, "failed", reason);
        if self.progress.begun {
            // Without its end the answer is broken off.
            return;
        }
        let status = if timely {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::GATEWAY_TIMEOUT
        };
        let own = self.own(pass, status, None);
        let answer = self.progress.failure.take().unwrap_or(own);
        self.tell(Part::Whole(answer)).await;
    }

    fn note_end(&self, pass: &RequestState, outcome: &'static str, reason: &'static str) {
        let took = self.took(pass);
        self.shared.metrics.record_end(outcome, reason, took);
        journal!(
            warn,
            "ended",
            id = pass.head.attempt_id,
            route = pass.route.name,
            config = pass.config_version,
            outcome = outcome,
            reason = reason,
            sends = pass.tried_count(),
            begun = self.progress.begun,
            took_ms = took.as_millis(),
        );
    }

    fn own(
        &self,
        pass: &RequestState,
        status: StatusCode,
        retry_after: Option<Duration>,
    ) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        let attempt = Some(&*pass.head.attempt_id);
        *response.headers_mut() = self
            .shared
            .dialect
            .local_reply_headers(attempt, retry_after);
        response
    }

    /// Passes a part on; a caller that is gone is noticed by the next step.
    async fn tell(&self, part: Part) {
        drop(self.caller.send(part).await);
    }

    fn request(&self, pass: &RequestState, target: &Target, now: Time) -> Request<Bytes> {
        let send = Dispatch {
            upstream: target.name.clone(),
            remaining: pass.remaining(now),
            urgency: target.urgency,
            resume_after: self.progress.last.as_deref().map(Into::into),
        };
        let path = self.head.uri.path_and_query().cloned();
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = path
            .unwrap_or_else(|| PathAndQuery::from_static("/"))
            .into();
        *request.headers_mut() = self
            .shared
            .dialect
            .upstream_headers(&self.head.headers, &send);
        request
    }

    /// When an upstream that has been silent since `since` is left.
    fn patience(&self, pass: &RequestState, target: &Target, since: Time) -> Time {
        let objective = pass.route.latency_target;
        let bound = match (self.progress.begun, pass.route.gap_target) {
            (true, Some(gap)) => gap * 3,
            _ if pass.route.streaming => objective.mul_f64(1.5),
            _ => objective,
        };
        let bound = bound.max(LEAST_SILENCE);
        let now = self.shared.clock.now();
        let gate = self.shared.gate.borrow();
        gate.silence_deadline(now, pass, target.id, since, bound, self.progress.begun)
    }

    /// Waits until an upstream is to be left.
    async fn silence(&self, pass: &RequestState, target: &Target, since: Time) {
        loop {
            let until = self.patience(pass, target, since);
            if until <= self.shared.clock.now() {
                return;
            }
            let check = self.shared.clock.now() + SILENCE_CHECK;
            time::sleep_until(self.shared.clock.instant(until.min(check))).await;
        }
    }

    async fn send(&mut self, pass: &mut RequestState, target: &Target) -> Sent {
        let now = self.shared.clock.now();
        let request = self.request(pass, target, now);
        let remote = Remote {
            address: target.address,
            name: target.name.clone(),
        };
        let client = self.shared.client.clone();
        let headed = async {
            let mut connection = client.connect(remote, target.retry.is_some()).await?;
            let (head, body) = connection.send(request).await?;
            Ok((connection, head, body))
        };
        let headed = tokio::select! {
            headed = headed => headed,
            () = self.caller.closed() => return Sent::Over(Ending::Abandoned),
            () = self.silence(pass, target, now) => Err(Fault::Silent),
        };
        let (connection, response, body) = match headed {
            Ok(headed) => headed,
            Err(Fault::NotSent) => return Sent::Again(Ending::NotSent, Retry::Refused),
            Err(fault) => return Self::lost(fault),
        };
        let reply = self.shared.dialect.read_reply_head(&response);
        self.heard(target);
        if let Some(load) = reply.load {
            let now = self.shared.clock.now();
            self.shared
                .gate
                .borrow_mut()
                .record_load(now, target.id, load);
        }
        if reply
            .attempt_id
            .as_ref()
            .is_some_and(|id| *id != pass.head.attempt_id)
        {
            return Self::lost(Fault::Broken);
        }
        let answer = Answer {
            sent: now,
            connection,
            head: response,
            body,
            reply,
        };
        if answer.reply.not_run {
            return Self::not_run(answer).await;
        }
        if !answer.reply.signed || answer.reply.attempt_id.is_none() {
            return Self::lost(Fault::Broken);
        }
        if pass.route.streaming && answer.head.status.is_success() {
            return self.stream(pass, target, answer).await;
        }
        self.whole(pass, target, answer).await
    }

    async fn not_run(answer: Answer) -> Sent {
        let Answer {
            connection,
            head,
            body,
            reply,
            ..
        } = answer;
        let read = time::timeout(LEAST_SILENCE, body.collect()).await;
        if matches!(read, Ok(Ok(_))) && !reply.close {
            connection.return_to_pool(reply.keep_alive);
        }
        let misplaced = head.status == StatusCode::MISDIRECTED_REQUEST;
        let ending = if misplaced {
            Ending::Misplaced
        } else {
            Ending::NotRun
        };
        Sent::Again(ending, Retry::Turned)
    }

    /// The answer is lost; the request may have run.
    const fn lost(fault: Fault) -> Sent {
        match fault {
            Fault::Silent => Sent::Again(Ending::Silent, Retry::Silent),
            Fault::Broken | Fault::NotSent => Sent::Again(Ending::Broken, Retry::Broken),
        }
    }

    async fn whole(&mut self, pass: &mut RequestState, target: &Target, answer: Answer) -> Sent {
        let Answer {
            sent,
            connection,
            mut head,
            mut body,
            reply,
        } = answer;
        let until = self.shared.clock.instant(pass.deadline);
        let mut bytes = Vec::new();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.caller.closed() => return Sent::Over(Ending::Abandoned),
                () = time::sleep_until(until) => return Self::lost(Fault::Silent),
            };
            match frame {
                None => break,
                Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |it| it)),
                Some(Err(_)) => return Self::lost(Fault::Broken),
            }
            if bytes.len() > WHOLE_ANSWER {
                return Self::lost(Fault::Broken);
            }
        }
        if !reply.close {
            connection.return_to_pool(reply.keep_alive);
        }
        head.headers = self.shared.dialect.caller_headers(&head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let failed = head.status.is_server_error();
        let answer = Response::from_parts(head, bytes.into());
        if failed && pass.may_rerun(self.progress.begun) {
            return Sent::Failed(answer);
        }
        if self.progress.begun {
            return Self::lost(Fault::Broken);
        }
        self.first(pass, target, sent);
        self.tell(Part::Whole(answer)).await;
        Sent::Over(Ending::Done)
    }

    fn heard(&self, target: &Target) {
        let now = self.shared.clock.now();
        self.shared
            .gate
            .borrow_mut()
            .record_activity(now, target.id);
    }

    fn first(&mut self, pass: &mut RequestState, target: &Target, sent: Time) {
        let now = self.shared.clock.now();
        let took = self.took(pass);
        self.progress.first.get_or_insert(took);
        self.progress.paused.get_or_insert((now, Duration::ZERO));
        self.shared
            .gate
            .borrow_mut()
            .record_first_event(pass, target, now.since(sent));
        if !self.progress.begun {
            self.shared.metrics.record_first_event(self.took(pass));
        }
    }

    async fn stream(&mut self, pass: &mut RequestState, target: &Target, answer: Answer) -> Sent {
        let Answer {
            sent,
            connection,
            head,
            mut body,
            reply,
        } = answer;
        let mut splitter = Splitter::default();
        let mut head = Some(head);
        loop {
            let since = self.shared.clock.now();
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.caller.closed() => return Sent::Over(Ending::Abandoned),
                () = self.silence(pass, target, since) => return Self::lost(Fault::Silent),
            };
            self.heard(target);
            match frame {
                Some(Ok(frame)) => splitter.push(frame.data_ref().map_or(&[], |it| it)),
                Some(Err(_)) => return Self::lost(Fault::Broken),
                None => break,
            }
            self.progress.paused = self.progress.paused.map(|(last, longest)| {
                let now = self.shared.clock.now();
                (now, longest.max(now.since(last)))
            });
            while let Some(event) = splitter.next_event() {
                if let Some(head) = head.take() {
                    self.first(pass, target, sent);
                    self.begin(head).await;
                }
                self.progress.last = event.id.or(self.progress.last.take());
                self.tell(Part::Data(event.bytes)).await;
            }
            if splitter.len() > LARGEST_EVENT {
                return Self::lost(Fault::Broken);
            }
        }
        if let Some(head) = head.take() {
            self.first(pass, target, sent);
            self.begin(head).await;
        }
        let rest = splitter.take_remainder();
        if !rest.is_empty() {
            self.tell(Part::Data(rest)).await;
        }
        self.tell(Part::End).await;
        if !reply.close {
            connection.return_to_pool(reply.keep_alive);
        }
        Sent::Over(Ending::Done)
    }

    /// Passes the head on, unless a run before has done so.
    async fn begin(&mut self, mut head: response::Parts) {
        if self.progress.begun {
            return;
        }
        self.progress.begun = true;
        head.headers = self.shared.dialect.caller_headers(&head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        self.tell(Part::Head(Box::new(head))).await;
    }
}
