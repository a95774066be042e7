//! The network between the places of a simulated cluster: cuts, losses, and messages that are held up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use copperfield::transport::client::{CallError, CallFuture, HttpResponse, Network, with_deadline};
use copperfield::transport::server::ApiRequest;
use hyper::Method;
use rand::Rng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{FAST_RESTART_S, OPERATOR_KEY, SharedCluster, controller_name, restart_controller};

pub fn endpoint_name(to: SocketAddr) -> String {
    match (to.ip().to_string().as_str(), to.port()) {
        ("10.2.0.1", _) => "state".into(),
        ("10.2.0.2", _) => "cloud".into(),
        (ip, 9000) => {
            let number: u64 = ip
                .rsplit('.')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            format!("vm-{number:06}")
        }
        (ip, _) => {
            let number: usize = ip
                .rsplit('.')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(1);
            controller_name(number - 1)
        }
    }
}

pub struct SimulatedNetwork {
    pub(super) cluster: SharedCluster,
    pub(super) me: String,
    pub(super) alive: Arc<AtomicBool>,
}

impl Network for SimulatedNetwork {
    /// Each node's clock is off by its own part of what the settings allow.
    fn unix_ms(&self) -> u64 {
        let off = [0, 50, 25][self.me.as_bytes()[5] as usize % 3];
        let passed = self.cluster.lock().unwrap().start.elapsed().as_millis() as u64;
        1_700_000_000_000 + passed + off
    }

    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> CallFuture<'_> {
        let path = path.to_string();
        Box::pin(async move {
            if !self.alive.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            let target = endpoint_name(to);
            // Decided, but not sent: here control is lost between the two.
            await_resumed(&self.cluster, &self.me).await;
            let trips = target == "state" && !path.starts_with("/watch") && {
                let mut w = self.cluster.lock().unwrap();
                w.crash_at_state_message = w
                    .crash_at_state_message
                    .map(|(left, late)| (left.wrapping_sub(1), late));
                w.crash_at_state_message
                    .is_some_and(|(left, _)| left == u32::MAX)
            };
            let sent = deliver(
                self.cluster.clone(),
                self.me.clone(),
                target.clone(),
                to.port(),
                method,
                path,
                body,
            );
            if trips {
                let (_, late) = self
                    .cluster
                    .lock()
                    .unwrap()
                    .crash_at_state_message
                    .take()
                    .expect("looked at");
                if late {
                    let _ = sent.await;
                }
                restart_controller(
                    &self.cluster,
                    self.me["host-".len()..].parse().unwrap(),
                    FAST_RESTART_S,
                );
                std::future::pending::<()>().await;
                unreachable!("the process has ended");
            }
            let dropped = to.port() == 8081 && {
                let mut w = self.cluster.lock().unwrap();
                w.lose_peer_message = w
                    .lose_peer_message
                    .map(|(left, answer)| (left.wrapping_sub(1), answer));
                w.lose_peer_message
                    .is_some_and(|(left, _)| left == u32::MAX)
            };
            if dropped {
                let (_, answer) = self
                    .cluster
                    .lock()
                    .unwrap()
                    .lose_peer_message
                    .take()
                    .expect("looked at");
                if answer {
                    tokio::spawn(sent);
                }
                sleep(deadline).await;
                return Err(CallError::Unknown("lost".into()));
            }
            let (cut, pooled) = {
                let mut w = self.cluster.lock().unwrap();
                (w.blocked(&self.me, &target), w.rng.random_bool(0.5))
            };
            if cut && !pooled {
                sleep(deadline.min(Duration::from_millis(800))).await;
                return Err(CallError::Unsent);
            }
            // Detached: what was sent arrives, be it minutes after the sender gave up.
            let relayed = tokio::spawn(sent);
            let result = with_deadline(deadline, async {
                let lost = |_| Err(CallError::Unknown("lost".into()));
                let result = relayed.await.unwrap_or_else(lost);
                await_resumed(&self.cluster, &self.me).await;
                result
            });
            let result = result.await;
            await_resumed(&self.cluster, &self.me).await;
            if !self.alive.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            result
        })
    }
}

pub async fn await_resumed(cluster: &SharedCluster, node: &str) {
    while cluster.lock().unwrap().paused.contains(node) {
        sleep(Duration::from_millis(20)).await;
    }
}

pub async fn await_delivery(cluster: &SharedCluster, from: &str, to: &str) {
    let delay = cluster.lock().unwrap().delay();
    sleep(delay).await;
    while cluster.lock().unwrap().blocked(from, to) {
        sleep(Duration::from_millis(50)).await;
    }
}

/// How long a late direct message, or its answer, is held up.
pub(super) const COMMAND_DELAY_S: std::ops::Range<f64> = 2.0..16.0;

/// Where transactions are late: this one, if it is to be, waits here while its sender has given
/// up, and is carried out when the service serves again.
pub(super) async fn delay_transaction(cluster: &SharedCluster, from: &str) {
    let wait_s = {
        let w = &mut *cluster.lock().unwrap();
        let late =
            w.late_transactions > 0.0 && w.serves(from) && w.rng.random_bool(w.late_transactions);
        late.then(|| w.rng.random_range(2.0..12.0))
    };
    if let Some(wait_s) = wait_s {
        sleep(Duration::from_secs_f64(wait_s)).await;
        while !cluster.lock().unwrap().serves(from) {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Where direct messages are late: how long this one is held up before its worker carries it out,
/// and how long its answer is afterwards.
pub(super) fn command_delays(cluster: &SharedCluster) -> (Duration, Duration) {
    let w = &mut *cluster.lock().unwrap();
    if w.late_commands == 0.0 || !w.rng.random_bool(w.late_commands) {
        return (Duration::ZERO, Duration::ZERO);
    }
    let wait = Duration::from_secs_f64(w.rng.random_range(COMMAND_DELAY_S));
    if w.rng.random() {
        (wait, Duration::ZERO)
    } else {
        (Duration::ZERO, wait)
    }
}

/// A direct message reaches its worker, once that hears anything. Status and heartbeat of its answer.
pub(super) async fn execute_at_worker(
    cluster: &SharedCluster,
    to: &str,
    path: &str,
    body: &[u8],
) -> (u16, Value) {
    loop {
        let ready = {
            let w = cluster.lock().unwrap();
            let m = w.site.workers.get(to);
            // What a deaf worker is told is lost, as what one that is gone is told.
            let m = m.filter(|_| !w.inbound_dropped.contains(to));
            m.map(|m| !m.hung && !m.dead && m.up_at <= w.now())
        };
        match ready {
            Some(true) => break,
            Some(false) => sleep(Duration::from_millis(50)).await,
            None => std::future::pending().await,
        }
    }
    let mut w = cluster.lock().unwrap();
    let site = &mut w.site;
    let mut status = 200;
    if path == "/orders" {
        let orders: Value = serde_json::from_slice(body).unwrap();
        let same = site.workers[to].incarnation == orders["tenure"].as_u64().unwrap();
        if same && site.accept_fencing_token(to, orders["fence"].as_u64()) {
            site.execute_commands(to, &orders["orders"]);
        } else {
            status = 409;
        }
    }
    (status, site.workers.get_mut(to).unwrap().heartbeat())
}

/// A pause of no length is none: it would let other tasks go first.
pub(super) async fn sleep_unless_zero(pause: Duration) {
    if !pause.is_zero() {
        sleep(pause).await;
    }
}

pub async fn deliver(
    cluster: SharedCluster,
    from: String,
    to: String,
    port: u16,
    method: Method,
    path: String,
    body: Vec<u8>,
) -> Result<HttpResponse, CallError> {
    let number = cluster
        .lock()
        .unwrap()
        .record_message(format_args!("{from} -> {to}:{port} {method} {path}"), &body);
    await_delivery(&cluster, &from, &to).await;
    let multi = path == "/multi";
    let answer = |(status, value): (u16, Value)| HttpResponse {
        status,
        body: value.to_string().into(),
    };
    let reply = if to == "state" {
        if path.starts_with("/watch") {
            let block: f64 = path
                .split_once("block_ms=")
                .and_then(|(_, b)| b.parse().ok())
                .unwrap_or(0.0);
            let until = Instant::now() + Duration::from_millis(block as u64);
            loop {
                {
                    let w = cluster.lock().unwrap();
                    let serves = w.serves(&from);
                    if let Some(changes) = w.state.changes(&path).filter(|_| serves) {
                        break answer(changes);
                    }
                    if Instant::now() >= until && serves {
                        break answer(w.state.watch_timeout());
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        } else {
            if multi {
                delay_transaction(&cluster, &from).await;
            }
            let mut w = cluster.lock().unwrap();
            let now = w.now();
            if w.serves(&from) {
                answer(w.state.handle(now, method.as_str(), &path, &body))
            } else {
                answer((503, json!({"error": "trouble"})))
            }
        }
    } else if to == "cloud" {
        answer(
            cluster
                .lock()
                .unwrap()
                .site
                .handle_cloud_request(method.as_str(), &path, &body),
        )
    } else if to.starts_with("vm-") {
        let (before, after) = command_delays(&cluster);
        sleep_unless_zero(before).await;
        let (status, heartbeat) = execute_at_worker(&cluster, &to, &path, &body).await;
        sleep_unless_zero(after).await;
        answer((status, heartbeat))
    } else {
        let number: usize = to["host-".len()..].parse().unwrap();
        let service = cluster.lock().unwrap().controllers[number].clone();
        let Some(service) = service else {
            return Err(CallError::Unsent);
        };
        let alive = cluster.lock().unwrap().alive[number].clone();
        await_resumed(&cluster, &to).await;
        let authorized = path.starts_with("/operator/");
        let authorization = authorized.then(|| format!("Bearer {OPERATOR_KEY}"));
        let request = ApiRequest {
            method,
            path,
            query: None,
            authorization,
            body: body.into(),
        };
        let out = if port == 8081 {
            service.peer(request).await
        } else {
            service.public(request).await
        };
        await_resumed(&cluster, &to).await;
        if !alive.load(Ordering::Relaxed) {
            return Err(CallError::Unknown("reset".into()));
        }
        HttpResponse {
            status: out.status,
            body: out.body.into(),
        }
    };
    cluster
        .lock()
        .unwrap()
        .record(format_args!("#{number} = {}", reply.status), &reply.body);
    await_delivery(&cluster, &to, &from).await;
    let lost = {
        let mut w = cluster.lock().unwrap();
        let (loss, answers_lost) = (w.answer_loss, w.lost_transaction_answers);
        (multi && answers_lost > 0.0 && w.rng.random_bool(answers_lost)) || w.rng.random_bool(loss)
    };
    if lost {
        std::future::pending::<()>().await;
    }
    Ok(reply)
}
