//! Leases of the state service: a key that is written with one goes when the lease ends.

use std::time::Duration;

use hyper::Method;
use serde_json::json;

use super::{ATTEMPT, Store, StoreError, parse};
use crate::protocol::state::NewLease;
use crate::transport::rate_limiter::Urgency;

impl Store {
    /// Begins a lease, and returns its number.
    pub async fn new_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.requests.acquire(1.0, Urgency::Renewal).await;
        let body = json!({"ttl_ms": ttl.as_millis() as u64}).to_string();
        let answer = self
            .direct(Method::POST, "/leases", body.into_bytes(), ATTEMPT)
            .await?;
        match answer.status {
            200 => parse::<NewLease>(&answer).map(|created| created.lease),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Extends a lease by its whole TTL.
    pub async fn extend_lease(&self, lease: u64, deadline: Duration) -> Result<(), StoreError> {
        self.requests.acquire(1.0, Urgency::Renewal).await;
        let path = format!("/leases/{lease}/extend");
        let answer = self
            .direct(Method::POST, &path, b"{}".to_vec(), deadline)
            .await?;
        match answer.status {
            200 => Ok(()),
            404 => Err(StoreError::LeaseNotFound),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Ends a lease that is of no use any more; if this fails it runs out.
    pub async fn end_lease(&self, lease: u64) {
        self.requests.acquire(1.0, Urgency::Renewal).await;
        let path = format!("/leases/{lease}");
        let ended = self
            .direct(Method::DELETE, &path, Vec::new(), ATTEMPT)
            .await;
        if let Err(error) = ended {
            tracing::debug!(%error, "lease not ended");
        }
    }
}
