//! Handover of a shard by its owner: to the host that has become the preferred owner, or
//! because this host leaves.

use crate::{
    context::Context,
    life::Life,
    owner::{Handover, Owner},
};
use mulberryrack_core::Time;

impl Owner {
    /// Starts a handover if this host leaves or another host has been the preferred owner
    /// for long enough, and gives an unwritten handover up while the service fails. Returns
    /// when to poll again.
    pub fn poll_handover(&mut self, context: &mut Context) -> Option<Time> {
        let failing = self.entry_write.as_ref().is_some_and(|write| write.failed);
        if !self.established || failing {
            if !self.handing_over() {
                self.handover = None;
            }
            return None;
        }
        if self.handover.is_some() {
            return None;
        }
        let preferred = context.preferred_owner(self.shard);
        if context.leaving {
            self.handover = Some(Handover { to: preferred });
            return None;
        }
        self.poll_displacement(context, preferred)
    }

    fn poll_displacement(&mut self, context: &Context, preferred: Option<Life>) -> Option<Time> {
        let Some(preferred) = preferred.filter(|preferred| *preferred != context.me) else {
            self.displaced_since = None;
            return None;
        };
        let since = *self.displaced_since.get_or_insert(context.now);
        let handover_at = since + context.settings.handover_delay;
        if context.now < handover_at {
            return Some(handover_at);
        }
        self.displaced_since = None;
        self.handover = Some(Handover {
            to: Some(preferred),
        });
        None
    }
}
