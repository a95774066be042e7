//! Commands to workers, and requests for their heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;

use crate::controller::context::ControllerContext;
use crate::coordination::core::{CommandOutcome, Input};
use crate::protocol::peer::FencedMessage;
use crate::protocol::worker::{Heartbeat, commands_body};
use crate::transport::client::{CallError, HttpResponse};

const COMMAND_DEADLINE: Duration = Duration::from_millis(1500);
/// The deadline of a message without commands, which requests a heartbeat.
const HEARTBEAT_REQUEST_DEADLINE: Duration = Duration::from_millis(500);

const STATUS_OK: u16 = 200;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_CONFLICT: u16 = 409;

/// Sends a message to a worker and returns its outcome as an input for the core. `term` is the
/// leader's fencing token.
pub(super) async fn send(
    context: &ControllerContext,
    term: u64,
    worker: String,
    fenced: FencedMessage,
) -> Input {
    let outcome = send_message(context, term, &fenced).await;
    Input::DirectMessageEnded {
        worker,
        message_id: fenced.message.message_id,
        outcome,
    }
}

/// Sends commands to a worker, or requests a heartbeat with a message without commands.
///
/// A worker answers a message without commands with a heartbeat, as it answers `/inspect`, and if
/// the incarnation matches it also records the fencing token. With `/inspect`, a new leader would
/// need two exchanges before it could use a worker.
pub(super) async fn send_message(
    context: &ControllerContext,
    term: u64,
    fenced: &FencedMessage,
) -> CommandOutcome {
    let exchange = exchange(context, term, fenced);
    if !fenced.message.commands.is_empty() {
        return exchange.await;
    }
    match tokio::time::timeout(HEARTBEAT_REQUEST_DEADLINE, exchange).await {
        Ok(CommandOutcome::Unknown) | Err(_) => CommandOutcome::Unsent,
        Ok(outcome) => outcome,
    }
}

async fn exchange(
    context: &ControllerContext,
    term: u64,
    FencedMessage { token, message }: &FencedMessage,
) -> CommandOutcome {
    let to: SocketAddr = match message.address.parse() {
        Ok(to) if context.may_send_commands(term) => to,
        _ => return CommandOutcome::Unsent,
    };
    let body = commands_body(*token, Some(message.incarnation), &message.commands);
    let response = context
        .http
        .call(Method::POST, to, "/orders", body, COMMAND_DEADLINE);
    match response.await {
        Ok(response) => outcome_of(&response),
        Err(CallError::Unsent) => CommandOutcome::Unsent,
        Err(CallError::Unknown(_) | CallError::TooLarge) => CommandOutcome::Unknown,
    }
}

fn outcome_of(response: &HttpResponse) -> CommandOutcome {
    match (response.status, Heartbeat::parse(&response.body)) {
        (STATUS_OK, Ok(heartbeat)) => CommandOutcome::Executed(heartbeat),
        (STATUS_CONFLICT, heartbeat) => CommandOutcome::Rejected(heartbeat.ok()),
        (STATUS_BAD_REQUEST, _) => CommandOutcome::Rejected(None),
        _ => CommandOutcome::Unknown,
    }
}
