//! How evidence spreads over many hosts by datagrams that may be lost, in virtual time.

use mulberryrack_core::Time;
use mulberryrack_suspect::{Crash, Gossip, Limits, Message, Subject, Suspects};
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const LIMITS: Limits = Limits {
    crashes_until_refused: 3,
    max_suspects: 1_024,
    suspicion_period: Duration::from_secs(600),
};
/// Interval of the rounds, and number of rounds between two comparisons.
const ROUND: Duration = Duration::from_millis(100);
const ROUNDS_PER_COMPARISON: u32 = 10;
/// The users' `contact-ms`.
const CONTACT: Duration = Duration::from_secs(3);
/// Largest datagram that hosts receive.
const MAX_DATAGRAM_BYTES: usize = 1_200;
const CULPRIT: u128 = 1;

struct Host {
    suspects: Suspects,
    gossip: Gossip,
}

struct Fleet {
    now: Time,
    hosts: Vec<Host>,
    rng: ChaCha8Rng,
    /// Share of the datagrams that are lost.
    loss: f64,
    /// Hosts that are cut off from the others.
    cut: Vec<usize>,
    sent_bytes: usize,
    /// Rounds so far.
    round: u32,
}

fn host(index: usize) -> Host {
    Host {
        suspects: Suspects::new(LIMITS),
        gossip: Gossip::new(&format!("h{index}"), index as u64),
    }
}

impl Fleet {
    fn new(count: usize, loss: f64) -> Self {
        Self {
            now: Time::from_millis(1_000),
            hosts: (0..count).map(host).collect(),
            rng: ChaCha8Rng::seed_from_u64(count as u64),
            loss,
            cut: Vec::new(),
            sent_bytes: 0,
            round: 0,
        }
    }

    fn crash(&mut self, host: usize, number: u64) {
        let crash = Crash {
            upstream: format!("i-{number:010x}").into(),
            incarnation: 1_000_000 + number,
        };
        let in_flight = [CULPRIT, 100 + u128::from(number)];
        let host = &mut self.hosts[host];
        host.suspects.record_crash(self.now, &crash, in_flight);
        host.gossip.add(in_flight);
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        self.sent_bytes += message.encoded_len();
        assert!(message.encoded_len() <= MAX_DATAGRAM_BYTES);
        let cut = self.cut.contains(&from) != self.cut.contains(&to);
        if cut || self.rng.random_bool(self.loss) {
            return;
        }
        let host = &mut self.hosts[to];
        let (_, answer) = host.gossip.receive(self.now, &mut host.suspects, message);
        for message in answer {
            self.deliver(to, from, message);
        }
    }

    fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + ROUND;
            self.round += 1;
            let peers = self.hosts.len() - 1;
            for from in 0..self.hosts.len() {
                let other = |peer: usize| if peer < from { peer } else { peer + 1 };
                let Host { suspects, gossip } = &mut self.hosts[from];
                let (targets, messages) = gossip.round(self.now, suspects, peers);
                let compared = self
                    .round
                    .is_multiple_of(ROUNDS_PER_COMPARISON)
                    .then(|| gossip.compare(suspects, peers));
                for target in targets {
                    for message in &messages {
                        self.deliver(from, other(target), message.clone());
                    }
                }
                if let Some((targets, message)) = compared {
                    for target in targets {
                        self.deliver(from, other(target), message.clone());
                    }
                }
            }
        }
    }

    fn refusing(&self) -> usize {
        let refuses = |host: &&Host| host.suspects.is_refused(CULPRIT);
        self.hosts.iter().filter(refuses).count()
    }
}

#[test]
fn every_host_refuses_the_culprit_within_the_contact_time() {
    for (count, loss) in [(2, 0.0), (8, 0.3), (86, 0.1), (300, 0.1), (1_400, 0.03)] {
        let mut fleet = Fleet::new(count, loss);
        for number in 0..3 {
            fleet.crash(number % count, number as u64);
        }
        fleet.run_for(CONTACT);
        assert_eq!(fleet.refusing(), count, "of {count} hosts, loss {loss}");
    }
}

#[test]
fn a_host_that_was_cut_off_learns_what_it_missed_and_tells_what_it_saw() {
    let mut fleet = Fleet::new(40, 0.1);
    fleet.cut = vec![3];
    fleet.crash(0, 0);
    fleet.crash(3, 1);
    fleet.run_for(CONTACT);
    assert_eq!(fleet.refusing(), 0, "one crash is known on either side");
    fleet.cut.clear();
    fleet.run_for(CONTACT);
    assert_eq!(fleet.refusing(), 40);
}

#[test]
fn a_restarted_host_learns_what_the_others_know() {
    let mut fleet = Fleet::new(40, 0.1);
    (0..3).for_each(|number| fleet.crash(0, number));
    fleet.run_for(CONTACT);
    for index in 0..20 {
        fleet.hosts[index] = host(index);
    }
    fleet.run_for(CONTACT);
    assert_eq!(fleet.refusing(), 40);
}

#[test]
fn hosts_that_agree_send_only_digests() {
    let mut fleet = Fleet::new(20, 0.0);
    (0..3).for_each(|number| fleet.crash(0, number));
    fleet.run_for(CONTACT);
    fleet.sent_bytes = 0;
    fleet.run_for(CONTACT);
    // One comparison a second from each host, of less than 32 bytes.
    assert!(fleet.sent_bytes < 20 * 3 * 32, "{} bytes", fleet.sent_bytes);
}

#[test]
fn a_crash_of_a_full_engine_costs_a_host_a_fraction_of_its_control_traffic() {
    let count = 1_400;
    let mut fleet = Fleet::new(count, 0.0);
    let crash = Crash {
        upstream: "i-0123456789".into(),
        incarnation: 1_700_000_000_000,
    };
    // An engine with 64 requests, each of another host.
    for fingerprint in 0..64 {
        let host = &mut fleet.hosts[usize::try_from(fingerprint).expect("a small number") * 20];
        host.suspects.record_crash(fleet.now, &crash, [fingerprint]);
        host.gossip.add([fingerprint]);
    }
    fleet.run_for(CONTACT);
    let bytes = fleet.sent_bytes / count;
    println!("{bytes} bytes a host");
    // A tenth of 9 KB/s, if engines crash as often as hosts restart: one each 29 s.
    assert!(bytes < 29 * 900, "{bytes} bytes a host");
}

#[test]
fn parts_that_come_once_cost_a_host_a_fraction_of_its_control_traffic() {
    let count = 1_400;
    let mut fleet = Fleet::new(count, 0.0);
    let crash = Crash {
        upstream: "i-0123456789".into(),
        incarnation: 1_700_000_000_000,
    };
    // An engine with 64 requests, each of another host and with a part that all have, one of
    // eight, and one that comes once.
    for number in 0..64_u128 {
        let host = &mut fleet.hosts[usize::try_from(number).expect("a small number") * 20];
        let subjects = [
            Subject::Request(number),
            Subject::Part(1),
            Subject::Part(100 + number % 8),
            Subject::Part(1_000 + number),
        ];
        host.suspects.record_crash(fleet.now, &crash, subjects);
        host.gossip.add(subjects);
    }
    fleet.run_for(CONTACT);
    let bytes = fleet.sent_bytes / count;
    println!("{bytes} bytes a host");
    assert!(bytes < 29 * 900, "{bytes} bytes a host");
}

#[test]
fn evidence_on_many_crashes_at_once_settles_while_a_sound_part_is_asked_for() {
    const PART: Subject = Subject::Part(CULPRIT);
    for count in [8, 86, 300] {
        let mut fleet = Fleet::new(count, 0.03);
        // A quarter of 160 engines crash, each with requests of eight hosts that share a part.
        for number in 0..40 {
            let crash = Crash {
                upstream: format!("i-{number:010x}").into(),
                incarnation: 1_000_000 + number,
            };
            for index in 0..8 {
                let host = (usize::try_from(number).expect("a small number") * 7 + index) % count;
                let request = Subject::Request(u128::from(number) * 8 + index as u128);
                let Host { suspects, gossip } = &mut fleet.hosts[host];
                suspects.record_crash(fleet.now, &crash, [PART, request]);
                gossip.add([PART, request]);
            }
        }
        // Each host sees three requests a second with the part run to their end.
        let run_rounds = |fleet: &mut Fleet, rounds: u32| {
            for _ in 0..rounds {
                fleet.run_for(ROUND);
                for index in 0..count {
                    let Host { suspects, gossip } = &mut fleet.hosts[index];
                    if fleet.rng.random_bool(0.3) {
                        gossip.add(suspects.clear_all(fleet.now, [PART]));
                    }
                }
            }
        };
        run_rounds(&mut fleet, 30);
        fleet.sent_bytes = 0;
        run_rounds(&mut fleet, 10);
        let blamed = fleet.hosts.iter().filter(|it| it.suspects.is_suspect(PART));
        assert_eq!(blamed.count(), 0, "of {count} hosts");
        // `hosts_that_agree_send_only_digests`: 32 bytes a second each.
        let bytes = fleet.sent_bytes / count;
        assert!(bytes <= 32, "{count} hosts: {bytes} bytes each in a second");
    }
}
