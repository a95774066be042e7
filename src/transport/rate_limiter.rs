//! Token buckets that keep a node under its share of a published limit.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Who may still spend when little is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Housekeeping: leaves half of the bucket to others.
    Low,
    /// Users waiting for an answer.
    Normal,
    /// What rules hang on: terminal states, a cancellation.
    High,
    /// Lease renewals: never wait.
    Renewal,
}

/// The part of the bucket that users leave to what is urgent.
const NORMAL_RESERVE: f64 = 0.2;

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    at: Instant,
    /// What is waited for, in tokens.
    wanted: f64,
}

#[derive(Debug)]
pub struct RateLimiter {
    rate: f64,
    burst: f64,
    bucket: Mutex<TokenBucket>,
}

impl RateLimiter {
    /// At first it holds what is kept for urgent requests and nothing more: a process that is
    /// started anew does not spend what the one before it has spent already, so however often that
    /// happens a node takes no more for its users than one process would.
    pub fn new(rate: f64, burst_s: f64) -> Self {
        let burst = (rate * burst_s).max(1.0);
        Self {
            rate,
            burst,
            bucket: Mutex::new(TokenBucket {
                tokens: burst * NORMAL_RESERVE,
                at: Instant::now(),
                wanted: 0.0,
            }),
        }
    }

    /// Takes `cost` tokens or says how long to wait for them.
    fn take(&self, cost: f64, urgency: Urgency) -> Result<(), Duration> {
        let mut bucket = self.bucket.lock().expect("no panic while held");
        let now = Instant::now();
        let passed = now.duration_since(bucket.at).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * self.rate).min(self.burst);
        bucket.at = now;
        let reserve = match urgency {
            Urgency::Low => self.burst * 0.5,
            Urgency::Normal => self.burst * NORMAL_RESERVE,
            Urgency::High => 0.0,
            Urgency::Renewal => f64::NEG_INFINITY,
        };
        // A cost above the bucket's size must pass some time: let it go at a full bucket.
        let wanted = (cost + reserve).min(self.burst);
        if bucket.tokens >= wanted {
            bucket.tokens -= cost;
            return Ok(());
        }
        let wait = (wanted - bucket.tokens) / self.rate;
        Err(Duration::from_secs_f64(wait.clamp(0.001, 1.0)))
    }

    pub async fn spend(&self, cost: f64, urgency: Urgency) {
        let Err(mut wait) = self.take(cost, urgency) else {
            return;
        };
        let _place = Place::take(self, cost);
        loop {
            tokio::time::sleep(wait).await;
            match self.take(cost, urgency) {
                Ok(()) => return,
                Err(longer) => wait = longer,
            }
        }
    }

    /// How long it takes to serve what waits already.
    pub fn backlog(&self) -> Duration {
        let bucket = self.bucket.lock().expect("no panic while held");
        Duration::from_secs_f64((bucket.wanted / self.rate).max(0.0))
    }
}

/// A place in the line, given up when served or when the wait is broken off.
struct Place<'a> {
    budget: &'a RateLimiter,
    cost: f64,
}

impl<'a> Place<'a> {
    fn take(budget: &'a RateLimiter, cost: f64) -> Self {
        let mut bucket = budget.bucket.lock().expect("no panic while held");
        bucket.wanted += cost;
        drop(bucket);
        Self { budget, cost }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut bucket = self.budget.bucket.lock().expect("no panic while held");
        bucket.wanted -= self.cost;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn the_backlog_is_what_waits_and_has_not_given_up() {
        let budget = std::sync::Arc::new(RateLimiter::new(10.0, 1.0));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let waiting: Vec<_> = (0..40)
            .map(|_| {
                let budget = budget.clone();
                tokio::spawn(async move { budget.spend(1.0, Urgency::High).await })
            })
            .collect();
        tokio::task::yield_now().await;
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(budget.backlog().as_secs_f64(), 3.0, "30 beyond the burst");
        waiting.iter().for_each(tokio::task::JoinHandle::abort);
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(budget.backlog(), Duration::ZERO);
    }

    #[tokio::test(start_paused = true)]
    async fn renewals_pass_while_the_rest_is_held_to_the_rate() {
        let budget = RateLimiter::new(10.0, 1.0);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let start = Instant::now();
        for _ in 0..30 {
            budget.spend(1.0, Urgency::High).await;
        }
        let spent = start.elapsed().as_secs_f64();
        assert!(
            (1.9..2.2).contains(&spent),
            "20 beyond the burst at 10/s: {spent}"
        );
        let before = Instant::now();
        budget.spend(1.0, Urgency::Renewal).await;
        assert_eq!(before.elapsed(), Duration::ZERO);
        budget.spend(1.0, Urgency::Low).await;
        assert!(
            before.elapsed() > Duration::from_millis(600),
            "low urgency leaves half"
        );
    }

    /// Five times a second five controllers once had a full bucket each: 25 times the burst.
    #[tokio::test(start_paused = true)]
    async fn processes_that_are_started_over_and_over_spend_no_more_than_one() {
        let start = Instant::now();
        let mut spent = 0;
        while start.elapsed() < Duration::from_secs(10) {
            let budget = RateLimiter::new(10.0, 1.0);
            let lives = tokio::time::sleep(Duration::from_millis(350));
            tokio::pin!(lives);
            loop {
                tokio::select! {
                    () = &mut lives => break,
                    () = budget.spend(1.0, Urgency::Normal) => spent += 1,
                }
            }
        }
        assert!(
            (80..=100).contains(&spent),
            "{spent} in 10 s at 10 a second"
        );
    }
}
