//! For how long the host does not read an upstream, as the caller does not read either or the
//! account is full.

use std::time::Duration;

/// Time after which an upstream may have cut off an answer that the host did not read: a body whose
/// end is the end of its connection is then not taken for complete. Upstreams wait for some seconds.
const MIN_UNREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Pauses in the reading of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unread {
    /// Pauses since the upstream was last read.
    current: Duration,
    longest: Duration,
}

impl Unread {
    /// Records a pause. Further ones add to it until the upstream is read.
    pub fn pause(&mut self, pause: Duration) {
        self.current += pause;
        self.longest = self.longest.max(self.current);
    }

    /// Records that the upstream was read.
    pub const fn read(&mut self) {
        self.current = Duration::ZERO;
    }

    /// Whether the upstream may have cut the answer off.
    #[must_use]
    pub fn may_be_cut_off(&self) -> bool {
        self.longest >= MIN_UNREAD_TIMEOUT
    }

    /// Longest time for which the upstream was not read.
    #[must_use]
    pub const fn longest(&self) -> Duration {
        self.longest
    }
}
