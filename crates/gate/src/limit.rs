//! Upstreams that take a limited number of requests a second from all hosts together.
//!
//! A request is sent to such an upstream with a token, for which its host asks the host that gives
//! them. A request that other upstreams can run waits for the answer only; one that only limited
//! upstreams can run waits for a token, if there will be one in time, and is refused at once if
//! not. [`Gate::decide`] asks, the messages to other hosts are in [`Gate::take_token_messages`].

use crate::{
    gate::Gate,
    request::{Decision, RequestState},
    token_message::{LimitNotice, To, TokenMessage},
    upstreams::{UpstreamId, UpstreamState},
};
use mulberryrack_core::{
    Name, Rate, Time, earliest,
    outcome::{Reason, Refusal},
};
use mulberryrack_throttle::{
    Allocator, Answer, Ask, Change, Holder, Observation, Roster, SECOND_SHARE, Share, Standing,
    Statement,
};
use rand::RngExt;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// Longest wait for an answer of the host that gives the tokens, for a request that another
/// upstream can run. An answer takes some milliseconds.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(15);
/// Interval at which an unanswered request asks again, and one that was told to wait.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
const QUEUED_ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a waiting request that was told to wait still waits when its token is due.
const GRANT_LATENESS: Duration = Duration::from_millis(100);
/// Longest wait for an answer, for a request that no other upstream can run.
const MAX_ONLY_ANSWER_WAIT: Duration = Duration::from_millis(250);
/// Time for which a host that did not answer is not asked; doubles each time up to the longest one.
const MIN_SILENT_PERIOD: Duration = Duration::from_millis(250);
const MAX_SILENT_PERIOD: Duration = Duration::from_secs(4);
/// Time for which a host is not asked that said that it does not give the tokens.
const NOT_GIVER_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a token can be used.
const TOKEN_PERIOD: Duration = Duration::from_millis(500);
/// Longest time for which an upstream that has no token for a request is passed over.
const MAX_DENIED_PERIOD: Duration = Duration::from_millis(500);
const MIN_DENIED_PERIOD: Duration = Duration::from_millis(20);
/// Time for which used tokens are remembered, so that a repeated answer does not give them back.
const USED_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which the host that gives the tokens tells all others the limits.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Limits in one message, which has to fit into a datagram.
const MAX_NOTICES: usize = 8;
/// Datagrams that tell of the end of a limit, as some may be lost.
const END_NOTICES: usize = 2;
/// The end of a limit counts from this much earlier if another host tells of it, as its message
/// may have been on the way for long.
const NOTICE_DELAY: Duration = Duration::from_millis(100);
/// Longest time after which a caller is told to come back.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(30);
/// A request waits for a token up to this share of its latency target.
const MAX_WAIT_SHARE: f64 = 0.9;

/// What a host knows of the limit of one incarnation of an upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitState {
    statement: Statement,
    /// The tokens, at the host that gives them.
    allocator: Option<Allocator>,
    /// What this host may send without tokens.
    share: Share,
    /// A host that said that it does not give the tokens, and until when it is not asked.
    not_giver: Option<(Name, Time)>,
    /// The last denial.
    denial: Option<Denial>,
    /// Time to which the caller that was refused last was told to come back.
    last_return: Time,
}

/// Where a request gets a token.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Giver {
    /// This host.
    Own,
    /// Another host.
    Other(Name),
}

/// A host that has not answered since it was asked last.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// Time until which it is not asked.
    until: Time,
    period: Duration,
}

/// What a denial says about requests that are no more urgent.
#[derive(Clone, Copy, Debug)]
struct Denial {
    rank: u8,
    /// When there may be a token.
    next_token: Time,
    valid_until: Time,
}

/// A token of a limited upstream.
#[derive(Clone, Debug)]
struct Token {
    upstream: UpstreamId,
    giver: Giver,
    /// Time at which it arrived.
    at: Time,
}

/// A request's use of tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenUse {
    /// The token that the request has.
    token: Option<Token>,
    /// Upstreams without a token for the request, each with the time until which it is passed
    /// over.
    passed_over: Vec<(UpstreamId, Time)>,
    /// When the first of them may have a token, and which it is.
    earliest: Option<(Time, UpstreamId)>,
    /// The limited upstream for which the request waits, as no other can run it.
    queued_at: Option<UpstreamId>,
}

/// A request that has asked for a token.
#[derive(Clone, Debug)]
struct Asked {
    upstream: UpstreamId,
    giver: Giver,
    rank: u8,
    /// Time until which the request waits for the token.
    until: Time,
    first_at: Time,
    last_at: Time,
    answer: Option<(Answer, Time)>,
}

/// The tokens that this host gives, has and asks for.
#[derive(Clone, Debug)]
pub(crate) struct Tokens {
    pub roster: Roster,
    /// By number of the request.
    asked: BTreeMap<u64, Asked>,
    /// Hosts that have not answered lately.
    silences: BTreeMap<Name, Silence>,
    /// Numbers of requests that have used a token, oldest first.
    used: VecDeque<(Time, u64)>,
    /// Upstreams whose tokens this host gives, or has given until now.
    allocating: BTreeSet<UpstreamId>,
    outbox: Vec<(To, TokenMessage)>,
    next_notice: Time,
    counts: TokenCounts,
}

/// Numbers of events since the last call of [`Gate::take_token_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens that this host gave, to its own requests as well.
    pub given: u64,
    /// Requests of this host that were sent with a token.
    pub used: u64,
    /// Requests of this host that were sent as a part of its own share.
    pub without_token: u64,
    /// Denials that requests of this host got.
    pub denied: u64,
    /// Times at which a host that gives tokens was found to be silent.
    pub silent: u64,
}

impl Tokens {
    pub const fn new(handover: Duration) -> Self {
        Self {
            roster: Roster::new(handover),
            asked: BTreeMap::new(),
            silences: BTreeMap::new(),
            used: VecDeque::new(),
            allocating: BTreeSet::new(),
            outbox: Vec::new(),
            next_notice: Time::ZERO,
            counts: TokenCounts {
                given: 0,
                used: 0,
                without_token: 0,
                denied: 0,
                silent: 0,
            },
        }
    }

    fn record_use(&mut self, now: Time, number: u64) {
        let is_old = |(at, _): &(Time, u64)| now.since(*at) > USED_PERIOD;
        while self.used.front().is_some_and(is_old) {
            self.used.pop_front();
        }
        self.used.push_back((now, number));
        self.counts.used += 1;
    }

    fn is_used(&self, number: u64) -> bool {
        self.used.iter().any(|(_, used)| *used == number)
    }
}

/// What a request does that would be sent to a limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenStep {
    /// It may be sent now.
    Go,
    /// It waits until this time, or until there is an answer.
    Wait(Time),
    /// Another upstream is chosen.
    PassOver,
}

impl UpstreamState {
    pub(crate) fn limit(&self) -> Option<Rate> {
        self.limit.statement.limit()
    }
}

impl TokenUse {
    /// Whether an upstream is not to be chosen.
    pub(crate) fn passes_over(&self, now: Time, id: UpstreamId) -> bool {
        let mut passed_over = self.passed_over.iter();
        passed_over.any(|(other, until)| *other == id && *until > now)
    }

    /// Whether a limited upstream had no token for the request.
    pub(crate) const fn is_denied(&self) -> bool {
        self.earliest.is_some()
    }

    fn pass_over(&mut self, now: Time, id: UpstreamId, wait: Duration) {
        self.passed_over
            .retain(|(other, until)| *other != id && *until > now);
        let period = wait.clamp(MIN_DENIED_PERIOD, MAX_DENIED_PERIOD);
        self.passed_over.push((id, now + period));
        let next = now + wait;
        if self.earliest.is_none_or(|(earliest, _)| next < earliest) {
            self.earliest = Some((next, id));
        }
    }
}

/// The moment so long before now.
fn before(now: Time, age: Duration) -> Time {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(now.as_micros().saturating_sub(age))
}

/// Time until which a request may wait for a token. One that has begun goes on waiting for as
/// long as its caller does.
fn wait_deadline(request: &RequestState) -> Time {
    if request.may_have_run {
        return request.deadline;
    }
    let wait = request.route.latency_target.mul_f64(MAX_WAIT_SHARE);
    (request.arrived_at + wait).min(request.deadline)
}

/// What hosts know of limits.
impl Gate {
    /// Records what an answer of an incarnation of an upstream states about the requests a second
    /// that it takes, and tells the other hosts what they may not know. Returns the change of its
    /// limit.
    pub fn record_limit(
        &mut self,
        now: Time,
        id: UpstreamId,
        incarnation: u64,
        observation: Observation,
    ) -> Option<Change> {
        let change = self.apply_observation(id, incarnation, observation)?;
        let notice = self.limit_notice(now, id)?;
        let message = TokenMessage::Limits(vec![notice]);
        if change.from.is_some() && change.to.is_some() {
            if let Some(Giver::Other(host)) = self.giver(now, id) {
                self.tokens.outbox.push((To::Host(host), message));
            }
            return Some(change);
        }
        let copies = if change.to.is_none() { END_NOTICES } else { 1 };
        for _ in 0..copies {
            self.tokens.outbox.push((To::All, message.clone()));
        }
        Some(change)
    }

    fn apply_observation(
        &mut self,
        id: UpstreamId,
        incarnation: u64,
        observation: Observation,
    ) -> Option<Change> {
        let upstream = self.upstreams.get_mut(id);
        if upstream.registration.started_ms != incarnation {
            return None;
        }
        upstream.limit.statement.record(observation)
    }

    /// Records what another host tells of a limit. Returns the upstream and the change.
    pub fn receive_limit(
        &mut self,
        now: Time,
        notice: &LimitNotice,
    ) -> Option<(UpstreamId, Change)> {
        let id = self.upstreams.find(&notice.upstream)?;
        let delay = match notice.limit {
            Some(_) => Duration::ZERO,
            None => NOTICE_DELAY,
        };
        let observation = Observation {
            limit: notice.limit,
            sent_at: before(now, notice.sent_age + delay),
            heard_at: before(now, notice.heard_age),
        };
        let change = self.apply_observation(id, notice.incarnation, observation)?;
        Some((id, change))
    }

    fn limit_notice(&self, now: Time, id: UpstreamId) -> Option<LimitNotice> {
        let upstream = self.upstreams.get(id);
        let latest = upstream.limit.statement.latest()?;
        Some(LimitNotice {
            upstream: upstream.registration.id.clone(),
            incarnation: upstream.registration.started_ms,
            limit: latest.limit,
            sent_age: now.since(latest.sent_at),
            heard_age: now.since(latest.heard_at),
        })
    }

    /// The requests a second that an upstream takes from all hosts together; `None` if it has not
    /// stated a limit.
    #[must_use]
    pub fn limit(&self, id: UpstreamId) -> Option<Rate> {
        self.upstreams.get(id).limit()
    }

    fn limited(&self) -> impl Iterator<Item = (UpstreamId, &UpstreamState)> {
        let all = self.upstreams.iter();
        all.filter(|(_, it)| it.registered && it.limit().is_some())
    }

    /// Number of registered upstreams with a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.limited().count()
    }

    /// The host that gives the tokens of an upstream, as far as this host knows.
    #[must_use]
    pub fn token_giver(&self, id: UpstreamId) -> Option<&Name> {
        self.tokens.roster.givers(self.upstream_name(id))[0]
    }

    fn upstream_name(&self, id: UpstreamId) -> &Name {
        &self.upstreams.get(id).registration.id
    }

    fn standing(&self, now: Time, id: UpstreamId) -> Option<Standing> {
        self.tokens.roster.standing(now, self.upstream_name(id))
    }

    /// Who is asked for the tokens of an upstream: the first host if it answers, else the second.
    fn giver(&self, now: Time, id: UpstreamId) -> Option<Giver> {
        let standing = self.standing(now, id);
        let not_giver = self.upstreams.get(id).limit.not_giver.as_ref();
        let is_asked = |host: &Name| {
            let is_silent = self
                .tokens
                .silences
                .get(host)
                .is_some_and(|it| it.until > now);
            let is_not = not_giver.is_some_and(|(other, until)| other == host && *until > now);
            !is_silent && !is_not
        };
        let givers = self.tokens.roster.givers(self.upstream_name(id));
        givers.into_iter().flatten().find_map(|host| {
            if Some(host) == self.tokens.roster.own() {
                return standing.map(|_| Giver::Own);
            }
            is_asked(host).then(|| Giver::Other(host.clone()))
        })
    }

    /// Records that the registration of this host lasts until a time; [`Time::ZERO`] if it has
    /// ended. It gives no tokens without one.
    pub fn set_registered_until(&mut self, until: Time) {
        self.tokens.roster.set_registered_until(until);
    }

    /// Removes and returns the counts since the last call.
    pub fn take_token_counts(&mut self) -> TokenCounts {
        std::mem::take(&mut self.tokens.counts)
    }
}

/// Requests that need tokens.
impl Gate {
    /// The limited upstream at which a request has to stay: it has a token for it or has asked
    /// for one.
    pub(crate) fn token_upstream(&self, request: &RequestState) -> Option<UpstreamId> {
        let asked = self.tokens.asked.get(&request.number);
        let token = request.tokens.token.as_ref().map(|it| it.upstream);
        token
            .or(asked.map(|asked| asked.upstream))
            .or(request.tokens.queued_at)
    }

    /// What a request does whose selected upstream may have a limit.
    pub(crate) fn token_step(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
    ) -> TokenStep {
        let Some(limit) = self.limit(id) else {
            self.give_token_back(request);
            return TokenStep::Go;
        };
        if let Some(token) = &request.tokens.token {
            if token.upstream == id && now.since(token.at) <= TOKEN_PERIOD {
                return TokenStep::Go;
            }
            self.give_token_back(request);
        }
        let until = self.token_deadline(now, request, id);
        self.poll_allocator(now, id);
        if let Some(step) = self.answered_step(now, request, id) {
            return step;
        }
        if self.is_hopeless(now, request, id, until) {
            return self.deny(now, request, id);
        }
        match self.giver(now, id) {
            Some(Giver::Other(host)) => {
                self.ask_other(now, request, id, host, until);
                let is_only = until > now;
                let wait = if is_only {
                    ASK_INTERVAL
                } else {
                    MAX_ANSWER_WAIT
                };
                TokenStep::Wait(now + wait)
            }
            Some(Giver::Own) => self.ask_own(now, request, id, until),
            None => self.share_step(now, request, id, limit, until),
        }
    }

    /// Time until which a request waits for a token of an upstream; now if others have not been
    /// considered yet.
    fn token_deadline(&self, now: Time, request: &RequestState, id: UpstreamId) -> Time {
        let is_available =
            |other: UpstreamId| self.upstreams.get(other).cooldown_until <= now && other != id;
        let has_others = self.eligible(now, request).any(is_available);
        if has_others && request.tokens.queued_at != Some(id) {
            return now;
        }
        wait_deadline(request).max(now)
    }

    /// The step that follows from the answer to a request's ask, or from waiting for it; `None` if
    /// it has not asked.
    fn answered_step(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
    ) -> Option<TokenStep> {
        let asked = self.tokens.asked.get(&request.number)?.clone();
        if asked.upstream != id {
            self.give_token_back(request);
            return None;
        }
        match asked.answer {
            Some((Answer::Granted, _)) => {
                self.tokens.asked.remove(&request.number);
                request.tokens.token = Some(Token {
                    upstream: id,
                    giver: asked.giver,
                    at: now,
                });
                Some(TokenStep::Go)
            }
            Some((Answer::Denied(wait), at)) => {
                self.tokens.asked.remove(&request.number);
                self.tokens.counts.denied += 1;
                let wait = (at + wait).since(now);
                request.tokens.pass_over(now, id, wait);
                Some(TokenStep::PassOver)
            }
            Some((Answer::Elsewhere, _)) => {
                self.tokens.asked.remove(&request.number);
                None
            }
            Some((Answer::Queued(_), _)) | None => self.waiting_step(now, request, id, &asked),
        }
    }

    fn waiting_step(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
        asked: &Asked,
    ) -> Option<TokenStep> {
        let is_queued = asked.answer.is_some();
        if self.giver(now, id).as_ref() != Some(&asked.giver) {
            self.give_token_back(request);
            return None;
        }
        let answer_until = if asked.until > asked.first_at {
            asked.first_at + MAX_ONLY_ANSWER_WAIT
        } else {
            asked.first_at + MAX_ANSWER_WAIT
        };
        let gives_up_at = if is_queued {
            asked.until + GRANT_LATENESS
        } else {
            answer_until
        };
        if now >= gives_up_at {
            self.give_token_back(request);
            if is_queued {
                request.tokens.pass_over(now, id, Duration::ZERO);
                return Some(TokenStep::PassOver);
            }
            self.record_silent_token_giver(now, &asked.giver);
            return None;
        }
        let interval = if is_queued {
            QUEUED_ASK_INTERVAL
        } else {
            ASK_INTERVAL
        };
        let mut next = asked.last_at + interval;
        if now >= next {
            if let Giver::Other(host) = &asked.giver {
                self.ask_other(now, request, id, host.clone(), asked.until);
            }
            next = now + interval;
        }
        Some(TokenStep::Wait(next.min(gives_up_at)))
    }

    /// Whether an earlier denial says that there is no token in time.
    fn is_hopeless(&self, now: Time, request: &RequestState, id: UpstreamId, until: Time) -> bool {
        self.upstreams.get(id).limit.denial.is_some_and(|denial| {
            denial.valid_until > now
                && request.priority() >= denial.rank
                && denial.next_token > until
        })
    }

    /// Passes over an upstream by an earlier denial.
    fn deny(&self, now: Time, request: &mut RequestState, id: UpstreamId) -> TokenStep {
        let denial = self.upstreams.get(id).limit.denial;
        let wait = denial.map_or(Duration::ZERO, |it| it.next_token.since(now));
        request.tokens.pass_over(now, id, wait);
        TokenStep::PassOver
    }

    fn ask_other(
        &mut self,
        now: Time,
        request: &RequestState,
        id: UpstreamId,
        giver: Name,
        until: Time,
    ) {
        let limit = self.limit_notice(now, id);
        let (Some(limit), Some(host)) = (limit, self.tokens.roster.own().cloned()) else {
            return;
        };
        let ask = TokenMessage::Ask {
            limit,
            ask: ask(now, request, host, until),
        };
        self.tokens.outbox.push((To::Host(giver.clone()), ask));
        self.record_asked(now, request, id, Giver::Other(giver), until);
    }

    fn record_asked(
        &mut self,
        now: Time,
        request: &RequestState,
        upstream: UpstreamId,
        giver: Giver,
        until: Time,
    ) {
        let asked = self.tokens.asked.entry(request.number);
        let asked = asked.or_insert(Asked {
            upstream,
            giver,
            rank: request.priority(),
            until,
            first_at: now,
            last_at: now,
            answer: None,
        });
        asked.last_at = now;
    }

    /// Has another host asked for a while instead of one that did not answer.
    fn record_silent_token_giver(&mut self, now: Time, giver: &Giver) {
        let Giver::Other(host) = giver else {
            return;
        };
        let last = self.tokens.silences.get(host);
        let period = last.map_or(Duration::ZERO, |it| it.period * 2);
        let period = period.clamp(MIN_SILENT_PERIOD, MAX_SILENT_PERIOD);
        let until = now + period;
        let silence = Silence { until, period };
        self.tokens.silences.insert(host.clone(), silence);
        self.tokens.counts.silent += 1;
    }

    fn ask_own(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
        until: Time,
    ) -> TokenStep {
        let Some(host) = self.tokens.roster.own().cloned() else {
            return TokenStep::PassOver;
        };
        let answer = self.allocate(now, id, ask(now, request, host, until));
        self.record_asked(now, request, id, Giver::Own, until);
        self.record_token_answer(now, request.number, id, &Giver::Own, answer);
        let step = self.answered_step(now, request, id);
        step.unwrap_or(TokenStep::PassOver)
    }

    /// A request's turn in the share of this host, which does not reach the one that gives the
    /// tokens.
    fn share_step(
        &mut self,
        now: Time,
        request: &mut RequestState,
        id: UpstreamId,
        limit: Rate,
        until: Time,
    ) -> TokenStep {
        if self.take_turn(now, id, limit) {
            self.tokens.counts.without_token += 1;
            return TokenStep::Go;
        }
        let next = self.upstreams.get(id).limit.share.next();
        if next < until {
            request.tokens.queued_at = Some(id);
            return TokenStep::Wait(next);
        }
        request.tokens.pass_over(now, id, next.since(now));
        TokenStep::PassOver
    }

    fn take_turn(&mut self, now: Time, id: UpstreamId, limit: Rate) -> bool {
        let host_count = self.budget_host_count(now);
        let phase = self.rng.random_range(0.0..1.0);
        let share = &mut self.upstreams.get_mut(id).limit.share;
        share.take(now, limit, host_count, phase)
    }

    /// Whether a health check may be sent to an upstream now.
    pub fn may_check_health(&mut self, now: Time, id: UpstreamId) -> bool {
        match self.limit(id) {
            Some(limit) => self.take_turn(now, id, limit),
            None => true,
        }
    }

    /// The decision for a request for which the limited upstreams have no token, and which no other
    /// can run; `None` if it may wait at one of them, or if there are none.
    pub(crate) fn limit_decision(
        &mut self,
        now: Time,
        request: &mut RequestState,
    ) -> Option<Decision> {
        let (next, id) = request.tokens.earliest.take()?;
        let was_queued = request.tokens.queued_at.take().is_some();
        let until = wait_deadline(request);
        if !was_queued && next <= until && now < until {
            request.tokens.passed_over.clear();
            request.tokens.queued_at = Some(id);
            return None;
        }
        Some(self.limit_refusal(now, request, next, id))
    }

    fn limit_refusal(
        &mut self,
        now: Time,
        request: &RequestState,
        next: Time,
        id: UpstreamId,
    ) -> Decision {
        if request.may_have_run {
            return Decision::Fail;
        }
        let host_count = f64::from(self.host_count);
        let limit = &mut self.upstreams.get_mut(id).limit;
        // Callers of all hosts come back one after the other, at the rate of the tokens.
        let interval = limit
            .statement
            .limit()
            .map_or(Duration::ZERO, |rate| rate.time_for(host_count));
        let latest = now + MAX_RETURN_DELAY;
        let returns_at = (limit.last_return + interval).max(next).min(latest);
        limit.last_return = returns_at;
        let wait = self.load_delay(request).unwrap_or(MAX_RETURN_DELAY);
        Decision::Refuse(Refusal {
            reason: Reason::UpstreamLimit,
            retry_after: Some(returns_at.since(now).min(wait)),
        })
    }

    /// Records that a request is sent to an upstream.
    pub(crate) fn use_token(&mut self, now: Time, request: &mut RequestState, id: UpstreamId) {
        let token = request.tokens.token.take_if(|token| token.upstream == id);
        if token.is_some() {
            self.tokens.record_use(now, request.number);
        }
        self.give_token_back(request);
        request.tokens = TokenUse::default();
    }

    /// Gives back what a request has asked for or got and does not need. Called for each request
    /// that has its final answer.
    pub fn give_token_back(&mut self, request: &mut RequestState) {
        if let Some(token) = request.tokens.token.take() {
            self.give_back(token.upstream, &token.giver, request.number);
        }
        if let Some(asked) = self.tokens.asked.remove(&request.number) {
            self.give_back(asked.upstream, &asked.giver, request.number);
        }
    }

    fn give_back(&mut self, id: UpstreamId, giver: &Giver, number: u64) {
        let Some(host) = self.tokens.roster.own().cloned() else {
            return;
        };
        let holder = Holder { host, number };
        match giver {
            Giver::Own => self.take_back(id, &holder),
            Giver::Other(giver) => {
                let upstream = self.name(id);
                let message = TokenMessage::Return { upstream, holder };
                self.tokens.outbox.push((To::Host(giver.clone()), message));
            }
        }
    }

    fn take_back(&mut self, id: UpstreamId, holder: &Holder) {
        let limit = &mut self.upstreams.get_mut(id).limit;
        if let Some(allocator) = &mut limit.allocator {
            allocator.give_back(holder);
        }
    }
}

/// The host that gives tokens, and messages between hosts.
impl Gate {
    fn allocate(&mut self, now: Time, id: UpstreamId, ask: Ask) -> Answer {
        let Some(standing) = self.standing(now, id) else {
            return Answer::Elsewhere;
        };
        let limit = &mut self.upstreams.get_mut(id).limit;
        let Some(rate) = limit.statement.limit() else {
            return Answer::Granted;
        };
        let rate = token_rate(rate, standing);
        let allocator = limit
            .allocator
            .get_or_insert_with(|| Allocator::new(now, rate));
        allocator.set_rate(now, rate);
        let answer = allocator.ask(now, ask);
        self.tokens.allocating.insert(id);
        self.tokens.counts.given += u64::from(answer == Answer::Granted);
        answer
    }

    /// Gives the tokens of an upstream that have fallen due.
    fn poll_allocator(&mut self, now: Time, id: UpstreamId) {
        if !self.tokens.allocating.contains(&id) {
            return;
        }
        let standing = self.standing(now, id);
        let limit = &mut self.upstreams.get_mut(id).limit;
        let Some(allocator) = &mut limit.allocator else {
            return;
        };
        let rate = limit.statement.limit();
        let answers = match (rate, standing) {
            (Some(rate), Some(standing)) => {
                allocator.set_rate(now, token_rate(rate, standing));
                allocator.poll(now)
            }
            (Some(_), None) => allocator.dismiss(Answer::Elsewhere),
            (None, _) => allocator.dismiss(Answer::Granted),
        };
        if rate.is_none() || standing.is_none() {
            limit.allocator = None;
            self.tokens.allocating.remove(&id);
        }
        for (holder, answer) in answers {
            self.tokens.counts.given += u64::from(answer == Answer::Granted);
            self.answer(now, id, &holder, answer);
        }
    }

    /// Tells a request of this or another host the answer to its ask.
    fn answer(&mut self, now: Time, id: UpstreamId, holder: &Holder, answer: Answer) {
        let Some(own) = self.tokens.roster.own().cloned() else {
            return;
        };
        if holder.host == own {
            self.record_token_answer(now, holder.number, id, &Giver::Own, answer);
            return;
        }
        let message = TokenMessage::Answer {
            giver: own,
            upstream: self.name(id),
            number: holder.number,
            answer,
        };
        let to = To::Host(holder.host.clone());
        self.tokens.outbox.push((to, message));
    }

    /// Gives the tokens that have fallen due, and tells the other hosts the limits from time to
    /// time. Returns whether requests of this host may go on.
    pub fn poll_tokens(&mut self, now: Time) -> bool {
        let answered = |gate: &Self| {
            let asked = gate.tokens.asked.values();
            asked.filter(|it| it.answer.is_some()).count()
        };
        let before = answered(self);
        for id in self.tokens.allocating.clone() {
            self.poll_allocator(now, id);
        }
        if now >= self.tokens.next_notice {
            self.tokens.next_notice = now + NOTICE_INTERVAL;
            self.send_limits(now);
        }
        answered(self) != before
    }

    fn send_limits(&mut self, now: Time) {
        let limited = self.limited().map(|(id, _)| id);
        let is_first = |id: &UpstreamId| self.standing(now, *id) == Some(Standing::First);
        let own: Vec<UpstreamId> = limited.filter(is_first).collect();
        for ids in own.chunks(MAX_NOTICES) {
            let notices = ids.iter().filter_map(|id| self.limit_notice(now, *id));
            let message = TokenMessage::Limits(notices.collect());
            self.tokens.outbox.push((To::All, message));
        }
    }

    /// Time at which [`Gate::poll_tokens`] has to be called next.
    #[must_use]
    pub fn next_token_poll(&self, now: Time) -> Time {
        let due = |id: &UpstreamId| {
            let allocator = self.upstreams.get(*id).limit.allocator.as_ref()?;
            allocator.next_due(now).map(|wait| now + wait)
        };
        let due = self.tokens.allocating.iter().filter_map(due).min();
        earliest(due, Some(self.tokens.next_notice)).unwrap_or(Time::MAX)
    }

    /// Removes and returns the messages for other hosts since the last call.
    pub fn take_token_messages(&mut self) -> Vec<(To, TokenMessage)> {
        std::mem::take(&mut self.tokens.outbox)
    }

    /// Handles a message of another host. Returns the changes of limits that it makes.
    pub fn receive_token_message(
        &mut self,
        now: Time,
        message: TokenMessage,
    ) -> Vec<(UpstreamId, Change)> {
        match message {
            TokenMessage::Limits(notices) => {
                let notices = notices.iter();
                notices
                    .filter_map(|notice| self.receive_limit(now, notice))
                    .collect()
            }
            TokenMessage::Ask { limit, ask } => {
                let change = self.receive_limit(now, &limit);
                let Some(id) = self.upstreams.find(&limit.upstream) else {
                    return Vec::new();
                };
                self.poll_allocator(now, id);
                let holder = ask.holder.clone();
                let answer = self.allocate(now, id, ask);
                self.answer(now, id, &holder, answer);
                change.into_iter().collect()
            }
            TokenMessage::Answer {
                giver,
                upstream,
                number,
                answer,
            } => {
                self.tokens.silences.remove(&giver);
                if let Some(id) = self.upstreams.find(&upstream) {
                    self.record_token_answer(now, number, id, &Giver::Other(giver), answer);
                }
                Vec::new()
            }
            TokenMessage::Return { upstream, holder } => {
                if let Some(id) = self.upstreams.find(&upstream) {
                    self.take_back(id, &holder);
                }
                Vec::new()
            }
        }
    }

    /// Records the answer to a request's ask. A token that no request waits for any more is given
    /// back.
    fn record_token_answer(
        &mut self,
        now: Time,
        number: u64,
        id: UpstreamId,
        giver: &Giver,
        answer: Answer,
    ) {
        let limit = &mut self.upstreams.get_mut(id).limit;
        if let (Answer::Elsewhere, Giver::Other(host)) = (answer, giver) {
            limit.not_giver = Some((host.clone(), now + NOT_GIVER_PERIOD));
        }
        let asked = self.tokens.asked.get_mut(&number);
        let is_awaited = |asked: &&mut Asked| asked.upstream == id && asked.giver == *giver;
        let Some(asked) = asked.filter(is_awaited) else {
            if answer == Answer::Granted && !self.tokens.is_used(number) {
                self.give_back(id, giver, number);
            }
            return;
        };
        if let Answer::Denied(wait) = answer {
            limit.denial = Some(Denial {
                rank: asked.rank,
                next_token: now + wait,
                valid_until: now + wait.min(MAX_DENIED_PERIOD),
            });
        }
        asked.answer = Some((answer, now));
    }
}

fn ask(now: Time, request: &RequestState, host: Name, until: Time) -> Ask {
    Ask {
        holder: Holder {
            host,
            number: request.number,
        },
        rank: request.priority(),
        patience: until.since(now),
    }
}

fn token_rate(limit: Rate, standing: Standing) -> Rate {
    match standing {
        Standing::First => limit,
        Standing::Second => limit.mul_f64(SECOND_SHARE),
    }
}
