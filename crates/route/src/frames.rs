//! Handling of frames from other hosts.

use crate::{Output, Router};
use mulberryrack_core::{Incarnation, Name, Time};
use mulberryrack_wire::route::{Frame, frame::Body};

impl Router {
    pub(crate) fn on_frame(
        &mut self,
        now: Time,
        from: &Name,
        incarnation: Incarnation,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        let Some(body) = frame.body else { return };
        match body {
            Body::Survey(survey) => self.on_survey(from, incarnation, &survey, out),
            Body::Held(held) => self.on_held(now, from, incarnation, &held, out),
            Body::Want(want) => self.on_want(now, from, incarnation, &want, out),
            Body::Allow(allow) => self.on_allow(now, from, &allow),
            Body::Recall(recall) => self.on_recall(now, from, &recall, out),
            Body::Keep(keep) => self.on_keep(now, from, incarnation, &keep, out),
            Body::Follow(follow) => self.on_follow(from, incarnation, &follow, out),
            Body::Isolate(isolate) => self.on_isolate(now, from, incarnation, &isolate, out),
            Body::Isolated(isolated) => self.on_isolated(now, &isolated),
            Body::Part(part) => self.on_part(now, from, incarnation, part, out),
        }
    }
}
