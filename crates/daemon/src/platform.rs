//! The platform's services: key-value calls and the list of machines.

use crate::{config::Platform, driver::Inbox, http, pool::Pool};
use mulberryrack_core::{
    kv::{CallId, Fault, Op, Outcome},
    kv_json,
    node::Listing,
};
use mulberryrack_host::{Area, Event};
use std::{io, sync::Arc, thread, time::Duration};
use ureq::Agent;

/// Status by which the service says that it has done nothing.
const UNAVAILABLE: u16 = 503;
/// Most watches at once, beside the other calls.
const WATCHES: usize = 8;
/// Largest list that is read, in bytes.
const MAX_LIST: u64 = 32 << 20;

/// Makes key-value calls on threads of their own.
#[derive(Clone, Debug)]
pub struct Client {
    inbox: Inbox,
    agent: Agent,
    /// Sent as `user-agent`, by which the service counts calls.
    name: Arc<str>,
    calls: Pool,
    watches: Pool,
    url: Arc<str>,
    timeout: Duration,
}

impl Client {
    /// A client for the service that the settings name.
    #[must_use]
    pub fn new(inbox: Inbox, settings: &Platform, name: &str) -> Self {
        Self {
            inbox,
            agent: http::agent(true),
            name: name.into(),
            calls: Pool::new("kv", settings.kv_calls),
            watches: Pool::new("watch", WATCHES),
            url: format!("{}/v1/kv", settings.kv_url).into(),
            timeout: settings.kv_timeout,
        }
    }

    /// Starts a call. Its outcome goes to the inbox.
    pub fn call(&self, area: Area, token: CallId, op: Op) {
        let (pool, timeout) = match &op {
            Op::Watch { wait, .. } => (&self.watches, self.timeout + *wait),
            _ => (&self.calls, self.timeout),
        };
        let this = self.clone();
        let started = pool.run(move || {
            let outcome = this.run(&op, timeout);
            this.done(area, token, outcome);
        });
        if started.is_err() {
            self.done(area, token, Err(Fault::NotApplied));
        }
    }

    fn done(&self, area: Area, token: CallId, outcome: Outcome) {
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
                .limit(MAX_LIST)
                .read_json::<kv_json::Reply>()
                .map(Into::into)
                .map_err(|_| Fault::Unknown),
            Err(error) if http::not_sent(&error) => Err(Fault::NotApplied),
            Ok(_) | Err(_) => Err(Fault::Unknown),
        }
    }
}

/// Reads the list of machines again and again, until the process ends.
///
/// # Errors
///
/// The system gives no thread.
pub fn watch_list(inbox: Inbox, settings: &Platform) -> io::Result<()> {
    let agent = http::agent(true);
    let url = format!("{}/v1/hosts", settings.list_url);
    let (interval, timeout) = (settings.list_interval, settings.kv_timeout);
    thread::Builder::new()
        .name("list".to_owned())
        .spawn(move || {
            // Ends with the host.
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
        .limit(MAX_LIST)
        .read_json()
        .ok()?;
    Some(list.into())
}
