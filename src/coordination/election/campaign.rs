//! One attempt to be elected, and when to let peers try first.

use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use crate::controller::context::ControllerContext;
use crate::storage::FENCING;
use crate::storage::store::StoreError;
use crate::transport::rate_limiter::Urgency;

use super::records::{self, LeaderKey, TermMarker};

/// Nonces fit the integers that JSON numbers hold exactly.
const NONCE_BOUND: u64 = 1 << 52;

/// An election that this controller won.
#[derive(Debug)]
pub(super) struct WonElection {
    /// The lease of the leader key.
    pub(super) lease: u64,
    /// The fencing token of the new term.
    pub(super) token: u64,
    /// When the lease was requested; the leader's validity counts from then.
    pub(super) requested_at: Instant,
}

/// Writes the leader key if there is none. `None`: another controller may lead, by its key or
/// on a vote of this controller.
pub(super) async fn campaign(
    context: &ControllerContext,
) -> Result<Option<WonElection>, StoreError> {
    if context.leadership.has_binding_vote() && TermMarker::read(context).await?.is_some() {
        return Ok(None);
    }
    let requested_at = Instant::now();
    let ttl = Duration::from_millis(context.tuning.leader_ttl_ms);
    let lease = context.store.new_lease(ttl).await?;
    let nonce = context.random(NONCE_BOUND);
    let election = records::election(&context.settings.member, nonce, lease);
    let result = context
        .store
        .commit(&election, Urgency::Renewal, false)
        .await;
    match result {
        Ok(_) | Err(StoreError::Unknown(_)) => {}
        Err(StoreError::Conflict(_)) => return Ok(None),
        Err(error) => return Err(error),
    }
    // The outcome may be unknown, so the key is read back.
    let key = LeaderKey::read(context).await?;
    let own = key.filter(|key| key.nonce == Some(nonce));
    Ok(own.map(|key| WonElection {
        lease,
        token: key.token,
        requested_at,
    }))
}

/// Whether this controller restarted so recently that, as leader, it would have to count the
/// leases of all unresponsive workers from its restart, and the fencing record names some. A peer
/// with a longer uptime knows better when they can last have been answered.
///
/// `peer_uptimes`: as far as they are known. If all peers restarted recently as well there is
/// nobody to defer to.
pub(super) async fn should_defer_to_peers(
    context: &ControllerContext,
    peer_uptimes: Option<Vec<Duration>>,
) -> bool {
    let worker_lease_s = context.settings.cluster.workers.lease_s;
    let recent = |uptime: &Duration| uptime.as_millis() as f64 / 1000.0 <= worker_lease_s;
    let all_recent = peer_uptimes.is_some_and(|uptimes| uptimes.iter().all(recent));
    if context.now_s() > worker_lease_s || all_recent {
        return false;
    }
    let names_workers = |value: &Value| value.as_object().is_some_and(|o| !o.is_empty());
    let pages = context.store.list(FENCING).await;
    pages.is_ok_and(|(pages, _)| pages.iter().any(|page| names_workers(&page.value)))
}
