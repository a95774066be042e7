//! The term of an elected leader, which renews its lease until the term ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::storage::store::StoreError;
use crate::transport::rate_limiter::Urgency;

use super::FOLLOW_INTERVAL;
use super::campaign::WonElection;
use super::lease_extension::{VoteResult, request_votes};
use super::records;
use super::transfer::transfer_leadership;

/// Number of renewals in one TTL.
const RENEWALS_PER_TTL: u32 = 6;
/// Delay before the first failed renewal is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// Number of failed renewals before leadership is transferred. A single failure may be transient.
const FAILURES_BEFORE_TRANSFER: u32 = 2;
/// Bounds of a renewal's deadline, which otherwise is the time for which the leader is still valid.
const MIN_RENEWAL_DEADLINE: Duration = Duration::from_millis(150);
const MAX_RENEWAL_DEADLINE: Duration = Duration::from_millis(600);

/// How a term ended.
enum TermEnd {
    /// The leader stepped down, or its lease has expired at the state service.
    Ended,
    /// Leadership is to be transferred to this peer.
    TransferTo(SocketAddr),
}

/// Leads until the term ends.
pub(super) async fn lead(
    context: &Arc<ControllerContext>,
    handle: &ControllerHandle,
    won: WonElection,
) {
    let WonElection { lease, token, .. } = won;
    handle.send(Command::Elected { token }).await;
    tracing::info!(token, "elected");
    tokio::spawn(confirm_term(context.clone(), token));
    match Term::new(context, lease, token).renew_until_end().await {
        TermEnd::TransferTo(successor) => {
            transfer_leadership(context, handle, token, successor).await;
        }
        TermEnd::Ended => {
            context.leadership.step_down(token);
            // Ending the lease spares the next leader the wait for it to expire.
            context.store.end_lease(lease).await;
            tracing::info!(token, "no longer leader");
            handle.send(Command::LeadershipLost).await;
        }
    }
}

/// Records in the term marker that the leader of this token knew that it led, and therefore granted
/// no vote. Later processes of this controller rely on this. Returns once the record is stored or
/// the term has ended.
async fn confirm_term(context: Arc<ControllerContext>, token: u64) {
    let confirmation = records::confirmation_transaction(token);
    while context.leadership.leads(token) {
        let result = context
            .store
            .commit(&confirmation, Urgency::High, false)
            .await;
        match result {
            Ok(_) | Err(StoreError::Conflict(_)) => return,
            Err(_) => sleep(FOLLOW_INTERVAL).await,
        }
    }
}

/// The renewals of one leader's lease.
///
/// If renewals fail and the leader's validity runs out, its term is suspended but does not end:
/// after an outage of the state service every lease starts again with its full TTL, so this leader
/// may still hold the same key and fencing token.
struct Term<'a> {
    context: &'a ControllerContext,
    lease: u64,
    token: u64,
    renewal_interval: Duration,
    /// Whether the last extension of the lease was by votes and not by a renewal.
    extended_by_peers: bool,
    /// Number of failures since the lease was last renewed or extended.
    failures: u32,
}

impl<'a> Term<'a> {
    fn new(context: &'a ControllerContext, lease: u64, token: u64) -> Self {
        let ttl = Duration::from_millis(context.tuning.leader_ttl_ms);
        Self {
            context,
            lease,
            token,
            renewal_interval: ttl / RENEWALS_PER_TTL,
            extended_by_peers: false,
            failures: 0,
        }
    }

    async fn renew_until_end(&mut self) -> TermEnd {
        loop {
            sleep(self.delay_before_renewal()).await;
            if !self.context.leadership.leads(self.token) {
                return TermEnd::Ended;
            }
            let requested_at = Instant::now();
            let deadline = self.renewal_deadline();
            match self.context.store.extend_lease(self.lease, deadline).await {
                Ok(()) => self.record_renewal(requested_at),
                Err(StoreError::LeaseNotFound) => return TermEnd::Ended,
                Err(error) => {
                    tracing::debug!(%error, "renewal failed");
                    if let Some(successor) = self.extend_by_votes(&error, deadline).await {
                        return TermEnd::TransferTo(successor);
                    }
                }
            }
        }
    }

    fn delay_before_renewal(&self) -> Duration {
        if self.failures == 1 {
            RETRY_DELAY
        } else {
            self.renewal_interval
        }
    }

    fn renewal_deadline(&self) -> Duration {
        let valid_for = self.context.leadership.valid_for();
        valid_for.clamp(MIN_RENEWAL_DEADLINE, MAX_RENEWAL_DEADLINE)
    }

    fn record_renewal(&mut self, requested_at: Instant) {
        let leadership = &self.context.leadership;
        if !leadership.is_valid() || self.extended_by_peers {
            tracing::info!(token = self.token, "lease renewed after a pause");
        }
        self.extended_by_peers = false;
        self.failures = 0;
        leadership.record_renewal(requested_at);
    }

    /// Requests votes to extend the lease after a failed renewal. Returns the peer to transfer
    /// leadership to, if one is ready and at least [`FAILURES_BEFORE_TRANSFER`] renewals failed.
    async fn extend_by_votes(
        &mut self,
        error: &StoreError,
        deadline: Duration,
    ) -> Option<SocketAddr> {
        let context = self.context;
        let requested_at = Instant::now();
        let votes = request_votes(context, self.token, deadline).await;
        if votes == VoteResult::Unanimous && context.leadership.extend_lease_by_peers(requested_at)
        {
            if !self.extended_by_peers {
                tracing::info!(%error, "lease extended by the votes of all peers");
            }
            self.extended_by_peers = true;
            self.failures = 0;
            return None;
        }
        self.failures += 1;
        match votes {
            VoteResult::ReadyForTransfer(peer) if self.failures >= FAILURES_BEFORE_TRANSFER => {
                Some(peer)
            }
            _ => None,
        }
    }
}
