//! Requests that reach the state service through another controller, where the service does not
//! answer this one.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;

use super::{ATTEMPT, Request, Store, StoreError, UnknownOutcome};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::transport::client::{Answer, Network};
use crate::transport::rate_limiter::Urgency;

/// What a relay may take beyond its own attempt.
const RELAY_MARGIN: Duration = Duration::from_millis(300);
/// The status that a peer gets for a service that could not be reached.
const UNAVAILABLE: u16 = 503;
/// Changes that a relayed transaction is taken to have: the relay does not read it.
const RELAYED_CHANGES: f64 = 2.0;

impl Store {
    /// Carries out a request of another controller. Only directly, so that no request goes in
    /// circles.
    pub async fn relay(&self, method: &str, path: &str, body: Vec<u8>) -> PeerReply {
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return PeerReply::Unable;
        };
        self.requests.acquire(1.0, Urgency::Normal).await;
        if method == Method::POST {
            self.writes.acquire(RELAYED_CHANGES, Urgency::Normal).await;
        }
        match self.direct(method, path, body, ATTEMPT).await {
            Ok(answer) => PeerReply::State {
                status: answer.status,
                body: answer.body.to_vec(),
            },
            Err(StoreError::Refused(status)) => refusal(status),
            Err(StoreError::NotReached) => refusal(UNAVAILABLE),
            // A peer cannot distinguish "unknown" from "unable": it gets the worse of the two.
            Err(_) => PeerReply::Unable,
        }
    }

    /// Asks one peer after another, beginning with the last that had an answer.
    pub(super) async fn through_peers(&self, request: &Request<'_>) -> Result<Answer, StoreError> {
        let first = self.last_peer.load(Ordering::Relaxed);
        let mut error = StoreError::Refused(UNAVAILABLE);
        for offset in 0..self.peers.len() {
            let peer = (first + offset) % self.peers.len();
            match self.ask_peer(self.peers[peer], request).await {
                Some(PeerReply::State { status, body }) if status < 500 => {
                    self.last_peer.store(peer, Ordering::Relaxed);
                    self.reachability.record_relayed_answer();
                    let body = body.into();
                    return Ok(Answer { status, body });
                }
                Some(PeerReply::State { .. }) => {}
                // It may have been relayed before the answer was lost.
                _ => error = StoreError::Unknown(UnknownOutcome::RelayLost),
            }
        }
        Err(error)
    }

    async fn ask_peer(&self, peer: SocketAddr, request: &Request<'_>) -> Option<PeerReply> {
        let request = PeerRequest::State {
            method: request.method.to_string(),
            path: request.path.to_string(),
            body: request.body.to_vec(),
        };
        let deadline = ATTEMPT + RELAY_MARGIN;
        call_peer(self.http.as_ref(), peer, &request, deadline).await
    }
}

/// The reply to a request that was surely not carried out.
fn refusal(status: u16) -> PeerReply {
    PeerReply::State {
        status,
        body: Vec::new(),
    }
}

/// Asks another controller; `None` if it gave no answer that can be read.
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
