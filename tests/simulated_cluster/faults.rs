//! Faults of a simulated cluster, and who leads when they strike.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde_json::Value;
use tokio::time::sleep;

use super::users::{ask_at_random, call_off, odd_request};
use super::{NODES, SharedCluster, boot, kill, node_name, restart};

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill(usize),
    KillAll,
    /// All end together and are there again after so many seconds.
    RestartAll(f64),
    /// Whoever leads then, again as soon as there is a leader, so many times.
    RestartLeaders(u32, f64),
    /// The sender of this message to the state service from then on, counted from 0, ends: if
    /// `true`, after it was carried out.
    Trip(u32, bool),
    Freeze(usize, f64),
    /// Users ask a hundred times a second, also about jobs that nobody submitted.
    Storm(f64),
    Outage(f64),
    Hang(usize, f64),
    /// One of those who do not lead then; it is there again after 3 s.
    KillFollower(usize),
    /// Whoever leads, from all workers.
    PartLeader(f64),
    /// Whoever leads, from the state service.
    CutLeader(f64),
    /// Whoever leads, from the state service and from the other controllers.
    CutLeaderOff(f64),
    /// Whoever leads is refused by the state service alone.
    RefuseLeader(f64),
    /// That share of transactions gets no answer and is carried out later.
    LateWrites(f64, f64),
    /// That share of reports arrives once more, later.
    LateReports(f64, f64),
    /// That share of direct messages to workers, or of their answers, is held up for seconds.
    LateCommands(f64, f64),
    /// A worker hears nothing.
    Deafen(usize, f64),
    /// From a node to a place, or "*" for everything.
    Cut(usize, &'static str, f64),
    /// So many times, so long apart, each worker reports to some other node.
    Scatter(u32, f64),
    /// One message between controllers is lost, counted from 0; if `true`, its answer.
    Drop(u32, bool),
    /// A worker and all nodes.
    CutWorker(usize, f64),
    Die(usize),
    /// A worker reaches no controller, while direct orders reach it.
    Mute(usize, f64),
    /// That share of transactions is carried out at once, and no answer comes.
    LoseAnswers(f64, f64),
    /// Of that share of reports a copy comes to every node as the next leader begins.
    ReportsForNext(f64, f64),
    /// One zone, with a controller in it, from everything else.
    CutZone(f64),
    /// Users ask at all nodes within milliseconds of what they are told.
    CloseLooks(f64),
    /// Repeated submissions, cancellations of what is done, mistaken jobs.
    OddRequests(f64),
    /// That share of jobs is called off as it ends.
    CancelAtEnd(f64, f64),
    /// So many jobs that run are called off at once, and a worker of each hangs that long.
    CancelNow(usize, f64),
    /// New workers are up within half a second of their rental.
    QuickWorkers(f64),
}

pub async fn inflict(world: SharedCluster, at: f64, fault: Fault, seed: u64) {
    sleep(Duration::from_secs_f64(at)).await;
    let again = |s: f64| sleep(Duration::from_secs_f64(s));
    match fault {
        Fault::Kill(i) => {
            kill(&world, i);
            again(3.0).await;
            boot(&world, i, seed + at as u64);
        }
        Fault::KillAll => {
            (0..NODES).for_each(|i| kill(&world, i));
            again(3.0).await;
            (0..NODES).for_each(|i| boot(&world, i, seed + at as u64));
        }
        Fault::RestartAll(s) => (0..NODES).for_each(|i| restart(&world, i, s)),
        Fault::RestartLeaders(times, s) => {
            for _ in 0..times {
                let leads = loop {
                    let alive = |i: &usize| world.lock().unwrap().services[*i].is_some();
                    if let Some(leads) = leader(&world).filter(alive) {
                        break leads;
                    }
                    again(0.05).await;
                };
                restart(&world, leads, s);
                // The key of its last process stands until it is removed or runs out.
                again(s + 0.4).await;
            }
        }
        Fault::Scatter(times, every_s) => {
            for _ in 0..times {
                {
                    let w = &mut *world.lock().unwrap();
                    for node in w.targets.values_mut() {
                        *node = (*node + w.rng.random_range(1..NODES)) % NODES;
                    }
                }
                again(every_s).await;
            }
        }
        Fault::Drop(left, answer) => world.lock().unwrap().drop = Some((left, answer)),
        Fault::Trip(left, late) => world.lock().unwrap().trip = Some((left, late)),
        Fault::Freeze(i, s) => {
            world.lock().unwrap().frozen.insert(node_name(i));
            again(s).await;
            world.lock().unwrap().frozen.remove(&node_name(i));
        }
        Fault::Storm(s) => {
            for _ in 0..(s * 100.0) as usize {
                again(0.01).await;
                tokio::spawn(ask_at_random(world.clone()));
            }
        }
        Fault::Outage(s) => {
            world.lock().unwrap().state.outage = true;
            again(s).await;
            let mut w = world.lock().unwrap();
            let now = w.now();
            w.state.recover(now);
        }
        Fault::Hang(i, s) => {
            let name = format!("vm-{i:06}");
            let hang = |hung: bool| {
                if let Some(m) = world.lock().unwrap().site.workers.get_mut(&name) {
                    m.hung = hung;
                }
            };
            hang(true);
            again(s).await;
            hang(false);
        }
        Fault::Cut(i, to, s) => {
            let pair = (node_name(i), to.to_string());
            world.lock().unwrap().cuts.insert(pair.clone());
            again(s).await;
            world.lock().unwrap().cuts.remove(&pair);
        }
        Fault::KillFollower(which) => {
            let leads = whoever_leads(&world).await;
            restart(&world, (leads + 1 + which) % NODES, 3.0);
        }
        Fault::PartLeader(s) => {
            let Some(leads) = leader(&world).map(node_name) else {
                return;
            };
            let all: Vec<String> = world.lock().unwrap().site.workers.keys().cloned().collect();
            let pairs: Vec<_> = all.into_iter().map(|m| (leads.clone(), m)).collect();
            world.lock().unwrap().cuts.extend(pairs.clone());
            again(s).await;
            world.lock().unwrap().cuts.retain(|c| !pairs.contains(c));
        }
        Fault::CutLeader(s) => {
            let leads = whoever_leads(&world).await;
            let pair = (node_name(leads), "state".to_string());
            world.lock().unwrap().cuts.insert(pair.clone());
            again(s).await;
            world.lock().unwrap().cuts.remove(&pair);
        }
        Fault::CutLeaderOff(s) => {
            let leads = whoever_leads(&world).await;
            let to = |other: usize| (node_name(leads), node_name(other));
            let mut pairs: Vec<_> = (0..NODES).filter(|&o| o != leads).map(to).collect();
            pairs.push((node_name(leads), "state".to_string()));
            world.lock().unwrap().cuts.extend(pairs.clone());
            again(s).await;
            world.lock().unwrap().cuts.retain(|c| !pairs.contains(c));
        }
        Fault::RefuseLeader(s) => {
            let leads = whoever_leads(&world).await;
            world.lock().unwrap().refused.insert(node_name(leads));
            again(s).await;
            world.lock().unwrap().refused.remove(&node_name(leads));
        }
        Fault::LateWrites(share, s) => {
            world.lock().unwrap().late_writes = share;
            again(s).await;
            world.lock().unwrap().late_writes = 0.0;
        }
        Fault::LateReports(share, s) => {
            world.lock().unwrap().late_reports = share;
            again(s).await;
            world.lock().unwrap().late_reports = 0.0;
        }
        Fault::LateCommands(share, s) => {
            world.lock().unwrap().late_commands = share;
            again(s).await;
            world.lock().unwrap().late_commands = 0.0;
        }
        Fault::Deafen(i, s) => {
            let name = format!("vm-{i:06}");
            world.lock().unwrap().deaf.insert(name.clone());
            again(s).await;
            world.lock().unwrap().deaf.remove(&name);
        }
        Fault::CutWorker(i, s) => {
            let pair = (format!("vm-{i:06}"), "*".to_string());
            world.lock().unwrap().cuts.insert(pair.clone());
            again(s).await;
            world.lock().unwrap().cuts.remove(&pair);
        }
        Fault::Mute(i, s) => {
            let name = format!("vm-{i:06}");
            world.lock().unwrap().mute.insert(name.clone());
            again(s).await;
            world.lock().unwrap().mute.remove(&name);
        }
        Fault::LoseAnswers(share, s) => {
            world.lock().unwrap().answers_lost = share;
            again(s).await;
            world.lock().unwrap().answers_lost = 0.0;
        }
        Fault::ReportsForNext(share, s) => {
            world.lock().unwrap().for_next = share;
            again(s).await;
            world.lock().unwrap().for_next = 0.0;
        }
        Fault::CutZone(s) => {
            world.lock().unwrap().zone_cut = true;
            again(s).await;
            world.lock().unwrap().zone_cut = false;
        }
        Fault::CloseLooks(s) => {
            world.lock().unwrap().close_looks = true;
            again(s).await;
            world.lock().unwrap().close_looks = false;
        }
        Fault::OddRequests(s) => {
            for number in 0..(s * 4.0) as u32 {
                again(0.25).await;
                let world = world.clone();
                tokio::spawn(async move { odd_request(&world, number).await });
            }
        }
        Fault::CancelAtEnd(share, s) => {
            world.lock().unwrap().cancel_at_end = share;
            again(s).await;
            world.lock().unwrap().cancel_at_end = 0.0;
        }
        Fault::CancelNow(count, hang_s) => {
            let running = world.lock().unwrap().site.running_jobs();
            let mut hung = BTreeSet::new();
            for (id, worker) in running.into_iter().take(count) {
                tokio::spawn(call_off(world.clone(), id));
                if hang_s > 0.0 {
                    hung.insert(worker);
                }
            }
            let hang = |hangs: bool| {
                let mut w = world.lock().unwrap();
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
        Fault::QuickWorkers(s) => {
            let before = std::mem::replace(&mut world.lock().unwrap().site.boot_s, 0.5);
            again(s).await;
            world.lock().unwrap().site.boot_s = before;
        }
        Fault::Die(i) => {
            if let Some(m) = world
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
pub(super) async fn await_the_next_leader(world: &SharedCluster) {
    let token = || leader_key(world).map(|key| key["stamp"].as_u64().expect("a token"));
    let first = token();
    while token().is_none_or(|t| Some(t) == first) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// As soon as there is a leader.
pub(super) async fn whoever_leads(world: &SharedCluster) -> usize {
    loop {
        if let Some(leads) = leader(world) {
            return leads;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

pub fn leader(world: &SharedCluster) -> Option<usize> {
    let key = leader_key(world)?;
    let name = key["data"]["member"].as_str().expect("a name");
    Some(name["host-".len()..].parse().expect("a number"))
}

/// As the state service has it, also in an outage.
pub(super) fn leader_key(world: &SharedCluster) -> Option<Value> {
    let mut w = world.lock().unwrap();
    let now = w.now();
    let outage = std::mem::take(&mut w.state.outage);
    let (status, found) = w.state.handle(now, "GET", "/kv/cf/leader", b"");
    w.state.outage = outage;
    (status == 200).then_some(found)
}
