//! Confirmation by all peers that no leader relies on a vote of this controller.

use std::time::Duration;

use crate::controller::context::ControllerContext;
use crate::protocol::peer::{PeerReply, PeerRequest};

use super::peers::ask_all_peers;

/// Deadline for the replies of the peers. A peer that is up answers within a few milliseconds.
const CONFIRMATION_DEADLINE: Duration = Duration::from_millis(300);

/// Asks all peers whether they lead, if a vote of this controller may still be binding. If none
/// leads, the vote is released: only a leader whose process still runs can rely on it. Without this
/// check, controllers that all crashed would wait for one TTL after their restart.
///
/// Returns the peers' uptimes if all confirmed that they do not lead.
pub(super) async fn confirm_no_leader(context: &ControllerContext) -> Option<Vec<Duration>> {
    if !context.leadership.has_binding_vote() {
        return None;
    }
    context.leadership.begin_no_leader_confirmation();
    let uptimes = peer_uptimes_if_none_leads(context).await;
    if uptimes.is_some() {
        context.leadership.release_vote();
    }
    context.leadership.end_no_leader_confirmation();
    uptimes
}

async fn peer_uptimes_if_none_leads(context: &ControllerContext) -> Option<Vec<Duration>> {
    let request = PeerRequest::ConfirmNoLeader;
    let mut replies = ask_all_peers(context, &request, CONFIRMATION_DEADLINE);
    let mut uptimes = Vec::new();
    while let Some(reply) = replies.join_next().await {
        match reply.ok()?.reply {
            Some(PeerReply::NotLeading { up_ms }) => uptimes.push(Duration::from_millis(up_ms)),
            _ => return None,
        }
    }
    Some(uptimes)
}
