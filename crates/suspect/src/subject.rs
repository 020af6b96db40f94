//! What may be the cause of crashes.

use mulberryrack_wire::plan;

/// What crashes count against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A request, by its fingerprint, which all attempts at it share.
    Request(u128),
    /// A part of prompts, by its id, whatever else their requests hold.
    Part(u128),
}

impl Subject {
    /// The fingerprint of the request, or the id of the part.
    #[must_use]
    pub const fn id(self) -> u128 {
        match self {
            Self::Request(id) | Self::Part(id) => id,
        }
    }

    /// Whether this is a part of prompts.
    #[must_use]
    pub const fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }

    /// Name of the kind of subject in the log.
    #[must_use]
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part(_) => "part",
        }
    }

    pub(crate) fn from_wire(bytes: &[u8], is_part: bool) -> Option<Self> {
        let id = u128::from_le_bytes(bytes.try_into().ok()?);
        Some(if is_part {
            Self::Part(id)
        } else {
            Self::Request(id)
        })
    }

    /// The message of the subject.
    #[must_use]
    pub fn encode(self) -> plan::Subject {
        plan::Subject {
            fingerprint: self.id().to_le_bytes().to_vec().into(),
            part: self.is_part(),
        }
    }

    /// Decodes a subject; `None` if its fingerprint has another length.
    #[must_use]
    pub fn decode(message: &plan::Subject) -> Option<Self> {
        Self::from_wire(&message.fingerprint, message.part)
    }
}

impl From<u128> for Subject {
    fn from(fingerprint: u128) -> Self {
        Self::Request(fingerprint)
    }
}
