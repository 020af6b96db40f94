//! The share of an engine's streams with a pause over their gap target.
//!
//! An engine reads prompts in pieces between the tokens of its streams. The slower it is, the longer
//! is each piece and with it the pause between two events.

use mulberryrack_core::Time;

/// Time in seconds after which a stream counts half. Load and failures change within 30 to 60 s.
const HALF_LIFE_S: f64 = 20.0;
/// Share that is assumed of an engine without streams, and the streams that the assumption weighs as
/// much as.
const PRIOR_SHARE: f64 = 0.1;
const PRIOR_STREAMS: f64 = 5.0;

/// Streams that have ended, of which the older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseShare {
    /// Streams, and those with a pause over the gap target, at the time `updated_at`. Invariant:
    /// `paused` is between 0 and `ended`.
    ended: f64,
    paused: f64,
    updated_at: Time,
}

impl PauseShare {
    /// Records a stream that has ended, here or at another host.
    pub fn record(&mut self, now: Time, is_paused: bool) {
        let weight = self.weight(now);
        *self = Self {
            ended: self.ended * weight + 1.0,
            paused: self.paused * weight + f64::from(u8::from(is_paused)),
            updated_at: now,
        };
    }

    fn weight(&self, now: Time) -> f64 {
        let age_s = now.since(self.updated_at).as_secs_f64();
        (-age_s / HALF_LIFE_S).exp2()
    }

    /// The share of streams with a pause over the gap target.
    pub fn at(&self, now: Time) -> f64 {
        let weight = self.weight(now);
        (self.paused * weight + PRIOR_SHARE * PRIOR_STREAMS) / (self.ended * weight + PRIOR_STREAMS)
    }

    /// The probability of such a pause for a stream with `length` times as many tokens as usual: each
    /// token is exposed as much.
    pub fn risk(&self, now: Time, length: f64) -> f64 {
        1.0 - (1.0 - self.at(now)).powf(length)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(second: u64) -> Time {
        Time::from_millis(second * 1_000)
    }

    /// Guards against a share that follows one stream, that has no bound or is never forgotten.
    #[test]
    fn the_share_is_learned_bounded_and_forgotten() {
        let mut share = PauseShare::default();
        assert!((share.at(at(0)) - PRIOR_SHARE).abs() < 1e-9);
        share.record(at(0), true);
        assert!(share.at(at(0)) < 0.3);
        for second in 0..60 {
            share.record(at(second), true);
        }
        assert!((0.8..1.0).contains(&share.at(at(60))));
        assert!(share.at(at(300)) < 0.11);
    }

    /// Guards against short answers that avoid an engine as much as long ones.
    #[test]
    fn a_short_stream_is_less_exposed() {
        let mut share = PauseShare::default();
        for _ in 0..20 {
            share.record(at(0), true);
            share.record(at(0), false);
        }
        let (short, usual, long) = (
            share.risk(at(0), 0.1),
            share.risk(at(0), 1.0),
            share.risk(at(0), 4.0),
        );
        assert!((usual - share.at(at(0))).abs() < 1e-9);
        assert!(short < 0.2 * usual && long > 1.5 * usual && long < 1.0);
    }
}
