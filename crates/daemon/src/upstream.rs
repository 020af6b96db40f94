//! Dispatches requests to upstreams and reads their answers.

use crate::{
    answer::{self, Part},
    driver::Inbox,
    http,
    pool::Pool,
};
use mulberryrack_core::{
    Name,
    upstream::{Connection, Dispatch, DispatchId, Event, Fault},
};
use mulberryrack_host::Event as HostEvent;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use ureq::{Agent, Body, http as types};

/// Time after which a silent connection is given up. The timeouts of the routing area are far
/// shorter; this one only frees the thread.
const READ_TIMEOUT: Duration = Duration::from_secs(120);

/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    // The host has already answered the caller's `expect: 100-continue`, and the upstream
    // receives the whole request at once.
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
];

/// Header with the id by which a host resumes or cancels a stream at an engine. Only hosts set
/// it; the header of a caller is not forwarded.
const STREAM_ID_HEADER: &str = "x-stream-id";

/// Whether a header is forwarded between caller and upstream. `name` is in lower case.
#[must_use]
pub fn end_to_end(name: &str) -> bool {
    name != STREAM_ID_HEADER && !HOP_BY_HOP.contains(&name)
}

/// Runs each dispatch on its own thread.
#[derive(Clone, Debug)]
pub struct Client {
    inbox: Inbox,
    /// Prefix of stream ids: the host's name and incarnation.
    stream_prefix: Name,
    pooled: Agent,
    fresh: Agent,
    pool: Pool,
    running: Arc<Mutex<BTreeMap<DispatchId, RunningDispatch>>>,
}

#[derive(Clone, Debug)]
struct RunningDispatch {
    stopped: Arc<AtomicBool>,
    address: Name,
    stream_id: String,
}

impl Client {
    /// A client for at most `max_threads` dispatches and cancellations at once.
    #[must_use]
    pub fn new(inbox: Inbox, stream_prefix: Name, max_threads: usize) -> Self {
        Self {
            inbox,
            stream_prefix,
            pooled: http::agent(true),
            fresh: http::agent(false),
            pool: Pool::new("attempt", max_threads),
            running: Arc::default(),
        }
    }

    /// Starts a dispatch. Its events go to the inbox.
    pub fn send(&self, dispatch: Dispatch) {
        let id = dispatch.attempt;
        let running = RunningDispatch {
            stopped: Arc::default(),
            address: dispatch.address.clone(),
            stream_id: self.stream_id(dispatch.resume.map_or(id, |(first, _)| first)),
        };
        self.lock().insert(id, running.clone());
        let this = self.clone();
        let started = self.pool.run(move || {
            let event = this.run(&dispatch, &running);
            this.lock().remove(&id);
            if !running.stopped.load(Ordering::Relaxed) {
                this.report(id, event);
            }
        });
        if started.is_err() {
            self.lock().remove(&id);
            self.report(id, Event::Fault(Fault::NotSent));
        }
    }

    /// Stops reporting events of a dispatch. Its thread ends when the next bytes arrive or at
    /// `READ_TIMEOUT`; its stream continues at the upstream.
    pub fn detach(&self, id: DispatchId) {
        if let Some(running) = self.lock().get(&id) {
            running.stopped.store(true, Ordering::Relaxed);
        }
    }

    /// Stops reporting events of a dispatch and cancels its stream at the upstream. This also
    /// works after [`Self::detach`], while the thread of the dispatch still runs.
    pub fn cancel(&self, id: DispatchId) {
        let Some(running) = self.lock().remove(&id) else {
            return;
        };
        running.stopped.store(true, Ordering::Relaxed);
        let agent = self.fresh.clone();
        // If no thread is free for the call, the upstream still stops once it notices that the
        // connection is closed.
        let _ = self.pool.run(move || {
            let url = format!(
                "http://{}/v1/streams/{}",
                running.address, running.stream_id
            );
            let _ = agent
                .delete(&url)
                .config()
                .timeout_global(Some(http::CONNECT_TIMEOUT))
                .build()
                .call();
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<DispatchId, RunningDispatch>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stream_id(&self, id: DispatchId) -> String {
        format!("{}-{}", self.stream_prefix, id.0)
    }

    fn report(&self, attempt: DispatchId, event: Event) {
        self.inbox.put(HostEvent::Dispatch { attempt, event });
    }

    /// Sends the request, reports the events of the answer but the last, and returns the last.
    fn run(&self, dispatch: &Dispatch, running: &RunningDispatch) -> Event {
        let Some(request) = build_request(dispatch, &running.stream_id) else {
            return Event::Fault(Fault::NotSent);
        };
        let agent = match dispatch.connection {
            Connection::Pooled => &self.pooled,
            Connection::Fresh => &self.fresh,
        };
        let request = agent
            .configure_request(request)
            .timeout_per_read(Some(READ_TIMEOUT))
            .timeout_per_write(Some(READ_TIMEOUT))
            .build();
        match agent.run(request) {
            Ok(response) => self.relay_answer(dispatch, response, &running.stopped),
            Err(error) => Event::Fault(classify(&error)),
        }
    }

    fn relay_answer(
        &self,
        dispatch: &Dispatch,
        response: types::Response<Body>,
        stopped: &AtomicBool,
    ) -> Event {
        let id = dispatch.attempt;
        let headers: Vec<(Name, Name)> = response
            .headers()
            .iter()
            .filter(|(name, _)| end_to_end(name.as_str()))
            .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
            .collect();
        let head = Event::Head {
            status: response.status().as_u16(),
            headers: headers.into(),
        };
        self.report(id, head);
        let mut body = answer::Reader::new(response, dispatch.resume.is_some());
        loop {
            let part = body.next_part();
            if stopped.load(Ordering::Relaxed) {
                return Event::Fault(Fault::Broken);
            }
            match part {
                Part::Bytes(bytes) => self.report(id, Event::Chunk(bytes)),
                Part::End => return Event::End,
                Part::Broken => return Event::Fault(Fault::Broken),
                Part::Silent => return Event::Fault(Fault::Silent),
            }
        }
    }
}

fn classify(error: &ureq::Error) -> Fault {
    if http::not_sent(error) {
        Fault::NotSent
    } else if http::timed_out(error) {
        Fault::Silent
    } else {
        Fault::Broken
    }
}

fn build_request(dispatch: &Dispatch, stream_id: &str) -> Option<types::Request<Vec<u8>>> {
    if let Some((_, offset)) = dispatch.resume {
        let url = format!(
            "http://{}/v1/streams/{stream_id}?offset={offset}",
            dispatch.address
        );
        return types::Request::get(url).body(Vec::new()).ok();
    }
    let url = format!("http://{}{}", dispatch.address, dispatch.call.path);
    let mut builder = types::Request::builder()
        .method(&*dispatch.call.method)
        .uri(url);
    for (name, value) in dispatch.call.headers.iter() {
        builder = builder.header(&**name, &**value);
    }
    builder
        .header(STREAM_ID_HEADER, stream_id)
        .body(dispatch.call.body.to_vec())
        .ok()
}
