//! Sending of recorded orders to one engine.

use super::{CLEANUP_DELAY, Decision, Delivery, Engine};
use crate::{record::Intent, settings::Settings};
use mulberryrack_core::{
    Time,
    upstream::{Action, CONTACT_TIMEOUT, Contact, Order, Residency},
};
use std::{collections::BTreeSet, time::Duration};

impl Engine {
    /// Handles the outcome of sending an order.
    pub(super) fn on_order_contact(
        &mut self,
        now: Time,
        id: u64,
        contact: &Contact,
        settings: &Settings,
    ) {
        let Some(delivery) = self.deliveries.get_mut(&id) else {
            return;
        };
        delivery.in_flight_since = None;
        delivery.next_send = now + settings.resend_interval;
        if *contact == Contact::Unanswered {
            delivery.may_arrive_until = Some(now + settings.order_lifetime);
        }
    }

    /// Removes orders from the draft that have no further effect in the engine's
    /// incarnation and of which no copy can still be on its way. Orders of a former term
    /// are kept for `planner_lifetime` after the takeover, or, if the host that recorded
    /// them is known to be gone, for `order_lifetime` after this was learnt.
    pub(super) fn remove_settled(&mut self, now: Time) {
        let life = self.draft.life;
        let term = self.draft.term;
        let foreign_until = |intent: &Intent| -> Time {
            let sender = (intent.host.clone(), intent.host_life);
            self.gone_hosts
                .get(&sender)
                .map_or(self.taken_over + self.planner_lifetime, |at| {
                    self.taken_over.max(*at) + self.order_lifetime
                })
        };
        let deliveries = &mut self.deliveries;
        for delivery in deliveries.values_mut() {
            delivery.expire(now, self.order_lifetime);
        }
        let count = self.draft.intents.len();
        self.draft.intents.retain(|intent| {
            let delivery = deliveries.get(&intent.id);
            let may_arrive = delivery.is_some_and(|delivery| {
                delivery.in_flight_since.is_some()
                    || delivery.may_arrive_until.is_some_and(|until| now < until)
            });
            let foreign = intent.term != term && now < foreign_until(intent);
            intent.can_take_effect(life) || may_arrive || foreign
        });
        let remaining: BTreeSet<u64> = self.draft.intents.iter().map(|i| i.id).collect();
        deliveries.retain(|id, _| remaining.contains(id));
        if self.draft.intents.len() < count {
            self.cleanup_at = now + CLEANUP_DELAY;
        }
    }

    /// Stored orders that may have to be sent now. With `recheck`, also unloads that were
    /// sent already and may no longer be wanted.
    pub fn due_orders(&mut self, now: Time, recheck: bool) -> Vec<Intent> {
        self.remove_settled(now);
        let life = self.draft.life;
        self.confirmed()
            .filter(|intent| intent.can_take_effect(life) && !self.in_progress(intent))
            .filter(|intent| {
                let delivery = self.deliveries.get(&intent.id);
                let revocable = delivery.is_some_and(|s| s.sent_uncancelled && !s.cancelled)
                    && intent.unload().is_some();
                delivery.is_none_or(|s| s.is_due(now)) || (recheck && revocable)
            })
            .cloned()
            .collect()
    }

    /// The order to send for a recorded order, given the decision; `None` if nothing is to
    /// be sent now. A cancellation is sent at once, without waiting for the time of the
    /// next sending.
    pub fn order(
        &mut self,
        now: Time,
        term: u64,
        intent: &Intent,
        decision: Decision,
        resend: Duration,
    ) -> Option<Order> {
        let delivery = self.deliveries.entry(intent.id).or_default();
        let cancel = decision == Decision::Cancel;
        if decision == Decision::Wait || !(cancel || delivery.is_due(now)) {
            return None;
        }
        if delivery.in_flight_since.is_some() {
            delivery.may_arrive_until = Some(now + self.order_lifetime);
        }
        delivery.cancelled |= cancel;
        delivery.sent_uncancelled |= !delivery.cancelled;
        delivery.in_flight_since = Some(now);
        delivery.next_send = now + resend;
        let action = if delivery.cancelled {
            cancellation(&intent.action)
        } else {
            intent.action.clone()
        };
        Some(Order {
            id: intent.id,
            fence: term,
            action,
        })
    }

    /// Whether the last report shows that the engine is carrying the order out.
    fn in_progress(&self, intent: &Intent) -> bool {
        let (id, state) = match (intent.load(), intent.unload()) {
            (Some((id, _)), _) => (id, Residency::Loading),
            (_, Some(id)) => (id, Residency::Unloading),
            _ => return false,
        };
        let mut residents = self.report.iter().flat_map(|report| &report.residents);
        residents.any(|r| (&r.row, &r.version, r.state) == (&id.0, &id.1, state))
    }
}

impl Delivery {
    fn is_due(&self, now: Time) -> bool {
        self.next_send <= now && self.in_flight_since.is_none()
    }

    /// Stops waiting for the outcome of a sending that is overdue. The copy may still
    /// arrive.
    fn expire(&mut self, now: Time, lifetime: Duration) {
        let overdue = |at: &Time| now.since(*at) >= 2 * CONTACT_TIMEOUT;
        if let Some(at) = self.in_flight_since.take_if(|at| overdue(at)) {
            self.may_arrive_until = Some(at + lifetime);
        }
    }
}

/// The action of a cancellation: the unload of a version that doesn't exist.
fn cancellation(action: &Action) -> Action {
    let row = match action {
        Action::Load { row, .. } | Action::Unload { row, .. } | Action::Export { row, .. } => row,
        Action::Role { role } => role,
    };
    Action::Unload {
        row: row.clone(),
        version: "cancelled-order".into(),
    }
}
