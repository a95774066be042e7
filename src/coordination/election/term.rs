//! The term of an elected leader: it renews its lease until the term ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::commands::{Command, Handle};
use crate::controller::context::ControllerContext;
use crate::storage::store::StoreError;
use crate::transport::rate_limiter::Urgency;

use super::FOLLOW_INTERVAL;
use super::campaign::WonElection;
use super::lease_extension::{VoteResult, request_votes};
use super::records;
use super::transfer::transfer_leadership;

/// Renewals in one TTL.
const RENEWALS_PER_TTL: u32 = 6;
/// After how long the first failed renewal is retried.
const RETRY_AFTER: Duration = Duration::from_millis(80);
/// Renewals that fail before leadership is transferred; one may fail by chance.
const FAILURES_BEFORE_TRANSFER: u32 = 2;
/// Bounds of the deadline of a renewal, which otherwise is the rest of the leader's validity.
const MIN_RENEWAL_DEADLINE: Duration = Duration::from_millis(150);
const MAX_RENEWAL_DEADLINE: Duration = Duration::from_millis(600);

/// How a term ended.
enum TermEnd {
    /// The leader stepped down, or its lease has expired at the state service.
    Ended,
    /// Leadership is transferred to this peer.
    TransferTo(SocketAddr),
}

/// Leads until the term ends.
pub(super) async fn lead(context: &Arc<ControllerContext>, handle: &Handle, won: WonElection) {
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
            // The next leader need not wait for the rest of the lease.
            context.store.end_lease(lease).await;
            tracing::info!(token, "no longer leader");
            handle.send(Command::LeadershipLost).await;
        }
    }
}

/// Records in the term marker, for later processes of this controller, that the leader of this
/// token knew that it led, and so granted no vote. Ends by itself with the term.
async fn confirm_term(context: Arc<ControllerContext>, token: u64) {
    let confirmation = records::confirmation(token);
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
/// While they fail and the lease expires, the leader is suspended rather than deposed: after an
/// outage of the state service every lease has its full time again, so the same key, and with it
/// the fencing token, may still be this leader's.
struct Term<'a> {
    context: &'a ControllerContext,
    lease: u64,
    token: u64,
    renewal_interval: Duration,
    /// The lease was last prolonged by votes, not by a renewal.
    extended_by_peers: bool,
    /// Failures since the lease was last prolonged.
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
            sleep(self.pause_before_renewal()).await;
            if !self.context.leadership.leads(self.token) {
                return TermEnd::Ended;
            }
            let requested_at = Instant::now();
            let deadline = self.renewal_deadline();
            match self.context.store.extend_lease(self.lease, deadline).await {
                Ok(()) => self.record_renewal(requested_at),
                Err(StoreError::NoLease) => return TermEnd::Ended,
                Err(error) => {
                    tracing::debug!(%error, "renewal failed");
                    if let Some(successor) = self.extend_by_votes(&error, deadline).await {
                        return TermEnd::TransferTo(successor);
                    }
                }
            }
        }
    }

    fn pause_before_renewal(&self) -> Duration {
        if self.failures == 1 {
            RETRY_AFTER
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

    /// After a failed renewal. Returns the peer to transfer leadership to, if one is ready and the failure
    /// was not the first.
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
