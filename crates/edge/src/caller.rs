//! The HTTP server for callers.

use crate::{
    admission,
    arrival::{Arrival, Opening},
    bounds::{self, BodyError, Collector},
    endpoint,
    exchange::{self, Admitted, Part, Recipient},
    holdings::{HeldBytes, RequestHold, Seat},
    journal::journal,
    lateness,
    meter::{Meter, Metered},
    peers::PlannerLink,
    shared::Shared,
    socket,
    traffic::Kind,
    usage::Charge,
};
use bytes::{Buf, Bytes};
use http::{
    HeaderValue, Request, Response, StatusCode, Version, header, request, uri::PathAndQuery,
};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use mulberryrack_core::outcome::{Reason, Refusal};
use mulberryrack_room::{Eviction, Full, MIN_STALL, Phase};
use mulberryrack_site::{Dialect, RequestHead, config::Limits, request::RequestError};
use std::{
    cell::Cell,
    convert::Infallible,
    fmt, future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task, time,
};

/// Number of parts of an answer that are queued until the caller reads them.
const PART_QUEUE_LENGTH: usize = 8;
/// Smallest read buffer that hyper allows for a connection.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Length of the shortest field of a head: a name, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;
/// Interval of the search for callers that read nothing.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the rest of a body is dropped after its request was refused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a body that are dropped so that its connection can be used again.
const MAX_DROPPED_BYTES: usize = 64 << 10;
/// Turns of the runtime after which a piece that has arrived is decoded: one to read it and one to
/// hand it over.
const DECODE_TURNS: u32 = 2;
/// Limits until the first configuration is in force.
const INITIAL_LIMITS: Limits = Limits {
    max_head_bytes: 16_384,
    max_body_bytes: 1 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// The answer broke off after its head was sent to the caller.
#[derive(Clone, Copy, Debug)]
pub struct AnswerAborted;

impl fmt::Display for AnswerAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer cannot be completed")
    }
}

impl std::error::Error for AnswerAborted {}

/// The body of an answer to a caller, with what is held for its request.
pub struct AnswerBody {
    content: Content,
    request: Option<RequestHold>,
}

enum Content {
    /// The whole body; `None` if it is empty or was sent.
    Whole(Option<HeldBytes>),
    /// Parts as they arrive. If the channel closes before [`Part::End`], the body ends with
    /// an error.
    Parts(mpsc::Receiver<Part>),
}

impl AnswerBody {
    const fn whole(bytes: Option<HeldBytes>) -> Self {
        Self {
            content: Content::Whole(bytes),
            request: None,
        }
    }

    const fn parts(parts: mpsc::Receiver<Part>) -> Self {
        Self {
            content: Content::Parts(parts),
            request: None,
        }
    }
}

impl Body for AnswerBody {
    type Data = HeldBytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, AnswerAborted>>> {
        let this = &mut *self;
        let polled = match &mut this.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Content::Parts(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(bytes)),
                Some(Part::End) => None,
                Some(Part::Head(_) | Part::Whole(_)) | None => Some(Err(AnswerAborted)),
            }),
        };
        polled.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Buf::remaining);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Content::Parts(_) => SizeHint::default(),
        }
    }
}

/// Accepts callers' connections until the host closes.
pub async fn serve<D: Dialect>(
    shared: Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    listener: TcpListener,
) {
    loop {
        let phase_changed = shared.phase_changed.notified();
        if shared.is_closing() {
            return;
        }
        tokio::select! {
            stream = accept(&shared, &listener) => {
                if let Ok(seat) = take_place(&shared) {
                    let open = shared.caller_connections.get();
                    shared.caller_connections.set(open + 1);
                    let opening = Opening::accepted(&shared);
                    let connection =
                        serve_connection(shared.clone(), link.clone(), stream, seat, opening);
                    task::spawn_local(connection);
                }
            }
            () = phase_changed => {}
        }
    }
}

async fn accept<D>(shared: &Shared<D>, listener: &TcpListener) -> TcpStream {
    match &shared.holdings {
        Some(holdings) => endpoint::accept_bounded(holdings, listener).await,
        None => endpoint::accept(listener).await,
    }
}

/// Takes a place for a new connection, with its account where the settings name the memory of the
/// machine.
fn take_place<D>(shared: &Shared<D>) -> Result<Option<Rc<Seat>>, Full> {
    let open = shared.caller_connections.get();
    let place = match &shared.holdings {
        Some(holdings) => holdings.open().map(Some),
        None if open < shared.settings.max_sockets / 2 => Ok(None),
        None => Err(Full),
    };
    if place.is_err() {
        journal!(warn, "connection-refused", open = open);
    }
    place
}

/// Closes connections whose callers read nothing, until the process ends.
pub async fn sweep<D>(shared: Rc<Shared<D>>) {
    let Some(holdings) = &shared.holdings else {
        return;
    };
    loop {
        holdings.set_limits(&limits(&shared));
        time::sleep(SWEEP_INTERVAL).await;
        holdings.evict_blocked(limits(&shared).idle_timeout);
        shared
            .metrics
            .callers
            .record(holdings.held(), holdings.take_evictions());
    }
}

fn limits<D>(shared: &Shared<D>) -> Limits {
    let gate = shared.gate.borrow();
    gate.config().map_or(INITIAL_LIMITS, |config| config.limits)
}

/// Bytes that may arrive on a caller's connection until the head of a request is complete, and
/// then until its body is.
fn request_allowance(limits: &Limits) -> u64 {
    bounds::body_allowance(limits.max_head_bytes + limits.max_body_bytes)
}

async fn serve_connection<D: Dialect>(
    shared: Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    stream: TcpStream,
    seat: Option<Rc<Seat>>,
    opening: Opening,
) {
    let limits = limits(&shared);
    if seat.is_some()
        && let Err(error) = socket::set_reading_pause(&stream, limits.idle_timeout)
    {
        journal!(debug, "socket-options", error = error);
    }
    let (mut stream, meter) = Metered::new(stream, request_allowance(&limits));
    if let Some(seat) = &seat {
        stream = stream.watched_by(seat.clone());
    }
    meter.count_in(shared.metrics.traffic.of(Kind::Callers));
    let is_refused_early = Cell::new(false);
    let service = service_fn(|request| {
        let (shared, link, meter) = (shared.clone(), link.clone(), meter.clone());
        let (seat, is_refused_early) = (seat.clone(), &is_refused_early);
        let opening = &opening;
        // hyper gives a connection back only if the service's futures can be moved.
        Box::pin(async move {
            let Some(seat) = seat else {
                let served = serve_request(shared, link, &meter, opening, request);
                return Ok::<_, Infallible>(served.await);
            };
            let bounded = BoundedRequest {
                meter: &meter,
                seat,
                opening,
                is_refused_early,
            };
            Ok(bounded.serve(shared, link, request).await)
        })
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper counts the time between two requests as part of the wait for the next head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES));
    if seat.is_some() {
        builder.max_headers(limits.max_head_bytes / MIN_FIELD_BYTES);
    }
    let mut served = builder.serve_connection(TokioIo::new(stream), service);
    let has_ended = loop {
        let phase_changed = shared.phase_changed.notified();
        if shared.is_closing() {
            Pin::new(&mut served).graceful_shutdown();
        }
        tokio::select! {
            ended = future::poll_fn(|context| {
                let polled = served.poll_without_shutdown(context);
                opening.end_first_turn();
                polled
            }) => {
                if let Err(error) = ended {
                    journal!(debug, "caller-connection-broken", error = error);
                }
                break true;
            }
            () = evicted(seat.as_deref()) => break false,
            () = phase_changed => {}
        }
    };
    if has_ended {
        let stream = served.into_parts().io.into_inner().into_inner();
        tokio::select! {
            () = close(stream, is_refused_early.get()) => {}
            () = evicted(seat.as_deref()) => {}
        }
    }
    shared
        .caller_connections
        .set(shared.caller_connections.get() - 1);
}

/// Returns once a connection has to be closed for others.
async fn evicted(seat: Option<&Seat>) {
    match seat {
        Some(seat) => seat.evicted(Eviction::Connection).await,
        None => future::pending().await,
    }
}

/// Ends a connection after its last answer. If the caller is still sending, what arrives is dropped
/// for a while: closing at once would reset the connection, and the caller could lose the answer.
async fn close(mut stream: TcpStream, is_sending: bool) {
    // The caller may have closed its side already.
    let _closed = stream.shutdown().await;
    if !is_sending {
        return;
    }
    let drain = async {
        let mut buffer = [0; 4_096];
        while stream
            .read(&mut buffer)
            .await
            .is_ok_and(|length| length > 0)
        {}
    };
    // After this time the rest of the body is not waited for.
    let _ended = time::timeout(DRAIN_TIMEOUT, drain).await;
}

/// A request on a connection with an account: its head is decided on first, and its body takes room
/// as it arrives.
struct BoundedRequest<'a> {
    meter: &'a Meter,
    seat: Rc<Seat>,
    opening: &'a Opening,
    /// Set if the request is refused while its caller may still be sending.
    is_refused_early: &'a Cell<bool>,
}

/// Why a request is refused before its body is complete.
enum EarlyRefusal {
    /// By its head, or as there is no room.
    Refused(Refusal),
    /// It cannot be read; with the name of what is wrong.
    Malformed(StatusCode, &'static str),
}

const NO_ROOM: EarlyRefusal = EarlyRefusal::Refused(Refusal {
    reason: Reason::NoRoom,
    retry_after: Some(MIN_STALL),
});

impl BoundedRequest<'_> {
    async fn serve<D: Dialect>(
        self,
        shared: Rc<Shared<D>>,
        link: Rc<PlannerLink>,
        request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        let arrival = Arrival::now(&shared, self.opening);
        shared.last_request.set(arrival.read_at);
        let (head, mut body) = request.into_parts();
        let limits = limits(&shared);
        self.meter.allow(request_allowance(&limits));
        let hold = RequestHold::of(&self.seat, &head);
        let request_head = shared.dialect.read_request_head(&head);
        let attempt = request_head.as_ref().ok().map(|it| it.attempt_id.clone());
        let decided = Self::decide(&shared, &limits, hold, request_head, &body);
        let read = match decided {
            Ok((mut hold, request_head, charge)) => {
                let read = self.read_body(&limits, &mut hold, &mut body).await;
                read.map(|bytes| (hold, (request_head, charge), bytes))
            }
            Err(refusal) => Err(refusal),
        };
        self.meter.allow(request_allowance(&limits));
        let (mut response, hold) = match read {
            Ok((mut hold, (request_head, charge), body)) => {
                self.seat.set_phase(Phase::Serving);
                let request = (head, request_head, body, charge);
                let served = admit_and_serve(&shared, link, arrival, request, Some(&mut hold));
                (served.await, Some(hold))
            }
            Err(refusal) => {
                // Asking for such a body has hyper tell the caller to send it.
                let is_held_back = head.headers.contains_key(header::EXPECT);
                drop(head);
                let mut response = match refusal {
                    EarlyRefusal::Refused(refusal) => {
                        refuse(&shared, attempt.as_deref().unwrap_or("-"), refusal)
                    }
                    EarlyRefusal::Malformed(status, field) => {
                        refuse_malformed(&shared, attempt.as_deref(), status, field)
                    }
                };
                let is_kept_open = !self.seat.is_evicted()
                    && (!is_held_back || body.is_end_stream())
                    && has_arrived(&mut body).await;
                if !is_kept_open {
                    self.is_refused_early.set(true);
                    close_after(&mut response);
                }
                (response, None)
            }
        };
        response.body_mut().request = hold;
        // A connection that was told to give way gets no room for further requests.
        if shared.is_leaving() || self.seat.is_evicted() {
            close_after(&mut response);
        }
        response
    }

    /// Decides on a request by its head.
    fn decide<D>(
        shared: &Rc<Shared<D>>,
        limits: &Limits,
        hold: Result<RequestHold, Full>,
        request_head: Result<RequestHead, RequestError>,
        body: &Incoming,
    ) -> Result<(RequestHold, RequestHead, Option<Charge<D>>), EarlyRefusal> {
        let request_head = request_head.map_err(|fault| {
            EarlyRefusal::Malformed(StatusCode::BAD_REQUEST, malformed_field(&fault))
        })?;
        let charge = admission::check_head(shared, &request_head).map_err(EarlyRefusal::Refused)?;
        let hold = hold.map_err(|Full| NO_ROOM)?;
        let announced = body.size_hint().exact().unwrap_or(0);
        if announced > u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX) {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(EarlyRefusal::Malformed(status, "body"));
        }
        Ok((hold, request_head, charge))
    }

    /// Reads a body, which takes room as it arrives.
    async fn read_body(
        &self,
        limits: &Limits,
        hold: &mut RequestHold,
        body: &mut Incoming,
    ) -> Result<Bytes, EarlyRefusal> {
        let malformed = |status| Err(EarlyRefusal::Malformed(status, "body"));
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        self.seat.set_phase(Phase::Receiving);
        let whole = async {
            let mut collector = Collector::new(limits.max_body_bytes);
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    return malformed(StatusCode::BAD_REQUEST);
                };
                let Some(piece) = frame.data_ref() else {
                    continue;
                };
                let bytes = u64::try_from(piece.len()).unwrap_or(u64::MAX);
                hold.grow(bytes).map_err(|Full| NO_ROOM)?;
                if collector.push(piece).is_err() {
                    return malformed(StatusCode::PAYLOAD_TOO_LARGE);
                }
            }
            Ok(collector.finish())
        };
        tokio::select! {
            // A body that is complete in the same moment is taken.
            biased;
            read = lateness::timeout(limits.idle_timeout, whole) => {
                read.unwrap_or(malformed(StatusCode::REQUEST_TIMEOUT))
            }
            () = self.seat.evicted(Eviction::Request) => malformed(StatusCode::REQUEST_TIMEOUT),
        }
    }
}

/// Whether the rest of a body has arrived already. Up to [`MAX_DROPPED_BYTES`] of it are dropped.
async fn has_arrived(body: &mut Incoming) -> bool {
    let mut dropped = 0;
    let mut turns = 0;
    while !body.is_end_stream() {
        let next = future::poll_fn(|context| {
            // What has not arrived is not waited for.
            Poll::Ready(match Pin::new(&mut *body).poll_frame(context) {
                Poll::Ready(frame) => Some(frame),
                Poll::Pending => None,
            })
        });
        match next.await {
            Some(Some(Ok(frame))) => {
                dropped += frame.data_ref().map_or(0, Bytes::len);
                turns = 0;
            }
            Some(None) => return true,
            // hyper decodes the next piece after it was asked for.
            None if turns < DECODE_TURNS => {
                turns += 1;
                task::yield_now().await;
            }
            Some(Some(Err(_))) | None => return false,
        }
        if dropped > MAX_DROPPED_BYTES {
            return false;
        }
    }
    true
}

/// Has the connection closed after an answer.
fn close_after(response: &mut Response<AnswerBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

async fn serve_request<D: Dialect>(
    shared: Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    meter: &Meter,
    opening: &Opening,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrival = Arrival::now(&shared, opening);
    shared.last_request.set(arrival.read_at);
    let (head, body) = request.into_parts();
    let limits = limits(&shared);
    meter.allow(request_allowance(&limits));
    let read = read_body(&limits, body).await;
    meter.allow(request_allowance(&limits));
    let mut response = match (shared.dialect.read_request_head(&head), read) {
        (Ok(request_head), Ok(body)) => match admission::check_head(&shared, &request_head) {
            Ok(charge) => {
                let request = (head, request_head, body, charge);
                admit_and_serve(&shared, link, arrival, request, None).await
            }
            Err(refusal) => refuse(&shared, &request_head.attempt_id, refusal),
        },
        (request_head, Err(status)) => {
            let attempt = request_head
                .ok()
                .map(|request_head| request_head.attempt_id);
            refuse_malformed(&shared, attempt.as_deref(), status, "body")
        }
        (Err(fault), Ok(_)) => {
            let field = malformed_field(&fault);
            refuse_malformed(&shared, None, StatusCode::BAD_REQUEST, field)
        }
    };
    if shared.is_leaving() {
        close_after(&mut response);
    }
    response
}

/// Name of what is wrong with a head, for the log.
const fn malformed_field(fault: &RequestError) -> &'static str {
    match fault {
        RequestError::NoAttempt => "attempt",
        RequestError::NoHost => "host",
        RequestError::Malformed(field) => field,
    }
}

async fn read_body(limits: &Limits, body: Incoming) -> Result<Bytes, StatusCode> {
    let whole = bounds::read_body(body, limits.max_body_bytes);
    match lateness::timeout(limits.idle_timeout, whole).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::Excessive)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(BodyError::Broken)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn refuse_malformed<D: Dialect>(
    shared: &Shared<D>,
    attempt: Option<&str>,
    status: StatusCode,
    field: &str,
) -> Response<AnswerBody> {
    journal!(
        warn,
        "request-malformed",
        id = attempt.unwrap_or("-"),
        field = field,
        status = status.as_u16(),
    );
    shared
        .metrics
        .record_end("refused", Reason::BadRequest.label(), Duration::ZERO);
    local_answer(shared, attempt, status, None)
}

/// An answer that the host makes up itself, without a body.
pub fn local_answer<D: Dialect>(
    shared: &Shared<D>,
    attempt: Option<&str>,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(None));
    *response.status_mut() = status;
    *response.headers_mut() = shared.dialect.local_reply_headers(attempt, retry_after);
    admission::complete_headers(response.headers_mut(), status);
    response
}

/// Serves a request whose head has arrived: the caller's timeout runs while the request waits for
/// the thread and while the body arrives. Its head has been checked, once; the gate checks its route
/// against the configuration that is in force now.
async fn admit_and_serve<D: Dialect>(
    shared: &Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    arrival: Arrival,
    (head, request_head, body, charge): (request::Parts, RequestHead, Bytes, Option<Charge<D>>),
    hold: Option<&mut RequestHold>,
) -> Response<AnswerBody> {
    let attempt = request_head.attempt_id.clone();
    let takes_chunks = head.version >= Version::HTTP_11;
    let fingerprint = fingerprint(&head, &request_head, &body);
    let admitted = shared
        .gate
        .borrow_mut()
        .admit(arrival.read_at, request_head, fingerprint);
    let mut state = match admitted {
        Ok(state) => state,
        Err(refusal) => return refuse(shared, &attempt, refusal),
    };
    state.record_wait(arrival.late + arrival.link_delay);
    if shared.outlasts_stop(shared.clock.now(), state.deadline) {
        let refusal = Refusal {
            reason: Reason::Draining,
            retry_after: Some(Duration::ZERO),
        };
        return refuse(shared, &attempt, refusal);
    }
    let (parts, mut taken) = mpsc::channel(PART_QUEUE_LENGTH);
    let caller = Recipient::new(parts, hold.as_ref().map(|hold| hold.seat()));
    let admitted = Admitted {
        state,
        charge,
        arrival,
    };
    let run = exchange::run(shared.clone(), link, head, body, admitted, caller);
    let mut running = Running::new(run);
    let first = tokio::select! {
        // Its first part is taken in the same turn.
        biased;
        () = running.ended() => taken.recv().await,
        part = taken.recv() => part,
    };
    drop(running);
    match first {
        Some(Part::Whole(response)) => response.map(|body| AnswerBody::whole(Some(body))),
        Some(Part::Head(head)) if takes_chunks => {
            Response::from_parts(*head, AnswerBody::parts(taken))
        }
        Some(Part::Head(head)) => match collect(taken, hold).await {
            Ok(body) => {
                // The hold of the request has taken room for it.
                let body = HeldBytes::unaccounted(body);
                Response::from_parts(*head, AnswerBody::whole(Some(body)))
            }
            Err(AnswerAborted) => {
                local_answer(shared, Some(&attempt), StatusCode::BAD_GATEWAY, None)
            }
        },
        Some(Part::Data(_) | Part::End) | None => {
            local_answer(shared, Some(&attempt), StatusCode::BAD_GATEWAY, None)
        }
    }
}

/// An exchange that runs in the task of its caller's connection until its answer begins: a task of its
/// own would wait for the thread once more before the request is sent. Dropped before its end, it goes
/// on in one.
struct Running(Option<Pin<Box<dyn Future<Output = ()>>>>);

impl Running {
    fn new(run: impl Future<Output = ()> + 'static) -> Self {
        Self(Some(Box::pin(run)))
    }

    /// Runs the exchange, and returns once it has ended.
    async fn ended(&mut self) {
        if let Some(run) = &mut self.0 {
            run.await;
            self.0 = None;
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(run) = self.0.take() {
            task::spawn_local(run);
        }
    }
}

/// Collects a stream for a caller that would take the end of its connection for the end of the
/// stream. What is collected takes room.
async fn collect(
    mut parts: mpsc::Receiver<Part>,
    mut hold: Option<&mut RequestHold>,
) -> Result<Bytes, AnswerAborted> {
    let mut body = Vec::new();
    loop {
        match parts.recv().await {
            Some(Part::Data(bytes)) => {
                if let Some(hold) = &mut hold {
                    let length = u64::try_from(bytes.remaining()).unwrap_or(u64::MAX);
                    hold.grow(length).map_err(|Full| AnswerAborted)?;
                }
                body.extend_from_slice(bytes.chunk());
            }
            Some(Part::End) => return Ok(body.into()),
            Some(Part::Head(_) | Part::Whole(_)) | None => return Err(AnswerAborted),
        }
        if body.len() > bounds::MAX_COLLECTED_STREAM_BYTES {
            return Err(AnswerAborted);
        }
    }
}

fn fingerprint(head: &request::Parts, request_head: &RequestHead, body: &[u8]) -> u128 {
    let path = head.uri.path_and_query();
    let path = path.map_or(&*request_head.path, PathAndQuery::as_str);
    mulberryrack_site::request::fingerprint(head.method.as_str(), &request_head.host, path, body)
}

fn refuse<D: Dialect>(shared: &Shared<D>, attempt: &str, refusal: Refusal) -> Response<AnswerBody> {
    let Refusal {
        reason,
        retry_after,
    } = refusal;
    let status = admission::refusal_status(reason);
    shared
        .metrics
        .record_end("refused", reason.label(), Duration::ZERO);
    journal!(
        info,
        "refused",
        id = attempt,
        reason = reason.label(),
        status = status.as_u16()
    );
    local_answer(shared, Some(attempt), status, retry_after)
}
