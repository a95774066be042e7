//! The client of the state service: budgets, deadlines, and the way round
//! through the peers when the service refuses this node alone.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use thiserror::Error;
use tokio::time::Instant;

use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Phase};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::state::{
    Change, Changes, Conflict, Item, NewLease, Page, Revision, Transaction,
};
use crate::transport::client::{Answer, CallError, Network};
use crate::transport::rate_limiter::{RateLimiter, Urgency};

use super::{job_key, parse_terminal, terminal_key};

#[derive(Debug, Clone, Error)]
pub enum StoreError {
    /// Surely not carried out.
    #[error("the state service refuses: {0}")]
    Refused(u16),
    /// May have been carried out, or may still be.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The keys whose condition failed.
    #[error("conditions failed: {0:?}")]
    Conflict(Vec<String>),
    #[error("no such lease")]
    NoLease,
    /// The watch fell behind what the service keeps, or what one answer may hold: only reading
    /// everything anew leads on from there.
    #[error("too old")]
    TooOld,
}

/// How long one attempt may take: answers normally come within 10 ms, now and
/// then within a few hundred.
const ATTEMPT: Duration = Duration::from_millis(900);

/// The leader key is looked at every 0.3 s, by requests that take one attempt at most.
const EVIDENCE_MS: u64 = 1300;

pub struct Store {
    http: Arc<dyn Network>,
    address: SocketAddr,
    peers: Vec<SocketAddr>,
    requests: RateLimiter,
    writes: RateLimiter,
    /// Until when direct requests are not worth a user's time, in ms since `start`.
    avoid_until: AtomicU64,
    /// When a direct request last failed, if none has been answered since; in ms since `start`,
    /// 0 for none.
    refused_at: AtomicU64,
    /// When the service last served this node, directly or through a peer.
    served_at: AtomicU64,
    start: Instant,
    last_peer: Mutex<usize>,
}

impl Store {
    pub fn new(
        http: Arc<dyn Network>,
        address: SocketAddr,
        peers: Vec<SocketAddr>,
        rps: f64,
        write_rps: f64,
    ) -> Self {
        Self {
            http,
            address,
            peers,
            requests: RateLimiter::new(rps, 1.0),
            writes: RateLimiter::new(write_rps, 1.0),
            avoid_until: AtomicU64::new(0),
            refused_at: AtomicU64::new(0),
            served_at: AtomicU64::new(0),
            start: Instant::now(),
            last_peer: Mutex::new(0),
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Seconds since the state service last served this node.
    pub fn unserved_s(&self) -> f64 {
        (self.now_ms() - self.served_at.load(Ordering::Relaxed)) as f64 / 1000.0
    }

    /// How long a request would wait behind those that wait already.
    pub fn read_backlog(&self) -> Duration {
        self.requests.backlog()
    }

    /// How long a write would wait behind those that wait already.
    pub fn write_backlog(&self) -> Duration {
        self.writes.backlog()
    }

    /// Whether the service does not serve this node, as far as is known from a moment ago: a
    /// failure that nothing has followed proves nothing of now.
    pub fn is_refused(&self) -> bool {
        let at = self.refused_at.load(Ordering::Relaxed);
        at > 0 && self.now_ms() - at.min(self.now_ms()) <= EVIDENCE_MS
    }

    /// One direct attempt. 429 is not counted as trouble: it only asks us to slow down.
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
                self.avoid_until.store(0, Ordering::Relaxed);
                self.refused_at.store(0, Ordering::Relaxed);
                self.served_at.store(self.now_ms(), Ordering::Relaxed);
                Ok(answer)
            }
            Ok(answer) => {
                self.refused_at
                    .store(self.now_ms().max(1), Ordering::Relaxed);
                self.avoid_until
                    .store(self.now_ms() + 500, Ordering::Relaxed);
                Err(StoreError::Refused(answer.status))
            }
            Err(error) => {
                self.refused_at
                    .store(self.now_ms().max(1), Ordering::Relaxed);
                self.avoid_until
                    .store(self.now_ms() + 1000, Ordering::Relaxed);
                Err(match error {
                    CallError::Unsent => StoreError::Refused(0),
                    other => StoreError::Unknown(other.to_string()),
                })
            }
        }
    }

    /// What a peer asks us to pass on. Only direct, so that no request goes in circles.
    pub async fn pass_on(&self, method: &str, path: &str, body: Vec<u8>) -> PeerReply {
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return PeerReply::Unable;
        };
        let writes = if method == Method::POST { 2.0 } else { 0.0 };
        self.requests.spend(1.0, Urgency::Normal).await;
        if writes > 0.0 {
            self.writes.spend(writes, Urgency::Normal).await;
        }
        match self.direct(method, path, body, ATTEMPT).await {
            Ok(answer) => PeerReply::State {
                status: answer.status,
                body: answer.body.to_vec(),
            },
            // A peer cannot tell "unknown" from "unable": it is told the worse of the two.
            Err(StoreError::Refused(status)) => PeerReply::State {
                status: if status == 0 { 503 } else { status },
                body: Vec::new(),
            },
            Err(_) => PeerReply::Unable,
        }
    }

    async fn through_peers(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, StoreError> {
        let first = *self.last_peer.lock().expect("no panic while held");
        let mut error = StoreError::Refused(503);
        for i in 0..self.peers.len() {
            let at = (first + i) % self.peers.len();
            let request = PeerRequest::State {
                method: method.to_string(),
                path: path.to_string(),
                body: body.to_vec(),
            };
            match call_peer(
                self.http.as_ref(),
                self.peers[at],
                &request,
                ATTEMPT + Duration::from_millis(300),
            )
            .await
            {
                Some(PeerReply::State { status, body }) if status < 500 => {
                    *self.last_peer.lock().expect("no panic while held") = at;
                    self.served_at.store(self.now_ms(), Ordering::Relaxed);
                    return Ok(Answer {
                        status,
                        body: body.into(),
                    });
                }
                Some(PeerReply::State { .. }) => {}
                // It may have been passed on before the answer was lost.
                _ => error = StoreError::Unknown("peer gave no answer".into()),
            }
        }
        Err(error)
    }

    /// A request for users: directly if that has worked, else through the peers at once.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        writes: f64,
        urgency: Urgency,
        roundabout: bool,
    ) -> Result<Answer, StoreError> {
        for _ in 0..3 {
            self.requests.spend(1.0, urgency).await;
            if writes > 0.0 {
                self.writes.spend(writes, urgency).await;
            }
            let avoid = roundabout
                && !self.peers.is_empty()
                && self.avoid_until.load(Ordering::Relaxed) > self.now_ms();
            let answer = if avoid {
                self.through_peers(&method, path, &body).await
            } else {
                match self
                    .direct(method.clone(), path, body.clone(), ATTEMPT)
                    .await
                {
                    Err(StoreError::Refused(_)) if roundabout && !self.peers.is_empty() => {
                        self.through_peers(&method, path, &body).await
                    }
                    other => other,
                }
            }?;
            if answer.status != 429 {
                return Ok(answer);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(StoreError::Refused(429))
    }

    pub async fn get(
        &self,
        key: &str,
        urgency: Urgency,
        roundabout: bool,
    ) -> Result<Option<Item>, StoreError> {
        let path = format!("/kv/{key}");
        let answer = self
            .call(Method::GET, &path, Vec::new(), 0.0, urgency, roundabout)
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
        txn: &Transaction,
        urgency: Urgency,
        roundabout: bool,
    ) -> Result<u64, StoreError> {
        let answer = self
            .call(
                Method::POST,
                "/multi",
                txn.body(),
                txn.changes.len() as f64,
                urgency,
                roundabout,
            )
            .await?;
        match answer.status {
            200 => parse::<Revision>(&answer).map(|r| r.revision),
            409 => Err(StoreError::Conflict(parse::<Conflict>(&answer)?.failed)),
            400 if answer.body.windows(13).any(|w| w == b"no such lease") => {
                Err(StoreError::NoLease)
            }
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Every item below a prefix, with the revision before the first page was read.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let since = items
                .last()
                .map(|i| format!("&since={}", i.key))
                .unwrap_or_default();
            let path = format!("/kv?prefix={prefix}{since}&page=500");
            let answer = self
                .call(Method::GET, &path, Vec::new(), 0.0, Urgency::High, false)
                .await?;
            if answer.status != 200 {
                return Err(StoreError::Refused(answer.status));
            }
            let page: Page = parse(&answer)?;
            revision.get_or_insert(page.revision);
            let more = page.more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok((items, revision.unwrap_or(0)));
            }
        }
    }

    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        block: Duration,
    ) -> Result<Changes, StoreError> {
        self.requests.spend(1.0, Urgency::High).await;
        let path = format!(
            "/watch?prefix={prefix}&since={since}&block_ms={}",
            block.as_millis()
        );
        // Not through `direct`: an open watch that waits out an outage says nothing about other requests.
        let answer = self
            .http
            .call(
                Method::GET,
                self.address,
                &path,
                Vec::new(),
                block + Duration::from_millis(1500),
            )
            .await
            .map_err(|error| match error {
                // The service has no limit to an answer; the same question gets the same again.
                CallError::TooLarge => StoreError::TooOld,
                other => StoreError::Unknown(other.to_string()),
            })?;
        match answer.status {
            200 => parse(&answer),
            410 => Err(StoreError::TooOld),
            other => Err(StoreError::Refused(other)),
        }
    }

    pub async fn new_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.requests.spend(1.0, Urgency::Renewal).await;
        let body = json!({"ttl_ms": ttl.as_millis() as u64}).to_string();
        let answer = self
            .direct(Method::POST, "/leases", body.into_bytes(), ATTEMPT)
            .await?;
        match answer.status {
            200 => parse::<NewLease>(&answer).map(|g| g.lease),
            other => Err(StoreError::Refused(other)),
        }
    }

    pub async fn extend_lease(&self, lease: u64, deadline: Duration) -> Result<(), StoreError> {
        self.requests.spend(1.0, Urgency::Renewal).await;
        let path = format!("/leases/{lease}/extend");
        let answer = self
            .direct(Method::POST, &path, b"{}".to_vec(), deadline)
            .await?;
        match answer.status {
            200 => Ok(()),
            404 => Err(StoreError::NoLease),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Ends a lease that is of no use any more; if this fails it runs out.
    pub async fn end_lease(&self, lease: u64) {
        self.requests.spend(1.0, Urgency::Renewal).await;
        let path = format!("/leases/{lease}");
        let ended = self
            .direct(Method::DELETE, &path, Vec::new(), ATTEMPT)
            .await;
        if let Err(error) = ended {
            tracing::debug!(%error, "lease not ended");
        }
    }

    /// What the state service says of a job: `None` if it was never accepted.
    /// `cf/j/` first, see the module above.
    pub async fn outcome(&self, job: JobId) -> Result<Option<JobOutcome>, StoreError> {
        let urgency = Urgency::Low;
        let live = self.get(&job_key(job), urgency, true).await?;
        let terminal = self.terminal(job, urgency).await?;
        let pending = JobOutcome {
            phase: Phase::Pending,
            done: 0,
        };
        Ok(terminal.or(live.map(|_| pending)))
    }

    pub async fn terminal(
        &self,
        job: JobId,
        urgency: Urgency,
    ) -> Result<Option<JobOutcome>, StoreError> {
        let key = terminal_key(job);
        match self.get(&key, urgency, true).await? {
            None => Ok(None),
            Some(item) => match parse_terminal(&item.value) {
                Some(end) => Ok(Some(end)),
                None => {
                    tracing::error!(key, "stored final phase does not parse");
                    Err(StoreError::Unknown("unreadable record".into()))
                }
            },
        }
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body).map_err(|e| StoreError::Unknown(e.to_string()))
}

pub async fn call_peer(
    http: &dyn Network,
    peer: SocketAddr,
    request: &PeerRequest,
    deadline: Duration,
) -> Option<PeerReply> {
    let body = borsh::to_vec(request).ok()?;
    let answer = http
        .call(Method::POST, peer, "/peer", body, deadline)
        .await
        .ok()?;
    if answer.status != 200 {
        return None;
    }
    borsh::from_slice(&answer.body).ok()
}

pub fn put(key: String, value: Value) -> Change {
    Change::Put {
        key,
        value,
        lease: None,
    }
}
