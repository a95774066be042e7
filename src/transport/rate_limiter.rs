//! A token bucket that keeps a controller under its share of a published limit.
//!
//! Crates for rate limits serve requests in order of arrival. Here the urgent ones go first: each
//! [`Urgency`] leaves a part of the bucket to those above it, a lease renewal may take the bucket
//! below zero, and the server asks for the [backlog](RateLimiter::backlog) before it accepts more.
//! Time is tokio's, so that tests run in simulated time.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Who may still take tokens when few are left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Housekeeping: leaves half of the bucket to others.
    Low,
    /// Users waiting for an answer.
    Normal,
    /// What service levels depend on: terminal states, a cancellation.
    High,
    /// Lease renewals: never wait.
    Renewal,
}

/// The part of the bucket that requests of low urgency leave to others.
const LOW_RESERVE: f64 = 0.5;
/// The part of the bucket that users leave to more urgent requests.
const NORMAL_RESERVE: f64 = 0.2;
/// A request that waits looks at the bucket again after at least so long,
const MIN_WAIT_S: f64 = 0.001;
/// and at most so long, since others may have left the queue.
const MAX_WAIT_S: f64 = 1.0;

impl Urgency {
    /// The tokens that a request of this urgency leaves in a bucket of `burst` tokens.
    fn reserve(self, burst: f64) -> f64 {
        match self {
            Self::Low => burst * LOW_RESERVE,
            Self::Normal => burst * NORMAL_RESERVE,
            Self::High => 0.0,
            Self::Renewal => f64::NEG_INFINITY,
        }
    }
}

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    /// The tokens that requests in the queue wait for.
    queued: f64,
}

/// Holds requests to a rate, the urgent ones first.
#[derive(Debug)]
pub struct RateLimiter {
    /// Tokens a second.
    rate: f64,
    /// Size of the bucket.
    burst: f64,
    bucket: Mutex<TokenBucket>,
}

impl RateLimiter {
    /// `rate` tokens a second, and a bucket that fills in `burst_s`.
    ///
    /// At first it holds what is kept for urgent requests and nothing more: a process that is
    /// restarted must not acquire again what the one before it has spent, so that a controller
    /// takes no more for its users than one process would, however often it restarts.
    pub fn new(rate: f64, burst_s: f64) -> Self {
        let burst = (rate * burst_s).max(1.0);
        Self {
            rate,
            burst,
            bucket: Mutex::new(TokenBucket {
                tokens: burst * NORMAL_RESERVE,
                refilled_at: Instant::now(),
                queued: 0.0,
            }),
        }
    }

    /// Takes `cost` tokens, and waits for them if need be.
    pub async fn acquire(&self, cost: f64, urgency: Urgency) {
        let Err(mut wait) = self.try_take(cost, urgency) else {
            return;
        };
        let _queued = QueuedCost::add(self, cost);
        loop {
            sleep(wait).await;
            match self.try_take(cost, urgency) {
                Ok(()) => return,
                Err(longer) => wait = longer,
            }
        }
    }

    /// How long it takes to serve the requests that wait now.
    pub fn backlog(&self) -> Duration {
        Duration::from_secs_f64((self.lock().queued / self.rate).max(0.0))
    }

    /// Takes `cost` tokens or returns how long to wait for them.
    fn try_take(&self, cost: f64, urgency: Urgency) -> Result<(), Duration> {
        let mut bucket = self.lock();
        let now = Instant::now();
        let passed = now.duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * self.rate).min(self.burst);
        bucket.refilled_at = now;
        // A cost above the bucket's size must pass some time: let it go at a full bucket.
        let needed = (cost + urgency.reserve(self.burst)).min(self.burst);
        if bucket.tokens >= needed {
            bucket.tokens -= cost;
            return Ok(());
        }
        let wait_s = (needed - bucket.tokens) / self.rate;
        Err(Duration::from_secs_f64(
            wait_s.clamp(MIN_WAIT_S, MAX_WAIT_S),
        ))
    }

    fn lock(&self) -> MutexGuard<'_, TokenBucket> {
        self.bucket.lock().expect("no panic while held")
    }
}

/// The cost of a request in the queue, until it is served or no longer waited for.
struct QueuedCost<'a> {
    limiter: &'a RateLimiter,
    cost: f64,
}

impl<'a> QueuedCost<'a> {
    fn add(limiter: &'a RateLimiter, cost: f64) -> Self {
        limiter.lock().queued += cost;
        Self { limiter, cost }
    }
}

impl Drop for QueuedCost<'_> {
    fn drop(&mut self) {
        self.limiter.lock().queued -= self.cost;
    }
}
