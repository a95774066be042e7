//! One pooled HTTP client for everything a controller calls.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use copperfield_http::Pool;
pub use copperfield_http::{Failure as CallError, Reply as Answer};
use hyper::Method;
use tokio::time::{Instant, timeout};

/// Responses larger than this are refused: a page of the state service is
/// 512 KiB at most, and memory is short.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;

pub struct Http {
    pool: Pool,
}

impl Default for Http {
    fn default() -> Self {
        Self {
            pool: Pool::new(
                Duration::from_millis(800),
                Duration::from_secs(15),
                4,
                MAX_RESPONSE,
            ),
        }
    }
}

pub type Exchange<'a> = Pin<Box<dyn Future<Output = Result<Answer, CallError>> + Send + 'a>>;

/// How a controller reaches others, and the time of day that it shares with them. Tests put
/// a simulated network in its place.
pub trait Network: Send + Sync {
    /// Milliseconds since 1970, within the platform's `clock_error_ms`.
    fn unix_ms(&self) -> u64 {
        std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }

    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Exchange<'_>;
}

impl Network for Http {
    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Exchange<'_> {
        let path = path.to_string();
        Box::pin(async move {
            let exchange = self.pool.call(&method, to, &path, &body);
            within(deadline, exchange).await
        })
    }
}

/// Timers may fire this late without anything being wrong.
const LATE: Duration = Duration::from_millis(100);

/// Ends an exchange at its deadline, also where this process stood still over
/// it: a timer alone takes an answer that lay in the socket meanwhile, and a
/// node that woke after 25 s took the leader key of before for news.
pub async fn within(
    deadline: Duration,
    exchange: impl Future<Output = Result<Answer, CallError>>,
) -> Result<Answer, CallError> {
    let began = Instant::now();
    match timeout(deadline, exchange).await {
        Ok(result) if result.is_err() || began.elapsed() <= deadline + LATE => result,
        _ => Err(CallError::Unknown("deadline passed".into())),
    }
}
