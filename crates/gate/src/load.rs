//! Estimates the load and the speed of an upstream between its reports.
//!
//! A report is many seconds old when a request is decided on: of the requests that it counts, some
//! have ended since, and other hosts have sent more. A request of another host is taken to end
//! after an exponentially distributed time with the mean of this host's own requests, so that one
//! number and its time stand for any number of reports and notices.

use mulberryrack_core::Time;
use std::time::Duration;

/// Time that a request takes before any has ended.
const DEFAULT_REQUEST_MS: f64 = 1_000.0;
/// Weight of the newest request in the means of a service.
const SERVICE_GAIN: f64 = 0.02;
/// Weight of the newest report in an upstream's usual number of requests of other hosts.
const USUAL_GAIN: f64 = 0.2;
/// Weight of the newest request in an upstream's slowness. The time to one first event varies by a
/// factor of two; a tenth leaves a standard error of a fifth.
const SLOWNESS_GAIN: f64 = 0.1;
/// [`SLOWNESS_GAIN`] once other hosts share their samples: there are many times more of them, and a
/// smaller weight leaves a smaller error.
const SHARED_SLOWNESS_GAIN: f64 = 0.03;
/// Distance of the logarithm from which on another host's sample counts no more than one at this
/// distance: a factor of 1.4. At a factor of two, one host of 24 with wrong samples doubled the pauses
/// over the gap target in the model of the tests.
const MAX_SHARED_DISTANCE: f64 = 0.35;
/// Bounds of the slowness; the machines of the users differ by a factor of about two.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Bound of the logarithm of one measured over the expected time.
const MAX_LOG_RATIO: f64 = 1.5;
/// Time after which the logarithm of a slowness counts half if the upstream gets no more requests.
const SLOWNESS_HALF_LIFE_S: f64 = 300.0;
/// Samples that the assumption of the usual speed weighs as much as. A host contacts an engine about
/// once in ten seconds and would need minutes with a fixed weight of each sample.
const PRIOR_SAMPLES: u32 = 2;
/// Time for which an upstream's statement of how long work takes on its machine is used; it changes
/// many times a second.
const WORK_TIME_VALIDITY: Duration = Duration::from_secs(1);

/// What the requests of all upstreams of a service have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLoad {
    /// Mean time that a request is at its upstream, in milliseconds.
    pub request_ms: f64,
    /// Whether hosts announce the requests that they send.
    has_notices: bool,
    /// Mean of the requests of other hosts in the reports of all upstreams.
    usual_others: f64,
    /// Requests that have ended.
    ended: u32,
    /// Mean number of output tokens of the streams with a gap target, and their number.
    stream_tokens: f64,
    streams: u32,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        Self {
            request_ms: DEFAULT_REQUEST_MS,
            has_notices: false,
            usual_others: 0.0,
            ended: 0,
            stream_tokens: 0.0,
            streams: 0,
        }
    }
}

impl ServiceLoad {
    /// Records the time that a request was at its upstream.
    pub fn record_request(&mut self, took: Duration) {
        self.ended = self.ended.saturating_add(1);
        let gain = (1.0 / f64::from(self.ended)).max(SERVICE_GAIN);
        self.request_ms += gain * (took.as_secs_f64() * 1_000.0 - self.request_ms);
    }

    /// Records the output tokens of a stream with a gap target.
    pub fn record_stream(&mut self, tokens: f64) {
        self.streams = self.streams.saturating_add(1);
        let gain = (1.0 / f64::from(self.streams)).max(SERVICE_GAIN);
        self.stream_tokens += gain * (tokens - self.stream_tokens);
    }

    /// The output tokens of a stream in relation to the mean; 1 while no stream has ended.
    pub fn stream_length(&self, tokens: f64) -> f64 {
        if self.stream_tokens >= 1.0 {
            tokens / self.stream_tokens
        } else {
            1.0
        }
    }
}

/// The measured times of requests of one kind, in relation to the expected ones, over all upstreams:
/// of the prompts of one model, or of the requests to a plain service. Waits that all of them have in
/// common say nothing about one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeRatio {
    /// Mean logarithm of the measured over the expected times.
    mean_log: f64,
    samples: u32,
}

impl TimeRatio {
    /// Records the logarithm of a measured over its expected time. Returns by how much it exceeds
    /// the mean.
    fn record(&mut self, log_ratio: f64) -> f64 {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(SERVICE_GAIN);
        self.mean_log += gain * (log_ratio - self.mean_log);
        log_ratio - self.mean_log
    }
}

/// The load of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Requests of other hosts at the time `counted_at`.
    others: f64,
    counted_at: Time,
    /// Mean of the requests of other hosts in the reports of this upstream; `None` without any.
    usual_others: Option<f64>,
    /// Logarithm of the learned slowness at the time `slowness_at`.
    log_slowness: f64,
    slowness_at: Time,
    samples: u32,
    /// Whether other hosts have sent samples.
    is_shared: bool,
    /// How long work takes on the machine, as a multiple of the usual time, and when it said so.
    work_time: Option<(f64, Time)>,
}

impl Load {
    /// Estimated requests of other hosts at the upstream. Where hosts announce their requests, those
    /// of the last count end one by one; elsewhere others follow them, and the number returns to the
    /// usual one.
    pub fn others(&self, now: Time, service: &ServiceLoad) -> f64 {
        let age_ms = now.since(self.counted_at).as_secs_f64() * 1_000.0;
        let usual = if service.has_notices {
            0.0
        } else {
            self.usual_others.unwrap_or(service.usual_others)
        };
        usual + (self.others - usual) * (-age_ms / service.request_ms.max(1.0)).exp()
    }

    /// Records a report: the requests of other hosts at the upstream, and how long work takes.
    pub fn record_report(
        &mut self,
        now: Time,
        service: &mut ServiceLoad,
        others: f64,
        work_time_percent: Option<u32>,
    ) {
        (self.others, self.counted_at) = (others, now);
        let usual = self.usual_others.get_or_insert(others);
        *usual += USUAL_GAIN * (others - *usual);
        service.usual_others += SERVICE_GAIN * (others - service.usual_others);
        let factor = |percent: u32| f64::from(percent.clamp(25, 400)) / 100.0;
        self.work_time = work_time_percent.map(|percent| (factor(percent), now));
    }

    /// Records that another host has sent a request.
    pub fn record_notice(&mut self, now: Time, service: &mut ServiceLoad) {
        service.has_notices = true;
        (self.others, self.counted_at) = (self.others(now, service) + 1.0, now);
    }

    /// Records a measured time, and that expected of an upstream of the usual speed. Returns the
    /// logarithm of their ratio, less the mean over all upstreams.
    pub fn record_time(
        &mut self,
        now: Time,
        ratio: &mut TimeRatio,
        measured_ms: f64,
        expected_ms: f64,
    ) -> f64 {
        let usual_ms = measured_ms.max(0.1) / self.work_time(now);
        let log_ratio = (usual_ms / expected_ms.max(0.1)).ln();
        let excess = ratio.record(log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO));
        self.learn(now, excess);
        excess
    }

    /// Records what another host has measured. An outlier moves the estimate no more than a sample
    /// at [`MAX_SHARED_DISTANCE`], so that a host with wrong samples has little influence.
    pub fn record_shared(&mut self, now: Time, excess: f64) {
        self.is_shared = true;
        let slowness = self.learned_log_slowness(now);
        let distance = (excess - slowness).clamp(-MAX_SHARED_DISTANCE, MAX_SHARED_DISTANCE);
        self.learn(now, slowness + distance);
    }

    fn learn(&mut self, now: Time, excess: f64) {
        let slowness = self.learned_log_slowness(now);
        self.samples = self.samples.saturating_add(1);
        let min_gain = if self.is_shared {
            SHARED_SLOWNESS_GAIN
        } else {
            SLOWNESS_GAIN
        };
        let gain = (1.0 / f64::from(self.samples.saturating_add(PRIOR_SAMPLES))).max(min_gain);
        let learned = slowness + gain * (excess - slowness);
        let (min, max) = SLOWNESS_BOUNDS;
        (self.log_slowness, self.slowness_at) = (learned.clamp(min.ln(), max.ln()), now);
    }

    /// Samples of all hosts.
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    fn learned_log_slowness(&self, now: Time) -> f64 {
        let age_s = now.since(self.slowness_at).as_secs_f64();
        self.log_slowness * (-age_s / SLOWNESS_HALF_LIFE_S).exp2()
    }

    /// How long a request takes at the upstream, as a multiple of the usual time, as learned from
    /// answers.
    pub fn learned_slowness(&self, now: Time) -> f64 {
        self.learned_log_slowness(now).exp()
    }

    /// How long work takes on the machine now, as a multiple of the usual time. A statement counts
    /// less the older it is.
    fn work_time(&self, now: Time) -> f64 {
        self.work_time.map_or(1.0, |(factor, at)| {
            let age = now.since(at).as_secs_f64() / WORK_TIME_VALIDITY.as_secs_f64();
            1.0 + (factor - 1.0) * (1.0 - age).max(0.0)
        })
    }

    /// How long a request takes at the upstream, as a multiple of the usual time: as learned from its
    /// answers, and as it says of its machine now.
    pub fn slowness(&self, now: Time) -> f64 {
        self.learned_slowness(now) * self.work_time(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(millis: u64) -> Time {
        Time::from_millis(millis)
    }

    /// Guards against old reports that count as if they were new.
    #[test]
    fn requests_of_an_old_report_end_and_announced_ones_are_added() {
        let (mut load, mut service) = (Load::default(), ServiceLoad::default());
        load.record_notice(at(0), &mut service);
        load.record_report(at(0), &mut service, 20.0, None);
        assert!((load.others(at(0), &service) - 20.0).abs() < 1e-9);
        assert!(load.others(at(5_000), &service) < 0.2);
        load.record_notice(at(5_000), &mut service);
        let others = load.others(at(5_000), &service);
        assert!((1.0..1.2).contains(&others), "{others}");
    }

    /// Guards against upstreams of plain services that look idle because their report is old.
    #[test]
    fn without_notices_an_old_report_returns_to_the_usual_number() {
        let (mut load, mut service) = (Load::default(), ServiceLoad::default());
        for second in 0..40 {
            load.record_report(at(second * 1_000), &mut service, 10.0, None);
        }
        load.record_report(at(40_000), &mut service, 0.0, None);
        assert!(load.others(at(40_000), &service) < 0.1);
        let later = load.others(at(60_000), &service);
        assert!((7.0..10.0).contains(&later), "{later}");
    }

    /// Guards against a speed that is never learned, has no bound or is never forgotten.
    #[test]
    fn the_slowness_is_learned_bounded_and_forgotten() {
        let mut ratio = TimeRatio::default();
        let (mut usual, mut slow, mut stuck) = (Load::default(), Load::default(), Load::default());
        for index in 0..100 {
            let now = at(index * 1_000);
            for _ in 0..8 {
                usual.record_time(now, &mut ratio, 100.0, 100.0);
            }
            slow.record_time(now, &mut ratio, 160.0, 100.0);
            stuck.record_time(now, &mut ratio, 100_000.0, 100.0);
        }
        let now = at(100_000);
        let times = slow.slowness(now) / usual.slowness(now);
        assert!((1.4..1.8).contains(&times), "{times}");
        assert!(stuck.slowness(now) <= 2.0);
        assert!(stuck.slowness(at(3_100_000)) < 1.01);
    }

    /// Guards against a host whose samples are wrong and mislead the others: of twenty samples, one
    /// is as wrong as can be.
    #[test]
    fn wrong_samples_of_one_host_move_the_slowness_little() {
        let mut load = Load::default();
        for index in 0..400 {
            let excess = if index % 20 == 0 { -100.0 } else { 0.5 };
            load.record_shared(at(index * 100), excess);
        }
        let slowness = load.learned_log_slowness(at(40_000));
        assert!((0.44..0.51).contains(&slowness), "{slowness}");
    }

    /// Guards against a momentary figure that is used long after it was stated.
    #[test]
    fn the_stated_work_time_counts_for_a_second() {
        let (mut load, mut service) = (Load::default(), ServiceLoad::default());
        load.record_report(at(0), &mut service, 0.0, Some(200));
        assert!((load.slowness(at(0)) - 2.0).abs() < 1e-9);
        assert!((load.slowness(at(500)) - 1.5).abs() < 1e-9);
        assert!((load.slowness(at(1_000)) - 1.0).abs() < 1e-9);
    }
}
