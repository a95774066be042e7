//! Extension of a leader's lease by the votes of all peers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::controller::context::ControllerContext;
use crate::protocol::peer::{PeerReply, PeerRequest};

use super::peers::ask_all_peers;
use super::records::LeaderKey;

/// Deadline for reading the leader key. A state service that is reachable answers within this time.
const READ_KEY_DEADLINE: Duration = Duration::from_millis(300);

/// The result of requesting votes from all peers.
#[derive(Debug, PartialEq)]
pub(super) enum VoteResult {
    /// All peers granted their votes.
    Unanimous,
    /// This peer can reach the state service and accept a leadership transfer.
    ReadyForTransfer(SocketAddr),
    /// A peer denied its vote or did not answer.
    Incomplete,
}

/// Asks all peers for their votes to extend the lease of this token.
pub(super) async fn request_votes(
    context: &ControllerContext,
    token: u64,
    deadline: Duration,
) -> VoteResult {
    let request = PeerRequest::VoteToExtendLease { token };
    let mut answers = ask_all_peers(context, &request, deadline);
    let mut unanimous = true;
    while let Some(answer) = answers.join_next().await {
        let answer = answer.ok();
        match answer.and_then(|answer| Some((answer.peer, answer.reply?))) {
            Some((_, PeerReply::VoteGranted)) => {}
            Some((peer, PeerReply::ReadyForTransfer)) => {
                return VoteResult::ReadyForTransfer(peer);
            }
            _ => unanimous = false,
        }
    }
    if unanimous {
        VoteResult::Unanimous
    } else {
        VoteResult::Incomplete
    }
}

/// Answers a vote request of a leader that cannot renew its lease. A vote may be granted on recent
/// knowledge of the state service; before a vote is denied, the leader key is read again.
pub async fn answer_vote_request(context: &ControllerContext, token: u64) -> PeerReply {
    if context.vote_to_extend_lease(token).is_granted() {
        return PeerReply::VoteGranted;
    }
    if sees_leader_key(context, token).await
        && !context.leadership.is_leading()
        && !context.is_backing_off()
    {
        return PeerReply::ReadyForTransfer;
    }
    if context.vote_to_extend_lease(token).is_granted() {
        PeerReply::VoteGranted
    } else {
        PeerReply::Unavailable
    }
}

/// Whether the state service answers this controller and still has the leader key of this token.
async fn sees_leader_key(context: &ControllerContext, token: u64) -> bool {
    let key = timeout(READ_KEY_DEADLINE, LeaderKey::read(context)).await;
    matches!(key, Ok(Ok(Some(key))) if key.token == token)
}
