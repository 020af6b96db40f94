//! Sends a request to one upstream and reads the head of its answer.

use super::{DispatchEnd, Exchange, answer::UpstreamAnswer, silence::MIN_SILENCE_TIMEOUT};
use crate::{
    admission, bounds,
    client::{Fault, Remote},
    events, lateness,
    replies::{self, Asked},
    traffic::Kind,
};
use bytes::Bytes;
use http::{Request, StatusCode, uri::PathAndQuery};
use mulberryrack_core::{Time, outcome::Retry};
use mulberryrack_gate::{Ending, RequestState, Target};
use mulberryrack_site::{
    Dialect,
    request::{Dispatch, Identity},
};
use std::cell::Cell;

impl<D: Dialect> Exchange<D> {
    pub(super) async fn dispatch(
        &mut self,
        state: &mut RequestState,
        target: &Target,
    ) -> DispatchEnd {
        self.progress.body_read = None;
        let now = self.shared.clock.now();
        let remote = Remote {
            address: target.address,
            name: target.name.clone(),
        };
        let client = self.shared.client.clone();
        let (connected, written) = (Cell::new(None), Cell::new(None));
        let answered = async {
            let mut connection = client.connect(remote, target.retry.is_some()).await?;
            // What is left of the timeout counts from when the request is sent.
            let sent_at = self.shared.clock.now();
            connected.set(Some(sent_at));
            connection.count_in(self.shared.metrics.traffic.of(Kind::Upstreams));
            let Some(identity) = self.check_again(state, target, sent_at) else {
                connection.return_to_pool(None);
                return Ok(None);
            };
            let request = self.upstream_request(state, target, sent_at, identity);
            let sent = connection.send(request).await;
            written.set(connection.written_at());
            let (head, body) = sent?;
            Ok(Some((connection, head, body)))
        };
        let answered = tokio::select! {
            // An upstream is silent only if nothing of it has arrived.
            biased;
            () = self.caller.closed() => return DispatchEnd::Finished(Ending::Abandoned),
            answered = answered => answered,
            () = self.wait_for_silence(state, target, now) => Err(Fault::Silent),
        };
        let times = &mut self.progress.send_times;
        times.connected = connected.get();
        times.written = written.get().map(|at| self.shared.clock.time(at));
        let (connection, response, body) = match answered {
            Ok(Some(answered)) => answered,
            Ok(None) => return DispatchEnd::Retryable(Ending::Withdrawn, Retry::Refused),
            Err(Fault::NotSent) => return DispatchEnd::Retryable(Ending::NotSent, Retry::Refused),
            Err(fault) => return self.answer_lost(target, fault),
        };
        let reply = self.shared.dialect.read_reply_head(&response);
        self.record_activity(target);
        let asked = Asked {
            id: target.id,
            incarnation: state.incarnation(),
            at: now,
        };
        let attempt = &state.head.attempt_id;
        replies::record(&self.shared, asked, attempt, response.status, &reply);
        if reply
            .attempt_id
            .as_ref()
            .is_some_and(|id| *id != state.head.attempt_id)
        {
            return self.answer_lost(target, Fault::Broken);
        }
        let answer = UpstreamAnswer {
            dispatched_at: now,
            connection,
            head: response,
            body,
            reply,
        };
        if answer.reply.not_run {
            return self.not_run(target, answer).await;
        }
        if !answer.reply.signed || answer.reply.attempt_id.is_none() {
            return self.answer_lost(target, Fault::Broken);
        }
        self.record_answer(target, answer.dispatched_at);
        if self.progress.head_sent && !events::may_continue(&answer.head) {
            return self.answer_lost(target, Fault::Broken);
        }
        if state.route.streaming && answer.head.status.is_success() {
            return self.relay_stream(state, target, answer).await;
        }
        self.relay_whole(state, target, answer).await
    }

    /// Checks whether what was decided on a request still holds, at the moment at which it is sent. The
    /// first byte is written in the same turn of the thread. Returns what the upstream learns of the
    /// caller; `None` if another decision is needed.
    fn check_again(&self, state: &RequestState, target: &Target, now: Time) -> Option<Identity> {
        let gate = self.shared.gate.borrow();
        if !gate.may_still_send(now, state, target) {
            return None;
        }
        let (_, identity) = admission::check_key(&self.shared, state).ok()?;
        Some(identity)
    }

    fn upstream_request(
        &self,
        state: &RequestState,
        target: &Target,
        now: Time,
        identity: Identity,
    ) -> Request<Bytes> {
        let send = Dispatch {
            upstream: target.name.clone(),
            remaining: state.remaining(now),
            urgency: target.urgency,
            resume_after: self.progress.last_event_id.as_deref().map(Into::into),
            identity,
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

    /// Reads the rest of an answer that says that the request has not run, so that the
    /// connection can be reused.
    async fn not_run(&self, target: &Target, answer: UpstreamAnswer) -> DispatchEnd {
        let UpstreamAnswer {
            mut connection,
            head,
            body,
            reply,
            ..
        } = answer;
        let body = connection.read_body(body, bounds::MAX_REJECTION_BYTES);
        let read = lateness::timeout(MIN_SILENCE_TIMEOUT, body).await;
        match read {
            // Without an id, the same refusal written once more would be taken for the answer to the
            // next request.
            Ok(Ok(_)) if !reply.close && reply.attempt_id.is_some() => {
                connection.return_to_pool(reply.keep_alive);
            }
            Ok(Err(Fault::Excessive)) => replies::record_excess(&self.shared, target.id, "request"),
            _ => {}
        }
        let misplaced = head.status == StatusCode::MISDIRECTED_REQUEST;
        let ending = if misplaced {
            Ending::Misplaced
        } else {
            Ending::NotRun
        };
        DispatchEnd::Retryable(ending, Retry::Turned)
    }

    /// The result of a dispatch whose answer is lost. `is_unread` says whether the host may have
    /// caused that, as it did not read the answer.
    pub(super) fn answer_lost_or_unread(
        &self,
        target: &Target,
        fault: Fault,
        is_unread: bool,
    ) -> DispatchEnd {
        match fault {
            Fault::Broken | Fault::Silent if is_unread => {
                DispatchEnd::Retryable(Ending::Unread, Retry::Broken)
            }
            _ => self.answer_lost(target, fault),
        }
    }

    /// The result of a dispatch whose answer is lost. The request may have run.
    pub(super) fn answer_lost(&self, target: &Target, fault: Fault) -> DispatchEnd {
        match fault {
            Fault::Excessive => {
                replies::record_excess(&self.shared, target.id, "request");
                DispatchEnd::Retryable(Ending::Excessive, Retry::Broken)
            }
            Fault::Silent => DispatchEnd::Retryable(Ending::Silent, Retry::Silent),
            Fault::Broken | Fault::NotSent => DispatchEnd::Retryable(Ending::Broken, Retry::Broken),
        }
    }
}
