//! Recorded orders on their way to one engine.

use super::{Engine, Sending, TIDY, Verdict};
use crate::{record::Intent, settings::Settings};
use mulberryrack_core::{
    Time,
    upstream::{Action, CONTACT_TIMEOUT, Contact, Order, Residency},
};
use std::{collections::BTreeSet, time::Duration};

impl Engine {
    /// Takes what came of sending an order.
    pub(super) fn answered(&mut self, now: Time, id: u64, contact: &Contact, settings: &Settings) {
        let Some(sending) = self.sends.get_mut(&id) else {
            return;
        };
        sending.outstanding = None;
        sending.next = now + settings.resend;
        if *contact == Contact::Unanswered {
            sending.uncertain = Some(now + settings.order_lifetime);
        }
    }

    /// Strikes out orders of which no copy can be on its way.
    pub(super) fn strike(&mut self, now: Time) {
        let life = self.draft.life;
        let term = self.draft.term;
        let kept = |intent: &Intent| -> Time {
            let sender = (intent.host.clone(), intent.host_life);
            self.gone
                .get(&sender)
                .map_or(self.adopted + self.planner_lifetime, |at| {
                    self.adopted.max(*at) + self.order_lifetime
                })
        };
        let sends = &mut self.sends;
        for sending in sends.values_mut() {
            sending.expire(now, self.order_lifetime);
        }
        let count = self.draft.intents.len();
        self.draft.intents.retain(|intent| {
            let sending = sends.get(&intent.id);
            let on_its_way = sending.is_some_and(|sending| {
                sending.outstanding.is_some() || sending.uncertain.is_some_and(|until| now < until)
            });
            let foreign = intent.term != term && now < kept(intent);
            intent.open(life) || on_its_way || foreign
        });
        let left: BTreeSet<u64> = self.draft.intents.iter().map(|i| i.id).collect();
        sends.retain(|id, _| left.contains(id));
        if self.draft.intents.len() < count {
            self.tidy_at = now + TIDY;
        }
    }

    /// Recorded orders that may have to be sent now; with `recheck` also unloads that were
    /// sent and may no longer be wanted.
    pub fn due(&mut self, now: Time, recheck: bool) -> Vec<Intent> {
        self.strike(now);
        let life = self.draft.life;
        self.confirmed()
            .filter(|intent| intent.open(life) && !self.under_way(intent))
            .filter(|intent| {
                let sending = self.sends.get(&intent.id);
                let revocable =
                    sending.is_some_and(|s| s.sent && !s.cancelled) && intent.unload().is_some();
                sending.is_none_or(|s| s.is_due(now)) || (recheck && revocable)
            })
            .cloned()
            .collect()
    }

    /// The order for an intent by what was judged of it. An unload that is no longer
    /// wanted is overtaken at once, not at its resend time.
    pub fn order(
        &mut self,
        now: Time,
        term: u64,
        intent: &Intent,
        verdict: Verdict,
        resend: Duration,
    ) -> Option<Order> {
        let sending = self.sends.entry(intent.id).or_default();
        let cancel = verdict == Verdict::Cancel;
        if verdict == Verdict::Wait || !(cancel || sending.is_due(now)) {
            return None;
        }
        if sending.outstanding.is_some() {
            sending.uncertain = Some(now + self.order_lifetime);
        }
        sending.cancelled |= cancel;
        sending.sent |= !sending.cancelled;
        sending.outstanding = Some(now);
        sending.next = now + resend;
        let action = if sending.cancelled {
            nothing(&intent.action)
        } else {
            intent.action.clone()
        };
        Some(Order {
            id: intent.id,
            fence: term,
            action,
        })
    }

    /// Whether the engine shows that it is carrying the order out.
    fn under_way(&self, intent: &Intent) -> bool {
        let (id, state) = match (intent.load(), intent.unload()) {
            (Some((id, _)), _) => (id, Residency::Loading),
            (_, Some(id)) => (id, Residency::Unloading),
            _ => return false,
        };
        let mut residents = self.report.iter().flat_map(|report| &report.residents);
        residents.any(|r| (&r.row, &r.version, r.state) == (&id.0, &id.1, state))
    }
}

impl Sending {
    fn is_due(&self, now: Time) -> bool {
        self.next <= now && self.outstanding.is_none()
    }

    /// Gives up waiting for a contact's outcome: the copy may still arrive.
    fn expire(&mut self, now: Time, lifetime: Duration) {
        let overdue = |at: &Time| now.since(*at) >= 2 * CONTACT_TIMEOUT;
        if let Some(at) = self.outstanding.take_if(|at| overdue(at)) {
            self.uncertain = Some(at + lifetime);
        }
    }
}

/// An order that does nothing, under the id of another: the unload of a version that
/// does not exist.
fn nothing(action: &Action) -> Action {
    let row = match action {
        Action::Load { row, .. } | Action::Unload { row, .. } | Action::Export { row, .. } => row,
        Action::Role { role } => role,
    };
    Action::Unload {
        row: row.clone(),
        version: "cancelled-order".into(),
    }
}
