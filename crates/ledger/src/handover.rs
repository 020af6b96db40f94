//! Handing a shard over cleanly: to the host that has become first choice, or because
//! this host leaves.

use crate::{
    context::Context,
    life::Life,
    owner::{Closing, Owner},
};
use mulberryrack_core::Time;

impl Owner {
    /// Begins to hand the shard over when it should go and the service takes writes.
    pub fn pump_closing(&mut self, context: &mut Context) -> Option<Time> {
        let failing = self.flight.as_ref().is_some_and(|flight| flight.failed);
        if !self.established || failing {
            if !self.handing_over() {
                self.closing = None;
            }
            return None;
        }
        if self.closing.is_some() {
            return None;
        }
        let first = context.first(self.shard);
        if context.leaving {
            self.closing = Some(Closing { to: first });
            return None;
        }
        self.displace(context, first)
    }

    fn displace(&mut self, context: &Context, first: Option<Life>) -> Option<Time> {
        let Some(first) = first.filter(|first| *first != context.me) else {
            self.displaced = None;
            return None;
        };
        let since = *self.displaced.get_or_insert(context.now);
        let settled = since + context.settings.settle;
        if context.now < settled {
            return Some(settled);
        }
        self.displaced = None;
        self.closing = Some(Closing { to: Some(first) });
        None
    }
}
