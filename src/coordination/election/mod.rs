//! Leader election and the leader's lease, based on a key in the state service.
//!
//! The version of the leader key is the leader's fencing token. A leader is valid until the send
//! time of its last successful renewal + TTL - margin, on its own monotonic clock. The state
//! service never ends a lease early, so there is no second leader before that time.
//!
//! During an outage of the state service no leader can renew its lease, and without a valid leader
//! the leases of all workers would expire. Two mechanisms prevent this:
//!
//! - `lease_extension`: a leader that cannot renew requests votes from all peers. With its vote a
//!   peer confirms that the state service does not answer it either, and agrees not to campaign for
//!   one TTL. If all peers vote while the leader is still valid, it stays valid for TTL - margin
//!   from the time of the request.
//! - `transfer`: if only the leader cannot reach the state service, its peers deny these votes.
//!   While it is still valid, it transfers leadership to a peer that can reach the state service.

mod campaign;
mod key_removal;
mod lease_extension;
mod no_leader;
mod peers;
mod records;
mod term;
mod transfer;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;

use campaign::campaign;
use records::LeaderKey;

pub use lease_extension::answer_vote_request;

/// Interval at which the leader key is read.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(300);
/// Upper bound of the random delay before a campaign, so that controllers that see the leader key
/// missing do not all request a lease at once.
const CAMPAIGN_JITTER_MS: u64 = 40;
/// How long a controller lets its peers campaign first. This is longer than a peer takes to notice
/// that there is no leader and to win an election.
const DEFERRAL: Duration = Duration::from_millis(500);

/// Whether the leader key is to be read again at once or after [`FOLLOW_INTERVAL`].
enum NextRead {
    Now,
    Later,
}

/// Follows the leader key, campaigns when it is missing, and leads after winning an election.
pub async fn run(context: Arc<ControllerContext>, handle: ControllerHandle) {
    loop {
        accept_transfer(&context).await;
        match check_leader_key(&context, &handle).await {
            NextRead::Now => {}
            NextRead::Later => {
                let _ = timeout(FOLLOW_INTERVAL, context.election_wakeup.notified()).await;
            }
        }
    }
}

/// Removes the key of a leader that transferred leadership to this controller.
async fn accept_transfer(context: &ControllerContext) {
    let Some(token) = context.take_leadership_transfer() else {
        return;
    };
    if key_removal::remove_leader_key(context, token).await {
        tracing::info!(token, "leader key removed for leadership transfer");
    }
}

async fn check_leader_key(context: &Arc<ControllerContext>, handle: &ControllerHandle) -> NextRead {
    let key = match LeaderKey::read(context).await {
        Ok(key) => key,
        Err(error) => {
            tracing::debug!(%error, "cannot read the leader key");
            return NextRead::Later;
        }
    };
    let Some(key) = key else {
        let backing_off = context.is_backing_off();
        handle.send(Command::LeaderSeen(None)).await;
        if backing_off {
            return NextRead::Later;
        }
        return run_for_election(context, handle).await;
    };
    let own = key.member.as_deref() == Some(&context.settings.member);
    if own && key_removal::remove_key_of_previous_process(context, key.token).await {
        return NextRead::Now;
    }
    handle.send(Command::LeaderSeen(key.member)).await;
    NextRead::Later
}

/// Campaigns, after deferring to peers if that is preferable, and leads if it wins.
async fn run_for_election(context: &Arc<ControllerContext>, handle: &ControllerHandle) -> NextRead {
    sleep(Duration::from_millis(context.random(CAMPAIGN_JITTER_MS))).await;
    let peer_uptimes = no_leader::confirm_no_leader(context).await;
    if campaign::should_defer_to_peers(context, peer_uptimes).await {
        sleep(DEFERRAL).await;
    }
    context.leadership.begin_campaign();
    let outcome = campaign(context).await;
    if let Ok(Some(won)) = &outcome {
        context
            .leadership
            .begin_leading(won.token, won.requested_at);
    }
    context.leadership.end_campaign();
    match outcome {
        Ok(Some(won)) => {
            term::lead(context, handle, won).await;
            NextRead::Now
        }
        Ok(None) => NextRead::Later,
        Err(error) => {
            tracing::debug!(%error, "campaign failed");
            NextRead::Later
        }
    }
}
