//! Recorded orders on their way to engines, each judged again before it is sent.

use crate::{
    Output,
    cell::{Cell, Effects, Shared},
    engine::{Engine, Verdict},
    record::Intent,
};
use mulberryrack_core::{Name, Time, upstream::Action};

impl Cell {
    /// Sends the orders that are due. With `recheck` unloads that were sent before are
    /// judged again.
    pub fn send(
        &mut self,
        now: Time,
        term: u64,
        recheck: bool,
        shared: &Shared,
        fx: &mut Effects<'_>,
    ) {
        let mut due: Vec<(Name, Intent)> = Vec::new();
        for (name, engine) in &mut self.engines {
            if engine.holds(term) {
                let intents = engine.due(now, recheck).into_iter();
                due.extend(intents.map(|intent| (name.clone(), intent)));
            }
        }
        for (name, intent) in due {
            let verdict = self.judge(now, term, &name, &intent, shared);
            let Some(engine) = self.engines.get_mut(&name) else {
                continue;
            };
            let resend = shared.settings.resend;
            if let Some(order) = engine.order(now, term, &intent, verdict, resend) {
                fx.out.push(Output::Order {
                    engine: name,
                    address: engine.listing.address.clone(),
                    order,
                });
            }
        }
    }

    /// Whether a recorded order is still wanted.
    fn judge(
        &self,
        now: Time,
        term: u64,
        engine: &Name,
        intent: &Intent,
        shared: &Shared,
    ) -> Verdict {
        // What a former planner recorded may be sent by that planner at any time. Its ids
        // are used up, and what is still missing is ordered anew.
        if intent.term != term {
            return Verdict::Cancel;
        }
        match &intent.action {
            Action::Load { row, version, .. } => {
                let listed = shared.index.get(row).map(|&index| &shared.rows[index]);
                let current = listed.is_some_and(|row| row.version == *version);
                let stays = self.engines.get(engine).is_some_and(|e| !e.leaving());
                if current && stays {
                    Verdict::Send
                } else {
                    Verdict::Cancel
                }
            }
            Action::Unload { row, .. } if !shared.index.contains_key(row) => Verdict::Send,
            Action::Unload { row, version } => {
                self.judge_unload(now, (engine, row, version), shared)
            }
            _ => Verdict::Cancel,
        }
    }

    /// An unload goes out only while another copy is routable by a fresh report.
    fn judge_unload(&self, now: Time, copy: (&Name, &Name, &Name), shared: &Shared) -> Verdict {
        let (place, row, version) = copy;
        let base = shared.base(row);
        let mut verdict = Verdict::Cancel;
        for (name, engine) in &self.engines {
            if engine.leaving() || !engine.answers(now, shared.settings.lost) {
                continue;
            }
            let other = |v: &Name| (name, v) != (place, version);
            if !engine.routes(now, row, base.as_deref(), other, shared.settings.unroute) {
                continue;
            }
            if engine.fresh(now, shared.settings.poll) {
                return Verdict::Send;
            }
            verdict = Verdict::Wait;
        }
        verdict
    }
}

impl Engine {
    /// Whether a version of the row that `counts` is known as routable and still is.
    fn routes(
        &self,
        now: Time,
        row: &Name,
        base: Option<&str>,
        counts: impl Fn(&Name) -> bool,
        spread: std::time::Duration,
    ) -> bool {
        let residents = self.report.iter().flat_map(|report| &report.residents);
        let mut versions = residents.filter(|r| r.row == *row).map(|r| &r.version);
        versions.any(|version| {
            counts(version)
                && self.known_routable(now, row, version, spread)
                && self.routable(row, version, base)
        })
    }
}
