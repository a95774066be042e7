//! Requests that wait for an answer, by ticket. A ticket identifies a request to the core or to the
//! heartbeat forwarder.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::controller::commands::{AdminResponse, BegunCancellation, ShardAnswer};
use crate::transport::server::ApiResponse;

/// The channel for the answer to a request.
///
/// Dropping it signals to the requester that this controller does not answer. A worker is then
/// redirected.
pub enum PendingReply {
    Heartbeat(oneshot::Sender<ApiResponse>),
    ShardStatus(oneshot::Sender<Option<ShardAnswer>>),
    Cancellation(oneshot::Sender<Option<BegunCancellation>>),
    Admin(oneshot::Sender<Option<AdminResponse>>),
}

/// The requests in progress, by ticket. An answer to an unknown ticket is dropped.
#[derive(Default)]
pub struct PendingReplies {
    by_ticket: HashMap<u64, PendingReply>,
    next_ticket: u64,
}

impl PendingReplies {
    /// Registers a request and returns its ticket.
    pub fn register(&mut self, reply: PendingReply) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.by_ticket.insert(ticket, reply);
        ticket
    }

    /// Removes a request that will not be answered.
    pub fn discard(&mut self, ticket: u64) {
        self.by_ticket.remove(&ticket);
    }

    /// Removes a heartbeat's request and returns its reply channel, to be answered later.
    pub fn take_heartbeat(&mut self, ticket: u64) -> Option<oneshot::Sender<ApiResponse>> {
        match self.by_ticket.remove(&ticket) {
            Some(PendingReply::Heartbeat(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Answers a heartbeat with 200 and this body.
    pub fn accept_heartbeat(&mut self, ticket: u64, body: Vec<u8>) {
        let response = ApiResponse {
            status: 200,
            body,
            retry_after_s: None,
        };
        self.answer_heartbeat(ticket, response);
    }

    /// Answers a heartbeat.
    pub fn answer_heartbeat(&mut self, ticket: u64, response: ApiResponse) {
        if let Some(reply) = self.take_heartbeat(ticket) {
            let _ = reply.send(response);
        }
    }

    /// Answers a shard owner.
    pub fn answer_shard_status(&mut self, ticket: u64, answer: Option<ShardAnswer>) {
        if let Some(PendingReply::ShardStatus(reply)) = self.by_ticket.remove(&ticket) {
            let _ = reply.send(answer);
        }
    }

    /// Answers a request to begin a cancellation.
    pub fn answer_cancellation(&mut self, ticket: u64, begun: BegunCancellation) {
        if let Some(PendingReply::Cancellation(reply)) = self.by_ticket.remove(&ticket) {
            let _ = reply.send(Some(begun));
        }
    }

    /// Answers an operator.
    pub fn answer_admin(&mut self, ticket: u64, response: AdminResponse) {
        if let Some(PendingReply::Admin(reply)) = self.by_ticket.remove(&ticket) {
            let _ = reply.send(Some(response));
        }
    }
}
