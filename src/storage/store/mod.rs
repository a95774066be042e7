//! The client of the state service: rate limits, deadlines, and the relaying of requests through
//! peers when the service does not answer this controller alone.

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
use crate::transport::client::{Answer, Network};
use crate::transport::rate_limiter::{RateLimiter, Urgency};

pub use error::{StoreError, UnknownOutcome};
use reachability::Reachability;
pub use relay::call_peer;

/// How long one attempt may take: answers normally come within 10 ms, now and then within a few
/// hundred.
const ATTEMPT: Duration = Duration::from_millis(900);
/// How often a request is sent that the service answers with [`TOO_MANY_REQUESTS`].
const ATTEMPTS: usize = 3;
/// Pause after such an answer.
const SLOW_DOWN: Duration = Duration::from_millis(100);
/// The service asks its clients to slow down. Not counted as a failure.
const TOO_MANY_REQUESTS: u16 = 429;
/// Seconds of the published rates that may be used at once.
const BURST_S: f64 = 1.0;
/// In the answer to a transaction whose lease has ended.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

/// The client of the state service.
pub struct Store {
    http: Arc<dyn Network>,
    address: SocketAddr,
    peers: Vec<SocketAddr>,
    requests: RateLimiter,
    writes: RateLimiter,
    reachability: Reachability,
    /// Index of the peer that last relayed a request.
    last_peer: AtomicUsize,
}

/// One request to the state service.
struct Request<'a> {
    method: Method,
    path: &'a str,
    body: &'a [u8],
    /// Changes that it makes, which are limited by themselves.
    changes: usize,
    urgency: Urgency,
    /// Whether it may go through a peer: only what needs no guard against a long delay may.
    may_relay: bool,
}

impl Store {
    /// A client of the service at `address`, for the published rates of requests and changes per
    /// second. `peers` are the other controllers.
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
            requests: RateLimiter::new(requests_per_s, BURST_S),
            writes: RateLimiter::new(changes_per_s, BURST_S),
            reachability: Reachability::new(),
            last_peer: AtomicUsize::new(0),
        }
    }

    /// Seconds since the state service last answered this controller, directly or through a peer.
    pub fn since_last_answer_s(&self) -> f64 {
        self.reachability.since_last_answer_s()
    }

    /// Whether the service does not answer this controller directly, as far as is known from a
    /// moment ago.
    pub fn is_unreachable(&self) -> bool {
        self.reachability.is_unreachable()
    }

    /// How long a request would wait behind those that wait already.
    pub fn read_backlog(&self) -> Duration {
        self.requests.backlog()
    }

    /// How long a write would wait behind those that wait already.
    pub fn write_backlog(&self) -> Duration {
        self.writes.backlog()
    }

    /// Reads a key.
    pub async fn get(
        &self,
        key: &str,
        urgency: Urgency,
        may_relay: bool,
    ) -> Result<Option<Item>, StoreError> {
        let path = format!("/kv/{key}");
        let answer = self
            .call(Request {
                method: Method::GET,
                path: &path,
                body: &[],
                changes: 0,
                urgency,
                may_relay,
            })
            .await?;
        match answer.status {
            404 => Ok(None),
            200 => parse(&answer).map(Some),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Returns the revision of the transaction, which is the version of all it wrote.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        urgency: Urgency,
        may_relay: bool,
    ) -> Result<u64, StoreError> {
        let answer = self
            .call(Request {
                method: Method::POST,
                path: "/multi",
                body: &transaction.body(),
                changes: transaction.changes.len(),
                urgency,
                may_relay,
            })
            .await?;
        match answer.status {
            200 => parse::<Revision>(&answer).map(|r| r.revision),
            409 => Err(StoreError::Conflict(parse::<Conflict>(&answer)?.failed)),
            400 if contains(&answer.body, NO_SUCH_LEASE) => Err(StoreError::LeaseNotFound),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Sends a request within the rate limits, again if the service asks to slow down.
    async fn call(&self, request: Request<'_>) -> Result<Answer, StoreError> {
        for _ in 0..ATTEMPTS {
            self.requests.acquire(1.0, request.urgency).await;
            if request.changes > 0 {
                let changes = request.changes as f64;
                self.writes.acquire(changes, request.urgency).await;
            }
            let answer = self.attempt(&request).await?;
            if answer.status != TOO_MANY_REQUESTS {
                return Ok(answer);
            }
            tokio::time::sleep(SLOW_DOWN).await;
        }
        Err(StoreError::Refused(TOO_MANY_REQUESTS))
    }

    /// One attempt: directly if that has worked, else through the peers at once.
    async fn attempt(&self, request: &Request<'_>) -> Result<Answer, StoreError> {
        let may_relay = request.may_relay && !self.peers.is_empty();
        if may_relay && self.reachability.avoids_direct() {
            return self.through_peers(request).await;
        }
        let body = request.body.to_vec();
        let direct = self
            .direct(request.method.clone(), request.path, body, ATTEMPT)
            .await;
        match direct {
            Err(StoreError::Refused(_) | StoreError::NotReached) if may_relay => {
                self.through_peers(request).await
            }
            other => other,
        }
    }

    /// One direct attempt.
    async fn direct(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Result<Answer, StoreError> {
        let result = self
            .http
            .call(method, self.address, path, body, deadline)
            .await;
        match result {
            Ok(answer) if answer.status < 500 => {
                self.reachability.record_answer();
                Ok(answer)
            }
            Ok(answer) => {
                self.reachability.record_fault();
                Err(StoreError::Refused(answer.status))
            }
            Err(error) => {
                self.reachability.record_loss();
                Err(StoreError::from_exchange(error))
            }
        }
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(StoreError::from_body)
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}

/// A change that writes a key without a lease.
pub fn put(key: String, value: Value) -> Change {
    Change::Put {
        key,
        value,
        lease: None,
    }
}
