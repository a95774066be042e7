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
//! it asked. A node that the service refuses alone gets no such word.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::bookkeeping::store::{StoreError, call_peer, put};
use crate::bookkeeping::{FOUNDED, LEADER, SILENCE};
use crate::commands::{Command, Handle};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::protocol::state::{Change, Transaction};
use crate::shared::Shared;
use crate::transport::budget::Urgency;

/// Kept back from the TTL for clock drift and for what is already on its way out.
const MARGIN: Duration = Duration::from_millis(150);
const FOLLOW_EVERY: Duration = Duration::from_millis(300);
/// Longer than another node takes to see that there is no leader, and to win.
const GIVE_WAY: Duration = Duration::from_millis(500);

struct Won {
    lease: u64,
    token: u64,
    valid_until: Instant,
}

pub async fn run(shared: Arc<Shared>, handle: Handle) {
    let ttl = Duration::from_millis(shared.tuning.leader_ttl_ms);
    loop {
        match shared.store.get(LEADER, Urgency::Renewal, false).await {
            Ok(Some(item)) => {
                let member = item.value.get("member").and_then(|m| m.as_str());
                handle
                    .send(Command::LeaderSeen(member.map(str::to_string)))
                    .await;
            }
            Ok(None) if shared.stands_back() => handle.send(Command::LeaderSeen(None)).await,
            Ok(None) => {
                handle.send(Command::LeaderSeen(None)).await;
                // A little apart, so that the nodes do not all ask for a lease at once.
                let jitter = shared.random(40);
                sleep(Duration::from_millis(jitter)).await;
                if cannot_use_the_record(&shared).await {
                    sleep(GIVE_WAY).await;
                }
                shared.set_campaigning(true);
                let outcome = campaign(&shared, ttl).await;
                if let Ok(Some(won)) = &outcome {
                    shared.begin_leading(won.token, won.valid_until);
                }
                shared.set_campaigning(false);
                match outcome {
                    Ok(Some(won)) => {
                        lead(&shared, &handle, ttl, won).await;
                        continue;
                    }
                    Ok(None) => {}
                    Err(error) => tracing::debug!(%error, "campaign failed"),
                }
            }
            Err(error) => tracing::debug!(%error, "cannot read the leader key"),
        }
        sleep(FOLLOW_EVERY).await;
    }
}

/// Whether this node restarted so lately that it must take silent machines as answered since,
/// and there are some. Another may know better: elected 6 s after its restart in the cut of a
/// zone, a node once started the leases of 396 machines anew.
async fn cannot_use_the_record(shared: &Shared) -> bool {
    let lease_s = shared.settings.cluster.workers.lease_s;
    if shared.now_s() > lease_s || shared.settings.others.is_empty() {
        return false;
    }
    let named = |value: &serde_json::Value| value.as_object().is_some_and(|o| !o.is_empty());
    let pages = shared.store.list(SILENCE).await;
    pages.is_ok_and(|(pages, _)| pages.iter().any(|p| named(&p.value)))
}

async fn campaign(shared: &Shared, ttl: Duration) -> Result<Option<Won>, StoreError> {
    if shared.has_promised()
        && shared
            .store
            .get(FOUNDED, Urgency::Renewal, false)
            .await?
            .is_some()
    {
        return Ok(None);
    }
    let sent = Instant::now();
    let lease = shared.store.new_lease(ttl).await?;
    // Tells this process's key from one that an earlier process of the same name wrote.
    let nonce = shared.random(1 << 52);
    let txn = Transaction {
        conditions: vec![(LEADER.to_string(), 0)],
        changes: vec![
            Change::Put {
                key: LEADER.to_string(),
                value: json!({"member": shared.settings.member, "nonce": nonce}),
                lease: Some(lease),
            },
            put(FOUNDED.to_string(), json!({})),
        ],
    };
    match shared.store.commit(&txn, Urgency::Renewal, false).await {
        Ok(_) | Err(StoreError::Unknown(_)) => {}
        Err(StoreError::Conflict(_)) => return Ok(None),
        Err(error) => return Err(error),
    }
    // Read back: the key says who has won, and its version is the token.
    let Some(item) = shared.store.get(LEADER, Urgency::Renewal, false).await? else {
        return Ok(None);
    };
    if item.value.get("nonce").and_then(|n| n.as_u64()) != Some(nonce) {
        return Ok(None);
    }
    Ok(Some(Won {
        lease,
        token: item.version,
        valid_until: sent + ttl - MARGIN,
    }))
}

/// Renews until the lease has surely ended. While renewals fail the leader is
/// suspended rather than deposed: after an outage every lease has its full
/// time again, so the same key, and with it the token, may still be ours.
async fn lead(shared: &Shared, handle: &Handle, ttl: Duration, won: Won) {
    handle.send(Command::Elected { token: won.token }).await;
    tracing::info!(token = won.token, "elected");
    let every = ttl / 6;
    let mut on_word = false;
    loop {
        sleep(every).await;
        if !shared.leads(won.token) {
            break;
        }
        let sent = Instant::now();
        let left = shared
            .valid_for()
            .clamp(Duration::from_millis(150), Duration::from_millis(600));
        match shared.store.extend_lease(won.lease, left).await {
            Ok(()) => {
                if shared.valid_for().is_zero() || on_word {
                    tracing::info!(token = won.token, "lease renewed after a pause");
                }
                on_word = false;
                shared.extend_validity(sent + ttl - MARGIN);
            }
            Err(StoreError::NoLease) => break,
            Err(error) => {
                tracing::debug!(%error, "renewal failed");
                let asked = Instant::now();
                let vouched = all_vouch(shared, won.token, left).await;
                // A pause in between would leave room for another leader.
                if vouched && shared.is_valid() {
                    if !on_word {
                        tracing::info!(%error, "cannot renew; all other nodes vouch");
                    }
                    on_word = true;
                    shared.lead_on_word(asked + ttl - MARGIN);
                }
            }
        }
    }
    shared.step_down(won.token);
    // The next leader need not wait for the rest of the lease.
    shared.store.end_lease(won.lease).await;
    tracing::info!(token = won.token, "no longer leader");
    handle.send(Command::Lost { token: won.token }).await;
}

async fn all_vouch(shared: &Shared, token: u64, deadline: Duration) -> bool {
    let mut asked = tokio::task::JoinSet::new();
    for peer in &shared.settings.others {
        let http = shared.http.clone();
        let address = peer.peer_addr;
        asked.spawn(async move {
            call_peer(
                http.as_ref(),
                address,
                &PeerRequest::Vouch { token },
                deadline,
            )
            .await
        });
    }
    while let Some(reply) = asked.join_next().await {
        if !matches!(reply, Ok(Some(PeerReply::Vouched))) {
            return false;
        }
    }
    true
}
