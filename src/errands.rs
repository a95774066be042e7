//! What the core asks for and cannot do itself: talking to workers, the cloud and
//! the state service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;

use crate::bookkeeping::store::call_peer;
use crate::bookkeeping::writer::{self, WriteError};
use crate::commands::{Command, Handle};
use crate::coordination::core::{Effect, Input, Outcome, RentOutcome};
use crate::protocol::cloud::{self, MachineType};
use crate::protocol::peer::{Carried, PeerReply, PeerRequest};
use crate::protocol::worker::{Command as WorkerCommand, Report, orders_body};
use crate::shared::Shared;
use crate::transport::budget::Urgency;
use crate::transport::client::{Answer, CallError};

const DIRECT_DEADLINE: Duration = Duration::from_millis(1500);
const INSPECT_DEADLINE: Duration = Duration::from_millis(500);
const CARRY_DEADLINE: Duration = Duration::from_millis(1000);
const CLOUD_DEADLINE: Duration = Duration::from_secs(3);

/// Does what the core cannot: talks to workers, the cloud and the state service.
pub async fn perform(
    shared: &Arc<Shared>,
    handle: &Handle,
    token: u64,
    effect: Effect,
) -> Option<Input> {
    match effect {
        Effect::Direct {
            machine,
            address,
            session,
            flight,
            commands,
            ..
        } => {
            let outcome = speak(shared, token, &address, session, &commands).await;
            Some(Input::Direct {
                machine,
                flight,
                outcome,
            })
        }
        Effect::Inspect {
            machine,
            address,
            session,
            flight,
            ..
        } => {
            let outcome = speak(shared, token, &address, session, &[]).await;
            Some(Input::Direct {
                machine,
                flight,
                outcome,
            })
        }
        Effect::Write(batch) => {
            let alive = shared.clone();
            let wanted = move || alive.leads(token);
            match writer::write(shared.store.clone(), token, batch, shared.unix_ms(), wanted).await
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
                    shared.step_down(token);
                    None
                }
            }
        }
        Effect::Rent {
            request,
            machine_type,
            zone,
            spot,
            count,
        } => {
            let body = cloud::rental_body(&request, &machine_type, &zone, spot, count).to_string();
            let outcome = rent(shared, body.into_bytes()).await;
            Some(Input::Rented { request, outcome })
        }
        Effect::Return(machines) => {
            let body = cloud::return_body(&machines).to_string().into_bytes();
            shared.cloud_budget.spend(1.0, Urgency::High).await;
            // A leader that stood still meanwhile would return what the next one uses.
            let ok = shared.is_valid()
                && matches!(
                    cloud_call(shared, Method::POST, "/rentals/return", body).await,
                    Ok(answer) if answer.status == 200
                );
            Some(Input::Returned { machines, ok })
        }
        Effect::List => list_machines(shared).await.map(Input::Listed),
        Effect::ReadTypes => {
            if let Some(types) = read_types(shared).await {
                handle.send(Command::Types(types)).await;
            }
            None
        }
        _ => None,
    }
}

/// Sends orders, or asks. Orders without an order are a question: answered with a report as
/// `/inspect` is, and where the session is right the machine has learned the token with it. A new
/// leader once needed two exchanges with each machine before it could use it.
async fn speak(
    shared: &Shared,
    token: u64,
    address: &str,
    session: u64,
    commands: &[WorkerCommand],
) -> Outcome {
    let asked = send_direct(shared, token, address, session, commands);
    if !commands.is_empty() {
        return asked.await;
    }
    match tokio::time::timeout(INSPECT_DEADLINE, asked).await {
        Ok(Outcome::Unknown) | Err(_) => Outcome::Unsent,
        Ok(outcome) => outcome,
    }
}

/// Gives another node messages to carry. What becomes of them it tells by itself.
pub async fn give_to_carry(
    shared: &Shared,
    token: u64,
    node: u32,
    to: SocketAddr,
    messages: Vec<Carried>,
) -> Option<Input> {
    let flights = messages.iter().map(|m| m.flight).collect();
    let body = borsh::to_vec(&PeerRequest::Carry { token, messages }).expect("plain data");
    let surely = if shared.may_order(token) {
        let sent = shared
            .http
            .call(Method::POST, to, "/peer", body, CARRY_DEADLINE);
        match sent.await {
            Ok(answer) => match borsh::from_slice(&answer.body) {
                Ok(PeerReply::Carrying) => return None,
                // Refused, by a node that may not or one that knows nothing of shares.
                _ => true,
            },
            Err(CallError::Unsent) => true,
            Err(CallError::Unknown(_) | CallError::TooLarge) => false,
        }
    } else {
        true
    };
    Some(Input::NotCarried {
        node,
        flights,
        surely,
    })
}

/// Carries messages for the leader of this token. False if that is not this node's to do.
pub fn carry(shared: &Arc<Shared>, handle: &Handle, token: u64, messages: Vec<Carried>) -> bool {
    if !shared.may_order(token) {
        return false;
    }
    for Carried {
        flight,
        address,
        session,
        commands,
    } in messages
    {
        let (shared, handle) = (shared.clone(), handle.clone());
        tokio::spawn(async move {
            let outcome = speak(&shared, token, &address, session, &commands).await;
            let command = Command::Carried {
                token,
                flight,
                outcome,
            };
            handle.send(command).await;
        });
    }
    true
}

async fn send_direct(
    shared: &Shared,
    token: u64,
    address: &str,
    session: u64,
    commands: &[WorkerCommand],
) -> Outcome {
    let to = match address.parse() {
        Ok(to) if shared.may_order(token) => to,
        _ => return Outcome::Unsent,
    };
    let body = orders_body(token, Some(session), commands);
    let sent = shared
        .http
        .call(Method::POST, to, "/orders", body, DIRECT_DEADLINE);
    let answer = match sent.await {
        Ok(answer) => answer,
        Err(CallError::Unsent) => return Outcome::Unsent,
        Err(CallError::Unknown(_) | CallError::TooLarge) => return Outcome::Unknown,
    };
    match (answer.status, Report::parse(&answer.body)) {
        (200, Ok(report)) => Outcome::Executed(report),
        (409, report) => Outcome::Rejected(report.ok()),
        (400, _) => Outcome::Rejected(None),
        _ => Outcome::Unknown,
    }
}

/// A new leader need not be looked for.
pub async fn tell_all_that_it_leads(shared: Arc<Shared>) {
    for peer in &shared.settings.others {
        let (shared, to) = (shared.clone(), peer.peer_addr);
        tokio::spawn(async move {
            let member = shared.settings.member.clone();
            let told = PeerRequest::Leads { member };
            call_peer(shared.http.as_ref(), to, &told, CARRY_DEADLINE).await;
        });
    }
}

async fn cloud_call(
    shared: &Shared,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, CallError> {
    let to = shared.settings.external.cloud;
    shared
        .http
        .call(method, to, path, body, CLOUD_DEADLINE)
        .await
}

/// The same request name gives the same answer and rents nothing twice, so a
/// lost answer is asked for again.
async fn rent(shared: &Shared, body: Vec<u8>) -> RentOutcome {
    for _ in 0..3 {
        shared.cloud_budget.spend(1.0, Urgency::Normal).await;
        if !shared.is_valid() {
            return RentOutcome::Unknown;
        }
        match cloud_call(shared, Method::POST, "/rentals", body.clone()).await {
            Ok(answer) if answer.status == 200 => {
                if let Ok(machines) = cloud::parse_rented(&answer.body) {
                    return RentOutcome::Machines(machines);
                }
            }
            Ok(answer) if answer.status == 503 => {
                let full = answer.body.windows(11).any(|w| w == b"no capacity");
                return if full {
                    RentOutcome::NoCapacity
                } else {
                    RentOutcome::Refused
                };
            }
            Ok(answer) => {
                tracing::warn!(status = answer.status, "the cloud refuses a rental");
                return RentOutcome::Refused;
            }
            Err(CallError::Unsent) => return RentOutcome::Refused,
            Err(CallError::Unknown(_) | CallError::TooLarge) => {}
        }
    }
    RentOutcome::Unknown
}

async fn list_machines(shared: &Shared) -> Option<Vec<cloud::Listed>> {
    let mut all: Vec<cloud::Listed> = Vec::new();
    loop {
        shared.cloud_budget.spend(1.0, Urgency::Low).await;
        let path = match all.last() {
            Some(last) => format!("/rentals?since={}&page=500", last.name),
            None => "/rentals?page=500".to_string(),
        };
        let answer = cloud_call(shared, Method::GET, &path, Vec::new())
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        let (hosts, more) = cloud::parse_list(&answer.body)
            .inspect_err(|error| tracing::warn!(%error, "machine list does not parse"))
            .ok()?;
        let empty = hosts.is_empty();
        all.extend(hosts);
        if !more || empty {
            return Some(all);
        }
    }
}

pub async fn read_types(shared: &Shared) -> Option<Vec<MachineType>> {
    // Without them no submission can be judged.
    shared.cloud_budget.spend(1.0, Urgency::High).await;
    let answer = cloud_call(shared, Method::GET, "/machine_types", Vec::new())
        .await
        .ok()?;
    if answer.status != 200 {
        return None;
    }
    cloud::parse_types(&answer.body)
        .inspect_err(|error| tracing::warn!(%error, "machine types do not parse"))
        .ok()
}
