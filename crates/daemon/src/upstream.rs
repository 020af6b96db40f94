//! Sends requests to upstreams and reads their answers.

use crate::{driver::Inbox, http, pool::Pool};
use bytes::Bytes;
use mulberryrack_core::{
    Name,
    upstream::{Connection, Dispatch, DispatchId, Event, Fault},
};
use mulberryrack_host::Event as HostEvent;
use std::{
    collections::BTreeMap,
    io::Read,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use ureq::{Agent, Body, http as types};

/// Largest part of a body that is passed on at once, in bytes.
const PART: usize = 16 * 1024;

/// Bound on the silence of one connection: the router's own bounds are far shorter, this
/// one only frees the thread.
const READ_TIMEOUT: Duration = Duration::from_secs(120);

/// Headers that belong to one connection and are never passed on.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    // The caller has been told to go on; the upstream gets the whole request at once.
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

/// Header that names a stream at an engine. Hosts set it; a caller's is not passed on.
const STREAM: &str = "x-stream-id";

/// Whether a header is passed on from end to end. `name` is in lower case.
#[must_use]
pub fn end_to_end(name: &str) -> bool {
    name != STREAM && !HOP_BY_HOP.contains(&name)
}

/// Makes attempts on threads of their own.
#[derive(Clone, Debug)]
pub struct Client {
    inbox: Inbox,
    /// Prefix of stream names: this life of this host.
    life: Name,
    pooled: Agent,
    fresh: Agent,
    pool: Pool,
    running: Arc<Mutex<BTreeMap<DispatchId, Running>>>,
}

#[derive(Clone, Debug)]
struct Running {
    stop: Arc<AtomicBool>,
    address: Name,
    stream: String,
}

impl Client {
    /// A client for at most `most` attempts at once.
    #[must_use]
    pub fn new(inbox: Inbox, life: Name, most: usize) -> Self {
        Self {
            inbox,
            life,
            pooled: http::agent(true),
            fresh: http::agent(false),
            pool: Pool::new("attempt", most),
            running: Arc::default(),
        }
    }

    /// Starts an attempt. Its events go to the inbox.
    pub fn send(&self, send: Dispatch) {
        let attempt = send.attempt;
        let running = Running {
            stop: Arc::default(),
            address: send.address.clone(),
            stream: self.stream(send.resume.map_or(attempt, |(first, _)| first)),
        };
        self.lock().insert(attempt, running.clone());
        let this = self.clone();
        let started = self.pool.run(move || {
            let event = this.run(&send, &running);
            this.lock().remove(&attempt);
            if !running.stop.load(Ordering::Relaxed) {
                this.event(attempt, event);
            }
        });
        if started.is_err() {
            self.lock().remove(&attempt);
            self.event(attempt, Event::Fault(Fault::NotSent));
        }
    }

    /// Reports nothing more of an attempt. Its thread ends with the next bytes or at the
    /// bound on silence; its stream goes on at the upstream.
    pub fn forget(&self, attempt: DispatchId) {
        if let Some(running) = self.lock().get(&attempt) {
            running.stop.store(true, Ordering::Relaxed);
        }
    }

    /// Stops an attempt: nothing more is heard of it, and its stream is cancelled. One
    /// that was forgotten before can still be cancelled.
    pub fn cancel(&self, attempt: DispatchId) {
        let Some(running) = self.lock().remove(&attempt) else {
            return;
        };
        running.stop.store(true, Ordering::Relaxed);
        let agent = self.fresh.clone();
        // The upstream stops by itself when it finds the connection closed; without a
        // thread for the call, it is left to that.
        let _ = self.pool.run(move || {
            let url = format!("http://{}/v1/streams/{}", running.address, running.stream);
            let _ = agent
                .delete(&url)
                .config()
                .timeout_global(Some(http::CONNECT_TIMEOUT))
                .build()
                .call();
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<DispatchId, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stream(&self, attempt: DispatchId) -> String {
        format!("{}-{}", self.life, attempt.0)
    }

    fn event(&self, attempt: DispatchId, event: Event) {
        self.inbox.put(HostEvent::Dispatch { attempt, event });
    }

    /// Makes the attempt and returns its last event.
    fn run(&self, send: &Dispatch, running: &Running) -> Event {
        let Some(request) = request(send, &running.stream) else {
            return Event::Fault(Fault::NotSent);
        };
        let agent = match send.connection {
            Connection::Pooled => &self.pooled,
            Connection::Fresh => &self.fresh,
        };
        let request = agent
            .configure_request(request)
            .timeout_per_read(Some(READ_TIMEOUT))
            .timeout_per_write(Some(READ_TIMEOUT))
            .build();
        match agent.run(request) {
            Ok(response) => self.read(send.attempt, response, &running.stop),
            Err(error) => Event::Fault(fault(&error)),
        }
    }

    fn read(
        &self,
        attempt: DispatchId,
        response: types::Response<Body>,
        stop: &AtomicBool,
    ) -> Event {
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
        self.event(attempt, head);
        let mut body = response.into_body().into_reader();
        let mut part = vec![0; PART];
        loop {
            let read = body.read(&mut part);
            if stop.load(Ordering::Relaxed) {
                return Event::Fault(Fault::Broken);
            }
            match read {
                Ok(0) => return Event::End,
                Ok(length) => {
                    let bytes = Bytes::copy_from_slice(&part[..length]);
                    self.event(attempt, Event::Chunk(bytes));
                }
                Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                    return Event::Fault(Fault::Silent);
                }
                Err(_) => return Event::Fault(Fault::Broken),
            }
        }
    }
}

fn fault(error: &ureq::Error) -> Fault {
    if http::not_sent(error) {
        Fault::NotSent
    } else if http::timed_out(error) {
        Fault::Silent
    } else {
        Fault::Broken
    }
}

fn request(send: &Dispatch, stream: &str) -> Option<types::Request<Vec<u8>>> {
    if let Some((_, offset)) = send.resume {
        let url = format!(
            "http://{}/v1/streams/{stream}?offset={offset}",
            send.address
        );
        return types::Request::get(url).body(Vec::new()).ok();
    }
    let url = format!("http://{}{}", send.address, send.call.path);
    let mut builder = types::Request::builder()
        .method(&*send.call.method)
        .uri(url);
    for (name, value) in send.call.headers.iter() {
        builder = builder.header(&**name, &**value);
    }
    builder
        .header(STREAM, stream)
        .body(send.call.body.to_vec())
        .ok()
}
