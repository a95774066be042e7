//! Removal of a leader key whose leader has surely ended, instead of waiting for its lease.

use crate::controller::context::ControllerContext;
use crate::transport::rate_limiter::Urgency;

use super::records::{self, TermMarker};

/// Removes the leader key of an earlier process of this controller, which ended as leader: nobody
/// else could lead before its lease expired. False if that process may never have known that it
/// had won, or if the removal is not confirmed.
///
/// The platform starts a process of a controller only after the one before it has ended, so the
/// key's leader is gone. While the key stood nobody else was valid: docs/notes/quick-restarts.md.
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

/// Removes the leader key of a token whose leader surely leads no more, and will not again. Then
/// no vote that was granted until now is binding.
pub(super) async fn remove_leader_key(context: &ControllerContext, token: u64) -> bool {
    let removal = records::removal(token);
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
