//! Orders to an engine, and what they set going.

use super::{Engine, Output, Ticket, owner};
use mulberryrack_core::{
    Time,
    upstream::{Action, Contact, Order, Residency, Resident},
};

impl Engine {
    /// Takes an order, loses it or puts it off.
    pub(super) fn order(&mut self, now: Time, ticket: Ticket, order: Order, out: &mut Vec<Output>) {
        self.orders += 1;
        if self.order_loss > 0 && self.orders.is_multiple_of(self.order_loss) {
            return;
        }
        if let Some(delay) = self.order_delay {
            return self.late.push((now + delay, order));
        }
        let mut contact = self.carry_out(now, &order, out);
        if let Contact::Report(report) = &mut contact {
            self.fill(now, report);
        }
        out.push(Output::Contact { ticket, contact });
    }

    pub(super) fn carry_out(&mut self, now: Time, order: &Order, out: &mut Vec<Output>) -> Contact {
        let contact = self.memory.order(now, order);
        if let Contact::Report(report) = &contact {
            self.follow(&order.action, &report.residents, out);
        }
        contact
    }

    /// Sets going what an order needs from others.
    fn follow(&mut self, action: &Action, residents: &[Resident], out: &mut Vec<Output>) {
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
                if loading && self.fetching.insert((row.clone(), version.clone())) {
                    out.push(Output::Fetch {
                        row: row.clone(),
                        memory_mb: *memory_mb,
                        incarnation: self.memory.incarnation(),
                    });
                }
            }
            Action::Unload { row, version } => {
                self.fetching.remove(&(row.clone(), version.clone()));
            }
            Action::Export { row, to } => {
                let ready = residents
                    .iter()
                    .find(|resident| resident.row == *row && resident.state != Residency::Loading);
                out.extend(ready.map(|resident| Output::Export {
                    to: to.clone(),
                    row: row.clone(),
                    version: resident.version.clone(),
                    blocks: self.cache.blocks(&owner(row, &resident.version)),
                }));
            }
            Action::Role { .. } => {}
        }
    }
}
