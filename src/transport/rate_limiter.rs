//! A token bucket that keeps a controller within its share of a published rate limit.
//!
//! Available rate limiting crates serve requests in order of arrival. This one serves urgent
//! requests first: each [`Urgency`] leaves a part of the bucket to the levels above it, and a lease
//! renewal may make the number of tokens negative. Servers check the
//! [backlog](RateLimiter::backlog) before they accept more requests. The clock is tokio's, so that
//! tests can use simulated time.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// The urgency of a request, which determines how many tokens it leaves in the bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Housekeeping. Leaves half of the bucket to more urgent requests.
    Low,
    /// Requests on behalf of users who wait for a response. Leaves a fifth of the bucket.
    Normal,
    /// Requests that service levels depend on, such as terminal states and cancellations. May empty
    /// the bucket.
    High,
    /// Lease renewals, which never wait and may make the number of tokens negative.
    Renewal,
}

/// Fraction of the bucket that requests of [`Urgency::Low`] leave to more urgent requests.
const LOW_RESERVE: f64 = 0.5;
/// Fraction of the bucket that requests of [`Urgency::Normal`] leave to more urgent requests.
const NORMAL_RESERVE: f64 = 0.2;
/// Minimum time until a queued request checks the bucket again.
const MIN_WAIT_S: f64 = 0.001;
/// Maximum time until a queued request checks the bucket again. Tokens may become available early
/// if other requests leave the queue.
const MAX_WAIT_S: f64 = 1.0;

impl Urgency {
    /// Returns the number of tokens that a request of this urgency leaves in a bucket of size
    /// `burst`.
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
    /// The total cost of the queued requests.
    queued: f64,
}

/// Limits the rate of requests, and serves urgent requests first.
#[derive(Debug)]
pub struct RateLimiter {
    /// Tokens per second.
    rate: f64,
    /// Size of the bucket in tokens.
    burst: f64,
    bucket: Mutex<TokenBucket>,
}

impl RateLimiter {
    /// Creates a limiter of `rate` tokens per second, with a bucket that an idle limiter fills in
    /// `burst_s` seconds.
    ///
    /// The bucket starts with only the tokens that are reserved for urgent requests. If it started
    /// full, a controller that restarts repeatedly would have a new burst for its users after every
    /// restart and exceed its rate.
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

    /// Takes `cost` tokens, and waits until they are available.
    pub async fn acquire(&self, cost: f64, urgency: Urgency) {
        let Err(mut wait) = self.try_take(cost, urgency) else {
            return;
        };
        let _queued = QueuedCost::add(self, cost);
        loop {
            sleep(wait).await;
            match self.try_take(cost, urgency) {
                Ok(()) => return,
                Err(remaining) => wait = remaining,
            }
        }
    }

    /// Returns how long it takes to serve the requests that are queued now.
    pub fn backlog(&self) -> Duration {
        Duration::from_secs_f64((self.lock().queued / self.rate).max(0.0))
    }

    /// Takes `cost` tokens, or returns how long to wait before the next attempt.
    fn try_take(&self, cost: f64, urgency: Urgency) -> Result<(), Duration> {
        let mut bucket = self.lock();
        let now = Instant::now();
        let elapsed_s = now.duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed_s * self.rate).min(self.burst);
        bucket.refilled_at = now;
        // A request that costs more than the size of the bucket passes when the bucket is full.
        // Otherwise it would wait forever.
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

/// Counts the cost of a request as queued until it is dropped, which also happens if the caller
/// stops waiting.
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
