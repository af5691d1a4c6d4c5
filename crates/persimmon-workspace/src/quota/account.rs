//! A daemon's tokens of one workspace, and the operations that wait for them.

use std::collections::VecDeque;
use std::time::Duration;

use persimmon_types::Time;

use crate::quota::limit::Limit;

/// How long the arrival rate remembers.
const DEMAND_MEMORY_S: f64 = 1.0;

/// Operations of one workspace that may wait for tokens at a daemon while the coordinator has tokens
/// left.
const MAX_WAITING: usize = 256;

/// Standard deviations of the expected demand, as that of independent arrivals, that are left out of
/// the tokens requested ahead. Tokens that expire unused are lost to the workspace, which costs
/// small ones more than the round trip of a message.
const STOCK_MARGIN: f64 = 2.0;

/// How long a workspace counts as over its limit after the coordinator refused tokens.
const SCARCE_FOR: Duration = Duration::from_millis(500);

/// Permission for one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The operation must be sent to an instance before this time.
    pub expires: Time,
}

/// The decision on one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Granted(Token),
    /// It is not run; the client may retry after this time.
    Refused(Duration),
    /// The decision with this number follows.
    Waiting(u64),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: u64,
    /// Lower values come first.
    priority: u8,
    until: Time,
}

/// The state of one workspace at a member.
#[derive(Debug)]
pub(super) struct Account {
    limit: Limit,
    /// Number of tokens by expiry, earliest first.
    tokens: VecDeque<(Time, u32)>,
    waiters: Vec<Waiter>,
    demand_per_s: f64,
    granted_per_s: f64,
    measured_at: Time,
    dry_until: Time,
    scarce_until: Time,
    pub(super) used_at: Time,
    /// Whether the member's list of active workspaces contains it.
    pub(super) is_listed: bool,
    pub(super) granted_at: Option<Time>,
}

impl Account {
    pub(super) fn new(limit: Limit, now: Time) -> Self {
        Self {
            limit,
            tokens: VecDeque::new(),
            waiters: Vec::new(),
            demand_per_s: 0.0,
            granted_per_s: 0.0,
            measured_at: now,
            dry_until: Time::ZERO,
            scarce_until: Time::ZERO,
            used_at: now,
            is_listed: false,
            granted_at: None,
        }
    }

    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.measured_at).as_secs_f64() / DEMAND_MEMORY_S).exp();
        self.demand_per_s *= factor;
        self.granted_per_s *= factor;
        self.measured_at = now;
    }

    /// Removes tokens that are too old for a new operation.
    fn remove_old(&mut self, now: Time) {
        let usable_after = now + self.limit.min_left();
        while self.tokens.front().is_some_and(|(expires, _)| *expires < usable_after) {
            self.tokens.pop_front();
        }
    }

    fn take(&mut self, now: Time) -> Option<Token> {
        self.remove_old(now);
        let (expires, count) = self.tokens.front_mut()?;
        let token = Token { expires: *expires };
        *count -= 1;
        if *count == 0 {
            self.tokens.pop_front();
        }
        Some(token)
    }

    /// The number of usable tokens.
    pub(super) fn held(&self) -> u32 {
        self.tokens.iter().map(|(_, count)| count).sum()
    }

    pub(super) fn is_waited_for(&self) -> bool {
        !self.waiters.is_empty()
    }

    /// Decides on an operation that arrives. `next_id` is the number of a decision that follows.
    pub(super) fn ask(
        &mut self,
        now: Time,
        limit: Limit,
        priority: u8,
        patience: Duration,
        next_id: u64,
        decided: &mut Vec<(u64, Decision)>,
    ) -> Decision {
        if self.limit != limit {
            // Tokens of an earlier quota could exceed a lowered one.
            self.tokens.clear();
            self.limit = limit;
        }
        self.used_at = now;
        self.decay(now);
        self.demand_per_s += 1.0 / DEMAND_MEMORY_S;
        if self.waiters.is_empty()
            && let Some(token) = self.take(now)
        {
            return Decision::Granted(token);
        }
        let wait = self.dry_until.since(now);
        if wait > patience {
            return Decision::Refused(wait);
        }
        if self.waiters.len() >= self.max_waiting(now, patience) {
            let last = self.waiters.iter().enumerate().max_by_key(|(_, w)| (w.priority, w.id));
            let Some((position, last)) = last.filter(|(_, last)| last.priority > priority) else {
                return Decision::Refused(self.retry_after(now));
            };
            decided.push((last.id, Decision::Refused(self.retry_after(now))));
            self.waiters.swap_remove(position);
        }
        self.waiters.push(Waiter { id: next_id, priority, until: now + patience });
        Decision::Waiting(next_id)
    }

    /// How many operations may wait: over the limit, as many as are likely to get a token in time.
    fn max_waiting(&self, now: Time, patience: Duration) -> usize {
        if now >= self.scarce_until {
            return MAX_WAITING;
        }
        let likely = (self.granted_per_s * patience.as_secs_f64()).ceil() + 1.0;
        // The value is small and not negative.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let likely = likely as usize;
        likely.min(MAX_WAITING)
    }

    fn retry_after(&self, now: Time) -> Duration {
        self.dry_until.since(now).max(Duration::from_millis(100))
    }

    /// Adds tokens whose request was sent at `sent_at`, and gives them to waiting operations.
    pub(super) fn receive(
        &mut self,
        now: Time,
        sent_at: Time,
        tokens: u32,
        retry_after: Duration,
        decided: &mut Vec<(u64, Decision)>,
    ) {
        if !retry_after.is_zero() {
            self.dry_until = now + retry_after;
            self.scarce_until = now + SCARCE_FOR.max(retry_after * 2);
        }
        if tokens > 0 {
            self.decay(now);
            self.granted_per_s += f64::from(tokens) / DEMAND_MEMORY_S;
            self.granted_at = Some(now);
            self.insert(sent_at + self.limit.validity, tokens);
        }
        self.serve(now, decided);
    }

    fn insert(&mut self, expires: Time, tokens: u32) {
        let position = self.tokens.partition_point(|(other, _)| *other < expires);
        match self.tokens.get_mut(position) {
            Some((other, count)) if *other == expires => *count += tokens,
            _ => self.tokens.insert(position, (expires, tokens)),
        }
    }

    /// Takes back a token that was not used.
    pub(super) fn give_back(
        &mut self,
        now: Time,
        token: Token,
        decided: &mut Vec<(u64, Decision)>,
    ) {
        self.insert(token.expires, 1);
        self.serve(now, decided);
    }

    fn serve(&mut self, now: Time, decided: &mut Vec<(u64, Decision)>) {
        self.remove_old(now);
        if self.tokens.is_empty() || self.waiters.is_empty() {
            return;
        }
        self.waiters.sort_unstable_by_key(|w| (w.priority, w.id));
        let mut served = 0;
        while served < self.waiters.len() {
            let Some(token) = self.take(now) else {
                break;
            };
            decided.push((self.waiters[served].id, Decision::Granted(token)));
            served += 1;
        }
        self.waiters.drain(..served);
    }

    /// Refuses operations that have waited too long.
    pub(super) fn expire(&mut self, now: Time, decided: &mut Vec<(u64, Decision)>) {
        self.remove_old(now);
        let retry_after = self.retry_after(now);
        self.waiters.retain(|waiter| {
            let waits = now < waiter.until;
            if !waits {
                decided.push((waiter.id, Decision::Refused(retry_after)));
            }
            waits
        });
    }

    /// The time from which the coordinator should be asked for waiting operations.
    pub(super) fn asks_at(&self) -> Option<Time> {
        self.is_waited_for().then_some(self.dry_until)
    }

    /// The number of tokens to request now, and whether more than half of the stock is missing.
    pub(super) fn wanted(&mut self, now: Time) -> (u32, bool) {
        self.remove_old(now);
        self.decay(now);
        if now < self.dry_until {
            return (0, false);
        }
        let waiting = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let usable = self.limit.validity.saturating_sub(self.limit.min_left());
        let expected = self.demand_per_s * usable.as_secs_f64();
        let stock = (expected - STOCK_MARGIN * expected.sqrt()).max(0.0).floor();
        let is_scarce = now < self.scarce_until;
        // The value is whole, bounded by the number of arrivals in two seconds.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let stock = if is_scarce { 0 } else { stock as u32 };
        let held = self.held();
        let missing = stock.saturating_sub(held);
        (waiting + missing, missing > held)
    }
}
