//! Frames between hosts and calls to the key-value service, with their faults.

use super::{Event, GivenVerdict, RequestState, World};
use mulberryrack_core::{
    Incarnation, Name, Time,
    claim::Verdict,
    kv::{self, CallId, Fault, Outcome},
    request,
};
use mulberryrack_ledger::{Input, Output};
use mulberryrack_wire::ledger::Frame;
use prost::Message;
use std::time::Duration;

impl World {
    pub fn handle_output(&mut self, from: &Name, life: Incarnation, output: Output) {
        match output {
            Output::Frame {
                to,
                incarnation,
                frame,
            } => self.send_frame(from, life, &to, incarnation, &frame),
            Output::Kv { token, op } => self.call_service(from, life, token, op),
            Output::Verdict { request, verdict } => self.add_verdict(from, life, request, verdict),
            Output::Left => {
                if let Some(host) = self.hosts.get_mut(from) {
                    host.left = true;
                }
            }
            Output::Note(_) => {}
            Output::Count(counter) => *self.counts.entry(counter).or_default() += 1,
        }
    }

    fn add_verdict(
        &mut self,
        from: &Name,
        life: Incarnation,
        request: request::Key,
        verdict: Verdict,
    ) {
        if let Some(host) = self.hosts.get_mut(from) {
            let state = if verdict == Verdict::Granted {
                RequestState::Running
            } else {
                RequestState::Answered
            };
            host.requests.insert(request, state);
        }
        self.verdicts.push(GivenVerdict {
            host: from.clone(),
            incarnation: life,
            request,
            verdict,
            at: self.now,
        });
    }

    fn send_frame(
        &mut self,
        from: &Name,
        life: Incarnation,
        to: &Name,
        incarnation: Option<Incarnation>,
        frame: &Frame,
    ) {
        let copies = if self.chance(self.faults.duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance(self.faults.loss) || self.cut_links.contains(&(from.clone(), to.clone()))
            {
                continue;
            }
            let bytes = frame.encode_to_vec();
            let frame = Frame::decode(bytes.as_slice()).expect("what was encoded");
            let at = self.now + self.random_duration(self.faults.max_delay);
            let input = Input::Frame {
                from: from.clone(),
                incarnation: life,
                frame,
            };
            let target = incarnation.unwrap_or(Incarnation(0));
            self.schedule(
                at,
                Event::Input {
                    to: to.clone(),
                    incarnation: target,
                    input,
                },
            );
        }
    }

    fn call_service(&mut self, from: &Name, life: Incarnation, token: CallId, op: kv::Op) {
        self.writes += u64::from(matches!(op, kv::Op::Put { .. } | kv::Op::Delete { .. }));
        if let kv::Op::Put { key, .. } = &op
            && self.refused_keys.is_some_and(|part| key.contains(part))
        {
            self.schedule_reply(from, life, token, Err(Fault::NotApplied));
            return;
        }
        if self.service_down || self.unreachable.contains(from) {
            let fault = if self.chance(0.5) {
                Fault::NotApplied
            } else {
                Fault::Unknown
            };
            self.schedule_reply(from, life, token, Err(fault));
            return;
        }
        let lost = self.chance(self.faults.lost_answers);
        let late = lost && self.chance(self.faults.late);
        let max_time = if late {
            Duration::from_secs(10)
        } else {
            self.faults.max_service_time
        };
        let at = self.now + self.random_duration(max_time);
        self.schedule(
            at,
            Event::Call {
                from: from.clone(),
                incarnation: life,
                token,
                op,
                answer: !lost,
            },
        );
        if lost && self.chance(0.5) {
            self.schedule_reply(from, life, token, Err(Fault::Unknown));
        }
    }

    fn schedule_reply(&mut self, to: &Name, life: Incarnation, token: CallId, outcome: Outcome) {
        let at = self.now + self.random_duration(self.faults.max_service_time);
        self.schedule(
            at,
            Event::Input {
                to: to.clone(),
                incarnation: life,
                input: Input::Kv { token, outcome },
            },
        );
    }

    pub fn process(&mut self, event: Event) {
        match event {
            Event::Input {
                to,
                incarnation,
                input,
            } => {
                let current = self.hosts.get(&to).map(|host| host.incarnation);
                if current.is_some_and(|life| incarnation.0 == 0 || life == incarnation) {
                    self.input(&to, input);
                }
            }
            Event::Call {
                from,
                incarnation,
                token,
                op,
                answer,
            } => {
                if self.service_down {
                    return;
                }
                let reply = self.store.call(self.now, &op);
                if let Some(reply) = reply.filter(|_| answer) {
                    self.schedule_reply(&from, incarnation, token, Ok(reply));
                }
            }
        }
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.last_event += 1;
        self.events.insert((time, self.last_event), event);
    }
}
