//! The client of the state service. It applies rate limits and timeouts, and relays requests
//! through peers when the service does not answer this controller directly.

mod error;
mod lease;
mod outcome;
mod reachability;
mod relay;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use hyper::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::protocol::state::{Change, Conflict, Item, Revision, Transaction};
use crate::transport::client::{HttpResponse, Network};
use crate::transport::rate_limiter::{RateLimiter, Urgency};

pub use error::{StoreError, UnknownOutcome};
use reachability::Reachability;
pub use relay::call_peer;

/// Timeout of one attempt. Responses normally arrive within 10 ms, occasionally after a few hundred
/// milliseconds.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of attempts for a request that the service answers with [`TOO_MANY_REQUESTS`].
const MAX_ATTEMPTS: usize = 3;
/// Delay after a [`TOO_MANY_REQUESTS`] response.
const TOO_MANY_REQUESTS_DELAY: Duration = Duration::from_millis(100);
/// Status with which the service asks clients to slow down. It does not count as a failure.
const TOO_MANY_REQUESTS: u16 = 429;
/// Burst size of the rate limiters, in seconds of the published rates.
const BURST_S: f64 = 1.0;
/// Text in the response to a transaction whose lease has ended.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

/// The client of the state service.
pub struct Store {
    http: Arc<dyn Network>,
    address: SocketAddr,
    peers: Vec<SocketAddr>,
    request_limiter: RateLimiter,
    write_limiter: RateLimiter,
    reachability: Reachability,
    /// Index in `peers` of the peer that last relayed a request successfully.
    last_relay_peer: AtomicUsize,
}

/// One request to the state service.
struct Request<'a> {
    method: Method,
    path: &'a str,
    body: &'a [u8],
    /// The number of changes, which have a rate limit of their own.
    changes: usize,
    urgency: Urgency,
    /// Whether the request may be relayed through a peer. Only requests that remain correct after a
    /// long delay may be relayed.
    may_relay: bool,
}

impl Store {
    /// Creates a client of the service at `address` that keeps to the given rates of requests and
    /// changes per second. `peers` are the addresses of the other controllers.
    pub fn new(
        http: Arc<dyn Network>,
        address: SocketAddr,
        peers: Vec<SocketAddr>,
        requests_per_s: f64,
        changes_per_s: f64,
    ) -> Self {
        Self {
            http,
            address,
            peers,
            request_limiter: RateLimiter::new(requests_per_s, BURST_S),
            write_limiter: RateLimiter::new(changes_per_s, BURST_S),
            reachability: Reachability::new(),
            last_relay_peer: AtomicUsize::new(0),
        }
    }

    /// Returns the seconds since the state service last answered this controller, directly or
    /// through a peer.
    pub fn since_last_answer_s(&self) -> f64 {
        self.reachability.since_last_answer_s()
    }

    /// Returns whether the service seems unreachable: the last direct request failed, and recently.
    pub fn is_unreachable(&self) -> bool {
        self.reachability.is_unreachable()
    }

    /// Returns how long a new request would wait for the requests queued before it.
    pub fn read_backlog(&self) -> Duration {
        self.request_limiter.backlog()
    }

    /// Returns how long a new write would wait for the changes queued before it.
    pub fn write_backlog(&self) -> Duration {
        self.write_limiter.backlog()
    }

    /// Reads a key; `None` if it does not exist.
    pub async fn get(
        &self,
        key: &str,
        urgency: Urgency,
        may_relay: bool,
    ) -> Result<Option<Item>, StoreError> {
        let path = format!("/kv/{key}");
        let response = self
            .call(Request {
                method: Method::GET,
                path: &path,
                body: &[],
                changes: 0,
                urgency,
                may_relay,
            })
            .await?;
        match response.status {
            404 => Ok(None),
            200 => parse(&response).map(Some),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Commits a transaction. Returns its revision, which becomes the version of every key that it
    /// wrote.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        urgency: Urgency,
        may_relay: bool,
    ) -> Result<u64, StoreError> {
        let response = self
            .call(Request {
                method: Method::POST,
                path: "/multi",
                body: &transaction.body(),
                changes: transaction.changes.len(),
                urgency,
                may_relay,
            })
            .await?;
        match response.status {
            200 => parse::<Revision>(&response).map(|r| r.revision),
            409 => Err(StoreError::Conflict(parse::<Conflict>(&response)?.failed)),
            400 if contains_bytes(&response.body, NO_SUCH_LEASE) => Err(StoreError::LeaseNotFound),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Sends a request within the rate limits. Retries if the service asks to slow down.
    async fn call(&self, request: Request<'_>) -> Result<HttpResponse, StoreError> {
        for _ in 0..MAX_ATTEMPTS {
            self.request_limiter.acquire(1.0, request.urgency).await;
            if request.changes > 0 {
                let changes = request.changes as f64;
                self.write_limiter.acquire(changes, request.urgency).await;
            }
            let response = self.attempt(&request).await?;
            if response.status != TOO_MANY_REQUESTS {
                return Ok(response);
            }
            tokio::time::sleep(TOO_MANY_REQUESTS_DELAY).await;
        }
        Err(StoreError::Refused(TOO_MANY_REQUESTS))
    }

    /// Makes one attempt. The request is sent directly unless direct requests have failed recently,
    /// and is relayed through a peer otherwise or if the direct attempt certainly had no effect.
    async fn attempt(&self, request: &Request<'_>) -> Result<HttpResponse, StoreError> {
        let may_relay = request.may_relay && !self.peers.is_empty();
        if may_relay && self.reachability.prefers_relay() {
            return self.call_via_peers(request).await;
        }
        let body = request.body.to_vec();
        let direct = self
            .call_directly(request.method.clone(), request.path, body, ATTEMPT_TIMEOUT)
            .await;
        match direct {
            Err(StoreError::Refused(_) | StoreError::ConnectFailed) if may_relay => {
                self.call_via_peers(request).await
            }
            other => other,
        }
    }

    /// Sends a request directly, without a retry.
    async fn call_directly(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let result = self
            .http
            .call(method, self.address, path, body, deadline)
            .await;
        match result {
            Ok(response) if response.status < 500 => {
                self.reachability.record_answer();
                Ok(response)
            }
            Ok(response) => {
                self.reachability.record_server_error();
                Err(StoreError::Refused(response.status))
            }
            Err(error) => {
                self.reachability.record_no_answer();
                Err(StoreError::from_call_error(error))
            }
        }
    }
}

fn parse<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
    serde_json::from_slice(&response.body).map_err(StoreError::from_parse_error)
}

fn contains_bytes(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}

/// Returns a change that writes a key without a lease.
pub fn put(key: String, value: Value) -> Change {
    Change::Put {
        key,
        value,
        lease: None,
    }
}
