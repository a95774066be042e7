//! The network between the endpoints of a simulated cluster, with partitions, lost messages and
//! delayed messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use copperfield::transport::client::{CallError, CallFuture, HttpResponse, Network, with_deadline};
use copperfield::transport::server::ApiRequest;
use hyper::Method;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{FAST_RESTART_S, OPERATOR_KEY, SharedCluster, controller_name, restart_controller};

/// The name of the endpoint at an address: the state service, the cloud, a worker or a controller.
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

/// The network as the process of one controller sees it.
pub struct SimulatedNetwork {
    pub(super) cluster: SharedCluster,
    /// The name of the controller.
    pub(super) me: String,
    /// Whether the process is alive. After a crash it receives nothing and sends nothing.
    pub(super) alive: Arc<AtomicBool>,
}

impl Network for SimulatedNetwork {
    /// The clock of each controller has a different offset. Each is within the `clock_error_ms` of
    /// the settings, 25 ms, of the middle one.
    fn unix_ms(&self) -> u64 {
        let offset_ms = [0, 50, 25][self.me.as_bytes()[5] as usize % 3];
        let elapsed_ms = self.cluster.lock().unwrap().start.elapsed().as_millis() as u64;
        1_700_000_000_000 + elapsed_ms + offset_ms
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
            // A process can pause after it has decided to send a message and before it sends it.
            await_resumed(&self.cluster, &self.me).await;
            let crashes = target == "state" && !path.starts_with("/watch") && {
                let mut w = self.cluster.lock().unwrap();
                w.crash_at_state_message = w
                    .crash_at_state_message
                    .map(|(skipped, after)| (skipped.wrapping_sub(1), after));
                w.crash_at_state_message
                    .is_some_and(|(skipped, _)| skipped == u32::MAX)
            };
            let delivery = deliver(
                self.cluster.clone(),
                self.me.clone(),
                target.clone(),
                to.port(),
                method,
                path,
                body,
            );
            if crashes {
                let (_, after_execution) = self
                    .cluster
                    .lock()
                    .unwrap()
                    .crash_at_state_message
                    .take()
                    .expect("checked above");
                if after_execution {
                    let _ = delivery.await;
                }
                restart_controller(
                    &self.cluster,
                    self.me["host-".len()..].parse().unwrap(),
                    FAST_RESTART_S,
                );
                std::future::pending::<()>().await;
                unreachable!("the process has crashed");
            }
            let lost = to.port() == 8081 && {
                let mut w = self.cluster.lock().unwrap();
                w.lose_peer_message = w
                    .lose_peer_message
                    .map(|(skipped, answer_only)| (skipped.wrapping_sub(1), answer_only));
                w.lose_peer_message
                    .is_some_and(|(skipped, _)| skipped == u32::MAX)
            };
            if lost {
                let (_, answer_only) = self
                    .cluster
                    .lock()
                    .unwrap()
                    .lose_peer_message
                    .take()
                    .expect("checked above");
                if answer_only {
                    tokio::spawn(delivery);
                }
                sleep(deadline).await;
                return Err(CallError::Unknown("lost".into()));
            }
            // Half of the calls use a pooled connection, on which a partition goes unnoticed until
            // the deadline. The others fail to connect.
            let (partitioned, pooled) = {
                let mut w = self.cluster.lock().unwrap();
                (w.partitioned(&self.me, &target), w.rng.random_bool(0.5))
            };
            if partitioned && !pooled {
                sleep(deadline.min(Duration::from_millis(800))).await;
                return Err(CallError::Unsent);
            }
            // A separate task, because a message that was sent may arrive minutes after its sender
            // has given up.
            let delivery = tokio::spawn(delivery);
            let result = with_deadline(deadline, async {
                let lost = |_| Err(CallError::Unknown("lost".into()));
                let result = delivery.await.unwrap_or_else(lost);
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

/// Waits while the process of a controller is paused.
pub async fn await_resumed(cluster: &SharedCluster, controller: &str) {
    while cluster.lock().unwrap().paused.contains(controller) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits for the network delay of a message, and until no partition separates the endpoints.
pub async fn await_delivery(cluster: &SharedCluster, from: &str, to: &str) {
    let delay = cluster.lock().unwrap().draw_network_delay();
    sleep(delay).await;
    while cluster.lock().unwrap().partitioned(from, to) {
        sleep(Duration::from_millis(50)).await;
    }
}

/// The delay of a late direct message, or of its answer, in seconds.
pub(super) const COMMAND_DELAY_S: std::ops::Range<f64> = 2.0..16.0;

/// Delays a transaction if [`Fault::LateTransactions`] selects it: its sender gives up meanwhile,
/// and it is carried out as soon as the state service serves the sender again.
pub(super) async fn delay_transaction(cluster: &SharedCluster, from: &str) {
    let delay_s = {
        let w = &mut *cluster.lock().unwrap();
        let late = w.late_transactions > 0.0
            && w.state_serves(from)
            && w.rng.random_bool(w.late_transactions);
        late.then(|| w.rng.random_range(2.0..12.0))
    };
    if let Some(delay_s) = delay_s {
        sleep(Duration::from_secs_f64(delay_s)).await;
        while !cluster.lock().unwrap().state_serves(from) {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Draws the delays that [`Fault::LateCommands`] gives to a direct message: that of the message
/// before its worker carries it out, and that of its answer.
pub(super) fn command_delays(cluster: &SharedCluster) -> (Duration, Duration) {
    let w = &mut *cluster.lock().unwrap();
    if w.late_commands == 0.0 || !w.rng.random_bool(w.late_commands) {
        return (Duration::ZERO, Duration::ZERO);
    }
    let delay = Duration::from_secs_f64(w.rng.random_range(COMMAND_DELAY_S));
    if w.rng.random() {
        (delay, Duration::ZERO)
    } else {
        (Duration::ZERO, delay)
    }
}

/// Carries out a direct message at a worker as soon as the worker is up and does not hang. Returns
/// the status and the heartbeat of the answer.
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
            // Messages to workers that receive nothing are lost, as are messages to removed
            // workers.
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
        let message: Value = serde_json::from_slice(body).unwrap();
        let same_incarnation = site.workers[to].incarnation == message["tenure"].as_u64().unwrap();
        if same_incarnation && site.accept_fencing_token(to, message["fence"].as_u64()) {
            site.execute_commands(to, &message["orders"]);
        } else {
            status = 409;
        }
    }
    (status, site.workers.get_mut(to).unwrap().heartbeat())
}

/// The delay after which a direct message that was carried out arrives again, in seconds.
const REPEAT_DELAY_S: std::ops::Range<f64> = 0.5..120.0;
/// The delay between the restart of a controller and a message that arrives again, in seconds.
const REPEAT_AFTER_RESTART_S: std::ops::Range<f64> = 0.0..1.0;

/// When a copy of a direct message arrives.
enum RepeatTime {
    /// After this time.
    After(Duration),
    /// This time after the process of a controller has started next.
    AfterRestart(Duration),
}

/// Draws the delay of a copy; short and long ones are equally likely.
fn draw_repeat_delay(rng: &mut StdRng) -> Duration {
    let (earliest, latest) = (REPEAT_DELAY_S.start.ln(), REPEAT_DELAY_S.end.ln());
    Duration::from_secs_f64(rng.random_range(earliest..latest).exp())
}

/// Draws the times at which [`Fault::RepeatCommands`] lets copies of a direct message arrive. Their
/// order is not that in which the messages were sent.
fn repeat_times(cluster: &SharedCluster) -> Vec<RepeatTime> {
    let w = &mut *cluster.lock().unwrap();
    if w.repeated_commands == 0.0 || !w.rng.random_bool(w.repeated_commands) {
        return Vec::new();
    }
    let draw = |_| {
        if w.rng.random_bool(0.3) {
            let delay_s = w.rng.random_range(REPEAT_AFTER_RESTART_S);
            RepeatTime::AfterRestart(Duration::from_secs_f64(delay_s))
        } else {
            RepeatTime::After(draw_repeat_delay(&mut w.rng))
        }
    };
    (0..3).map(draw).collect()
}

/// Waits until a copy of a direct message arrives.
async fn await_repeat(cluster: &SharedCluster, time: RepeatTime) {
    let delay = match time {
        RepeatTime::After(delay) => delay,
        RepeatTime::AfterRestart(delay) => {
            let starts = cluster.lock().unwrap().process_starts;
            while cluster.lock().unwrap().process_starts == starts {
                sleep(Duration::from_millis(50)).await;
            }
            delay
        }
    };
    sleep(delay).await;
}

/// Lets copies of a direct message that a worker has carried out arrive again. Nobody waits for
/// their answers.
fn repeat_message(cluster: &SharedCluster, to: &str, path: &str, body: &[u8]) {
    for time in repeat_times(cluster) {
        let (cluster, to) = (cluster.clone(), to.to_string());
        let (path, body) = (path.to_string(), body.to_vec());
        tokio::spawn(async move {
            await_repeat(&cluster, time).await;
            execute_at_worker(&cluster, &to, &path, &body).await;
        });
    }
}

/// Whether [`Fault::RepeatRequests`] repeats requests like this one: all that change something, but
/// the messages from and to workers, which other faults repeat.
fn is_repeatable(to: &str, method: &Method, path: &str) -> bool {
    method != Method::GET && path != "/hello" && !to.starts_with("vm-")
}

/// Draws when a copy of a request arrives, if it is repeated.
fn request_repeat(cluster: &SharedCluster) -> Option<Duration> {
    let w = &mut *cluster.lock().unwrap();
    if w.repeated_requests == 0.0 || !w.rng.random_bool(w.repeated_requests) {
        return None;
    }
    Some(draw_repeat_delay(&mut w.rng))
}

/// Records the starts in a direct message that is sent to a worker.
fn record_direct_starts(cluster: &SharedCluster, to: &str, path: &str, body: &[u8]) {
    if path == "/orders" {
        let message: Value = serde_json::from_slice(body).expect("JSON");
        let site = &mut cluster.lock().unwrap().site;
        site.record_direct_starts(to, &message);
    }
}

/// Sleeps, unless the time is zero: such a sleep would change the order in which tasks run.
pub(super) async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Delivers a request between two endpoints under the active faults, and returns the answer. A copy
/// of it may arrive later.
pub async fn deliver(
    cluster: SharedCluster,
    from: String,
    to: String,
    port: u16,
    method: Method,
    path: String,
    body: Vec<u8>,
) -> Result<HttpResponse, CallError> {
    if is_repeatable(&to, &method, &path)
        && let Some(delay) = request_repeat(&cluster)
    {
        let copy = deliver_once(
            cluster.clone(),
            from.clone(),
            to.clone(),
            port,
            method.clone(),
            path.clone(),
            body.clone(),
        );
        tokio::spawn(async move {
            sleep(delay).await;
            copy.await
        });
    }
    deliver_once(cluster, from, to, port, method, path, body).await
}

async fn deliver_once(
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
    let transaction = path == "/multi";
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
                    let serves = w.state_serves(&from);
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
            if transaction {
                delay_transaction(&cluster, &from).await;
            }
            let mut w = cluster.lock().unwrap();
            let now = w.now();
            if w.state_serves(&from) {
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
        record_direct_starts(&cluster, &to, &path, &body);
        let (message_delay, answer_delay) = command_delays(&cluster);
        sleep_unless_zero(message_delay).await;
        let (status, heartbeat) = execute_at_worker(&cluster, &to, &path, &body).await;
        if status == 200 {
            repeat_message(&cluster, &to, &path, &body);
        }
        sleep_unless_zero(answer_delay).await;
        answer((status, heartbeat))
    } else {
        let controller: usize = to["host-".len()..].parse().unwrap();
        let api = cluster.lock().unwrap().controllers[controller].clone();
        let Some(api) = api else {
            return Err(CallError::Unsent);
        };
        let alive = cluster.lock().unwrap().alive[controller].clone();
        await_resumed(&cluster, &to).await;
        let needs_key = path.starts_with("/operator/");
        let authorization = needs_key.then(|| format!("Bearer {OPERATOR_KEY}"));
        let request = ApiRequest {
            method,
            path,
            query: None,
            authorization,
            body: body.into(),
        };
        let reply = if port == 8081 {
            api.peer(request).await
        } else {
            api.public(request).await
        };
        await_resumed(&cluster, &to).await;
        if !alive.load(Ordering::Relaxed) {
            return Err(CallError::Unknown("reset".into()));
        }
        HttpResponse {
            status: reply.status,
            body: reply.body.into(),
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
        (transaction && answers_lost > 0.0 && w.rng.random_bool(answers_lost))
            || w.rng.random_bool(loss)
    };
    if lost {
        std::future::pending::<()>().await;
    }
    Ok(reply)
}
