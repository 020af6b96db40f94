//! A second run beside a slow first one, for urgent repeatable requests.

use crate::{
    Output, Router,
    life::{Life, Safety, Stage},
};
use mulberryrack_core::{
    Time,
    note::Counter,
    outcome::Retry,
    request::{Key, Priority},
};

impl Router {
    /// When a request is to be hedged, if it may be.
    pub(crate) fn hedge_due(&self, life: &Life) -> Option<Time> {
        let row = &self.rows.get(life.row).line;
        let [run] = life.runs.as_slice() else {
            return None;
        };
        let allowed = self.settings.hedge_factor > 0.0
            && row.priority == Priority::Urgent
            && life.safety == Safety::Repeatable
            && life.stage == Stage::Running
            && !life.hedged
            && !life.suspect
            && !run.open
            && !run.resumed;
        let wait = row.first_token.mul_f64(self.settings.hedge_factor);
        allowed.then(|| run.started + wait)
    }

    pub(crate) fn hedge(&mut self, now: Time, key: Key, out: &mut Vec<Output>) {
        let life = self.lives.get_mut(&key).expect("a running request");
        life.hedged = true;
        let beside = [life.runs[0].upstream];
        let Some(id) = self.pick(now, key, None, &beside) else {
            return;
        };
        if self.budget.spend() {
            out.push(Output::Count(Counter::Retried(Retry::Hedge)));
            self.run_on(now, key, id, out);
        }
    }
}
