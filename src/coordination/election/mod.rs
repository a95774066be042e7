//! Leader election and the leader's lease, by a key of the state service.
//!
//! The version of the leader key is the leader's fencing token. A leader is valid until the send
//! time of its last successful renewal + TTL - margin, on its own steady clock. The state service
//! never ends a lease early, so no second leader exists before that.
//!
//! In an outage of the state service nobody can renew, and without a valid leader the leases of
//! all workers would expire. Two ways lead out of it:
//!
//! - `lease_extension`: a leader that cannot renew asks all peers for their votes. Each
//!   confirms that the state service does not answer it either, and agrees not to campaign for
//!   one TTL. With all votes, and only while it is still valid, the leader is valid for one
//!   TTL - margin from when it asked.
//! - `transfer`: a leader that alone cannot reach the state service gets no such votes. While
//!   it is still valid it transfers leadership to a peer that can reach it.

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

use crate::controller::commands::{Command, Handle};
use crate::controller::context::ControllerContext;

use campaign::campaign;
use records::LeaderKey;

pub use lease_extension::answer_vote_request;

/// How often the leader key is read.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(300);
/// Controllers that see the leader key missing wait for up to this long, each for a random time,
/// so that they do not all request a lease at once.
const CAMPAIGN_JITTER_MS: u64 = 40;
/// For how long a controller lets peers campaign first; longer than a peer takes to see that
/// there is no leader, and to win.
const DEFERRAL: Duration = Duration::from_millis(500);

/// Whether the leader key is to be read again at once or after [`FOLLOW_INTERVAL`].
enum NextLook {
    Now,
    Later,
}

/// Follows the leader key, campaigns when it is missing, and leads after an election won.
pub async fn run(context: Arc<ControllerContext>, handle: Handle) {
    loop {
        take_up_transfer(&context).await;
        match look_at_leader_key(&context, &handle).await {
            NextLook::Now => {}
            NextLook::Later => {
                let _ = timeout(FOLLOW_INTERVAL, context.election_due.notified()).await;
            }
        }
    }
}

/// Removes the key of a leader that has transferred leadership to this controller.
async fn take_up_transfer(context: &ControllerContext) {
    let Some(token) = context.take_leadership_transfer() else {
        return;
    };
    if key_removal::remove_leader_key(context, token).await {
        tracing::info!(token, "leader key removed for leadership transfer");
    }
}

async fn look_at_leader_key(context: &Arc<ControllerContext>, handle: &Handle) -> NextLook {
    let key = match LeaderKey::read(context).await {
        Ok(key) => key,
        Err(error) => {
            tracing::debug!(%error, "cannot read the leader key");
            return NextLook::Later;
        }
    };
    let Some(key) = key else {
        let backing_off = context.is_backing_off();
        handle.send(Command::LeaderSeen(None)).await;
        if backing_off {
            return NextLook::Later;
        }
        return stand_for_election(context, handle).await;
    };
    let own = key.member.as_deref() == Some(&context.settings.member);
    if own && key_removal::remove_key_of_previous_process(context, key.token).await {
        return NextLook::Now;
    }
    handle.send(Command::LeaderSeen(key.member)).await;
    NextLook::Later
}

/// Campaigns, after peers that are better placed, and leads if it wins.
async fn stand_for_election(context: &Arc<ControllerContext>, handle: &Handle) -> NextLook {
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
            NextLook::Now
        }
        Ok(None) => NextLook::Later,
        Err(error) => {
            tracing::debug!(%error, "campaign failed");
            NextLook::Later
        }
    }
}
