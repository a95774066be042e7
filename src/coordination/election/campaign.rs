//! A single campaign, and the rule for when to let peers campaign first.

use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use crate::controller::context::ControllerContext;
use crate::storage::FENCING_PREFIX;
use crate::storage::store::StoreError;
use crate::transport::rate_limiter::Urgency;

use super::records::{self, LeaderKey, TermMarker};

/// Nonces stay below this bound so that JSON numbers represent them exactly.
const NONCE_BOUND: u64 = 1 << 52;

/// The result of an election that this controller won.
#[derive(Debug)]
pub(super) struct WonElection {
    /// The lease of the leader key.
    pub(super) lease: u64,
    /// The fencing token of the new term.
    pub(super) token: u64,
    /// When the lease was requested. The leader's validity is counted from this time.
    pub(super) requested_at: Instant,
}

/// Writes the leader key if it does not exist. Returns `None` if another controller may lead,
/// either because it holds the key or because of a binding vote of this controller.
pub(super) async fn campaign(
    context: &ControllerContext,
) -> Result<Option<WonElection>, StoreError> {
    if context.leadership.has_binding_vote() && TermMarker::read(context).await?.is_some() {
        return Ok(None);
    }
    let requested_at = Instant::now();
    let ttl = Duration::from_millis(context.tuning.leader_ttl_ms);
    let lease = context.store.create_lease(ttl).await?;
    let nonce = context.random(NONCE_BOUND);
    let election = records::election_transaction(&context.settings.member, nonce, lease);
    let result = context
        .store
        .commit(&election, Urgency::Renewal, false)
        .await;
    match result {
        Ok(_) | Err(StoreError::Unknown(_)) => {}
        Err(StoreError::Conflict(_)) => return Ok(None),
        Err(error) => return Err(error),
    }
    // The outcome of the write may be unknown, so the key is read back.
    let key = LeaderKey::read(context).await?;
    let own = key.filter(|key| key.nonce == Some(nonce));
    Ok(own.map(|key| WonElection {
        lease,
        token: key.token,
        requested_at,
    }))
}

/// Whether this controller should let its peers campaign first.
///
/// This is the case if the fencing record names workers and this controller has been up for at most
/// one worker lease. As leader it would have to count the leases of all unresponsive workers from
/// its restart, whereas a peer with a longer uptime has a tighter bound on when they were last
/// answered.
///
/// `peer_uptimes` are the uptimes of all peers, if known. If all peers restarted recently as well,
/// there is no reason to defer.
pub(super) async fn should_defer_to_peers(
    context: &ControllerContext,
    peer_uptimes: Option<Vec<Duration>>,
) -> bool {
    let worker_lease_s = context.settings.cluster.workers.lease_s;
    let restarted_recently =
        |uptime: &Duration| uptime.as_millis() as f64 / 1000.0 <= worker_lease_s;
    let all_recent = peer_uptimes.is_some_and(|uptimes| uptimes.iter().all(restarted_recently));
    if context.now_s() > worker_lease_s || all_recent {
        return false;
    }
    let names_workers = |value: &Value| value.as_object().is_some_and(|o| !o.is_empty());
    let pages = context.store.list(FENCING_PREFIX).await;
    pages.is_ok_and(|(pages, _)| pages.iter().any(|page| names_workers(&page.value)))
}
