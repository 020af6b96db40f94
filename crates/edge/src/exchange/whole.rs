//! Relays an answer as a whole.

use super::{
    DispatchEnd, Exchange, Part,
    answer::{UpstreamAnswer, names_its_end},
};
use crate::{bounds, client::Fault, crashes, events, framing::Framing, lateness, unread::Unread};
use http::Response;
use hyper::body::Body;
use mulberryrack_gate::{Ending, RequestState, Target};
use mulberryrack_site::Dialect;

impl<D: Dialect> Exchange<D> {
    /// Buffers an answer and sends it to the caller as a whole.
    pub(super) async fn relay_whole(
        &mut self,
        state: &mut RequestState,
        target: &Target,
        answer: UpstreamAnswer,
    ) -> DispatchEnd {
        let UpstreamAnswer {
            dispatched_at,
            mut connection,
            mut head,
            body,
            reply,
        } = answer;
        let framing = Framing::of(&head.headers);
        let names_its_end = names_its_end(framing, &body);
        let until = self.shared.clock.instant(state.deadline);
        let begun_at = self.shared.clock.now();
        let (mut hold, mut unread) = (self.caller.hold(), Unread::default());
        let mut has_room = false;
        let stated = body.size_hint().exact();
        let stated = stated.and_then(|length| usize::try_from(length).ok());
        let length = stated
            .unwrap_or(usize::MAX)
            .min(bounds::MAX_WHOLE_ANSWER_BYTES);
        let room = length + bounds::read_ahead_bytes(length);
        let read = async {
            // Room for a part of the answer could keep others, which have the rest, from their ends.
            hold.reserve(room).await;
            has_room = true;
            if self.caller.is_accounted() {
                unread.pause(self.shared.clock.now().since(begun_at));
            }
            connection
                .read_body(body, bounds::MAX_WHOLE_ANSWER_BYTES)
                .await
        };
        let bytes = tokio::select! {
            biased;
            () = self.caller.closed() => return DispatchEnd::Finished(Ending::Abandoned),
            bytes = read => bytes,
            () = lateness::sleep_until(until) => Err(Fault::Silent),
        };
        self.record_unread(state, unread.longest());
        let is_unread = !has_room || unread.may_be_cut_off();
        let end = match bytes {
            Ok(_) => "whole",
            Err(Fault::Broken | Fault::NotSent) => "broken",
            Err(Fault::Silent | Fault::Excessive) => "given-up",
        };
        self.record_body(framing, &connection, end, 0);
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(fault) => return self.answer_lost_or_unread(target, fault, is_unread),
        };
        let is_torn = events::is_event_stream(&head.headers) == Some(true)
            && !events::ends_between_events(&bytes);
        if !names_its_end && is_unread {
            return self.answer_lost_or_unread(target, Fault::Broken, true);
        }
        if is_torn || (!names_its_end && crashes::may_have_cut_off(&self.shared, target).await) {
            return self.answer_lost(target, Fault::Broken);
        }
        if !reply.close {
            connection.return_to_pool(reply.keep_alive);
        }
        self.prepare_head(&mut head);
        let ending = if head.status.is_success() {
            Ending::Done
        } else {
            Ending::Inconclusive
        };
        let failed = head.status.is_server_error();
        let answer = Response::from_parts(head, hold.split(bytes));
        if failed && state.may_rerun(self.progress.head_sent) {
            return DispatchEnd::ErrorAnswer(answer);
        }
        if self.progress.head_sent {
            return self.answer_lost(target, Fault::Broken);
        }
        self.record_first_event(state, target, dispatched_at);
        self.send_part(Part::Whole(answer)).await;
        DispatchEnd::Finished(ending)
    }
}
