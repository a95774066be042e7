//! Tests of the rate limiter in simulated time.

use std::sync::Arc;
use std::time::Duration;

use copperfield::transport::rate_limiter::{RateLimiter, Urgency};
use tokio::time::{Instant, sleep};

const RATE: f64 = 10.0;
const BURST_S: f64 = 1.0;

/// Returns a limiter whose bucket is full. A new limiter starts with a partly filled bucket.
async fn full_limiter() -> RateLimiter {
    let limiter = RateLimiter::new(RATE, BURST_S);
    sleep(Duration::from_secs(1)).await;
    limiter
}

#[tokio::test(start_paused = true)]
async fn backlog_counts_queued_requests_but_not_cancelled_ones() {
    let limiter = Arc::new(full_limiter().await);
    let waiting: Vec<_> = (0..40)
        .map(|_| {
            let limiter = limiter.clone();
            tokio::spawn(async move { limiter.acquire(1.0, Urgency::High).await })
        })
        .collect();
    tokio::task::yield_now().await;
    sleep(Duration::from_millis(1)).await;
    assert_eq!(
        limiter.backlog().as_secs_f64(),
        3.0,
        "30 requests more than the burst"
    );
    for request in &waiting {
        request.abort();
    }
    sleep(Duration::from_millis(1)).await;
    assert_eq!(limiter.backlog(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn renewals_do_not_wait_while_other_requests_keep_to_the_rate() {
    let limiter = full_limiter().await;
    let start = Instant::now();
    for _ in 0..30 {
        limiter.acquire(1.0, Urgency::High).await;
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    assert!(
        (1.9..2.2).contains(&elapsed_s),
        "20 requests more than the burst at 10/s: {elapsed_s}"
    );
    let before = Instant::now();
    limiter.acquire(1.0, Urgency::Renewal).await;
    assert_eq!(before.elapsed(), Duration::ZERO);
    limiter.acquire(1.0, Urgency::Low).await;
    assert!(
        before.elapsed() > Duration::from_millis(600),
        "low urgency leaves half of the bucket"
    );
}

/// A new limiter must not start with a full bucket: controllers that restart often would get a
/// burst after each restart. Five controllers, each restarted five times per second, used 25 times
/// the burst.
#[tokio::test(start_paused = true)]
async fn restarts_do_not_increase_the_rate() {
    let start = Instant::now();
    let mut acquired = 0;
    while start.elapsed() < Duration::from_secs(10) {
        let limiter = RateLimiter::new(RATE, BURST_S);
        let restart = sleep(Duration::from_millis(350));
        tokio::pin!(restart);
        loop {
            tokio::select! {
                () = &mut restart => break,
                () = limiter.acquire(1.0, Urgency::Normal) => acquired += 1,
            }
        }
    }
    assert!(
        (80..=100).contains(&acquired),
        "{acquired} requests in 10 s at 10/s"
    );
}
