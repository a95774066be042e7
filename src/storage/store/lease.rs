//! Leases of the state service. A key written with a lease is deleted when the lease ends.

use std::time::Duration;

use hyper::Method;
use serde_json::json;

use super::{ATTEMPT_TIMEOUT, Store, StoreError, parse};
use crate::protocol::state::NewLease;
use crate::transport::rate_limiter::Urgency;

impl Store {
    /// Creates a lease and returns its ID.
    pub async fn create_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        self.request_limiter.acquire(1.0, Urgency::Renewal).await;
        let body = json!({"ttl_ms": ttl.as_millis() as u64}).to_string();
        let response = self
            .call_directly(Method::POST, "/leases", body.into_bytes(), ATTEMPT_TIMEOUT)
            .await?;
        match response.status {
            200 => parse::<NewLease>(&response).map(|created| created.lease),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Extends a lease by its full TTL.
    pub async fn extend_lease(&self, lease: u64, deadline: Duration) -> Result<(), StoreError> {
        self.request_limiter.acquire(1.0, Urgency::Renewal).await;
        let path = format!("/leases/{lease}/extend");
        let response = self
            .call_directly(Method::POST, &path, b"{}".to_vec(), deadline)
            .await?;
        match response.status {
            200 => Ok(()),
            404 => Err(StoreError::LeaseNotFound),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Ends a lease that is no longer needed. If this fails, the lease ends after its TTL.
    pub async fn end_lease(&self, lease: u64) {
        self.request_limiter.acquire(1.0, Urgency::Renewal).await;
        let path = format!("/leases/{lease}");
        let ended = self
            .call_directly(Method::DELETE, &path, Vec::new(), ATTEMPT_TIMEOUT)
            .await;
        if let Err(error) = ended {
            tracing::debug!(%error, "cannot end the lease, it will expire");
        }
    }
}
