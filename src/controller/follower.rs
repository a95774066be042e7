//! A node that does not lead, as a shard owner: it answers its share of the workers under the
//! leader's grant, and tells the leader what they say. The decisions are `copperfield-heartbeat-forwarder`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use copperfield_heartbeat_forwarder::{Action, HeartbeatForwarder};
use tokio::sync::oneshot;

use crate::controller::commands::{Command, Handle};
use crate::controller::context::ControllerContext;
use crate::protocol::peer::{ForwardedHeartbeat, Outcome, PeerReply, PeerRequest, ShardUpdate};
use crate::protocol::worker::{Heartbeat, commands_body};
use crate::settings::Switch;
use crate::storage::store::call_peer;
use crate::transport::server::Outgoing;

/// What a node heard as a shard owner.
#[derive(Default)]
pub struct BufferedHeartbeats {
    pub forwarded: Vec<ForwardedHeartbeat>,
    pub waiting: Vec<(Heartbeat, oneshot::Sender<Outgoing>)>,
}

const DEADLINE: Duration = Duration::from_millis(700);

pub struct Follower {
    context: Arc<ControllerContext>,
    handle: Handle,
    relay: HeartbeatForwarder,
    tickets: HashMap<u64, oneshot::Sender<Outgoing>>,
    next_ticket: u64,
    leader: Option<String>,
    /// The last leader that was seen, whom this node tells what it hears.
    forwarded: Option<String>,
}

impl Follower {
    /// `None` where the workers are not shared.
    pub fn begin(context: &Arc<ControllerContext>, handle: &Handle) -> Option<Self> {
        let settings = &context.settings;
        if context.tuning.shares == Switch::Off || settings.others.is_empty() {
            return None;
        }
        // Tells the share of this process from what an earlier one had.
        let process = 1 + context.random(1 << 52);
        let report_s = settings.cluster.workers.report_s;
        context.set_shard_permission(0, 0);
        Some(Self {
            context: context.clone(),
            handle: handle.clone(),
            relay: HeartbeatForwarder::new(settings.own_index(), process, report_s),
            tickets: HashMap::new(),
            next_ticket: 0,
            leader: None,
            forwarded: None,
        })
    }

    /// The leader is seen, or nobody leads.
    pub fn leader_seen(&mut self, leader: Option<&str>) {
        self.leader = leader.map(str::to_string);
        if leader.is_some() && leader != self.forwarded.as_deref() {
            self.forwarded = leader.map(str::to_string);
            self.relay.handle_new_leader();
        }
    }

    pub fn heartbeat(&mut self, heartbeat: Heartbeat, reply: oneshot::Sender<Outgoing>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, reply);
        let acts = self
            .relay
            .handle_heartbeat(self.context.now_ms(), ticket, heartbeat);
        self.act(acts);
    }

    fn act(&mut self, acts: Vec<Action>) {
        for act in acts {
            let (ticket, answer) = match act {
                Action::Answer { ticket, token } => {
                    let body = commands_body(token, None, &[]);
                    let answer = Outgoing {
                        status: 200,
                        body,
                        retry_after_s: None,
                    };
                    (ticket, answer)
                }
                Action::Redirect { ticket, to } => {
                    let named = to.map(|n| self.context.settings.controller(n).to_string());
                    let to = named.or_else(|| self.leader.clone());
                    (ticket, self.context.redirect_worker(to.as_deref()))
                }
            };
            if let Some(reply) = self.tickets.remove(&ticket) {
                let _ = reply.send(answer);
            }
        }
    }

    pub fn granted(&mut self, number: u64, down: Option<ShardUpdate>) {
        match down {
            Some(down) => {
                let acts = self.relay.handle_update(self.context.now_ms(), &down);
                let lease = self.relay.lease();
                self.context
                    .set_shard_permission(lease.token, lease.valid_until);
                self.act(acts);
            }
            None => self.relay.handle_lost_status(number),
        }
    }

    pub fn relayed(&mut self, token: u64, message_id: u64, outcome: Outcome) {
        if self.relay.lease().token == token {
            self.relay.record_outcome(message_id, outcome);
        }
    }

    /// Time passes: tells the leader what it is time for.
    pub fn tick(&mut self) {
        let now = self.context.now_ms();
        let acts = self.relay.tick(now);
        self.act(acts);
        let to = self.leader.as_deref();
        let Some(to) = to.and_then(|l| self.context.peer_address(l)) else {
            return;
        };
        let Some(word) = self.relay.next_status(now) else {
            return;
        };
        let (context, handle) = (self.context.clone(), self.handle.clone());
        tokio::spawn(async move {
            let number = word.owner_status.number;
            let request = PeerRequest::Share(word);
            let reply = call_peer(context.http.as_ref(), to, &request, DEADLINE).await;
            let down = match reply {
                Some(PeerReply::Granted(down)) => Some(down),
                _ => None,
            };
            if down.is_some() {
                context.record_peer_contact();
            }
            handle.send(Command::ShardUpdate { number, down }).await;
        });
    }

    /// This node leads now: what it has heard, and whose reports still wait for an answer.
    pub fn end(mut self) -> BufferedHeartbeats {
        self.context.set_shard_permission(0, 0);
        let mut heard = BufferedHeartbeats::default();
        for drained in self.relay.into_buffered(self.context.now_ms()) {
            match drained.ticket.and_then(|t| self.tickets.remove(&t)) {
                Some(reply) => heard.waiting.push((drained.forwarded.heartbeat, reply)),
                None => heard.forwarded.push(drained.forwarded),
            }
        }
        heard
    }
}
