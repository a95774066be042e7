//! Relaying of requests to the state service through another controller, for when the service does
//! not answer this one.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;

use super::{ATTEMPT_TIMEOUT, Request, Store, StoreError, UnknownOutcome};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::transport::client::{HttpResponse, Network};
use crate::transport::rate_limiter::Urgency;

/// Time that a relayed request may take in addition to the attempt of the relaying peer.
const RELAY_MARGIN: Duration = Duration::from_millis(300);
/// The status returned to a peer if the service cannot be reached.
const UNAVAILABLE: u16 = 503;
/// The number of changes that a relayed transaction is charged with. The relaying controller does
/// not parse transactions.
const RELAYED_CHANGES: f64 = 2.0;

impl Store {
    /// Sends a request on behalf of another controller. It is only sent directly, to prevent relay
    /// loops.
    pub async fn relay(&self, method: &str, path: &str, body: Vec<u8>) -> PeerReply {
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return PeerReply::Unavailable;
        };
        self.request_limiter.acquire(1.0, Urgency::Normal).await;
        if method == Method::POST {
            self.write_limiter
                .acquire(RELAYED_CHANGES, Urgency::Normal)
                .await;
        }
        match self
            .call_directly(method, path, body, ATTEMPT_TIMEOUT)
            .await
        {
            Ok(response) => PeerReply::State {
                status: response.status,
                body: response.body.to_vec(),
            },
            Err(StoreError::Refused(status)) => error_reply(status),
            Err(StoreError::ConnectFailed) => error_reply(UNAVAILABLE),
            // The peer treats every reply other than `State` as an unknown outcome.
            Err(_) => PeerReply::Unavailable,
        }
    }

    /// Tries to relay a request through the peers in turn, starting with the one that last
    /// succeeded.
    pub(super) async fn call_via_peers(
        &self,
        request: &Request<'_>,
    ) -> Result<HttpResponse, StoreError> {
        let first = self.last_relay_peer.load(Ordering::Relaxed);
        let mut error = StoreError::Refused(UNAVAILABLE);
        for offset in 0..self.peers.len() {
            let peer = (first + offset) % self.peers.len();
            match self.relay_via_peer(self.peers[peer], request).await {
                Some(PeerReply::State { status, body }) if status < 500 => {
                    self.last_relay_peer.store(peer, Ordering::Relaxed);
                    self.reachability.record_relayed_answer();
                    let body = body.into();
                    return Ok(HttpResponse { status, body });
                }
                Some(PeerReply::State { .. }) => {}
                // The peer may have relayed the request although its response is missing.
                _ => error = StoreError::Unknown(UnknownOutcome::RelayNotAnswered),
            }
        }
        Err(error)
    }

    async fn relay_via_peer(&self, peer: SocketAddr, request: &Request<'_>) -> Option<PeerReply> {
        let request = PeerRequest::State {
            method: request.method.to_string(),
            path: request.path.to_string(),
            body: request.body.to_vec(),
        };
        let deadline = ATTEMPT_TIMEOUT + RELAY_MARGIN;
        call_peer(self.http.as_ref(), peer, &request, deadline).await
    }
}

/// Returns the reply to a request that was certainly not carried out.
fn error_reply(status: u16) -> PeerReply {
    PeerReply::State {
        status,
        body: Vec::new(),
    }
}

/// Sends a request to another controller; `None` if there is no valid response.
pub async fn call_peer(
    http: &dyn Network,
    peer: SocketAddr,
    request: &PeerRequest,
    deadline: Duration,
) -> Option<PeerReply> {
    let body = borsh::to_vec(request).ok()?;
    let response = http
        .call(Method::POST, peer, "/peer", body, deadline)
        .await
        .ok()?;
    if response.status != 200 {
        return None;
    }
    borsh::from_slice(&response.body).ok()
}
