//! Polls upstreams for their reports and sends orders to engines.

use crate::{driver::Inbox, http, pool::Pool};
use mulberryrack_core::{
    Name,
    upstream::{CONTACT_TIMEOUT, Contact, Order, Report},
};
use mulberryrack_host::Event;
use ureq::{Agent, Body, http as types};

/// HTTP status by which an engine refuses an order with an outdated fencing token.
const CONFLICT: u16 = 409;

/// Makes each poll or order on its own thread. Its result goes to the inbox.
#[derive(Clone, Debug)]
pub struct Client {
    inbox: Inbox,
    agent: Agent,
    pool: Pool,
}

impl Client {
    /// A client for at most `max_threads` polls and orders at once.
    #[must_use]
    pub fn new(inbox: Inbox, max_threads: usize) -> Self {
        Self {
            inbox,
            agent: http::agent(true),
            pool: Pool::new("contact", max_threads),
        }
    }

    /// Polls an upstream for its report.
    pub fn poll(&self, upstream: Name, address: Name) {
        self.run(upstream, None, move |agent| {
            agent
                .get(format!("http://{address}/v1/report"))
                .config()
                .timeout_global(Some(CONTACT_TIMEOUT))
                .build()
                .call()
        });
    }

    /// Sends an order to an engine.
    pub fn order(&self, engine: Name, address: Name, order: Order) {
        self.run(engine, Some(order.id), move |agent| {
            agent
                .post(format!("http://{address}/v1/orders"))
                .config()
                .timeout_global(Some(CONTACT_TIMEOUT))
                .build()
                .send_json(&order)
        });
    }

    fn run(
        &self,
        upstream: Name,
        order: Option<u64>,
        call: impl FnOnce(&Agent) -> Result<types::Response<Body>, ureq::Error> + Send + 'static,
    ) {
        let this = self.clone();
        let name = upstream.clone();
        let started = self.pool.run(move || {
            let contact = classify(call(&this.agent));
            this.report(name, order, contact);
        });
        if started.is_err() {
            self.report(upstream, order, Contact::NotSent);
        }
    }

    fn report(&self, upstream: Name, order: Option<u64>, contact: Contact) {
        self.inbox.put(Event::Contact {
            upstream,
            order,
            contact,
        });
    }
}

fn classify(result: Result<types::Response<Body>, ureq::Error>) -> Contact {
    match result {
        Ok(mut response) if response.status().is_success() => response
            .body_mut()
            .read_json::<Report>()
            .map_or(Contact::Unanswered, |report| {
                Contact::Report(Box::new(report))
            }),
        Ok(response) if response.status().as_u16() == CONFLICT => Contact::Fenced,
        Err(error) if http::not_sent(&error) => Contact::NotSent,
        Ok(_) | Err(_) => Contact::Unanswered,
    }
}
