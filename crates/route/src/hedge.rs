//! Hedging: a second run beside a slow first one, for urgent repeatable requests.

use crate::{
    Output, Router,
    active::{ActiveRequest, RunPolicy, Stage},
};
use mulberryrack_core::{
    Time,
    note::Counter,
    outcome::Retry,
    request::{Key, Priority},
};

impl Router {
    /// When a request is to be hedged; `None` if it must not be.
    pub(crate) fn hedge_due(&self, req: &ActiveRequest) -> Option<Time> {
        let row = &self.rows.get(req.row).definition;
        let [run] = req.runs.as_slice() else {
            return None;
        };
        let allowed = self.settings.hedge_factor > 0.0
            && row.priority == Priority::Urgent
            && req.run_policy == RunPolicy::Repeatable
            && req.stage == Stage::Running
            && !req.hedged
            && !req.suspect
            && !run.head_received
            && !run.resumed;
        let wait = row.first_token.mul_f64(self.settings.hedge_factor);
        allowed.then(|| run.started + wait)
    }

    pub(crate) fn hedge(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let req = self.requests.get_mut(&key).expect("a running request");
        req.hedged = true;
        let beside = [req.runs[0].upstream];
        let Some(id) = self.choose_upstream(now, key, None, &beside) else {
            return;
        };
        if self.retry_budget.try_spend() {
            out.push(Output::Count(Counter::Retried(Retry::Hedge)));
            self.start_run(now, key, id, out);
        }
    }
}
