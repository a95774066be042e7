//! One pooled HTTP client for everything a controller calls.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use copperfield_http::{CallError, Reply as Answer};
use copperfield_http::{Pool, PoolConfig};
use hyper::Method;
use tokio::time::{Instant, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// Responses larger than this are refused: a page of the state service is
/// 512 KiB at most, and memory is short.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A call that is under way.
pub type CallFuture<'a> = Pin<Box<dyn Future<Output = Result<Answer, CallError>> + Send + 'a>>;

/// How a controller reaches others, and the time of day that it shares with them. Tests put
/// a simulated network in its place.
pub trait Network: Send + Sync {
    /// Milliseconds since 1970, within the platform's `clock_error_ms`.
    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }

    /// Sends a request and waits for the answer until `deadline` has passed.
    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> CallFuture<'_>;
}

/// The real network.
pub struct HttpClient {
    pool: Pool,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self {
            pool: Pool::new(PoolConfig {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
                max_idle_per_address: MAX_IDLE_PER_ADDRESS,
                max_body: MAX_RESPONSE_BYTES,
            }),
        }
    }
}

impl Network for HttpClient {
    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> CallFuture<'_> {
        let path = path.to_string();
        Box::pin(async move {
            let exchange = self.pool.call(&method, to, &path, &body);
            within(deadline, exchange).await
        })
    }
}

/// Timers may fire this late without anything being wrong.
const TIMER_SLACK: Duration = Duration::from_millis(100);

/// Ends an exchange at its deadline, also where this process was paused meanwhile: a timer alone
/// accepts an answer that lay in the socket during the pause, and a controller that woke after
/// 25 s took an outdated leader key for the current one.
///
/// # Errors
/// The exchange failed, or the deadline has passed.
pub async fn within(
    deadline: Duration,
    exchange: impl Future<Output = Result<Answer, CallError>>,
) -> Result<Answer, CallError> {
    let started = Instant::now();
    match timeout(deadline, exchange).await {
        Ok(result) if result.is_err() || started.elapsed() <= deadline + TIMER_SLACK => result,
        _ => Err(CallError::Unknown("deadline passed".into())),
    }
}
