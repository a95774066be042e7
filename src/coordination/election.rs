//! The leader key, on a lease of the state service.
//!
//! The key's version is the leader's token. A leader is valid until the send
//! time of its last good renewal + TTL - margin, on its own steady clock; the
//! service never ends a lease early, so no second leader exists before that.
//!
//! In an outage nobody can renew, and with the leader all workers' leases would
//! run out. A leader that cannot renew therefore asks all other nodes to vouch
//! for it: each confirms that the state service refuses it too, and promises
//! not to campaign for one TTL. With the word of every other node, and only
//! while it is still valid, the leader is valid for one TTL - margin from when
//! it asked. A node that the service refuses alone gets no such word: it hands over, while it is
//! still valid, to a node that is served.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::controller::commands::{Command, Handle};
use crate::controller::context::ControllerContext;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::state::{Change, Transaction};
use crate::storage::store::{StoreError, call_peer, put};
use crate::storage::{FENCING, FOUNDED, LEADER};
use crate::transport::rate_limiter::Urgency;

const FOLLOW_EVERY: Duration = Duration::from_millis(300);
/// A node that is there answers within a few milliseconds.
const ASK_IDLE: Duration = Duration::from_millis(300);
/// In the value of [`FOUNDED`]: the last token whose leader knew that it led.
const LED: &str = "led";
/// Within this the state service answers a node that it serves.
const READ_KEY: Duration = Duration::from_millis(300);
const TRANSFER_DEADLINE: Duration = Duration::from_millis(300);
/// One renewal may fail by chance.
const FAILURES: u32 = 2;
const TRY_AGAIN: Duration = Duration::from_millis(80);
/// Longer than another node takes to see that there is no leader, and to win.
const GIVE_WAY: Duration = Duration::from_millis(500);

struct Won {
    lease: u64,
    token: u64,
    sent: Instant,
}

pub async fn run(context: Arc<ControllerContext>, handle: Handle) {
    let ttl = Duration::from_millis(context.tuning.leader_ttl_ms);
    loop {
        if let Some(token) = context.take_leadership_transfer()
            && remove_key(&context, token).await
        {
            tracing::info!(token, "the key of a leader that cannot renew is removed");
        }
        match context.store.get(LEADER, Urgency::Renewal, false).await {
            Ok(Some(item)) => {
                let member = item.value.get("member").and_then(|m| m.as_str());
                if member == Some(&context.settings.member) && bury(&context, item.version).await {
                    continue;
                }
                handle
                    .send(Command::LeaderSeen(member.map(str::to_string)))
                    .await;
            }
            Ok(None) if context.is_backing_off() => handle.send(Command::LeaderSeen(None)).await,
            Ok(None) => {
                handle.send(Command::LeaderSeen(None)).await;
                // A little apart, so that the nodes do not all ask for a lease at once.
                let jitter = context.random(40);
                sleep(Duration::from_millis(jitter)).await;
                let others = ask_whether_idle(&context).await;
                if cannot_use_the_record(&context, others).await {
                    sleep(GIVE_WAY).await;
                }
                context.set_campaigning(true);
                let outcome = campaign(&context, ttl).await;
                if let Ok(Some(won)) = &outcome {
                    context.begin_leading(won.token, won.sent);
                }
                context.set_campaigning(false);
                match outcome {
                    Ok(Some(won)) => {
                        lead(&context, &handle, ttl, won).await;
                        continue;
                    }
                    Ok(None) => {}
                    Err(error) => tracing::debug!(%error, "campaign failed"),
                }
            }
            Err(error) => tracing::debug!(%error, "cannot read the leader key"),
        }
        let _ = timeout(FOLLOW_EVERY, context.election_due.notified()).await;
    }
}

/// For how long the other nodes have lived, in ms, if all say that they are idle; asked if this
/// node may have promised not to campaign. Then there is no leader that could act on the promise:
/// a word binds one that lives. After a crash of all a TTL was once waited out from the restart.
async fn ask_whether_idle(context: &ControllerContext) -> Option<Vec<u64>> {
    if !context.has_promised() {
        return None;
    }
    context.set_asking(true);
    let idle = |reply| match reply {
        PeerReply::Idle { up_ms } => Some(up_ms),
        _ => None,
    };
    let lived = all_answer(context, &PeerRequest::Idle, ASK_IDLE, idle).await;
    if lived.is_some() {
        context.released();
    }
    context.set_asking(false);
    lived
}

/// Whether this node restarted so lately that it must take silent workers as answered since,
/// and there are some. Another may know better: elected 6 s after its restart in the cut of a
/// zone, a node once started the leases of 396 workers anew. `others`: for how long they have
/// lived, in ms, as far as is known; if all restarted lately too there is nobody to give way to.
async fn cannot_use_the_record(context: &ControllerContext, others: Option<Vec<u64>>) -> bool {
    let lease_s = context.settings.cluster.workers.lease_s;
    let lately = |up_ms: &u64| *up_ms as f64 / 1000.0 <= lease_s;
    let all_lately = others.is_some_and(|others| others.iter().all(lately));
    if context.now_s() > lease_s || all_lately {
        return false;
    }
    let named = |value: &serde_json::Value| value.as_object().is_some_and(|o| !o.is_empty());
    let pages = context.store.list(FENCING).await;
    pages.is_ok_and(|(pages, _)| pages.iter().any(|p| named(&p.value)))
}

/// Removes the key of an earlier process of this node, which ended as leader: nobody else could
/// lead before it ran out. False if that process may never have known that it had won, or the
/// key has not surely gone by this.
///
/// A platform starts a process of a node when the one before it has ended, so the key's leader
/// is no more; while it stood no other was valid, see docs/notes/quick-restarts.md.
async fn bury(context: &ControllerContext, token: u64) -> bool {
    let led = context.store.get(FOUNDED, Urgency::Renewal, false).await;
    let led = led.ok().flatten();
    if led.and_then(|item| item.value.get(LED)?.as_u64()) != Some(token) {
        return false;
    }
    let removed = remove_key(context, token).await;
    if removed {
        tracing::info!(token, "the key of this node's last process is removed");
    }
    removed
}

/// Removes the leader key of a token whose leader is surely no more, and will not be again.
/// Then no word that was given until now binds anybody.
async fn remove_key(context: &ControllerContext, token: u64) -> bool {
    let drop = Transaction {
        conditions: vec![(LEADER.to_string(), token)],
        changes: vec![Change::Delete {
            key: LEADER.to_string(),
        }],
    };
    context.set_asking(true);
    let dropped = context.store.commit(&drop, Urgency::Renewal, false).await;
    if dropped.is_ok() {
        context.released();
    }
    context.set_asking(false);
    dropped.is_ok()
}

/// What this node says to a leader that cannot renew. What it knows of the state service from a
/// moment ago is enough to vouch; before it says no, it asks anew.
pub async fn answer_to_leader(context: &ControllerContext, token: u64) -> PeerReply {
    if context.vote_to_extend_lease(token) {
        return PeerReply::VoteGranted;
    }
    let key = context.store.get(LEADER, Urgency::Renewal, false);
    let key = timeout(READ_KEY, key).await;
    if let Ok(Ok(Some(key))) = &key
        && key.version == token
        && context.is_idle()
        && !context.is_backing_off()
    {
        return PeerReply::ReadyForTransfer;
    }
    if context.vote_to_extend_lease(token) {
        PeerReply::VoteGranted
    } else {
        PeerReply::Unable
    }
}

/// Tells later processes of this node that the leader of this token knew that it led, and so
/// gave its word to nobody.
async fn leave_a_mark(context: Arc<ControllerContext>, token: u64) {
    let mark = Transaction {
        conditions: vec![(LEADER.to_string(), token)],
        changes: vec![put(FOUNDED.to_string(), json!({ LED: token }))],
    };
    while context.leads(token) {
        match context.store.commit(&mark, Urgency::High, false).await {
            Ok(_) | Err(StoreError::Conflict(_)) => return,
            Err(_) => sleep(FOLLOW_EVERY).await,
        }
    }
}

async fn campaign(context: &ControllerContext, ttl: Duration) -> Result<Option<Won>, StoreError> {
    if context.has_promised()
        && context
            .store
            .get(FOUNDED, Urgency::Renewal, false)
            .await?
            .is_some()
    {
        return Ok(None);
    }
    let sent = Instant::now();
    let lease = context.store.new_lease(ttl).await?;
    // Tells this process's key from one that an earlier process of the same name wrote.
    let nonce = context.random(1 << 52);
    let txn = Transaction {
        conditions: vec![(LEADER.to_string(), 0)],
        changes: vec![
            Change::Put {
                key: LEADER.to_string(),
                value: json!({"member": context.settings.member, "nonce": nonce}),
                lease: Some(lease),
            },
            put(FOUNDED.to_string(), json!({})),
        ],
    };
    match context.store.commit(&txn, Urgency::Renewal, false).await {
        Ok(_) | Err(StoreError::Unknown(_)) => {}
        Err(StoreError::Conflict(_)) => return Ok(None),
        Err(error) => return Err(error),
    }
    // Read back: the key says who has won, and its version is the token.
    let Some(item) = context.store.get(LEADER, Urgency::Renewal, false).await? else {
        return Ok(None);
    };
    if item.value.get("nonce").and_then(serde_json::Value::as_u64) != Some(nonce) {
        return Ok(None);
    }
    Ok(Some(Won {
        lease,
        token: item.version,
        sent,
    }))
}

/// Renews until the lease has surely ended. While renewals fail the leader is
/// suspended rather than deposed: after an outage every lease has its full
/// time again, so the same key, and with it the token, may still be ours.
async fn lead(context: &Arc<ControllerContext>, handle: &Handle, ttl: Duration, won: Won) {
    handle.send(Command::Elected { token: won.token }).await;
    tracing::info!(token = won.token, "elected");
    tokio::spawn(leave_a_mark(context.clone(), won.token));
    let every = ttl / 6;
    let mut on_word = false;
    let mut failures = 0;
    loop {
        sleep(if failures == 1 { TRY_AGAIN } else { every }).await;
        if !context.leads(won.token) {
            break;
        }
        let sent = Instant::now();
        let left = context
            .valid_for()
            .clamp(Duration::from_millis(150), Duration::from_millis(600));
        match context.store.extend_lease(won.lease, left).await {
            Ok(()) => {
                if context.valid_for().is_zero() || on_word {
                    tracing::info!(token = won.token, "lease renewed after a pause");
                }
                (on_word, failures) = (false, 0);
                context.renewed(sent);
            }
            Err(StoreError::NoLease) => break,
            Err(error) => {
                tracing::debug!(%error, "renewal failed");
                let asked = Instant::now();
                let others = ask_others(context, won.token, left).await;
                if others == Others::VoteToExtendLease && context.lease_extended_by_peers(asked) {
                    if !on_word {
                        tracing::info!(%error, "cannot renew; all other nodes vouch");
                    }
                    (on_word, failures) = (true, 0);
                    continue;
                }
                failures += 1;
                if let Others::ReadyForTransfer(peer) = others
                    && failures >= FAILURES
                {
                    transfer_leadership(context, handle, won.token, peer).await;
                    return;
                }
            }
        }
    }
    context.step_down(won.token);
    // The next leader need not wait for the rest of the lease.
    context.store.end_lease(won.lease).await;
    tracing::info!(token = won.token, "no longer leader");
    handle.send(Command::LeadershipLost).await;
}

/// A leader that the state service refuses alone gives way while it is valid, to a node that is
/// served, and steps down for good before it says so. Its lease once had to run out: nobody was
/// valid for a second or two, and where an outage of all began in them, for as long as that, so
/// that every worker's lease ran out.
async fn transfer_leadership(
    context: &ControllerContext,
    handle: &Handle,
    token: u64,
    to: SocketAddr,
) {
    context.step_down(token);
    tracing::info!(token, "cannot renew and another node can: handing over");
    // Before it hears who leads next.
    handle.send(Command::LeadershipLost).await;
    let told = PeerRequest::TransferLeadership { token };
    call_peer(context.http.as_ref(), to, &told, TRANSFER_DEADLINE).await;
}

/// What the others say to a leader that cannot renew.
#[derive(Debug, PartialEq)]
enum Others {
    /// All vouch.
    VoteToExtendLease,
    /// This one is served.
    ReadyForTransfer(SocketAddr),
    Neither,
}

async fn ask_others(context: &ControllerContext, token: u64, deadline: Duration) -> Others {
    let mut asked = tokio::task::JoinSet::new();
    for peer in &context.settings.others {
        let (http, address) = (context.http.clone(), peer.peer_addr);
        asked.spawn(async move {
            let request = PeerRequest::VoteToExtendLease { token };
            let reply = call_peer(http.as_ref(), address, &request, deadline).await;
            (address, reply)
        });
    }
    let mut all_vouch = true;
    while let Some(reply) = asked.join_next().await {
        match reply {
            Ok((_, Some(PeerReply::VoteGranted))) => {}
            Ok((address, Some(PeerReply::ReadyForTransfer))) => {
                return Others::ReadyForTransfer(address);
            }
            _ => all_vouch = false,
        }
    }
    if all_vouch {
        Others::VoteToExtendLease
    } else {
        Others::Neither
    }
}

/// What is wanted of each reply, if all other nodes give one that has it.
async fn all_answer<T>(
    context: &ControllerContext,
    request: &PeerRequest,
    deadline: Duration,
    wanted: impl Fn(PeerReply) -> Option<T>,
) -> Option<Vec<T>> {
    let mut asked = tokio::task::JoinSet::new();
    for peer in &context.settings.others {
        let http = context.http.clone();
        let (address, request) = (peer.peer_addr, request.clone());
        asked.spawn(async move { call_peer(http.as_ref(), address, &request, deadline).await });
    }
    let mut all = Vec::new();
    while let Some(reply) = asked.join_next().await {
        all.push(wanted(reply.ok()??)?);
    }
    Some(all)
}
