//! Sends one request to all peers in parallel.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::controller::context::ControllerContext;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::storage::store::call_peer;

/// The reply of one peer; `None` if it did not answer in time.
pub(super) struct PeerAnswer {
    pub(super) peer: SocketAddr,
    pub(super) reply: Option<PeerReply>,
}

/// Sends a request to every peer. Pending requests are aborted when the set is dropped.
pub(super) fn ask_all_peers(
    context: &ControllerContext,
    request: &PeerRequest,
    deadline: Duration,
) -> JoinSet<PeerAnswer> {
    let mut answers = JoinSet::new();
    for peer in &context.settings.peers {
        let (http, request) = (context.http.clone(), request.clone());
        let peer = peer.peer_addr;
        answers.spawn(async move {
            let reply = call_peer(http.as_ref(), peer, &request, deadline).await;
            PeerAnswer { peer, reply }
        });
    }
    answers
}
