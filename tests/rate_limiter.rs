//! The rate limiter, in simulated time.

use std::sync::Arc;
use std::time::Duration;

use copperfield::transport::rate_limiter::{RateLimiter, Urgency};
use tokio::time::{Instant, sleep};

const RATE: f64 = 10.0;
const BURST_S: f64 = 1.0;

async fn full_limiter() -> RateLimiter {
    let limiter = RateLimiter::new(RATE, BURST_S);
    sleep(Duration::from_secs(1)).await;
    limiter
}

#[tokio::test(start_paused = true)]
async fn backlog_counts_requests_that_wait_and_not_those_cancelled() {
    let limiter = Arc::new(full_limiter().await);
    let waiting: Vec<_> = (0..40)
        .map(|_| {
            let limiter = limiter.clone();
            tokio::spawn(async move { limiter.acquire(1.0, Urgency::High).await })
        })
        .collect();
    tokio::task::yield_now().await;
    sleep(Duration::from_millis(1)).await;
    assert_eq!(limiter.backlog().as_secs_f64(), 3.0, "30 beyond the burst");
    for request in &waiting {
        request.abort();
    }
    sleep(Duration::from_millis(1)).await;
    assert_eq!(limiter.backlog(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn renewals_pass_at_once_while_other_requests_keep_the_rate() {
    let limiter = full_limiter().await;
    let start = Instant::now();
    for _ in 0..30 {
        limiter.acquire(1.0, Urgency::High).await;
    }
    let spent = start.elapsed().as_secs_f64();
    assert!(
        (1.9..2.2).contains(&spent),
        "20 beyond the burst at 10/s: {spent}"
    );
    let before = Instant::now();
    limiter.acquire(1.0, Urgency::Renewal).await;
    assert_eq!(before.elapsed(), Duration::ZERO);
    limiter.acquire(1.0, Urgency::Low).await;
    assert!(
        before.elapsed() > Duration::from_millis(600),
        "low urgency leaves half"
    );
}

/// Restarted five times a second, five controllers once had a full bucket each time: 25 times the
/// burst.
#[tokio::test(start_paused = true)]
async fn process_restarts_spend_no_more_than_one_process() {
    let start = Instant::now();
    let mut spent = 0;
    while start.elapsed() < Duration::from_secs(10) {
        let limiter = RateLimiter::new(RATE, BURST_S);
        let process = sleep(Duration::from_millis(350));
        tokio::pin!(process);
        loop {
            tokio::select! {
                () = &mut process => break,
                () = limiter.acquire(1.0, Urgency::Normal) => spent += 1,
            }
        }
    }
    assert!(
        (80..=100).contains(&spent),
        "{spent} in 10 s at 10 a second"
    );
}
