//! Removal of a leader key whose leader is known to have ended, without waiting for its lease to
//! expire.

use crate::controller::context::ControllerContext;
use crate::transport::rate_limiter::Urgency;

use super::records::{self, TermMarker};

/// Removes the leader key of a previous process of this controller that ended while it led. Without
/// the removal no controller could lead before the key's lease expires.
///
/// Returns false if the previous process may not have known that it had won, or if the removal is
/// not confirmed.
///
/// This is safe because the platform starts a controller process only after the previous one has
/// ended, and because no other leader was valid while the key existed. See
/// docs/notes/quick-restarts.md.
pub(super) async fn remove_key_of_previous_process(
    context: &ControllerContext,
    token: u64,
) -> bool {
    let marker = TermMarker::read(context).await.ok().flatten();
    if marker.and_then(|marker| marker.confirmed_token) != Some(token) {
        return false;
    }
    let removed = remove_leader_key(context, token).await;
    if removed {
        tracing::info!(token, "leader key of the previous process removed");
    }
    removed
}

/// Removes the leader key of a token whose leader no longer leads and will not lead again. Once it
/// is removed, no vote granted before is binding.
pub(super) async fn remove_leader_key(context: &ControllerContext, token: u64) -> bool {
    let removal = records::removal_transaction(token);
    context.leadership.begin_no_leader_confirmation();
    let result = context
        .store
        .commit(&removal, Urgency::Renewal, false)
        .await;
    if result.is_ok() {
        context.leadership.release_vote();
    }
    context.leadership.end_no_leader_confirmation();
    result.is_ok()
}
