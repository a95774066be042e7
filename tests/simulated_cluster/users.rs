//! The users of a simulated cluster: they submit, poll and cancel, and check what they are answered.

use std::time::Duration;

use copperfield_simulation::cluster::Job;
use hyper::Method;
use rand::Rng;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::days::job;
use super::network::deliver;
use super::{NODES, SharedCluster, node_name};

/// One request of a user, through a load balancer that avoids dead nodes.
pub async fn ask(
    world: &SharedCluster,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Value)> {
    let node = {
        let mut w = world.lock().unwrap();
        let up: Vec<usize> = (0..NODES).filter(|&i| w.services[i].is_some()).collect();
        if up.is_empty() {
            return None;
        }
        let pick = w.rng.random_range(0..up.len());
        up[pick]
    };
    ask_at(world, node, method, path, body).await
}

/// One request of a user to this node.
pub async fn ask_at(
    world: &SharedCluster,
    node: usize,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Value)> {
    let sent = deliver(
        world.clone(),
        "user".into(),
        node_name(node),
        8080,
        method,
        path.into(),
        body,
    );
    match timeout(Duration::from_secs(5), tokio::spawn(sent)).await {
        Ok(Ok(Ok(answer))) => Some((
            answer.status,
            serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
        )),
        _ => None,
    }
}

/// Rounds of questions that follow an answer, and the time between two, in ms.
pub(super) const LOOKS: u64 = 4;

pub(super) const LOOK_MS: std::ops::Range<u64> = 0..8;

/// A user has just been told something: asks every node at once how the job stands, submits it
/// again and, where it was called off, calls it off again, a few times within milliseconds.
pub fn look_closely(world: &SharedCluster, id: &str) {
    if !world.lock().unwrap().close_looks {
        return;
    }
    let (world, id) = (world.clone(), id.to_string());
    tokio::spawn(async move {
        for _ in 0..LOOKS {
            let pause = world.lock().unwrap().rng.random_range(LOOK_MS);
            sleep(Duration::from_millis(pause)).await;
            let job = world.lock().unwrap().site.jobs[&id].body.clone();
            for node in 0..NODES {
                let path = format!("/work/{id}");
                let mut all = vec![
                    (Method::GET, path.clone(), Vec::new()),
                    (Method::POST, "/work".into(), job.to_string().into_bytes()),
                ];
                if job["asked"] == true {
                    all.push((Method::POST, format!("{path}/withdraw"), b"{}".to_vec()));
                }
                for (method, path, body) in all {
                    let (world, id) = (world.clone(), id.clone());
                    tokio::spawn(async move {
                        let asked_at = world.lock().unwrap().now();
                        if let Some(answer) = ask_at(&world, node, method, &path, body).await {
                            user_told(&world, &id, asked_at, answer);
                        }
                    });
                }
            }
        }
    });
}

/// A user calls a job off, and asks until it has an answer.
pub async fn call_off(world: SharedCluster, id: String) {
    world.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
    let path = format!("/work/{id}/withdraw");
    loop {
        let asked_at = world.lock().unwrap().now();
        if let Some((status, value)) = ask(&world, Method::POST, &path, b"{}".to_vec()).await {
            let over = status == 200;
            user_told(&world, &id, asked_at, (status, value));
            if over {
                return;
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
}

/// Repeated submissions of jobs that go on, cancellations of jobs that are done, and jobs that fit
/// no worker or lack a field, which nobody may accept.
pub(super) async fn odd_request(world: &SharedCluster, number: u32) {
    let draw = world.lock().unwrap().rng.random_range(0..4);
    if draw < 2 {
        let mut wrong = job(900_000 + number as usize, "sweep", 2, json!({}));
        if draw == 0 {
            wrong["memory_gb"] = json!(1000.0);
        } else {
            let w = &mut *world.lock().unwrap();
            let fields = ["rank", "cpus", "spread", "gpus", "snapshot_s", "bundle"];
            let field = fields[w.rng.random_range(0..fields.len())];
            wrong.as_object_mut().unwrap().remove(field);
        }
        let body = wrong.to_string().into_bytes();
        let answer = ask(world, Method::POST, "/work", body).await;
        if let Some((200 | 201, _)) = answer {
            let mut w = world.lock().unwrap();
            w.site
                .record_violation("accepted_wrong", &wrong.to_string());
        }
        return;
    }
    let picked = {
        let w = &mut *world.lock().unwrap();
        let fits =
            |j: &&Job| j.accepted_at.is_some() && (j.reported_phase == Some("done")) == (draw == 2);
        let all: Vec<String> = w
            .site
            .jobs
            .iter()
            .filter(|(_, j)| fits(j))
            .map(|(id, _)| id.clone())
            .collect();
        (!all.is_empty()).then(|| all[w.rng.random_range(0..all.len())].clone())
    };
    let Some(id) = picked else { return };
    let (asked_at, body) = {
        let w = world.lock().unwrap();
        (w.now(), w.site.jobs[&id].body.to_string().into_bytes())
    };
    let path = if draw == 2 {
        format!("/work/{id}/withdraw")
    } else {
        "/work".into()
    };
    if let Some(answer) = ask(world, Method::POST, &path, body).await {
        user_told(world, &id, asked_at, answer);
    }
}

/// Submits a job, polls it, and perhaps cancels it.
pub async fn user(
    world: SharedCluster,
    id: String,
    body: Value,
    runtime_s: f64,
    submit_at: f64,
    cancel_after: Option<f64>,
) {
    sleep(Duration::from_secs_f64(submit_at)).await;
    let job = Job::new(&body, runtime_s);
    world.lock().unwrap().site.jobs.insert(id.clone(), job);
    loop {
        if let Some((status, _)) =
            ask(&world, Method::POST, "/work", body.to_string().into_bytes()).await
        {
            assert!(
                status != 400 && status != 422,
                "a good job is refused with {status}"
            );
            if status == 200 || status == 201 {
                break;
            }
        }
        sleep(Duration::from_secs(1)).await;
    }
    let accepted_at = {
        let mut w = world.lock().unwrap();
        let now = w.now();
        w.site.jobs.get_mut(&id).unwrap().accepted_at = Some(now);
        now
    };
    look_closely(&world, &id);
    let path = format!("/work/{id}");
    loop {
        sleep(Duration::from_millis(1500)).await;
        let asked_at = world.lock().unwrap().now();
        let told_before = world.lock().unwrap().site.jobs[&id].reported_phase;
        let cancel = cancel_after.is_some_and(|after| asked_at > accepted_at + after)
            && told_before.is_none();
        let answer = if cancel {
            world.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
            ask(
                &world,
                Method::POST,
                &format!("{path}/withdraw"),
                b"{}".to_vec(),
            )
            .await
        } else {
            ask(&world, Method::GET, &path, Vec::new()).await
        };
        if let Some(answer) = answer {
            user_told(&world, &id, asked_at, answer);
        }
    }
}

/// What a user hears now. The site's own clock is up to a step behind: a question that was asked
/// just before its user was told more was once taken for one asked after it.
pub fn user_told(world: &SharedCluster, id: &str, asked_at: f64, (status, value): (u16, Value)) {
    let mut w = world.lock().unwrap();
    w.site.now = w.now();
    let phase = value["phase"].as_str();
    let before = w.site.jobs.get(id).and_then(|j| j.reported_phase);
    w.site.check_user_answer(id, asked_at, status, phase);
    let after = w.site.jobs.get(id).and_then(|j| j.reported_phase);
    drop(w);
    if before != after {
        look_closely(world, id);
    }
}

pub async fn ask_at_random(world: SharedCluster) {
    let (id, asked_at) = {
        let mut w = world.lock().unwrap();
        let number = w.rng.random_range(1..30);
        (format!("wk-{number:06}"), w.now())
    };
    let path = format!("/work/{id}");
    if let Some(answer) = ask(&world, Method::GET, &path, Vec::new()).await {
        user_told(&world, &id, asked_at, answer);
    }
}
