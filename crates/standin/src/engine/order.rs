//! Orders to an engine, and the transfers that they start.

use super::{Engine, Output, Ticket, cache_owner};
use mulberryrack_core::{
    Time,
    upstream::{Action, Contact, Order, Residency, Resident},
};

impl Engine {
    /// Carries out an order and answers it; loses or delays the order, without an answer, if
    /// such a fault is switched on.
    pub(super) fn handle_order(
        &mut self,
        now: Time,
        ticket: Ticket,
        order: Order,
        out: &mut Vec<Output>,
    ) {
        self.order_count += 1;
        if self.lose_order_one_in > 0 && self.order_count.is_multiple_of(self.lose_order_one_in) {
            return;
        }
        if let Some(delay) = self.order_delay {
            return self.delayed_orders.push((now + delay, order));
        }
        let mut contact = self.carry_out(now, &order, out);
        if let Contact::Report(report) = &mut contact {
            self.add_load(now, report);
        }
        out.push(Output::Contact { ticket, contact });
    }

    pub(super) fn carry_out(&mut self, now: Time, order: &Order, out: &mut Vec<Output>) -> Contact {
        let contact = self.memory.order(now, order);
        if let Contact::Report(report) = &contact {
            self.start_transfers(&order.action, &report.residents, out);
        }
        contact
    }

    /// Starts what an order needs from others: fetching weights from the weight store, or
    /// exporting the prefix cache to another engine.
    fn start_transfers(&mut self, action: &Action, residents: &[Resident], out: &mut Vec<Output>) {
        match action {
            Action::Load {
                row,
                version,
                memory_mb,
                ..
            } => {
                let loading = residents.iter().any(|resident| {
                    resident.row == *row
                        && resident.version == *version
                        && resident.state == Residency::Loading
                });
                if loading
                    && self
                        .fetches_in_flight
                        .insert((row.clone(), version.clone()))
                {
                    out.push(Output::Fetch {
                        row: row.clone(),
                        memory_mb: *memory_mb,
                        incarnation: self.memory.incarnation(),
                    });
                }
            }
            Action::Unload { row, version } => {
                self.fetches_in_flight
                    .remove(&(row.clone(), version.clone()));
            }
            Action::Export { row, to } => {
                let ready = residents
                    .iter()
                    .find(|resident| resident.row == *row && resident.state != Residency::Loading);
                out.extend(ready.map(|resident| Output::Export {
                    to: to.clone(),
                    row: row.clone(),
                    version: resident.version.clone(),
                    blocks: self.cache.blocks(&cache_owner(row, &resident.version)),
                }));
            }
            Action::Role { .. } => {}
        }
    }
}
