//! Leadership transfer to a peer that can reach the state service.

use std::net::SocketAddr;
use std::time::Duration;

use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::protocol::peer::PeerRequest;
use crate::storage::store::call_peer;

/// Deadline for the successor's reply to the transfer request.
const TRANSFER_DEADLINE: Duration = Duration::from_millis(300);

/// Ends this term, and only then asks the peer to remove this leader's key and to campaign.
///
/// If the lease were left to expire instead, no leader would be valid for one or two seconds. An
/// outage of the state service for all controllers that began in that time would leave the cluster
/// without a valid leader until its end, and the leases of all workers would expire.
pub(super) async fn transfer_leadership(
    context: &ControllerContext,
    handle: &ControllerHandle,
    token: u64,
    successor: SocketAddr,
) {
    context.leadership.step_down(token);
    tracing::info!(token, %successor, "leadership transfer started");
    // The event loop must handle this before it learns of the next leader.
    handle.send(Command::LeadershipLost).await;
    let request = PeerRequest::TransferLeadership { token };
    call_peer(
        context.http.as_ref(),
        successor,
        &request,
        TRANSFER_DEADLINE,
    )
    .await;
}
