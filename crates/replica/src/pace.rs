//! How fast a listing is read.

use std::time::Duration;

/// Longest pause between two pages, so that a listing whose pages take long still comes to its end.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Pause after a page that took so long. Whatever link is the narrow one, that of the host or that of the
/// service which all hosts share, a listing leaves half of it to others.
#[must_use]
pub fn pause(took: Duration) -> Duration {
    took.min(MAX_PAUSE)
}
