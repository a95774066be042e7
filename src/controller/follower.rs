//! The shard owner role of a controller that does not lead: it answers the workers of its shard
//! under a shard lease from the leader, and forwards their heartbeats to the leader. The decision
//! logic is in `copperfield-heartbeat-forwarder`.

use std::sync::Arc;
use std::time::Duration;

use copperfield_heartbeat_forwarder::{Action, HeartbeatForwarder};
use copperfield_sharding::COMMAND_TOKENS_FLAG;
use tokio::sync::oneshot;

use crate::controller::commands::{Command, ControllerHandle, ShardAnswer};
use crate::controller::context::ControllerContext;
use crate::controller::pending_replies::{PendingReplies, PendingReply};
use crate::protocol::peer::{CommandOutcome, ForwardedHeartbeat, PeerReply, PeerRequest};
use crate::protocol::worker::{Heartbeat, commands_body};
use crate::settings::Switch;
use crate::storage::store::call_peer;
use crate::transport::server::ApiResponse;

const STATUS_DEADLINE: Duration = Duration::from_millis(700);
/// Process numbers are drawn at random from 1 to this, so that a restarted process gets a different
/// number.
const MAX_PROCESS_NUMBER: u64 = 1 << 52;

/// The heartbeats that a shard owner holds when it is elected, and needs as the next leader.
#[derive(Default)]
pub struct BufferedHeartbeats {
    /// Heartbeats that have been answered, in the form in which the leader receives them.
    pub forwarded: Vec<ForwardedHeartbeat>,
    /// Heartbeats that have not been answered yet.
    pub pending: Vec<PendingHeartbeat>,
}

/// A heartbeat whose worker is waiting for the response.
pub struct PendingHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Receives the response.
    pub reply: oneshot::Sender<ApiResponse>,
}

/// The state of a shard owner that does not lead.
pub struct Follower {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    forwarder: HeartbeatForwarder,
    replies: PendingReplies,
    /// The member name of the leader; `None` while there is none.
    leader: Option<String>,
    /// The last known leader. It is kept while there is no leader, to detect that a new one differs.
    last_leader: Option<String>,
}

impl Follower {
    /// Starts a follower without a shard. Returns `None` if sharding is off or there are no other
    /// controllers.
    pub fn start(context: &Arc<ControllerContext>, handle: &ControllerHandle) -> Option<Self> {
        let settings = &context.settings;
        if context.tuning.sharding == Switch::Off || settings.peers.is_empty() {
            return None;
        }
        // Distinguishes this process from earlier processes of the same controller.
        let process_number = (1 + context.random(MAX_PROCESS_NUMBER)) | COMMAND_TOKENS_FLAG;
        let heartbeat_interval_s = settings.cluster.workers.heartbeat_interval_s;
        context.set_shard_permission(0, 0);
        Some(Self {
            context: context.clone(),
            handle: handle.clone(),
            forwarder: HeartbeatForwarder::new(
                settings.own_index(),
                process_number,
                heartbeat_interval_s,
            ),
            replies: PendingReplies::default(),
            leader: None,
            last_leader: None,
        })
    }

    /// Sets the current leader; `None` if there is none.
    pub fn set_leader(&mut self, leader: Option<String>) {
        if leader.is_some() && leader != self.last_leader {
            self.last_leader = leader.clone();
            self.forwarder.handle_new_leader();
        }
        self.leader = leader;
    }

    /// Answers a worker's heartbeat at once, or after the leader's next answer.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat, reply: oneshot::Sender<ApiResponse>) {
        let ticket = self.replies.register(PendingReply::Heartbeat(reply));
        let now_ms = self.context.now_ms();
        let actions = self.forwarder.handle_heartbeat(now_ms, ticket, heartbeat);
        self.execute(actions);
    }

    /// Processes the leader's answer to the status with this number; `None` if none was received.
    pub fn handle_shard_update(&mut self, number: u64, answer: Option<ShardAnswer>) {
        let Some(ShardAnswer {
            update,
            newest_token,
        }) = answer
        else {
            self.forwarder.handle_lost_status(number);
            return;
        };
        if let Some(newest_token) = newest_token {
            let term = update.shard_lease.token;
            self.forwarder.record_newest_token(term, newest_token);
        }
        let actions = self.forwarder.handle_update(self.context.now_ms(), &update);
        let lease = self.forwarder.lease();
        self.context
            .set_shard_permission(lease.token, lease.valid_until);
        self.execute(actions);
    }

    /// Records the outcome of a message that was relayed for the leader with this token.
    pub fn record_relay_outcome(&mut self, token: u64, message_id: u64, outcome: CommandOutcome) {
        if self.forwarder.lease().token == token {
            self.forwarder.record_outcome(message_id, outcome);
        }
    }

    /// Answers heartbeats that have waited too long, and sends the leader a status if one is due.
    pub fn tick(&mut self) {
        let now_ms = self.context.now_ms();
        let actions = self.forwarder.tick(now_ms);
        self.execute(actions);
        let leader = self.leader.as_deref();
        let Some(to) = leader.and_then(|member| self.context.peer_address(member)) else {
            return;
        };
        let Some(status) = self.forwarder.next_status(now_ms) else {
            return;
        };
        let (context, handle) = (self.context.clone(), self.handle.clone());
        tokio::spawn(async move {
            let number = status.owner_status.number;
            let request = PeerRequest::ShardStatus(status);
            let reply = call_peer(context.http.as_ref(), to, &request, STATUS_DEADLINE).await;
            let update = match reply {
                Some(PeerReply::ShardUpdate(update)) => Some(ShardAnswer {
                    update,
                    newest_token: None,
                }),
                Some(PeerReply::FencedShardUpdate(fenced)) => Some(ShardAnswer {
                    update: fenced.update,
                    newest_token: Some(fenced.newest_token),
                }),
                _ => None,
            };
            if update.is_some() {
                context.record_peer_contact();
            }
            handle.send(Command::ShardUpdate { number, update }).await;
        });
    }

    /// Ends the shard lease because this controller has been elected, and returns the heartbeats
    /// that it needs as leader.
    pub fn into_buffered_heartbeats(mut self) -> BufferedHeartbeats {
        self.context.set_shard_permission(0, 0);
        let mut buffered = BufferedHeartbeats::default();
        for entry in self
            .forwarder
            .into_buffered_heartbeats(self.context.now_ms())
        {
            let reply = entry
                .ticket
                .and_then(|ticket| self.replies.take_heartbeat(ticket));
            match reply {
                Some(reply) => buffered.pending.push(PendingHeartbeat {
                    heartbeat: entry.forwarded.heartbeat,
                    reply,
                }),
                None => buffered.forwarded.push(entry.forwarded),
            }
        }
        buffered
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { ticket, token } => {
                    let body = commands_body(token, None, &[]);
                    self.replies.accept_heartbeat(ticket, body);
                }
                Action::Redirect { ticket, to } => {
                    let owner = to.map(|index| self.context.settings.controller(index));
                    let redirect = self
                        .context
                        .redirect_worker(owner.or(self.leader.as_deref()));
                    self.replies.answer_heartbeat(ticket, redirect);
                }
            }
        }
    }
}
