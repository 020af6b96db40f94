//! Relays an event stream, event by event.

use super::{
    DispatchEnd, Exchange, Part,
    answer::{UpstreamAnswer, names_its_end},
};
use crate::{
    bounds::{self, StreamBounds},
    client::{Connection, Fault},
    crashes,
    events::{self, Content, Event, LAST_EVENT_ID, Splitter},
    framing::Framing,
    holdings::AnswerHold,
    unread::Unread,
};
use http::response;
use hyper::body::Incoming;
use mulberryrack_core::Time;
use mulberryrack_gate::{Ending, RequestState, Target};
use mulberryrack_site::Dialect;
use std::time::Duration;
use tokio::time;

/// An event stream that is relayed.
struct Stream {
    /// Time of the dispatch.
    dispatched_at: Time,
    /// The head of the answer, until the first event.
    head: Option<response::Parts>,
    body: Incoming,
    bounds: StreamBounds,
    splitter: Splitter,
    /// Whether an event was read, other than comments.
    has_event: bool,
    /// What was read and not sent to the caller yet, and the buffers of the connection.
    hold: AnswerHold,
    /// Bytes of these buffers.
    read_ahead: usize,
    /// Whether its caller has an account. Only then the times without reading matter.
    is_accounted: bool,
    /// For how long the upstream was not read, as the caller had not read either.
    unread: Unread,
    /// Number of the event after which the stream goes on, until the next one is read; `None` also
    /// if ids are no numbers.
    resumed_after: Option<u64>,
}

impl Stream {
    /// Takes bytes that have arrived.
    fn push(&mut self, bytes: &[u8]) {
        self.unread.read();
        let read_ahead = bounds::read_ahead_bytes(bytes.len());
        self.hold
            .add(bytes.len() + read_ahead.saturating_sub(self.read_ahead));
        self.read_ahead = self.read_ahead.max(read_ahead);
        self.splitter.push(bytes);
    }

    /// Records for how long the upstream was not read, and returns it: an upstream is not silent
    /// meanwhile.
    fn record_pause(&mut self, from: Time, until: Time) -> Duration {
        if !self.is_accounted {
            return Duration::ZERO;
        }
        let pause = until.since(from);
        self.unread.pause(pause);
        pause
    }

    /// Whether an event may follow those that the caller has: its id is higher.
    fn may_follow(&mut self, event: &Event) -> bool {
        let id = event.id.as_ref().and_then(|id| id.parse::<u64>().ok());
        match (id, self.resumed_after) {
            (Some(id), Some(last)) => {
                self.resumed_after = None;
                id > last
            }
            _ => true,
        }
    }

    /// Whether an event stream is complete whose body has ended.
    fn is_complete(&self, may_be_empty: bool) -> bool {
        self.splitter.is_between_events() && (self.has_event || may_be_empty)
    }
}

/// Why no more events are read of a stream.
enum StreamEnd {
    /// Its body has ended as its framing says.
    Ended,
    /// The connection failed, or the framing is wrong.
    Broken,
    /// No event came in time.
    Silent,
    /// There was no room for the rest in time.
    NoRoom,
    /// It has more bytes or events than are read.
    Excessive,
    /// The caller has gone away.
    CallerGone,
}

impl StreamEnd {
    /// Name in the metrics of a stream with this many bytes after its last whole event.
    const fn label(&self, unfinished_bytes: usize) -> &'static str {
        match self {
            Self::Ended if unfinished_bytes == 0 => "whole",
            Self::Ended => "inside-event",
            Self::Broken => "broken",
            Self::Silent | Self::NoRoom | Self::Excessive | Self::CallerGone => "given-up",
        }
    }
}

impl<D: Dialect> Exchange<D> {
    /// Relays an event stream to the caller, event by event.
    pub(super) async fn relay_stream(
        &mut self,
        state: &mut RequestState,
        target: &Target,
        answer: UpstreamAnswer,
    ) -> DispatchEnd {
        let UpstreamAnswer {
            dispatched_at,
            mut connection,
            head,
            body,
            reply,
        } = answer;
        let framing = Framing::of(&head.headers);
        // An answer that names another media type is complete as its framing says.
        let is_event_stream = events::is_event_stream(&head.headers).unwrap_or(true);
        let names_its_end = names_its_end(framing, &body);
        // A resumed stream may have no event left.
        let may_be_empty = names_its_end || self.is_resumed();
        let tokens = state.head.generation.as_ref().map(|it| it.output_tokens);
        let bounds = StreamBounds::new(tokens);
        connection.allow(bounds.allowance());
        let mut stream = Stream {
            dispatched_at,
            head: Some(head),
            body,
            bounds,
            splitter: Splitter::default(),
            has_event: false,
            hold: self.caller.hold(),
            read_ahead: 0,
            is_accounted: self.caller.is_accounted(),
            unread: Unread::default(),
            resumed_after: self.resumed_after(),
        };
        let end = self
            .relay_events(state, target, &mut connection, &mut stream)
            .await;
        let unfinished_bytes = stream.splitter.pending_bytes();
        self.record_body(
            framing,
            &connection,
            end.label(unfinished_bytes),
            unfinished_bytes,
        );
        // The end of the connection may be that of an upstream that has waited too long.
        let is_unread = stream.unread.may_be_cut_off();
        match end {
            StreamEnd::Ended if is_event_stream && !stream.is_complete(may_be_empty) => {
                let is_unread = is_unread && !names_its_end;
                return self.answer_lost_or_unread(target, Fault::Broken, is_unread);
            }
            StreamEnd::Ended => {}
            StreamEnd::Broken => {
                return self.answer_lost_or_unread(target, connection.fault(), is_unread);
            }
            StreamEnd::Silent => {
                // A pause is no silence, but the deadline comes nearer meanwhile.
                let is_late = self.shared.clock.now() >= state.deadline;
                return self.answer_lost_or_unread(target, Fault::Silent, is_unread && is_late);
            }
            StreamEnd::NoRoom => {
                return self.answer_lost_or_unread(target, Fault::Silent, true);
            }
            StreamEnd::Excessive => return self.answer_lost(target, Fault::Excessive),
            StreamEnd::CallerGone => return DispatchEnd::Finished(Ending::Abandoned),
        }
        if !names_its_end && is_unread {
            return self.answer_lost_or_unread(target, Fault::Broken, true);
        }
        if !names_its_end && crashes::may_have_cut_off(&self.shared, target).await {
            return self.answer_lost(target, Fault::Broken);
        }
        self.begin_stream(state, target, &mut stream).await;
        let rest = stream.splitter.take_remainder();
        if !rest.is_empty() {
            let rest = stream.hold.split_copy(rest);
            self.send_part(Part::Data(rest)).await;
        }
        self.send_part(Part::End).await;
        if !reply.close {
            connection.return_to_pool(reply.keep_alive);
        }
        let ending = if stream.has_event || !is_event_stream {
            Ending::Done
        } else {
            Ending::Inconclusive
        };
        DispatchEnd::Finished(ending)
    }

    /// Relays the whole events of a stream until it ends.
    async fn relay_events(
        &mut self,
        state: &mut RequestState,
        target: &Target,
        connection: &mut Connection,
        stream: &mut Stream,
    ) -> StreamEnd {
        // Only whole events are signs of progress, other bytes may come without end.
        let mut since = self.shared.clock.now();
        let deadline = self.shared.clock.instant(state.deadline);
        loop {
            let paused_at = self.shared.clock.now();
            tokio::select! {
                biased;
                () = self.caller.stream_room(bounds::MAX_EVENT_BYTES) => {}
                () = self.caller.closed() => return StreamEnd::CallerGone,
                () = time::sleep_until(deadline) => return StreamEnd::NoRoom,
            }
            let pause = stream.record_pause(paused_at, self.shared.clock.now());
            self.record_unread(state, pause);
            since = since + pause;
            let frame = tokio::select! {
                biased;
                () = self.caller.closed() => return StreamEnd::CallerGone,
                frame = connection.frame(&mut stream.body) => frame,
                () = self.wait_for_silence(state, target, since) => return StreamEnd::Silent,
            };
            match frame {
                Some(Ok(frame)) => stream.push(frame.data_ref().map_or(&[], |it| it)),
                Some(Err(_)) => return StreamEnd::Broken,
                None => return StreamEnd::Ended,
            }
            while let Some(event) = stream.splitter.next_event() {
                since = self.record_event(target);
                if !stream.may_follow(&event) {
                    return StreamEnd::Broken;
                }
                if !stream.bounds.take(event.bytes.len()) {
                    return StreamEnd::Excessive;
                }
                stream.has_event |= event.content == Content::Fields;
                self.begin_stream(state, target, stream).await;
                self.progress.last_event_id = event.id.or(self.progress.last_event_id.take());
                let paused_at = self.shared.clock.now();
                let part = Part::Data(stream.hold.split_copy(event.bytes));
                self.send_part(part).await;
                let pause = stream.record_pause(paused_at, self.shared.clock.now());
                self.record_unread(state, pause);
                since = since + pause;
            }
            if stream.splitter.pending_bytes() > bounds::MAX_EVENT_BYTES {
                return StreamEnd::Excessive;
            }
        }
    }

    /// Records the first event of a dispatch and sends the head of its answer, unless that was
    /// done before.
    async fn begin_stream(
        &mut self,
        state: &mut RequestState,
        target: &Target,
        stream: &mut Stream,
    ) {
        if let Some(head) = stream.head.take() {
            self.record_first_event(state, target, stream.dispatched_at);
            self.send_head(head).await;
        }
    }

    /// Sends the head to the caller, unless an earlier dispatch of the request has done so.
    async fn send_head(&mut self, mut head: response::Parts) {
        if self.progress.head_sent {
            return;
        }
        self.progress.head_sent = true;
        self.prepare_head(&mut head);
        self.send_part(Part::Head(Box::new(head))).await;
    }

    /// Whether the caller or this host has asked for the events after a certain one.
    fn is_resumed(&self) -> bool {
        self.progress.last_event_id.is_some() || self.head.headers.contains_key(LAST_EVENT_ID)
    }

    /// Number of the last event that an earlier dispatch has sent to the caller.
    fn resumed_after(&self) -> Option<u64> {
        self.progress.last_event_id.as_ref()?.parse().ok()
    }
}
