//! What the core asks for and cannot do itself: talking to workers, the cloud and
//! the state service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;

use crate::controller::commands::{Command, Handle};
use crate::controller::context::ControllerContext;
use crate::coordination::core::{Effect, Input, Outcome, ScaleOutOutcome};
use crate::protocol::cloud::{self, MachineType};
use crate::protocol::peer::{PeerReply, PeerRequest, RelayedCommand};
use crate::protocol::worker::{Command as WorkerCommand, Heartbeat, commands_body};
use crate::storage::store::call_peer;
use crate::storage::writer::{self, WriteError};
use crate::transport::client::{Answer, CallError};
use crate::transport::rate_limiter::Urgency;

const DIRECT_DEADLINE: Duration = Duration::from_millis(1500);
const INSPECT_DEADLINE: Duration = Duration::from_millis(500);
const CARRY_DEADLINE: Duration = Duration::from_millis(1000);
const CLOUD_DEADLINE: Duration = Duration::from_secs(3);

/// Does what the core cannot: talks to workers, the cloud and the state service.
pub async fn execute(
    context: &Arc<ControllerContext>,
    handle: &Handle,
    token: u64,
    effect: Effect,
) -> Option<Input> {
    match effect {
        Effect::Direct {
            worker,
            address,
            incarnation,
            message_id,
            commands,
            ..
        } => {
            let outcome = send_commands(context, token, &address, incarnation, &commands).await;
            Some(Input::Direct {
                worker,
                message_id,
                outcome,
            })
        }
        Effect::Inspect {
            worker,
            address,
            incarnation,
            message_id,
            ..
        } => {
            let outcome = send_commands(context, token, &address, incarnation, &[]).await;
            Some(Input::Direct {
                worker,
                message_id,
                outcome,
            })
        }
        Effect::Write(batch) => {
            let alive = context.clone();
            let wanted = move || alive.leadership.leads(token);
            match writer::write(
                context.store.clone(),
                token,
                batch,
                context.unix_ms(),
                wanted,
            )
            .await
            {
                Ok(results) => {
                    for (write, written) in &results {
                        let end = match (write, written) {
                            (
                                writer::Write::Finish { done, .. },
                                writer::Written::Stored { .. },
                            ) => writer::completed(*done),
                            (writer::Write::Finish { .. }, writer::Written::Ended(end)) => *end,
                            _ => continue,
                        };
                        if let writer::Write::Finish { job, .. } = write {
                            handle.send(Command::Ended { job: *job, end }).await;
                        }
                    }
                    Some(Input::Written(results))
                }
                Err(WriteError::Deposed) => {
                    tracing::warn!(token, "the leader key has moved on");
                    context.leadership.step_down(token);
                    None
                }
            }
        }
        Effect::ScaleOut {
            request,
            machine_type,
            zone,
            spot,
            count,
        } => {
            let body =
                cloud::scale_out_body(&request, &machine_type, &zone, spot, count).to_string();
            let outcome = rent(context, body.into_bytes()).await;
            Some(Input::ScaledOut { request, outcome })
        }
        Effect::ScaleIn(workers) => {
            let body = cloud::scale_in_body(&workers).to_string().into_bytes();
            context.cloud_budget.spend(1.0, Urgency::High).await;
            // A leader that stood still meanwhile would return what the next one uses.
            let ok = context.leadership.is_valid()
                && matches!(
                    cloud_call(context, Method::POST, "/rentals/return", body).await,
                    Ok(answer) if answer.status == 200
                );
            Some(Input::ScaledIn { workers, ok })
        }
        Effect::List => list_workers(context).await.map(Input::ListedWorker),
        Effect::ReadTypes => {
            if let Some(types) = read_types(context).await {
                handle.send(Command::Types(types)).await;
            }
            None
        }
        _ => None,
    }
}

/// Sends orders, or asks. Orders without an order are a question: answered with a report as
/// `/inspect` is, and where the session is right the worker has learned the token with it. A new
/// leader once needed two exchanges with each worker before it could use it.
async fn send_commands(
    context: &ControllerContext,
    token: u64,
    address: &str,
    incarnation: u64,
    commands: &[WorkerCommand],
) -> Outcome {
    let asked = send_direct(context, token, address, incarnation, commands);
    if !commands.is_empty() {
        return asked.await;
    }
    match tokio::time::timeout(INSPECT_DEADLINE, asked).await {
        Ok(Outcome::Unknown) | Err(_) => Outcome::Unsent,
        Ok(outcome) => outcome,
    }
}

/// Gives another node messages to carry. What becomes of them it tells by itself.
pub async fn send_to_relay(
    context: &ControllerContext,
    token: u64,
    controller: u32,
    to: SocketAddr,
    messages: Vec<RelayedCommand>,
) -> Option<Input> {
    let message_ids = messages.iter().map(|m| m.message_id).collect();
    let body = borsh::to_vec(&PeerRequest::RelayCommands { token, messages }).expect("plain data");
    let surely = if context.may_command(token) {
        let sent = context
            .http
            .call(Method::POST, to, "/peer", body, CARRY_DEADLINE);
        match sent.await {
            Ok(answer) => match borsh::from_slice(&answer.body) {
                Ok(PeerReply::Relaying) => return None,
                // Refused, by a node that may not or one that knows nothing of shares.
                _ => true,
            },
            Err(CallError::Unsent) => true,
            Err(CallError::Unknown(_) | CallError::TooLarge) => false,
        }
    } else {
        true
    };
    Some(Input::RelayFailed {
        controller,
        message_ids,
        surely,
    })
}

/// Carries messages for the leader of this token. False if that is not this node's to do.
pub fn relay_commands(
    context: &Arc<ControllerContext>,
    handle: &Handle,
    token: u64,
    messages: Vec<RelayedCommand>,
) -> bool {
    if !context.may_command(token) {
        return false;
    }
    for RelayedCommand {
        message_id,
        address,
        incarnation,
        commands,
    } in messages
    {
        let (context, handle) = (context.clone(), handle.clone());
        tokio::spawn(async move {
            let outcome = send_commands(&context, token, &address, incarnation, &commands).await;
            let command = Command::RelayedCommand {
                token,
                message_id,
                outcome,
            };
            handle.send(command).await;
        });
    }
    true
}

async fn send_direct(
    context: &ControllerContext,
    token: u64,
    address: &str,
    incarnation: u64,
    commands: &[WorkerCommand],
) -> Outcome {
    let to = match address.parse() {
        Ok(to) if context.may_command(token) => to,
        _ => return Outcome::Unsent,
    };
    let body = commands_body(token, Some(incarnation), commands);
    let sent = context
        .http
        .call(Method::POST, to, "/orders", body, DIRECT_DEADLINE);
    let answer = match sent.await {
        Ok(answer) => answer,
        Err(CallError::Unsent) => return Outcome::Unsent,
        Err(CallError::Unknown(_) | CallError::TooLarge) => return Outcome::Unknown,
    };
    match (answer.status, Heartbeat::parse(&answer.body)) {
        (200, Ok(heartbeat)) => Outcome::Executed(heartbeat),
        (409, heartbeat) => Outcome::Rejected(heartbeat.ok()),
        (400, _) => Outcome::Rejected(None),
        _ => Outcome::Unknown,
    }
}

/// A new leader need not be looked for.
pub async fn announce_leadership(context: Arc<ControllerContext>) {
    for peer in &context.settings.others {
        let (context, to) = (context.clone(), peer.peer_addr);
        tokio::spawn(async move {
            let member = context.settings.member.clone();
            let told = PeerRequest::LeaderAnnouncement { member };
            call_peer(context.http.as_ref(), to, &told, CARRY_DEADLINE).await;
        });
    }
}

async fn cloud_call(
    context: &ControllerContext,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, CallError> {
    let to = context.settings.external.cloud;
    context
        .http
        .call(method, to, path, body, CLOUD_DEADLINE)
        .await
}

/// The same request name gives the same answer and rents nothing twice, so a
/// lost answer is asked for again.
async fn rent(context: &ControllerContext, body: Vec<u8>) -> ScaleOutOutcome {
    for _ in 0..3 {
        context.cloud_budget.spend(1.0, Urgency::Normal).await;
        if !context.leadership.is_valid() {
            return ScaleOutOutcome::Unknown;
        }
        match cloud_call(context, Method::POST, "/rentals", body.clone()).await {
            Ok(answer) if answer.status == 200 => {
                if let Ok(workers) = cloud::parse_scale_out(&answer.body) {
                    return ScaleOutOutcome::Workers(workers);
                }
            }
            Ok(answer) if answer.status == 503 => {
                let full = answer.body.windows(11).any(|w| w == b"no capacity");
                return if full {
                    ScaleOutOutcome::NoCapacity
                } else {
                    ScaleOutOutcome::Refused
                };
            }
            Ok(answer) => {
                tracing::warn!(status = answer.status, "the cloud refuses a rental");
                return ScaleOutOutcome::Refused;
            }
            Err(CallError::Unsent) => return ScaleOutOutcome::Refused,
            Err(CallError::Unknown(_) | CallError::TooLarge) => {}
        }
    }
    ScaleOutOutcome::Unknown
}

async fn list_workers(context: &ControllerContext) -> Option<Vec<cloud::ListedWorker>> {
    let mut all: Vec<cloud::ListedWorker> = Vec::new();
    loop {
        context.cloud_budget.spend(1.0, Urgency::Low).await;
        let path = match all.last() {
            Some(last) => format!("/rentals?since={}&page=500", last.name),
            None => "/rentals?page=500".to_string(),
        };
        let answer = cloud_call(context, Method::GET, &path, Vec::new())
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        let cloud::WorkerPage {
            workers: hosts,
            more,
        } = cloud::parse_list(&answer.body)
            .inspect_err(|error| tracing::warn!(%error, "machine list does not parse"))
            .ok()?;
        let empty = hosts.is_empty();
        all.extend(hosts);
        if !more || empty {
            return Some(all);
        }
    }
}

pub async fn read_types(context: &ControllerContext) -> Option<Vec<MachineType>> {
    // Without them no submission can be judged.
    context.cloud_budget.spend(1.0, Urgency::High).await;
    let answer = cloud_call(context, Method::GET, "/machine_types", Vec::new())
        .await
        .ok()?;
    if answer.status != 200 {
        return None;
    }
    cloud::parse_machine_types(&answer.body)
        .inspect_err(|error| tracing::warn!(%error, "machine types do not parse"))
        .ok()
}
