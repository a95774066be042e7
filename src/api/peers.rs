//! Requests from and to other controllers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::error::ApiError;
use super::{Api, CANCEL_DEADLINE};
use crate::controller::commands::{Command, ShardAnswer};
use crate::controller::context::ControllerContext;
use crate::controller::effects::relay_commands;
use crate::coordination::election;
use crate::protocol::JobId;
use crate::protocol::peer::{
    AdminRequest, FencedMessage, FencedShardUpdate, Lookup, PeerReply, PeerRequest, ShardStatus,
};
use crate::storage::store::call_peer;
use crate::transport::server::{ApiRequest, ApiResponse};

/// The deadline for a peer's answer to a request that it answers at once.
pub(super) const PEER_DEADLINE: Duration = Duration::from_millis(700);
/// How often the controller checks whether it must ping its peers.
const MONITOR_INTERVAL: Duration = Duration::from_secs(2);
/// Peers are pinged once the state service has not answered for this long.
const PING_AFTER_UNANSWERED_S: f64 = 1.5;

impl Api {
    /// Answers a request from another controller.
    pub async fn peer(self, request: ApiRequest) -> ApiResponse {
        self.context.record_peer_contact();
        let request = match decode(&request.body) {
            Ok(request) => request,
            Err(error) => return error.into(),
        };
        let reply = self.reply_to_peer(request).await;
        ApiResponse {
            status: 200,
            body: borsh::to_vec(&reply).expect("writing to memory never fails"),
            retry_after_s: None,
        }
    }

    async fn reply_to_peer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::LookUpJobs(jobs) => {
                PeerReply::Lookups(self.look_up_all_locally(jobs).await.results)
            }
            PeerRequest::CancelJob(id) => self.cancel_for_peer(id).await,
            PeerRequest::State { method, path, body } => {
                self.context.store.relay(&method, &path, body).await
            }
            PeerRequest::VoteToExtendLease { token } => {
                let reply = election::answer_vote_request(&self.context, token).await;
                tracing::debug!(token, ?reply, "lease extension vote requested");
                reply
            }
            PeerRequest::Ping => PeerReply::Pong,
            PeerRequest::ConfirmNoLeader if !self.context.leadership.is_leading() => {
                PeerReply::NotLeading {
                    up_ms: (self.context.now_s() * 1000.0) as u64,
                }
            }
            PeerRequest::ConfirmNoLeader => PeerReply::Unavailable,
            PeerRequest::ShardStatus(status) => self.shard_status(status).await,
            PeerRequest::RelayCommands { token, messages } => {
                let with_token = |message| FencedMessage { token, message };
                self.relay(token, messages.into_iter().map(with_token).collect())
            }
            PeerRequest::RelayFencedCommands { token, messages } => self.relay(token, messages),
            PeerRequest::TransferLeadership { token } => {
                self.context.receive_leadership_transfer(token);
                PeerReply::Pong
            }
            PeerRequest::LeaderAnnouncement { member } => {
                self.handle.send(Command::LeaderSeen(Some(member))).await;
                PeerReply::Pong
            }
            PeerRequest::Admin(request) => self.admin_for_peer(request).await,
        }
    }

    async fn cancel_for_peer(&self, id: JobId) -> PeerReply {
        let cancelled = timeout(CANCEL_DEADLINE, self.cancel_as_leader(id)).await;
        PeerReply::Cancelled(cancelled.unwrap_or(Lookup::NotInMemory))
    }

    async fn shard_status(&self, status: ShardStatus) -> PeerReply {
        let update = self
            .handle
            .ask(|reply| Command::ShardStatus { status, reply });
        match update.await.flatten() {
            Some(ShardAnswer {
                update,
                newest_token: Some(newest_token),
            }) => PeerReply::FencedShardUpdate(FencedShardUpdate {
                update,
                newest_token,
            }),
            Some(ShardAnswer { update, .. }) => PeerReply::ShardUpdate(update),
            None => PeerReply::Unavailable,
        }
    }

    fn relay(&self, token: u64, messages: Vec<FencedMessage>) -> PeerReply {
        if relay_commands(&self.context, &self.handle, token, messages) {
            PeerReply::Relaying
        } else {
            PeerReply::Unavailable
        }
    }

    async fn admin_for_peer(&self, request: AdminRequest) -> PeerReply {
        let response = timeout(CANCEL_DEADLINE, self.admin_as_leader(request)).await;
        match response.ok().flatten() {
            Some(ApiResponse { status, body, .. }) => PeerReply::AdminResponse { status, body },
            None => PeerReply::Unavailable,
        }
    }
}

/// Decodes a request from another controller.
///
/// # Errors
/// The request does not decode, for example because the peer runs another version.
fn decode(body: &[u8]) -> Result<PeerRequest, ApiError> {
    borsh::from_slice(body).map_err(|error| {
        let (kind, bytes) = (body.first(), body.len());
        tracing::warn!(?kind, bytes, %error, "peer message not understood");
        let found = match kind {
            Some(kind) => format!("kind {kind}, {bytes} bytes"),
            None => "nothing".into(),
        };
        ApiError::UnknownPeerMessage { found }
    })
}

/// Sends a request to the leader. Returns `None` if no leader is known or it does not answer in
/// time.
pub(super) async fn call_leader(
    context: &ControllerContext,
    leader: Option<&str>,
    request: PeerRequest,
    deadline: Duration,
) -> Option<PeerReply> {
    let address = context.peer_address(leader?)?;
    let reply = call_peer(context.http.as_ref(), address, &request, deadline).await;
    if reply.is_some() {
        context.record_peer_contact();
    }
    reply
}

/// Pings peers while the state service does not answer this controller. Their answers show whether
/// the controller is cut off or the service is down. Never returns.
pub(super) async fn monitor(context: Arc<ControllerContext>) {
    loop {
        sleep(MONITOR_INTERVAL).await;
        if context.store.since_last_answer_s() < PING_AFTER_UNANSWERED_S {
            continue;
        }
        for peer in &context.settings.peers {
            let ping = &PeerRequest::Ping;
            let pong = call_peer(context.http.as_ref(), peer.peer_addr, ping, PEER_DEADLINE);
            if pong.await.is_some() {
                context.record_peer_contact();
                break;
            }
        }
    }
}
