//! Calls to the platform's services: the key-value service and the list of machines.

use crate::{config::Platform, driver::Inbox, http, pool::Pool};
use mulberryrack_core::{
    kv::{CallId, Fault, Op, Outcome},
    kv_json,
    node::Listing,
};
use mulberryrack_host::{Area, Event};
use std::{io, sync::Arc, thread, time::Duration};
use ureq::Agent;

/// HTTP status by which the service says that it has not applied the operation.
const UNAVAILABLE: u16 = 503;
/// Maximum number of watches at once. They don't count towards the limit on other calls.
const MAX_WATCHES: usize = 8;
/// Maximum length in bytes of a reply or list that is read.
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

/// Makes each key-value call on its own thread.
#[derive(Clone, Debug)]
pub struct Client {
    inbox: Inbox,
    agent: Agent,
    /// The host's name, sent as `user-agent`; the service counts calls by it.
    name: Arc<str>,
    calls: Pool,
    watches: Pool,
    url: Arc<str>,
    timeout: Duration,
}

impl Client {
    /// A client for the key-value service at `settings.kv_url`.
    #[must_use]
    pub fn new(inbox: Inbox, settings: &Platform, name: &str) -> Self {
        Self {
            inbox,
            agent: http::agent(true),
            name: name.into(),
            calls: Pool::new("kv", settings.kv_calls),
            watches: Pool::new("watch", MAX_WATCHES),
            url: format!("{}/v1/kv", settings.kv_url).into(),
            timeout: settings.kv_timeout,
        }
    }

    /// Starts a call. Its outcome goes to the inbox. A watch has its own wait in addition to
    /// the timeout of a call.
    pub fn call(&self, area: Area, token: CallId, op: Op) {
        let (pool, timeout) = match &op {
            Op::Watch { wait, .. } => (&self.watches, self.timeout + *wait),
            _ => (&self.calls, self.timeout),
        };
        let this = self.clone();
        let started = pool.run(move || {
            let outcome = this.run(&op, timeout);
            this.report(area, token, outcome);
        });
        if started.is_err() {
            self.report(area, token, Err(Fault::NotApplied));
        }
    }

    fn report(&self, area: Area, token: CallId, outcome: Outcome) {
        self.inbox.put(Event::Kv {
            area,
            token,
            outcome,
        });
    }

    fn run(&self, op: &Op, timeout: Duration) -> Outcome {
        let response = self
            .agent
            .post(&*self.url)
            .header("user-agent", &*self.name)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send_json(kv_json::Op::from(op.clone()));
        match response {
            Ok(response) if response.status().as_u16() == UNAVAILABLE => Err(Fault::NotApplied),
            Ok(mut response) if response.status().is_success() => response
                .body_mut()
                .with_config()
                .limit(MAX_RESPONSE_BYTES)
                .read_json::<kv_json::Reply>()
                .map(Into::into)
                .map_err(|_| Fault::Unknown),
            Err(error) if http::not_sent(&error) => Err(Fault::NotApplied),
            Ok(_) | Err(_) => Err(Fault::Unknown),
        }
    }
}

/// Reads the list of machines at the configured interval until the event loop ends.
///
/// # Errors
///
/// The thread cannot be started.
pub fn watch_list(inbox: Inbox, settings: &Platform) -> io::Result<()> {
    let agent = http::agent(true);
    let url = format!("{}/v1/hosts", settings.list_url);
    let (interval, timeout) = (settings.list_interval, settings.kv_timeout);
    thread::Builder::new()
        .name("list".to_owned())
        .spawn(move || {
            // `put` fails once the event loop has ended.
            while inbox.put(Event::Listing(read_list(&agent, &url, timeout))) {
                thread::sleep(interval);
            }
        })
        .map(|_| ())
}

fn read_list(agent: &Agent, url: &str, timeout: Duration) -> Option<Arc<[Listing]>> {
    let mut response = agent
        .get(url)
        .config()
        .timeout_global(Some(timeout))
        .build()
        .call()
        .ok()?;
    if !response.status().is_success() {
        return None;
    }
    let list: Vec<Listing> = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_json()
        .ok()?;
    Some(list.into())
}
