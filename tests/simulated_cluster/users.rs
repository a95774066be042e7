//! The users of a simulated cluster: they submit, poll and cancel, and check what they are answered.

use std::time::Duration;

use copperfield_simulation::cluster::Job;
use hyper::Method;
use rand::Rng;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::network::deliver;
use super::scenario::job;
use super::{CONTROLLERS, SharedCluster, controller_name};

/// One request of a user, through a load balancer that avoids dead nodes.
pub async fn send_user_request(
    cluster: &SharedCluster,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Value)> {
    let node = {
        let mut w = cluster.lock().unwrap();
        let up: Vec<usize> = (0..CONTROLLERS)
            .filter(|&i| w.controllers[i].is_some())
            .collect();
        if up.is_empty() {
            return None;
        }
        let pick = w.rng.random_range(0..up.len());
        up[pick]
    };
    send_user_request_to(cluster, node, method, path, body).await
}

/// One request of a user to this node.
pub async fn send_user_request_to(
    cluster: &SharedCluster,
    node: usize,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Value)> {
    let sent = deliver(
        cluster.clone(),
        "user".into(),
        controller_name(node),
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
pub(super) const BURST_ROUNDS: u64 = 4;

pub(super) const BURST_PAUSE_MS: std::ops::Range<u64> = 0..8;

/// A user has just been told something: asks every node at once how the job stands, submits it
/// again and, where it was called off, calls it off again, a few times within milliseconds.
pub fn send_request_burst(cluster: &SharedCluster, id: &str) {
    if !cluster.lock().unwrap().request_bursts {
        return;
    }
    let (cluster, id) = (cluster.clone(), id.to_string());
    tokio::spawn(async move {
        for _ in 0..BURST_ROUNDS {
            let pause = cluster.lock().unwrap().rng.random_range(BURST_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            let job = cluster.lock().unwrap().site.jobs[&id].body.clone();
            for node in 0..CONTROLLERS {
                let path = format!("/work/{id}");
                let mut all = vec![
                    (Method::GET, path.clone(), Vec::new()),
                    (Method::POST, "/work".into(), job.to_string().into_bytes()),
                ];
                if job["asked"] == true {
                    all.push((Method::POST, format!("{path}/withdraw"), b"{}".to_vec()));
                }
                for (method, path, body) in all {
                    let (cluster, id) = (cluster.clone(), id.clone());
                    tokio::spawn(async move {
                        let asked_at = cluster.lock().unwrap().now();
                        if let Some(answer) =
                            send_user_request_to(&cluster, node, method, &path, body).await
                        {
                            record_user_answer(&cluster, &id, asked_at, answer);
                        }
                    });
                }
            }
        }
    });
}

/// A user calls a job off, and asks until it has an answer.
pub async fn cancel_until_answered(cluster: SharedCluster, id: String) {
    cluster.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
    let path = format!("/work/{id}/withdraw");
    loop {
        let asked_at = cluster.lock().unwrap().now();
        if let Some((status, value)) =
            send_user_request(&cluster, Method::POST, &path, b"{}".to_vec()).await
        {
            let over = status == 200;
            record_user_answer(&cluster, &id, asked_at, (status, value));
            if over {
                return;
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
}

/// Repeated submissions of jobs that go on, cancellations of jobs that are done, and jobs that fit
/// no worker or lack a field, which nobody may accept.
pub(super) async fn send_redundant_or_invalid_request(cluster: &SharedCluster, number: u32) {
    let draw = cluster.lock().unwrap().rng.random_range(0..4);
    if draw < 2 {
        let mut wrong = job(900_000 + number as usize, "sweep", 2, json!({}));
        if draw == 0 {
            wrong["memory_gb"] = json!(1000.0);
        } else {
            let w = &mut *cluster.lock().unwrap();
            let fields = ["rank", "cpus", "spread", "gpus", "snapshot_s", "bundle"];
            let field = fields[w.rng.random_range(0..fields.len())];
            wrong.as_object_mut().unwrap().remove(field);
        }
        let body = wrong.to_string().into_bytes();
        let answer = send_user_request(cluster, Method::POST, "/work", body).await;
        if let Some((200 | 201, _)) = answer {
            let mut w = cluster.lock().unwrap();
            w.site
                .record_violation("accepted_wrong", &wrong.to_string());
        }
        return;
    }
    let picked = {
        let w = &mut *cluster.lock().unwrap();
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
        let w = cluster.lock().unwrap();
        (w.now(), w.site.jobs[&id].body.to_string().into_bytes())
    };
    let path = if draw == 2 {
        format!("/work/{id}/withdraw")
    } else {
        "/work".into()
    };
    if let Some(answer) = send_user_request(cluster, Method::POST, &path, body).await {
        record_user_answer(cluster, &id, asked_at, answer);
    }
}

/// Submits a job, polls it, and perhaps cancels it.
pub async fn simulate_user(
    cluster: SharedCluster,
    id: String,
    body: Value,
    runtime_s: f64,
    submit_at: f64,
    cancel_after: Option<f64>,
) {
    sleep(Duration::from_secs_f64(submit_at)).await;
    let job = Job::new(&body, runtime_s);
    cluster.lock().unwrap().site.jobs.insert(id.clone(), job);
    loop {
        if let Some((status, _)) = send_user_request(
            &cluster,
            Method::POST,
            "/work",
            body.to_string().into_bytes(),
        )
        .await
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
        let mut w = cluster.lock().unwrap();
        let now = w.now();
        w.site.jobs.get_mut(&id).unwrap().accepted_at = Some(now);
        now
    };
    send_request_burst(&cluster, &id);
    let path = format!("/work/{id}");
    loop {
        sleep(Duration::from_millis(1500)).await;
        let asked_at = cluster.lock().unwrap().now();
        let told_before = cluster.lock().unwrap().site.jobs[&id].reported_phase;
        let cancel = cancel_after.is_some_and(|after| asked_at > accepted_at + after)
            && told_before.is_none();
        let answer = if cancel {
            cluster.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
            send_user_request(
                &cluster,
                Method::POST,
                &format!("{path}/withdraw"),
                b"{}".to_vec(),
            )
            .await
        } else {
            send_user_request(&cluster, Method::GET, &path, Vec::new()).await
        };
        if let Some(answer) = answer {
            record_user_answer(&cluster, &id, asked_at, answer);
        }
    }
}

/// What a user hears now. The site's own clock is up to a step behind: a question that was asked
/// just before its user was told more was once taken for one asked after it.
pub fn record_user_answer(
    cluster: &SharedCluster,
    id: &str,
    asked_at: f64,
    (status, value): (u16, Value),
) {
    let mut w = cluster.lock().unwrap();
    w.site.now = w.now();
    let phase = value["phase"].as_str();
    let before = w.site.jobs.get(id).and_then(|j| j.reported_phase);
    w.site.check_user_answer(id, asked_at, status, phase);
    let after = w.site.jobs.get(id).and_then(|j| j.reported_phase);
    drop(w);
    if before != after {
        send_request_burst(cluster, id);
    }
}

pub async fn poll_random_job(cluster: SharedCluster) {
    let (id, asked_at) = {
        let mut w = cluster.lock().unwrap();
        let number = w.rng.random_range(1..30);
        (format!("wk-{number:06}"), w.now())
    };
    let path = format!("/work/{id}");
    if let Some(answer) = send_user_request(&cluster, Method::GET, &path, Vec::new()).await {
        record_user_answer(&cluster, &id, asked_at, answer);
    }
}
