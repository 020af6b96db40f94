//! Speeds of engines, and the pauses of their streams, as all hosts measure them. A measurement goes to
//! the other hosts in the next notice of a prompt.

use crate::{
    gate::{Gate, MAX_SAMPLE_BACKLOG_MS},
    read_time::{MIN_SAMPLE_TOKENS, OVERHEAD_MS, ReadSample},
    request::{Ending, RequestState, Target},
    upstreams::UpstreamId,
};
use mulberryrack_core::{Name, Time, hash};
use mulberryrack_site::request::Generation;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Samples that wait for a notice at most. A dispatch makes at most one sample and one notice, so
/// that more are left only after a time without prompts.
const MAX_PENDING_SAMPLES: usize = 8;
/// Age from which a sample is not sent any more.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);
/// Bound of a sample's logarithm, in hundredths: a factor of 4.5.
const MAX_HUNDREDTHS: i16 = 150;
/// Shortest time between two log lines on the speed of one engine.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Samples from which on the planner uses a learned speed; models are not moved for the first few.
const MIN_KNOWN_SAMPLES: u32 = 10;

/// What a host has measured of an engine with one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedSample {
    /// Key of the engine's incarnation: a hash of its name and its start.
    pub engine: u32,
    /// Logarithm of the measured over the expected time, less the host's mean over all engines with
    /// the model, in hundredths; `None` if the time says little about the engine.
    pub log_hundredths: Option<i16>,
    /// Whether a pause of the stream exceeded its gap target; `None` without such a target.
    pub is_paused: Option<bool>,
}

impl SpeedSample {
    /// Key of an engine's incarnation. With 10,000 engines, two have the same key in one of a hundred
    /// deployments; the later one then gets the samples of both.
    #[must_use]
    pub fn key(engine: &str, started_ms: u64) -> u32 {
        #[allow(clippy::cast_possible_truncation)]
        let key = hash::stable(engine.as_bytes(), started_ms) as u32;
        key
    }

    /// A sample of a time, as its logarithm in relation to the mean, and of a stream; larger
    /// logarithms are cut off.
    #[must_use]
    pub fn new(engine: u32, log_excess: Option<f64>, is_paused: Option<bool>) -> Self {
        let bound = f64::from(MAX_HUNDREDTHS);
        #[allow(clippy::cast_possible_truncation)]
        let hundredths = |log: f64| (log * 100.0).clamp(-bound, bound).round() as i16;
        Self {
            engine,
            log_hundredths: log_excess.map(hundredths),
            is_paused,
        }
    }

    /// Logarithm of the measured over the expected time, less the mean.
    #[must_use]
    pub fn log_excess(self) -> Option<f64> {
        self.log_hundredths.map(|it| f64::from(it) / 100.0)
    }

    /// The sample as an integer for a datagram, without the engine: in steps of four, 0 without a
    /// logarithm, or 1 to 301; and 0 without a stream, 1 for one without a long pause, or 2. At most
    /// two bytes as a varint.
    #[must_use]
    pub fn encode(self) -> u32 {
        let steps = self.log_hundredths.map_or(0, |it| {
            let steps = it.clamp(-MAX_HUNDREDTHS, MAX_HUNDREDTHS) + MAX_HUNDREDTHS + 1;
            u32::from(steps.unsigned_abs())
        });
        let pause = match self.is_paused {
            None => 0,
            Some(false) => 1,
            Some(true) => 2,
        };
        steps << 2 | pause
    }

    /// The sample of an engine from a datagram; `None` if it has none that this version knows.
    #[must_use]
    pub fn decode(engine: u32, encoded: u32) -> Option<Self> {
        let is_paused = match encoded & 3 {
            0 => None,
            1 => Some(false),
            2 => Some(true),
            _ => return None,
        };
        let steps = i16::try_from(encoded >> 2).ok()?;
        let log_hundredths = (steps > 0).then_some(steps - MAX_HUNDREDTHS - 1);
        let is_bounded = log_hundredths.is_none_or(|it| it <= MAX_HUNDREDTHS);
        (encoded > 0 && is_bounded).then_some(Self {
            engine,
            log_hundredths,
            is_paused,
        })
    }
}

/// The samples of this host that no notice has carried yet, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingSamples {
    samples: VecDeque<(Time, SpeedSample)>,
}

impl PendingSamples {
    fn push(&mut self, now: Time, sample: SpeedSample) {
        if self.samples.len() >= MAX_PENDING_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, sample));
    }

    /// Removes and returns the oldest sample that is not too old.
    pub fn take(&mut self, now: Time) -> Option<SpeedSample> {
        while let Some((measured_at, sample)) = self.samples.pop_front() {
            if now.since(measured_at) <= MAX_SAMPLE_AGE {
                return Some(sample);
            }
        }
        None
    }
}

/// What is known of an upstream's speed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Speed {
    /// Name of the upstream.
    pub upstream: Name,
    /// How long requests take there, as a multiple of the usual time.
    pub slowness: f64,
    /// Samples of this host and of the others since the upstream's start.
    pub samples: u32,
    /// Share of its streams with a pause over the gap target.
    pub pause_share: f64,
}

impl Gate {
    /// Records the first event of an answer, which arrived `took` after the dispatch: the
    /// engine has read the prompt.
    pub fn record_first_event(
        &mut self,
        request: &mut RequestState,
        target: &Target,
        took: Duration,
    ) {
        request.may_have_run = true;
        request.stream_begun |= request.route.streaming;
        let Some(it) = &request.head.generation else {
            return;
        };
        let is_alone = target.backlog_ms < MAX_SAMPLE_BACKLOG_MS;
        let at = request.dispatched_at + took;
        let took = took.saturating_sub(request.unread);
        if self.is_balanced_evenly(&request.service) {
            request.log_excess = self.record_even_samples(at, it, target, took, is_alone);
        } else if is_alone {
            self.read_times
                .record_sample(&it.model, target.read_ms, took);
        }
    }

    /// Records the time to a first event as a sample of the engine's speed; and of the undisturbed
    /// reading time if the prompt should have been alone and the engine says that none waited.
    /// Returns the sample of the speed: the logarithm of the time in relation to the mean.
    fn record_even_samples(
        &mut self,
        now: Time,
        generation: &Generation,
        target: &Target,
        took: Duration,
        is_alone: bool,
    ) -> Option<f64> {
        if target.uncached_tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let upstream = self.upstreams.get_mut(target.id);
        let own_tokens = generation.prompt_parts.last().map(|part| part.tokens);
        let sample = ReadSample {
            tokens: target.uncached_tokens,
            is_certain: own_tokens.is_some_and(|own| target.uncached_tokens <= own),
            took,
            slowness: upstream.load.slowness(now),
        };
        // A time that consists of waiting for other prompts says little about the engine.
        let log_excess = (target.backlog_ms <= target.read_ms).then(|| {
            let expected_ms = OVERHEAD_MS + (target.backlog_ms + target.read_ms) / target.slowness;
            let service = upstream.registration.service.clone();
            let key = (service, Some(generation.model.clone()));
            let ratio = self.time_ratios.entry(key).or_default();
            let measured_ms = took.as_secs_f64() * 1_000.0;
            upstream
                .load
                .record_time(now, ratio, measured_ms, expected_ms)
        });
        let is_crowded = upstream
            .load_report
            .is_some_and(|(report, at, _)| report.waiting > 0 && now.since(at) <= took);
        if is_alone && !is_crowded {
            self.read_times.record_low_sample(&generation.model, sample);
        }
        log_excess
    }

    /// Records the longest pause between two events of a request's answer, at the end of its only
    /// dispatch. A pause from one dispatch to the next says nothing about either engine.
    pub fn record_longest_pause(&self, request: &mut RequestState, longest: Duration) {
        let is_sample = request.stream_begun
            && request.charge.arrivals == 1
            && request.head.generation.is_some()
            && self.is_balanced_evenly(&request.service);
        let gap_target = request.route.gap_target.filter(|_| is_sample);
        request.is_paused = gap_target.map(|target| longest > target);
    }

    /// Records the pause of a request's last dispatch, if it was complete, and has what was measured
    /// sent with the next notice. What an earlier incarnation of the upstream took says nothing about
    /// the present one.
    pub(crate) fn share_sample(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
        ending: Ending,
    ) {
        let log_excess = request.log_excess.take();
        let is_paused = request.is_paused.take().filter(|_| ending == Ending::Done);
        let upstream = self.upstreams.get_mut(id);
        let is_present = upstream.registration.started_ms == request.incarnation;
        if !self.tuning.shares_speeds
            || !is_present
            || (log_excess.is_none() && is_paused.is_none())
        {
            return;
        }
        if let Some(is_paused) = is_paused {
            upstream.pauses.record(now, is_paused);
            let service = upstream.registration.service.clone();
            let tokens = request.head.generation.as_ref().map(|it| it.output_tokens);
            let service_load = self.service_loads.entry(service).or_default();
            service_load.record_stream(f64::from(tokens.unwrap_or(0)));
        }
        let sample = SpeedSample::new(upstream.incarnation_key(), log_excess, is_paused);
        self.pending_samples.push(now, sample);
    }

    /// Records what another host has measured of an engine. Only own samples are sent on.
    pub(crate) fn record_shared_sample(&mut self, now: Time, sample: SpeedSample) {
        let Some(id) = self.upstreams.find_incarnation(sample.engine) else {
            return;
        };
        let service = self.upstreams.get(id).registration.service.clone();
        if !self.tuning.shares_speeds || !self.is_balanced_evenly(&service) {
            return;
        }
        let upstream = self.upstreams.get_mut(id);
        if let Some(log_excess) = sample.log_excess() {
            upstream.load.record_shared(now, log_excess);
        }
        if let Some(is_paused) = sample.is_paused {
            upstream.pauses.record(now, is_paused);
        }
    }

    /// How long work takes on each registered upstream of a service that is balanced evenly, as a
    /// multiple of the usual time, where enough was measured; empty unless speeds are shared.
    #[must_use]
    pub fn learned_slowness(&self, now: Time) -> BTreeMap<Name, f64> {
        let known = self.upstreams.iter().filter(|(_, upstream)| {
            self.tuning.shares_speeds
                && upstream.registered
                && upstream.load.samples() >= MIN_KNOWN_SAMPLES
                && self.is_balanced_evenly(&upstream.registration.service)
        });
        known
            .map(|(_, upstream)| {
                let name = upstream.registration.id.clone();
                (name, upstream.load.learned_slowness(now))
            })
            .collect()
    }

    /// The speed of an upstream, to be logged now; `None` if nothing was measured, or if it was
    /// returned less than 10 s ago.
    pub fn speed_to_log(&mut self, now: Time, id: UpstreamId) -> Option<Speed> {
        let upstream = self.upstreams.get_mut(id);
        let samples = upstream.load.samples();
        let is_due = upstream
            .speed_logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if samples == 0 || !is_due {
            return None;
        }
        upstream.speed_logged_at = Some(now);
        Some(Speed {
            upstream: upstream.registration.id.clone(),
            slowness: upstream.load.slowness(now),
            samples,
            pause_share: upstream.pauses.at(now),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against samples that change on the way, and against figures of no sample.
    #[test]
    fn a_sample_is_the_same_after_the_datagram() {
        for log in [-9.0, -1.5, -0.42, 0.0, 0.31, 1.5, 9.0] {
            for is_paused in [None, Some(false), Some(true)] {
                let sample = SpeedSample::new(7, Some(log), is_paused);
                let log_excess = sample.log_excess().expect("measured");
                assert!((log_excess - log.clamp(-1.5, 1.5)).abs() < 0.006);
                assert!(sample.encode() < 1 << 14, "more than two bytes");
                assert_eq!(SpeedSample::decode(7, sample.encode()), Some(sample));
            }
        }
        let paused = SpeedSample::new(7, None, Some(true));
        assert_eq!(SpeedSample::decode(7, paused.encode()), Some(paused));
        for encoded in [0, 3, 7, 302 << 2, u32::MAX] {
            assert_eq!(SpeedSample::decode(7, encoded), None);
        }
    }

    /// Guards against a sample that is sent twice, and against one that is sent long after it was
    /// measured.
    #[test]
    fn a_sample_is_taken_once_and_while_it_is_new() {
        let mut pending = PendingSamples::default();
        let at = Time::from_millis;
        for engine in 0..10 {
            pending.push(
                at(u64::from(engine) * 1_000),
                SpeedSample::new(engine, Some(0.0), None),
            );
        }
        let taken: Vec<u32> = std::iter::from_fn(|| pending.take(at(15_000)))
            .map(|sample| sample.engine)
            .collect();
        assert_eq!(taken, [5, 6, 7, 8, 9]);
    }
}
