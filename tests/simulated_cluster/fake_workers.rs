//! The workers of a simulated cluster: they run tasks and send heartbeats.

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

/// Workers live and report.
pub async fn simulate_workers(cluster: SharedCluster) {
    let step = 0.05;
    let mut next: BTreeMap<String, f64> = BTreeMap::new();
    let busy: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    loop {
        sleep(Duration::from_secs_f64(step)).await;
        let mut w = cluster.lock().unwrap();
        let now = w.now();
        w.site.now = now;
        w.state.tick(now, step);
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
            w.site.advance_worker(name, step);
            let m = &w.site.workers[name];
            let due = next.entry(name.clone()).or_insert(now);
            let early = m.changed && now > *due - HEARTBEAT_INTERVAL_S + 0.3;
            if (now >= *due || early) && !busy.lock().unwrap().contains(name) {
                *due = now + HEARTBEAT_INTERVAL_S;
                busy.lock().unwrap().insert(name.clone());
                let name = name.clone();
                let (cluster, busy) = (cluster.clone(), busy.clone());
                tokio::spawn(async move {
                    heartbeat(&cluster, &name).await;
                    busy.lock().unwrap().remove(&name);
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

/// Workers wait so long for the answer to a report.
pub(super) const ANSWER_TIMEOUT_S: f64 = 2.0;

pub async fn heartbeat(cluster: &SharedCluster, name: &str) {
    let (node, body, sent, tenure) = {
        let mut w = cluster.lock().unwrap();
        let now = w.now();
        let number: usize = name[3..].parse().expect("our own names");
        let first = number % CONTROLLERS;
        let node = *w.heartbeat_targets.entry(name.to_string()).or_insert(first);
        let Some(m) = w.site.workers.get_mut(name) else {
            return;
        };
        (
            node,
            m.heartbeat().to_string().into_bytes(),
            now,
            m.incarnation,
        )
    };
    let heartbeat_at = |node, body| {
        let (cluster, name) = (cluster.clone(), name.to_string());
        let path = "/hello".to_string();
        deliver(
            cluster,
            name,
            controller_name(node),
            8080,
            Method::POST,
            path,
            body,
        )
    };
    let heartbeat = |body| heartbeat_at(node, body);
    if cluster.lock().unwrap().heartbeats_dropped.contains(name) {
        sleep(Duration::from_secs(1)).await;
        let mut w = cluster.lock().unwrap();
        w.heartbeat_targets
            .insert(name.into(), (node + 1) % CONTROLLERS);
        return;
    }
    let kept = {
        let w = &mut *cluster.lock().unwrap();
        w.replayed_heartbeats > 0.0 && w.rng.random_bool(w.replayed_heartbeats)
    };
    if kept {
        let instances: Vec<_> = (0..CONTROLLERS)
            .map(|n| heartbeat_at(n, body.clone()))
            .collect();
        let cluster = cluster.clone();
        tokio::spawn(async move {
            await_next_leader(&cluster).await;
            for copy in instances {
                tokio::spawn(copy);
            }
        });
    }
    let again_s = {
        let w = &mut *cluster.lock().unwrap();
        let again = w.duplicate_heartbeats > 0.0 && w.rng.random_bool(w.duplicate_heartbeats);
        again.then(|| w.rng.random_range(2.0..LEASE_S * 1.6))
    };
    if let Some(again_s) = again_s {
        let copy = heartbeat(body.clone());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(again_s)).await;
            copy.await
        });
    }
    let relayed = tokio::spawn(heartbeat(body));
    let answer = timeout(Duration::from_secs_f64(ANSWER_TIMEOUT_S), relayed).await;
    let mut next = Some((node + 1) % CONTROLLERS);
    let deaf = cluster.lock().unwrap().inbound_dropped.contains(name);
    if let Ok(Ok(Ok(answer))) = answer
        && !deaf
    {
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status == 200 {
            next = None;
            let mut w = cluster.lock().unwrap();
            let fits = w
                .site
                .workers
                .get(name)
                .is_some_and(|m| m.incarnation == tenure && !m.hung && !m.dead);
            if fits && w.site.accept_fencing_token(name, value["fence"].as_u64()) {
                w.site.renew_lease(name, sent);
                let by = w.answered_by.entry(name.to_string()).or_default();
                if by.last() != Some(&node) {
                    by.push(node);
                }
                w.site.check_commands(&value["orders"], ANSWER_TIMEOUT_S);
                w.site.execute_commands(name, &value["orders"]);
                w.site.check_lease_renewal(name);
            }
        } else if let Some(leader) = value["controller"].as_str() {
            next = Some(leader["host-".len()..].parse().unwrap());
            if next == Some(node) {
                next = Some((node + 1) % CONTROLLERS);
            }
        }
    }
    if let Some(next) = next {
        cluster
            .lock()
            .unwrap()
            .heartbeat_targets
            .insert(name.into(), next);
        sleep(Duration::from_millis(300)).await;
        if let Some(m) = cluster.lock().unwrap().site.workers.get_mut(name) {
            m.changed = true;
        }
    }
}
