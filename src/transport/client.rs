//! The HTTP client for all calls of a controller, with a connection pool.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use copperfield_http::{CallError, Reply as HttpResponse};
use copperfield_http::{Pool, PoolConfig};
use hyper::Method;
use tokio::time::{Instant, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// Larger responses are rejected to limit memory use. A page of the state service has at most
/// 512 KiB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// The future of a call.
pub type CallFuture<'a> =
    Pin<Box<dyn Future<Output = Result<HttpResponse, CallError>> + Send + 'a>>;

/// The network and the wall clock of a controller. Tests replace them with a simulation.
pub trait Network: Send + Sync {
    /// Returns the Unix time in milliseconds. Its error is at most the platform's `clock_error_ms`.
    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }

    /// Sends a request and waits at most `deadline` for the response.
    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> CallFuture<'_>;
}

/// The implementation of [`Network`] on TCP and the system clock.
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
            let call = self.pool.call(&method, to, &path, &body);
            with_deadline(deadline, call).await
        })
    }
}

/// How late a timer may fire in normal operation.
const TIMER_SLACK: Duration = Duration::from_millis(100);

/// Runs a call with a deadline that also holds if this process is paused during the call. With a
/// timer alone, a response that was received during the pause would be accepted: after a pause of
/// 25 s, a controller took an outdated leader key for the current one.
///
/// # Errors
/// The call failed, or the deadline has passed.
pub async fn with_deadline(
    deadline: Duration,
    call: impl Future<Output = Result<HttpResponse, CallError>>,
) -> Result<HttpResponse, CallError> {
    let started = Instant::now();
    match timeout(deadline, call).await {
        Ok(result) if result.is_err() || started.elapsed() <= deadline + TIMER_SLACK => result,
        _ => Err(CallError::Unknown("deadline passed".into())),
    }
}
