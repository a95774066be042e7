//! Simulates the workers of a cluster: they run tasks and send heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield_simulation::cluster::{HEARTBEAT_INTERVAL_S, LEASE_S};
use hyper::Method;
use rand::Rng;
use serde_json::Value;
use tokio::time::{sleep, timeout};

use super::faults::await_next_leader;
use super::network::deliver;
use super::users::cancel_until_answered;
use super::{CONTROLLERS, SharedCluster, controller_name};

/// Advances the simulated time of the site in steps, runs the tasks of all workers, and sends their
/// heartbeats at intervals, or earlier when a task has changed.
pub async fn simulate_workers(cluster: SharedCluster) {
    let step_s = 0.05;
    let mut next_heartbeats: BTreeMap<String, f64> = BTreeMap::new();
    let awaiting_answer: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    loop {
        sleep(Duration::from_secs_f64(step_s)).await;
        let mut w = cluster.lock().unwrap();
        let now = w.now();
        w.site.now = now;
        w.state.tick(now, step_s);
        let names: Vec<String> = w.site.workers.keys().cloned().collect();
        for name in &names {
            let m = &w.site.workers[name];
            if m.up_at > now || m.dead {
                continue;
            }
            if m.hung {
                w.site.expire_lease(name);
                continue;
            }
            w.site.advance_worker(name, step_s);
            let m = &w.site.workers[name];
            let due = next_heartbeats.entry(name.clone()).or_insert(now);
            let early = m.changed && now > *due - HEARTBEAT_INTERVAL_S + 0.3;
            if (now >= *due || early) && !awaiting_answer.lock().unwrap().contains(name) {
                *due = now + HEARTBEAT_INTERVAL_S;
                awaiting_answer.lock().unwrap().insert(name.clone());
                let name = name.clone();
                let (cluster, awaiting_answer) = (cluster.clone(), awaiting_answer.clone());
                tokio::spawn(async move {
                    send_heartbeat(&cluster, &name).await;
                    awaiting_answer.lock().unwrap().remove(&name);
                });
            }
        }
        w.site.advance_gangs();
        w.site.check_cancelled();
        let share = w.cancel_on_completion;
        for id in std::mem::take(&mut w.site.newly_completed) {
            if share > 0.0 && w.rng.random_bool(share) {
                tokio::spawn(cancel_until_answered(cluster.clone(), id));
            }
        }
    }
}

/// How long a worker waits for the answer to a heartbeat.
pub(super) const ANSWER_TIMEOUT_S: f64 = 2.0;

/// Sends a heartbeat of a worker, and copies of it where a fault duplicates it, and carries out the
/// answer. If no valid answer arrives, the worker switches to another controller.
pub async fn send_heartbeat(cluster: &SharedCluster, name: &str) {
    let (controller, body, sent, incarnation) = {
        let mut w = cluster.lock().unwrap();
        let now = w.now();
        let number: usize = name[3..].parse().expect("worker names end in a number");
        let initial_target = number % CONTROLLERS;
        let controller = *w
            .heartbeat_targets
            .entry(name.to_string())
            .or_insert(initial_target);
        let Some(m) = w.site.workers.get_mut(name) else {
            return;
        };
        (
            controller,
            m.heartbeat().to_string().into_bytes(),
            now,
            m.incarnation,
        )
    };
    let deliver_heartbeat_to = |controller, body| {
        let (cluster, name) = (cluster.clone(), name.to_string());
        let path = "/hello".to_string();
        deliver(
            cluster,
            name,
            controller_name(controller),
            8080,
            Method::POST,
            path,
            body,
        )
    };
    let deliver_heartbeat = |body| deliver_heartbeat_to(controller, body);
    if cluster.lock().unwrap().heartbeats_dropped.contains(name) {
        sleep(Duration::from_secs(1)).await;
        let mut w = cluster.lock().unwrap();
        w.heartbeat_targets
            .insert(name.into(), (controller + 1) % CONTROLLERS);
        return;
    }
    let replayed = {
        let w = &mut *cluster.lock().unwrap();
        w.replayed_heartbeats > 0.0 && w.rng.random_bool(w.replayed_heartbeats)
    };
    if replayed {
        let copies: Vec<_> = (0..CONTROLLERS)
            .map(|n| deliver_heartbeat_to(n, body.clone()))
            .collect();
        let cluster = cluster.clone();
        tokio::spawn(async move {
            await_next_leader(&cluster).await;
            for copy in copies {
                tokio::spawn(copy);
            }
        });
    }
    let copy_after_s = {
        let w = &mut *cluster.lock().unwrap();
        let duplicate = w.duplicate_heartbeats > 0.0 && w.rng.random_bool(w.duplicate_heartbeats);
        duplicate.then(|| w.rng.random_range(2.0..LEASE_S * 1.6))
    };
    if let Some(copy_after_s) = copy_after_s {
        let copy = deliver_heartbeat(body.clone());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(copy_after_s)).await;
            copy.await
        });
    }
    let delivery = tokio::spawn(deliver_heartbeat(body));
    let answer = timeout(Duration::from_secs_f64(ANSWER_TIMEOUT_S), delivery).await;
    let mut next_target = Some((controller + 1) % CONTROLLERS);
    let answer_dropped = cluster.lock().unwrap().inbound_dropped.contains(name);
    if let Ok(Ok(Ok(answer))) = answer
        && !answer_dropped
    {
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status == 200 {
            next_target = None;
            let mut w = cluster.lock().unwrap();
            let accepts_answer = w
                .site
                .workers
                .get(name)
                .is_some_and(|m| m.incarnation == incarnation && !m.hung && !m.dead);
            if accepts_answer && w.site.accept_fencing_token(name, value["fence"].as_u64()) {
                w.site.renew_lease(name, sent);
                let by = w.answered_by.entry(name.to_string()).or_default();
                if by.last() != Some(&controller) {
                    by.push(controller);
                }
                w.site.check_commands(&value["orders"], ANSWER_TIMEOUT_S);
                w.site.execute_commands(name, &value["orders"]);
                w.site.check_lease_renewal(name);
            }
        } else if let Some(leader) = value["controller"].as_str() {
            next_target = Some(leader["host-".len()..].parse().unwrap());
            if next_target == Some(controller) {
                next_target = Some((controller + 1) % CONTROLLERS);
            }
        }
    }
    if let Some(next_target) = next_target {
        cluster
            .lock()
            .unwrap()
            .heartbeat_targets
            .insert(name.into(), next_target);
        sleep(Duration::from_millis(300)).await;
        if let Some(m) = cluster.lock().unwrap().site.workers.get_mut(name) {
            m.changed = true;
        }
    }
}
