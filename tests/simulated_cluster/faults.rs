//! Injects faults into a simulated cluster, and finds the current leader.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde_json::Value;
use tokio::time::sleep;

use super::users::{cancel_until_answered, poll_random_job, send_redundant_or_invalid_request};
use super::{
    CONTROLLERS, SharedCluster, SimulatedCluster, controller_name, kill_controller,
    restart_controller, start_controller,
};

/// A fault that a test injects. The last `f64` of a variant is how long the fault lasts in seconds,
/// unless the variant says otherwise. Controllers are given by index; worker `i` is the one named
/// `vm-{i:06}`, and their numbers begin at 1.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A controller crashes and restarts 3 s later.
    CrashController(usize),
    /// All controllers crash together and restart 3 s later.
    CrashAll,
    /// All controllers crash together and restart after the given time.
    RestartAll(f64),
    /// The leader crashes and restarts after the given time. This happens the given number of times,
    /// each time as soon as a running controller is the leader.
    RestartLeaders(u32, f64),
    /// The sender of the n-th message to the state service from now on, counted from 0 and without
    /// watches, crashes. If `true`, it crashes after the message was carried out, otherwise before
    /// the message is sent.
    CrashAtStateMessage(u32, bool),
    /// A controller pauses for the given time while its clock runs.
    PauseController(usize, f64),
    /// Users poll a hundred times a second, also for jobs that were never submitted.
    RandomPolls(f64),
    /// The state service refuses all requests.
    StateOutage(f64),
    /// A worker hangs.
    HangWorker(usize, f64),
    /// One of the two controllers that do not lead (0 or 1) crashes and restarts 3 s later.
    CrashFollower(usize),
    /// One of the controllers that do not lead crashes and does not restart.
    StopFollower,
    /// The leader is partitioned from all workers.
    PartitionLeaderFromWorkers(f64),
    /// The leader is partitioned from all workers and from the other controllers, but not from the
    /// state service.
    PartitionLeaderFromWorkersAndPeers(f64),
    /// The leader is partitioned from the state service.
    PartitionLeaderFromState(f64),
    /// The leader is partitioned from the state service and from the other controllers.
    PartitionLeaderFromStateAndPeers(f64),
    /// The state service refuses all requests of the leader, and only those.
    RefuseLeader(f64),
    /// The given share of transactions is carried out late, after the sender has given up.
    LateTransactions(f64, f64),
    /// The given share of heartbeats arrives a second time, later.
    DuplicateHeartbeats(f64, f64),
    /// The given share of direct messages to workers, or of the answers to them, is delayed for
    /// seconds.
    LateCommands(f64, f64),
    /// The given share of direct messages that workers carry out arrives again, up to three times:
    /// after half a second to two minutes, or just after a controller has restarted.
    RepeatCommands(f64, f64),
    /// The given share of requests to the state service, to the cloud, between controllers, and of
    /// users' submissions and cancellations arrives again, half a second to two minutes later.
    RepeatRequests(f64, f64),
    /// Every task that runs on a worker fails at once.
    FailTasksOnWorker(usize, f64),
    /// A worker receives no answers and no direct messages, while its heartbeats arrive.
    DropMessagesToWorker(usize, f64),
    /// A controller is partitioned from the named endpoint, or from everything if it is "*".
    PartitionController(usize, &'static str, f64),
    /// Each worker sends its heartbeats to another controller. This happens the given number of times
    /// at the given interval.
    SwitchHeartbeatTargets(u32, f64),
    /// The n-th message between controllers from now on, counted from 0, is lost. If `true`, it
    /// arrives and only its answer is lost.
    LosePeerMessage(u32, bool),
    /// A worker is partitioned from everything.
    PartitionWorker(usize, f64),
    /// The machine of a worker restarts at once: it has lost its tasks, its incarnation and the
    /// fencing token.
    RestartWorker(usize),
    /// A worker dies and does not return.
    KillWorker(usize),
    /// The cloud takes a spot worker back without notice.
    TakeWorker(usize),
    /// The cloud takes back all spot workers that are up, in the named zone or, if it is "*", in all.
    TakeAllSpotWorkers(&'static str),
    /// All workers that are up in the named zone hang.
    HangAllWorkers(&'static str, f64),
    /// The heartbeats of a worker reach no controller, while direct messages reach the worker.
    DropHeartbeatsFromWorker(usize, f64),
    /// The given share of transactions is carried out at once, but the answers are lost.
    LoseTransactionAnswers(f64, f64),
    /// Copies of the given share of heartbeats reach every controller when the next leader is
    /// elected.
    ReplayHeartbeatsToNextLeader(f64, f64),
    /// One zone, with its workers and the last controller, is partitioned from everything else.
    PartitionZone(f64),
    /// Users send requests to all controllers within milliseconds of each new answer about a job.
    RequestBursts(f64),
    /// Users submit accepted jobs again, cancel completed jobs and submit invalid jobs.
    RedundantAndInvalidRequests(f64),
    /// The given share of jobs is cancelled as soon as their last task completes.
    CancelOnCompletion(f64, f64),
    /// The given number of running jobs is cancelled at once, and one worker of each hangs for the
    /// given time.
    CancelRunningJobs(usize, f64),
    /// New workers boot within half a second after they were provisioned.
    FastWorkerBoot(f64),
}

/// Injects a fault at the simulated time `at` and ends it after its duration. `seed` seeds the
/// controllers that restart.
pub async fn inject_fault(cluster: SharedCluster, at: f64, fault: Fault, seed: u64) {
    sleep(Duration::from_secs_f64(at)).await;
    let wait = |s: f64| sleep(Duration::from_secs_f64(s));
    match fault {
        Fault::CrashController(i) => {
            kill_controller(&cluster, i);
            wait(3.0).await;
            start_controller(&cluster, i, seed + at as u64);
        }
        Fault::CrashAll => {
            (0..CONTROLLERS).for_each(|i| kill_controller(&cluster, i));
            wait(3.0).await;
            (0..CONTROLLERS).for_each(|i| start_controller(&cluster, i, seed + at as u64));
        }
        Fault::RestartAll(s) => (0..CONTROLLERS).for_each(|i| restart_controller(&cluster, i, s)),
        Fault::RestartLeaders(times, s) => {
            for _ in 0..times {
                let leader_index = loop {
                    let alive = |i: &usize| cluster.lock().unwrap().controllers[*i].is_some();
                    if let Some(leader_index) = leader(&cluster).filter(alive) {
                        break leader_index;
                    }
                    wait(0.05).await;
                };
                restart_controller(&cluster, leader_index, s);
                // The leader key of the crashed process remains until it is removed or its lease
                // expires.
                wait(s + 0.4).await;
            }
        }
        Fault::SwitchHeartbeatTargets(times, every_s) => {
            for _ in 0..times {
                {
                    let w = &mut *cluster.lock().unwrap();
                    for target in w.heartbeat_targets.values_mut() {
                        *target = (*target + w.rng.random_range(1..CONTROLLERS)) % CONTROLLERS;
                    }
                }
                wait(every_s).await;
            }
        }
        Fault::LosePeerMessage(skipped, answer_only) => {
            cluster.lock().unwrap().lose_peer_message = Some((skipped, answer_only));
        }
        Fault::CrashAtStateMessage(skipped, after_execution) => {
            cluster.lock().unwrap().crash_at_state_message = Some((skipped, after_execution));
        }
        Fault::PauseController(i, s) => {
            cluster.lock().unwrap().paused.insert(controller_name(i));
            wait(s).await;
            cluster.lock().unwrap().paused.remove(&controller_name(i));
        }
        Fault::RandomPolls(s) => {
            for _ in 0..(s * 100.0) as usize {
                wait(0.01).await;
                tokio::spawn(poll_random_job(cluster.clone()));
            }
        }
        Fault::StateOutage(s) => {
            cluster.lock().unwrap().state.outage = true;
            wait(s).await;
            let mut w = cluster.lock().unwrap();
            let now = w.now();
            w.state.recover(now);
        }
        Fault::HangWorker(i, s) => hang_workers(&cluster, &[worker_name(i)], s).await,
        Fault::PartitionController(i, to, s) => {
            partition(&cluster, &controller_name(i), &[to.into()], s).await;
        }
        Fault::CrashFollower(follower) => {
            let leader_index = await_leader(&cluster).await;
            restart_controller(&cluster, (leader_index + 1 + follower) % CONTROLLERS, 3.0);
        }
        Fault::StopFollower => {
            let leader_index = await_leader(&cluster).await;
            kill_controller(&cluster, (leader_index + 1) % CONTROLLERS);
        }
        Fault::PartitionLeaderFromWorkers(s) => {
            if let Some(leader_index) = leader(&cluster) {
                let workers = worker_names(&cluster);
                partition(&cluster, &controller_name(leader_index), &workers, s).await;
            }
        }
        Fault::PartitionLeaderFromWorkersAndPeers(s) => {
            let leader_index = await_leader(&cluster).await;
            let mut others = worker_names(&cluster);
            others.extend(peer_names(leader_index));
            partition(&cluster, &controller_name(leader_index), &others, s).await;
        }
        Fault::PartitionLeaderFromState(s) => {
            let leader_index = await_leader(&cluster).await;
            partition(
                &cluster,
                &controller_name(leader_index),
                &["state".into()],
                s,
            )
            .await;
        }
        Fault::PartitionLeaderFromStateAndPeers(s) => {
            let leader_index = await_leader(&cluster).await;
            let mut others = peer_names(leader_index);
            others.push("state".into());
            partition(&cluster, &controller_name(leader_index), &others, s).await;
        }
        Fault::RefuseLeader(s) => {
            let leader_name = controller_name(await_leader(&cluster).await);
            insert_for(&cluster, |w| &mut w.refused_by_state, &[leader_name], s).await;
        }
        Fault::LateTransactions(share, s) => {
            set_for(&cluster, |w| &mut w.late_transactions, share, s).await;
        }
        Fault::DuplicateHeartbeats(share, s) => {
            set_for(&cluster, |w| &mut w.duplicate_heartbeats, share, s).await;
        }
        Fault::LateCommands(share, s) => {
            set_for(&cluster, |w| &mut w.late_commands, share, s).await;
        }
        Fault::RepeatCommands(share, s) => {
            set_for(&cluster, |w| &mut w.repeated_commands, share, s).await;
        }
        Fault::RepeatRequests(share, s) => {
            set_for(&cluster, |w| &mut w.repeated_requests, share, s).await;
        }
        Fault::FailTasksOnWorker(i, s) => {
            let workers = [worker_name(i)];
            insert_for(&cluster, |w| &mut w.site.failing_workers, &workers, s).await;
        }
        Fault::DropMessagesToWorker(i, s) => {
            insert_for(&cluster, |w| &mut w.inbound_dropped, &[worker_name(i)], s).await;
        }
        Fault::PartitionWorker(i, s) => {
            partition(&cluster, &worker_name(i), &["*".into()], s).await;
        }
        Fault::DropHeartbeatsFromWorker(i, s) => {
            insert_for(
                &cluster,
                |w| &mut w.heartbeats_dropped,
                &[worker_name(i)],
                s,
            )
            .await;
        }
        Fault::LoseTransactionAnswers(share, s) => {
            set_for(&cluster, |w| &mut w.lost_transaction_answers, share, s).await;
        }
        Fault::ReplayHeartbeatsToNextLeader(share, s) => {
            set_for(&cluster, |w| &mut w.replayed_heartbeats, share, s).await;
        }
        Fault::PartitionZone(s) => set_for(&cluster, |w| &mut w.zone_partitioned, true, s).await,
        Fault::RequestBursts(s) => set_for(&cluster, |w| &mut w.request_bursts, true, s).await,
        Fault::RedundantAndInvalidRequests(s) => {
            for number in 0..(s * 4.0) as u32 {
                wait(0.25).await;
                let cluster = cluster.clone();
                tokio::spawn(
                    async move { send_redundant_or_invalid_request(&cluster, number).await },
                );
            }
        }
        Fault::CancelOnCompletion(share, s) => {
            set_for(&cluster, |w| &mut w.cancel_on_completion, share, s).await;
        }
        Fault::CancelRunningJobs(count, hang_s) => {
            let running = cluster.lock().unwrap().site.running_jobs();
            let mut hung_workers = BTreeSet::new();
            for (id, worker) in running.into_iter().take(count) {
                tokio::spawn(cancel_until_answered(cluster.clone(), id));
                if hang_s > 0.0 {
                    hung_workers.insert(worker);
                }
            }
            let hung_workers: Vec<String> = hung_workers.into_iter().collect();
            hang_workers(&cluster, &hung_workers, hang_s).await;
        }
        Fault::FastWorkerBoot(s) => {
            let usual_boot_s = std::mem::replace(&mut cluster.lock().unwrap().site.boot_s, 0.5);
            wait(s).await;
            cluster.lock().unwrap().site.boot_s = usual_boot_s;
        }
        Fault::RestartWorker(i) => {
            cluster.lock().unwrap().site.restart_worker(&worker_name(i));
        }
        Fault::KillWorker(i) => cluster.lock().unwrap().site.crash_worker(&worker_name(i)),
        Fault::TakeWorker(i) => cluster.lock().unwrap().site.remove_worker(&worker_name(i)),
        Fault::TakeAllSpotWorkers(zone) => {
            for name in running_workers(&cluster, zone) {
                let site = &mut cluster.lock().unwrap().site;
                if site.workers[&name].spot {
                    site.remove_worker(&name);
                }
            }
        }
        Fault::HangAllWorkers(zone, s) => {
            hang_workers(&cluster, &running_workers(&cluster, zone), s).await;
        }
    }
}

/// Sets a field of the cluster for the given time, and then resets it.
async fn set_for<T: Default>(
    cluster: &SharedCluster,
    field: fn(&mut SimulatedCluster) -> &mut T,
    value: T,
    duration_s: f64,
) {
    *field(&mut cluster.lock().unwrap()) = value;
    sleep(Duration::from_secs_f64(duration_s)).await;
    *field(&mut cluster.lock().unwrap()) = T::default();
}

/// Adds items to a set of the cluster for the given time.
async fn insert_for<T: Ord + Clone>(
    cluster: &SharedCluster,
    set: fn(&mut SimulatedCluster) -> &mut BTreeSet<T>,
    items: &[T],
    duration_s: f64,
) {
    set(&mut cluster.lock().unwrap()).extend(items.iter().cloned());
    sleep(Duration::from_secs_f64(duration_s)).await;
    set(&mut cluster.lock().unwrap()).retain(|item| !items.contains(item));
}

/// Partitions an endpoint from others for the given time; "*" stands for all.
async fn partition(cluster: &SharedCluster, endpoint: &str, others: &[String], duration_s: f64) {
    let pair = |other: &String| (endpoint.to_string(), other.clone());
    let pairs: Vec<_> = others.iter().map(pair).collect();
    insert_for(cluster, |w| &mut w.partitions, &pairs, duration_s).await;
}

/// Hangs workers for the given time.
async fn hang_workers(cluster: &SharedCluster, names: &[String], duration_s: f64) {
    let set_hung = |hung: bool| {
        let site = &mut cluster.lock().unwrap().site;
        for name in names {
            if let Some(worker) = site.workers.get_mut(name) {
                worker.hung = hung;
            }
        }
    };
    set_hung(true);
    sleep(Duration::from_secs_f64(duration_s)).await;
    set_hung(false);
}

fn worker_name(number: usize) -> String {
    format!("vm-{number:06}")
}

/// The names of all controllers but one.
fn peer_names(controller: usize) -> Vec<String> {
    let peers = (0..CONTROLLERS).filter(|&i| i != controller);
    peers.map(controller_name).collect()
}

fn worker_names(cluster: &SharedCluster) -> Vec<String> {
    cluster
        .lock()
        .unwrap()
        .site
        .workers
        .keys()
        .cloned()
        .collect()
}

/// The names of the workers that are up in a zone, or in all zones if it is "*".
fn running_workers(cluster: &SharedCluster, zone: &str) -> Vec<String> {
    let w = cluster.lock().unwrap();
    let now = w.now();
    let workers = w.site.workers.values();
    let running = workers.filter(|m| m.up_at <= now && (zone == "*" || m.zone == zone));
    running.map(|m| m.name.clone()).collect()
}

/// Waits until a leader is elected under another token than the present one. It may be the same
/// controller.
pub(super) async fn await_next_leader(cluster: &SharedCluster) {
    let token = || leader_key(cluster).map(|key| key["stamp"].as_u64().expect("a token"));
    let token_before = token();
    while token().is_none_or(|t| Some(t) == token_before) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits for a leader and returns its index.
pub(super) async fn await_leader(cluster: &SharedCluster) -> usize {
    loop {
        if let Some(leader_index) = leader(cluster) {
            return leader_index;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the index of the controller that the leader key names.
pub fn leader(cluster: &SharedCluster) -> Option<usize> {
    let key = leader_key(cluster)?;
    let name = key["data"]["member"].as_str().expect("the member's name");
    Some(
        name["host-".len()..]
            .parse()
            .expect("controller names end in a number"),
    )
}

/// Returns the leader key as the state service has stored it, also during an outage.
pub fn leader_key(cluster: &SharedCluster) -> Option<Value> {
    let mut w = cluster.lock().unwrap();
    let now = w.now();
    let outage = std::mem::take(&mut w.state.outage);
    let (status, key) = w.state.handle(now, "GET", "/kv/cf/leader", b"");
    w.state.outage = outage;
    (status == 200).then_some(key)
}
