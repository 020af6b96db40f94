//! Spreads evidence between hosts by datagrams, some of which may be lost.
//!
//! News goes to a few hosts at random, which pass it on; this reaches all hosts in a number of
//! rounds that grows with the logarithm of their number. What is lost on the way, or missed by
//! a host that was cut off or has just started, is found by comparing digests.

use crate::{group, subject::Subject, suspects::Suspects};
use mulberryrack_core::Time;
use mulberryrack_wire::{
    plan,
    route::{CrashGroup, Suspicion},
};
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Number of other hosts to which a host sends its news in one round.
const FANOUT: usize = 8;
/// Number of the first comparisons of a host, which go to [`FANOUT`] others.
const FIRST_COMPARISONS: u32 = 3;
/// Largest size of the evidence in one message; a datagram has to fit into one packet.
const MAX_MESSAGE_BYTES: usize = 1_000;
/// Largest number of messages in an answer to a comparison; the next comparison gets others.
const MAX_ANSWER_MESSAGES: usize = 8;

/// What hosts send each other.
pub type Message = plan::Suspects;

/// The spreading of evidence at one host.
#[derive(Debug)]
pub struct Gossip {
    /// Name of this host.
    host: String,
    rng: ChaCha8Rng,
    /// Subjects on which there is news for the next round.
    news: BTreeSet<Subject>,
    /// Number of comparisons so far, at most [`FIRST_COMPARISONS`].
    first_comparisons: u32,
}

impl Gossip {
    /// Creates the state of a host without news.
    #[must_use]
    pub fn new(host: &str, seed: u64) -> Self {
        Self {
            host: host.to_owned(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            news: BTreeSet::new(),
            first_comparisons: 0,
        }
    }

    /// Adds subjects on which the evidence has changed.
    pub fn add(&mut self, subjects: impl IntoIterator<Item = impl Into<Subject>>) {
        self.news.extend(subjects.into_iter().map(Into::into));
    }

    /// Returns the messages of one round, and to which of `peer_count` other hosts each of
    /// them goes.
    pub fn round(
        &mut self,
        now: Time,
        suspects: &Suspects,
        peer_count: usize,
    ) -> (Vec<usize>, Vec<Message>) {
        if self.news.is_empty() || peer_count == 0 {
            return (Vec::new(), Vec::new());
        }
        let news = std::mem::take(&mut self.news).into_iter();
        let (groups, others) = group::group(now, suspects, news);
        let suspicions = others
            .into_iter()
            .filter_map(|subject| suspects.export(now, subject));
        let messages = self.pack(groups, suspicions.collect());
        (self.choose_peers(peer_count), messages)
    }

    /// Chooses [`FANOUT`] of `peer_count` hosts at random, or all if there are fewer.
    fn choose_peers(&mut self, peer_count: usize) -> Vec<usize> {
        if peer_count <= FANOUT {
            return (0..peer_count).collect();
        }
        rand::seq::index::sample(&mut self.rng, peer_count, FANOUT).into_vec()
    }

    /// Returns a message that compares the evidence with that of other hosts, and which of
    /// `peer_count` other hosts it goes to: one, or several if this host has just started, as some
    /// may have ended.
    pub fn compare(&mut self, suspects: &Suspects, peer_count: usize) -> (Vec<usize>, Message) {
        let message = Message {
            host: self.host.clone(),
            digest: Some(suspects.digest()),
            compare: true,
            ..Message::default()
        };
        if self.first_comparisons < FIRST_COMPARISONS && peer_count > 0 {
            self.first_comparisons += 1;
            return (self.choose_peers(peer_count), message);
        }
        let peer = (peer_count > 0).then(|| self.rng.random_range(0..peer_count));
        (peer.into_iter().collect(), message)
    }

    /// Merges the evidence of a message from another host. Returns the subjects on which it was
    /// news, and the messages to send back.
    pub fn receive(
        &mut self,
        now: Time,
        suspects: &mut Suspects,
        message: Message,
    ) -> (Vec<Subject>, Vec<Message>) {
        let groups = message.groups.into_iter().flat_map(group::decode);
        let news = suspects.learn(now, message.suspicions.into_iter().chain(groups).collect());
        self.add(news.iter().copied());
        let differs = |digest: u64| digest != suspects.digest();
        if !message.digest.is_some_and(differs) {
            return (news, Vec::new());
        }
        let mut answer = self.everything(now, suspects);
        if message.compare {
            // With the digest in the last message, the other host can tell whether it knows
            // something that is news here.
            let mut last = answer.pop().unwrap_or_else(|| Message {
                host: self.host.clone(),
                ..Message::default()
            });
            last.digest = Some(suspects.digest());
            answer.push(last);
        }
        (news, answer)
    }

    /// All evidence, from a random place on, in at most [`MAX_ANSWER_MESSAGES`] messages.
    fn everything(&mut self, now: Time, suspects: &Suspects) -> Vec<Message> {
        let mut subjects: Vec<Subject> = suspects.subjects().collect();
        if !subjects.is_empty() {
            let start = self.rng.random_range(0..subjects.len());
            subjects.rotate_left(start);
        }
        let known = subjects.into_iter();
        let suspicions = known.filter_map(|subject| suspects.export(now, subject));
        let mut messages = self.pack(Vec::new(), suspicions.collect());
        messages.truncate(MAX_ANSWER_MESSAGES);
        messages
    }

    /// Distributes evidence over messages of at most [`MAX_MESSAGE_BYTES`].
    fn pack(&self, groups: Vec<CrashGroup>, suspicions: Vec<Suspicion>) -> Vec<Message> {
        let mut packing = Packing {
            host: &self.host,
            size: 0,
            messages: Vec::new(),
        };
        for group in groups {
            packing.message(group.encoded_len()).groups.push(group);
        }
        for suspicion in suspicions {
            let message = packing.message(suspicion.encoded_len());
            message.suspicions.push(suspicion);
        }
        packing.messages
    }
}

/// Messages that are filled one after the other.
struct Packing<'a> {
    host: &'a str,
    /// Size of the evidence in the last message.
    size: usize,
    messages: Vec<Message>,
}

impl Packing<'_> {
    /// The message for the next piece of evidence, of `size` bytes.
    fn message(&mut self, size: usize) -> &mut Message {
        self.size += size;
        if self.messages.is_empty() || self.size > MAX_MESSAGE_BYTES {
            self.size = size;
            self.messages.push(Message {
                host: self.host.to_owned(),
                ..Message::default()
            });
        }
        self.messages.last_mut().expect("there is one")
    }
}
