//! Messages to other controllers: commands to be relayed to workers, and the announcement of a
//! new leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;

use super::workers;
use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::coordination::core::{CommandOutcome, Input};
use crate::protocol::peer::{FencedMessage, PeerReply, PeerRequest};
use crate::storage::store::call_peer;
use crate::transport::client::{CallError, HttpResponse};

const PEER_DEADLINE: Duration = Duration::from_millis(1000);

/// Whether a relay has accepted a message with commands.
enum RelayResult {
    Accepted,
    /// The relay sends none of the commands, because it was not reached or it refused.
    Rejected,
    /// The relay may have accepted the commands, because its answer was lost.
    Unknown,
}

/// Sends commands to the controller that relays them to workers. Returns an input for the core only
/// if the relay did not accept them; otherwise their outcomes arrive with the relay's status.
pub(super) async fn send_to_relay(
    context: &ControllerContext,
    token: u64,
    controller: u32,
    to: SocketAddr,
    messages: Vec<FencedMessage>,
) -> Option<Input> {
    let message_ids = messages.iter().map(|m| m.message.message_id).collect();
    let body = borsh::to_vec(&relay_request(token, messages))
        .expect("serializing to memory does not fail");
    let outcome = match call_relay(context, token, to, body).await {
        RelayResult::Accepted => return None,
        RelayResult::Rejected => CommandOutcome::Unsent,
        RelayResult::Unknown => CommandOutcome::Unknown,
    };
    Some(Input::RelayFailed {
        controller,
        message_ids,
        outcome,
    })
}

/// The request to relay messages. Controllers of earlier versions understand it as long as no
/// worker's token was raised.
fn relay_request(token: u64, messages: Vec<FencedMessage>) -> PeerRequest {
    if messages.iter().any(|fenced| fenced.token != token) {
        return PeerRequest::RelayFencedCommands { token, messages };
    }
    let messages = messages.into_iter().map(|fenced| fenced.message).collect();
    PeerRequest::RelayCommands { token, messages }
}

async fn call_relay(
    context: &ControllerContext,
    token: u64,
    to: SocketAddr,
    body: Vec<u8>,
) -> RelayResult {
    if !context.may_send_commands(token) {
        return RelayResult::Rejected;
    }
    let response = context
        .http
        .call(Method::POST, to, "/peer", body, PEER_DEADLINE);
    match response.await {
        Ok(response) if is_accepted(&response) => RelayResult::Accepted,
        // The relay may not send commands under this token, or runs a version without shard owners.
        Ok(_) | Err(CallError::Unsent) => RelayResult::Rejected,
        Err(CallError::Unknown(_) | CallError::TooLarge) => RelayResult::Unknown,
    }
}

fn is_accepted(response: &HttpResponse) -> bool {
    matches!(borsh::from_slice(&response.body), Ok(PeerReply::Relaying))
}

/// Relays commands to workers for the leader with this token. Returns false and relays nothing if
/// this controller may not send commands for that leader.
pub fn relay_commands(
    context: &Arc<ControllerContext>,
    handle: &ControllerHandle,
    token: u64,
    messages: Vec<FencedMessage>,
) -> bool {
    if !context.may_send_commands(token) {
        return false;
    }
    for fenced in messages {
        let (context, handle) = (context.clone(), handle.clone());
        tokio::spawn(async move {
            let outcome = workers::send_message(&context, token, &fenced).await;
            let command = Command::RelayCompleted {
                token,
                message_id: fenced.message.message_id,
                outcome,
            };
            handle.send(command).await;
        });
    }
    true
}

/// Announces this controller as leader to all peers, so that they learn of it before they next read
/// the leader key.
pub async fn announce_leadership(context: Arc<ControllerContext>) {
    for peer in &context.settings.peers {
        let (context, to) = (context.clone(), peer.peer_addr);
        tokio::spawn(async move {
            let member = context.settings.member.clone();
            let announcement = PeerRequest::LeaderAnnouncement { member };
            call_peer(context.http.as_ref(), to, &announcement, PEER_DEADLINE).await;
        });
    }
}
