//! Sending of a cell's recorded orders. Whether an order is still wanted is decided again
//! each time before it is sent.

use crate::{
    Output,
    cell::{Cell, Effects, Shared},
    engine::{Decision, Engine},
    record::Intent,
};
use mulberryrack_core::{Name, Time, upstream::Action};

impl Cell {
    /// Sends the orders that are due. With `recheck`, also decides again about unloads that
    /// were sent before, and cancels those that are no longer wanted.
    pub fn send_due(
        &mut self,
        now: Time,
        term: u64,
        recheck: bool,
        shared: &Shared,
        fx: &mut Effects<'_>,
    ) {
        let mut due: Vec<(Name, Intent)> = Vec::new();
        for (name, engine) in &mut self.engines {
            if engine.is_recorded_by(term) {
                let intents = engine.due_orders(now, recheck).into_iter();
                due.extend(intents.map(|intent| (name.clone(), intent)));
            }
        }
        for (name, intent) in due {
            let decision = self.decide(now, term, &name, &intent, shared);
            let Some(engine) = self.engines.get_mut(&name) else {
                continue;
            };
            let resend = shared.settings.resend_interval;
            if let Some(order) = engine.order(now, term, &intent, decision, resend) {
                fx.out.push(Output::Order {
                    engine: name,
                    address: engine.listing.address.clone(),
                    order,
                });
            }
        }
    }

    /// Whether a recorded order is still wanted.
    fn decide(
        &self,
        now: Time,
        term: u64,
        engine: &Name,
        intent: &Intent,
        shared: &Shared,
    ) -> Decision {
        // A former planner may still send its own orders at any time. Their ids are used up
        // by cancellations, and what is still missing is ordered again.
        if intent.term != term {
            return Decision::Cancel;
        }
        match &intent.action {
            Action::Load { row, version, .. } => {
                let listed = shared
                    .row_index
                    .get(row)
                    .map(|&row_index| &shared.rows[row_index]);
                let current = listed.is_some_and(|row| row.version == *version);
                let remains = self.engines.get(engine).is_some_and(|e| !e.leaving());
                if current && remains {
                    Decision::Send
                } else {
                    Decision::Cancel
                }
            }
            Action::Unload { row, .. } if !shared.row_index.contains_key(row) => Decision::Send,
            Action::Unload { row, version } => {
                self.decide_unload(now, (engine, row, version), shared)
            }
            _ => Decision::Cancel,
        }
    }

    /// An unload is sent only while another copy of the row is routable according to a
    /// fresh report. If the report is not fresh, the unload waits; if there is no other
    /// copy, it is cancelled.
    fn decide_unload(&self, now: Time, copy: (&Name, &Name, &Name), shared: &Shared) -> Decision {
        let (engine_name, row, version) = copy;
        let base = shared.base(row);
        let mut decision = Decision::Cancel;
        for (name, engine) in &self.engines {
            if engine.leaving() || !engine.answers(now, shared.settings.lost_timeout) {
                continue;
            }
            let is_other = |v: &Name| (name, v) != (engine_name, version);
            if !engine.has_routable(
                now,
                row,
                base.as_deref(),
                is_other,
                shared.settings.unroute_delay,
            ) {
                continue;
            }
            if engine.has_fresh_report(now, shared.settings.poll_interval) {
                return Decision::Send;
            }
            decision = Decision::Wait;
        }
        decision
    }
}

impl Engine {
    /// Whether the engine has a routable copy of the row, in a version that `accepts`
    /// admits, that has been published long enough for all hosts to know (`spread`).
    fn has_routable(
        &self,
        now: Time,
        row: &Name,
        base: Option<&str>,
        accepts: impl Fn(&Name) -> bool,
        spread: std::time::Duration,
    ) -> bool {
        let residents = self.report.iter().flat_map(|report| &report.residents);
        let mut versions = residents.filter(|r| r.row == *row).map(|r| &r.version);
        versions.any(|version| {
            accepts(version)
                && self.known_routable(now, row, version, spread)
                && self.routable(row, version, base)
        })
    }
}
