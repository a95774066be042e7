//! Leadership transfer to a peer that can reach the state service.

use std::net::SocketAddr;
use std::time::Duration;

use crate::controller::commands::{Command, Handle};
use crate::controller::context::ControllerContext;
use crate::protocol::peer::PeerRequest;
use crate::storage::store::call_peer;

const TRANSFER_DEADLINE: Duration = Duration::from_millis(300);

/// Steps down for good, and only then asks the peer to remove this leader's key and to campaign.
///
/// Waiting for the lease to expire instead would leave nobody valid for a second or two. If an
/// outage of the state service for all began in that time, nobody would be valid throughout it,
/// and the leases of all workers would expire.
pub(super) async fn transfer_leadership(
    context: &ControllerContext,
    handle: &Handle,
    token: u64,
    successor: SocketAddr,
) {
    context.leadership.step_down(token);
    tracing::info!(token, %successor, "leadership transfer started");
    // Before the event loop learns who leads next.
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
