//! The same request to every peer at once.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::controller::context::ControllerContext;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::storage::store::call_peer;

/// What one peer answered, if it did in time.
pub(super) struct Answer {
    pub(super) peer: SocketAddr,
    pub(super) reply: Option<PeerReply>,
}

/// Sends a request to every peer. Requests without an answer end when the set is dropped.
pub(super) fn ask_all_peers(
    context: &ControllerContext,
    request: &PeerRequest,
    deadline: Duration,
) -> JoinSet<Answer> {
    let mut answers = JoinSet::new();
    for peer in &context.settings.peers {
        let (http, request) = (context.http.clone(), request.clone());
        let peer = peer.peer_addr;
        answers.spawn(async move {
            let reply = call_peer(http.as_ref(), peer, &request, deadline).await;
            Answer { peer, reply }
        });
    }
    answers
}
