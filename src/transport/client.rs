//! One pooled HTTP client for everything a controller calls.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use thiserror::Error;
use tokio::time::{Instant, timeout};

#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// The connection never came about, so the request surely did not arrive.
    #[error("could not connect")]
    Unsent,
    /// It may have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

/// Responses larger than this are refused: a page of the state service is
/// 512 KiB at most, and memory is short.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;

#[derive(Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(800)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(15))
            .pool_max_idle_per_host(4)
            .build(connector);
        Self { client }
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
        let uri = format!("http://{to}{path}");
        Box::pin(async move {
            let uri: Uri = uri.parse().map_err(|_| CallError::Unsent)?;
            let mut request = Request::builder().method(method).uri(uri);
            if !body.is_empty() {
                request = request.header("content-type", "application/json");
            }
            let request = request
                .body(Full::new(Bytes::from(body)))
                .map_err(|_| CallError::Unsent)?;
            let exchange = async {
                let response = self.client.request(request).await.map_err(|e| {
                    if e.is_connect() {
                        CallError::Unsent
                    } else {
                        CallError::Unknown(e.to_string())
                    }
                })?;
                let status = response.status().as_u16();
                let body = Limited::new(response.into_body(), MAX_RESPONSE)
                    .collect()
                    .await
                    .map_err(|e| CallError::Unknown(e.to_string()))?
                    .to_bytes();
                Ok(Answer { status, body })
            };
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
