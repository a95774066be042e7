//! Faults of a simulated cluster, and who leads when they strike.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde_json::Value;
use tokio::time::sleep;

use super::users::{cancel_until_answered, poll_random_job, send_redundant_or_invalid_request};
use super::{
    CONTROLLERS, SharedCluster, controller_name, kill_controller, restart_controller,
    start_controller,
};

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    CrashController(usize),
    CrashAll,
    /// All end together and are there again after so many seconds.
    RestartAll(f64),
    /// Whoever leads then, again as soon as there is a leader, so many times.
    RestartLeaders(u32, f64),
    /// The sender of this message to the state service from then on, counted from 0, ends: if
    /// `true`, after it was carried out.
    CrashAtStateMessage(u32, bool),
    PauseController(usize, f64),
    /// Users ask a hundred times a second, also about jobs that nobody submitted.
    RandomPolls(f64),
    StateOutage(f64),
    HangWorker(usize, f64),
    /// One of those who do not lead then; it is there again after 3 s.
    CrashFollower(usize),
    /// Whoever leads, from all workers.
    PartitionLeaderFromWorkers(f64),
    /// Whoever leads, from the state service.
    PartitionLeaderFromState(f64),
    /// Whoever leads, from the state service and from the other controllers.
    PartitionLeaderFromStateAndPeers(f64),
    /// Whoever leads is refused by the state service alone.
    RefuseLeader(f64),
    /// That share of transactions gets no answer and is carried out later.
    LateTransactions(f64, f64),
    /// That share of reports arrives once more, later.
    DuplicateHeartbeats(f64, f64),
    /// That share of direct messages to workers, or of their answers, is held up for seconds.
    LateCommands(f64, f64),
    /// A worker hears nothing.
    DropMessagesToWorker(usize, f64),
    /// From a node to a place, or "*" for everything.
    PartitionController(usize, &'static str, f64),
    /// So many times, so long apart, each worker reports to some other node.
    SwitchHeartbeatTargets(u32, f64),
    /// One message between controllers is lost, counted from 0; if `true`, its answer.
    LosePeerMessage(u32, bool),
    /// A worker and all nodes.
    PartitionWorker(usize, f64),
    KillWorker(usize),
    /// A worker reaches no controller, while direct orders reach it.
    DropHeartbeatsFromWorker(usize, f64),
    /// That share of transactions is carried out at once, and no answer comes.
    LoseTransactionAnswers(f64, f64),
    /// Of that share of reports a copy comes to every node as the next leader begins.
    ReplayHeartbeatsToNextLeader(f64, f64),
    /// One zone, with a controller in it, from everything else.
    PartitionZone(f64),
    /// Users ask at all nodes within milliseconds of what they are told.
    RequestBursts(f64),
    /// Repeated submissions, cancellations of what is done, mistaken jobs.
    RedundantAndInvalidRequests(f64),
    /// That share of jobs is called off as it ends.
    CancelOnCompletion(f64, f64),
    /// So many jobs that run are called off at once, and a worker of each hangs that long.
    CancelRunningJobs(usize, f64),
    /// New workers are up within half a second of their rental.
    FastWorkerBoot(f64),
}

pub async fn inject_fault(cluster: SharedCluster, at: f64, fault: Fault, seed: u64) {
    sleep(Duration::from_secs_f64(at)).await;
    let again = |s: f64| sleep(Duration::from_secs_f64(s));
    match fault {
        Fault::CrashController(i) => {
            kill_controller(&cluster, i);
            again(3.0).await;
            start_controller(&cluster, i, seed + at as u64);
        }
        Fault::CrashAll => {
            (0..CONTROLLERS).for_each(|i| kill_controller(&cluster, i));
            again(3.0).await;
            (0..CONTROLLERS).for_each(|i| start_controller(&cluster, i, seed + at as u64));
        }
        Fault::RestartAll(s) => (0..CONTROLLERS).for_each(|i| restart_controller(&cluster, i, s)),
        Fault::RestartLeaders(times, s) => {
            for _ in 0..times {
                let leads = loop {
                    let alive = |i: &usize| cluster.lock().unwrap().controllers[*i].is_some();
                    if let Some(leads) = leader(&cluster).filter(alive) {
                        break leads;
                    }
                    again(0.05).await;
                };
                restart_controller(&cluster, leads, s);
                // The key of its last process stands until it is removed or runs out.
                again(s + 0.4).await;
            }
        }
        Fault::SwitchHeartbeatTargets(times, every_s) => {
            for _ in 0..times {
                {
                    let w = &mut *cluster.lock().unwrap();
                    for node in w.heartbeat_targets.values_mut() {
                        *node = (*node + w.rng.random_range(1..CONTROLLERS)) % CONTROLLERS;
                    }
                }
                again(every_s).await;
            }
        }
        Fault::LosePeerMessage(left, answer) => {
            cluster.lock().unwrap().lose_peer_message = Some((left, answer));
        }
        Fault::CrashAtStateMessage(left, late) => {
            cluster.lock().unwrap().crash_at_state_message = Some((left, late));
        }
        Fault::PauseController(i, s) => {
            cluster.lock().unwrap().paused.insert(controller_name(i));
            again(s).await;
            cluster.lock().unwrap().paused.remove(&controller_name(i));
        }
        Fault::RandomPolls(s) => {
            for _ in 0..(s * 100.0) as usize {
                again(0.01).await;
                tokio::spawn(poll_random_job(cluster.clone()));
            }
        }
        Fault::StateOutage(s) => {
            cluster.lock().unwrap().state.outage = true;
            again(s).await;
            let mut w = cluster.lock().unwrap();
            let now = w.now();
            w.state.recover(now);
        }
        Fault::HangWorker(i, s) => {
            let name = format!("vm-{i:06}");
            let hang = |hung: bool| {
                if let Some(m) = cluster.lock().unwrap().site.workers.get_mut(&name) {
                    m.hung = hung;
                }
            };
            hang(true);
            again(s).await;
            hang(false);
        }
        Fault::PartitionController(i, to, s) => {
            let pair = (controller_name(i), to.to_string());
            cluster.lock().unwrap().partitions.insert(pair.clone());
            again(s).await;
            cluster.lock().unwrap().partitions.remove(&pair);
        }
        Fault::CrashFollower(which) => {
            let leads = await_leader(&cluster).await;
            restart_controller(&cluster, (leads + 1 + which) % CONTROLLERS, 3.0);
        }
        Fault::PartitionLeaderFromWorkers(s) => {
            let Some(leads) = leader(&cluster).map(controller_name) else {
                return;
            };
            let all: Vec<String> = cluster
                .lock()
                .unwrap()
                .site
                .workers
                .keys()
                .cloned()
                .collect();
            let pairs: Vec<_> = all.into_iter().map(|m| (leads.clone(), m)).collect();
            cluster.lock().unwrap().partitions.extend(pairs.clone());
            again(s).await;
            cluster
                .lock()
                .unwrap()
                .partitions
                .retain(|c| !pairs.contains(c));
        }
        Fault::PartitionLeaderFromState(s) => {
            let leads = await_leader(&cluster).await;
            let pair = (controller_name(leads), "state".to_string());
            cluster.lock().unwrap().partitions.insert(pair.clone());
            again(s).await;
            cluster.lock().unwrap().partitions.remove(&pair);
        }
        Fault::PartitionLeaderFromStateAndPeers(s) => {
            let leads = await_leader(&cluster).await;
            let to = |other: usize| (controller_name(leads), controller_name(other));
            let mut pairs: Vec<_> = (0..CONTROLLERS).filter(|&o| o != leads).map(to).collect();
            pairs.push((controller_name(leads), "state".to_string()));
            cluster.lock().unwrap().partitions.extend(pairs.clone());
            again(s).await;
            cluster
                .lock()
                .unwrap()
                .partitions
                .retain(|c| !pairs.contains(c));
        }
        Fault::RefuseLeader(s) => {
            let leads = await_leader(&cluster).await;
            cluster
                .lock()
                .unwrap()
                .refused_by_state
                .insert(controller_name(leads));
            again(s).await;
            cluster
                .lock()
                .unwrap()
                .refused_by_state
                .remove(&controller_name(leads));
        }
        Fault::LateTransactions(share, s) => {
            cluster.lock().unwrap().late_transactions = share;
            again(s).await;
            cluster.lock().unwrap().late_transactions = 0.0;
        }
        Fault::DuplicateHeartbeats(share, s) => {
            cluster.lock().unwrap().duplicate_heartbeats = share;
            again(s).await;
            cluster.lock().unwrap().duplicate_heartbeats = 0.0;
        }
        Fault::LateCommands(share, s) => {
            cluster.lock().unwrap().late_commands = share;
            again(s).await;
            cluster.lock().unwrap().late_commands = 0.0;
        }
        Fault::DropMessagesToWorker(i, s) => {
            let name = format!("vm-{i:06}");
            cluster.lock().unwrap().inbound_dropped.insert(name.clone());
            again(s).await;
            cluster.lock().unwrap().inbound_dropped.remove(&name);
        }
        Fault::PartitionWorker(i, s) => {
            let pair = (format!("vm-{i:06}"), "*".to_string());
            cluster.lock().unwrap().partitions.insert(pair.clone());
            again(s).await;
            cluster.lock().unwrap().partitions.remove(&pair);
        }
        Fault::DropHeartbeatsFromWorker(i, s) => {
            let name = format!("vm-{i:06}");
            cluster
                .lock()
                .unwrap()
                .heartbeats_dropped
                .insert(name.clone());
            again(s).await;
            cluster.lock().unwrap().heartbeats_dropped.remove(&name);
        }
        Fault::LoseTransactionAnswers(share, s) => {
            cluster.lock().unwrap().lost_transaction_answers = share;
            again(s).await;
            cluster.lock().unwrap().lost_transaction_answers = 0.0;
        }
        Fault::ReplayHeartbeatsToNextLeader(share, s) => {
            cluster.lock().unwrap().replayed_heartbeats = share;
            again(s).await;
            cluster.lock().unwrap().replayed_heartbeats = 0.0;
        }
        Fault::PartitionZone(s) => {
            cluster.lock().unwrap().zone_partitioned = true;
            again(s).await;
            cluster.lock().unwrap().zone_partitioned = false;
        }
        Fault::RequestBursts(s) => {
            cluster.lock().unwrap().request_bursts = true;
            again(s).await;
            cluster.lock().unwrap().request_bursts = false;
        }
        Fault::RedundantAndInvalidRequests(s) => {
            for number in 0..(s * 4.0) as u32 {
                again(0.25).await;
                let cluster = cluster.clone();
                tokio::spawn(
                    async move { send_redundant_or_invalid_request(&cluster, number).await },
                );
            }
        }
        Fault::CancelOnCompletion(share, s) => {
            cluster.lock().unwrap().cancel_on_completion = share;
            again(s).await;
            cluster.lock().unwrap().cancel_on_completion = 0.0;
        }
        Fault::CancelRunningJobs(count, hang_s) => {
            let running = cluster.lock().unwrap().site.running_jobs();
            let mut hung = BTreeSet::new();
            for (id, worker) in running.into_iter().take(count) {
                tokio::spawn(cancel_until_answered(cluster.clone(), id));
                if hang_s > 0.0 {
                    hung.insert(worker);
                }
            }
            let hang = |hangs: bool| {
                let mut w = cluster.lock().unwrap();
                for name in &hung {
                    if let Some(m) = w.site.workers.get_mut(name) {
                        m.hung = hangs;
                    }
                }
            };
            hang(true);
            again(hang_s).await;
            hang(false);
        }
        Fault::FastWorkerBoot(s) => {
            let before = std::mem::replace(&mut cluster.lock().unwrap().site.boot_s, 0.5);
            again(s).await;
            cluster.lock().unwrap().site.boot_s = before;
        }
        Fault::KillWorker(i) => {
            if let Some(m) = cluster
                .lock()
                .unwrap()
                .site
                .workers
                .get_mut(&format!("vm-{i:06}"))
            {
                m.dead = true;
            }
        }
    }
}

/// Until another leads than now; also the same node, under another token.
pub(super) async fn await_next_leader(cluster: &SharedCluster) {
    let token = || leader_key(cluster).map(|key| key["stamp"].as_u64().expect("a token"));
    let first = token();
    while token().is_none_or(|t| Some(t) == first) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// As soon as there is a leader.
pub(super) async fn await_leader(cluster: &SharedCluster) -> usize {
    loop {
        if let Some(leads) = leader(cluster) {
            return leads;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

pub fn leader(cluster: &SharedCluster) -> Option<usize> {
    let key = leader_key(cluster)?;
    let name = key["data"]["member"].as_str().expect("a name");
    Some(name["host-".len()..].parse().expect("a number"))
}

/// As the state service has it, also in an outage.
pub(super) fn leader_key(cluster: &SharedCluster) -> Option<Value> {
    let mut w = cluster.lock().unwrap();
    let now = w.now();
    let outage = std::mem::take(&mut w.state.outage);
    let (status, found) = w.state.handle(now, "GET", "/kv/cf/leader", b"");
    w.state.outage = outage;
    (status == 200).then_some(found)
}
