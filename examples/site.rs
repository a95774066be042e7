//! The stand-ins as real servers on loopback: a state service, a cloud, and
//! workers that report and run tasks. With three controllers this is a whole
//! site on one computer; README walks through it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use copperfield::transport::client::{Http, Network};
use copperfield::transport::server::{Incoming, Outgoing, serve};
use copperfield_standins::site::{CANCEL_S, Job, LEASE_S, REPORT_S, Site};
use copperfield_standins::state::StateService;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

const NODES: u16 = 3;
/// Connections that each of these takes.
const MOST: usize = 1000;
const STATE: u16 = 17379;
const CLOUD: u16 = 17443;
const PUBLIC: u16 = 17080;
const PEERS: u16 = 17180;

struct World {
    site: Site,
    state: StateService,
    start: Instant,
}

type Shared = Arc<Mutex<World>>;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Workers listen on loopback, one port each.
fn worker_port(name: &str) -> u16 {
    19000 + name[3..].parse::<u16>().expect("our own names")
}

fn reply((status, value): (u16, Value)) -> Outgoing {
    Outgoing::json(status, &value)
}

fn full_path(request: &Incoming) -> String {
    match &request.query {
        Some(query) => format!("{}?{query}", request.path),
        None => request.path.clone(),
    }
}

async fn state(world: Shared, request: Incoming) -> Outgoing {
    let path = full_path(&request);
    if request.path == "/watch" {
        for _ in 0..200 {
            if let Some(changes) = world.lock().unwrap().state.changes(&path) {
                return reply(changes);
            }
            sleep(Duration::from_millis(10)).await;
        }
        return reply(world.lock().unwrap().state.now_empty());
    }
    let mut w = world.lock().unwrap();
    let now = w.start.elapsed().as_secs_f64();
    reply(
        w.state
            .handle(now, request.method.as_str(), &path, &request.body),
    )
}

async fn cloud(world: Shared, request: Incoming) -> Outgoing {
    let path = full_path(&request);
    let mut w = world.lock().unwrap();
    reply(w.site.cloud(request.method.as_str(), &path, &request.body))
}

async fn worker(world: Shared, name: String, request: Incoming) -> Outgoing {
    let mut w = world.lock().unwrap();
    if !w.site.machines.contains_key(&name) {
        return Outgoing::error(503, "gone");
    }
    let mut status = 200;
    if request.path == "/orders" {
        let orders: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        learn_jobs(&mut w.site, &orders["orders"]);
        let same = orders["tenure"].as_u64() == Some(w.site.machines[&name].tenure);
        if same && w.site.obey(&name, orders["fence"].as_u64()) {
            w.site.execute(&name, &orders["orders"]);
        } else {
            status = 409;
        }
    }
    reply((
        status,
        at_loopback(w.site.machines.get_mut(&name).unwrap().report(), &name),
    ))
}

fn at_loopback(mut report: Value, name: &str) -> Value {
    report["address"] = json!(loopback(worker_port(name)).to_string());
    report
}

/// Users' uploads are not part of this example: every job runs for 5 s.
fn learn_jobs(site: &mut Site, orders: &Value) {
    for order in orders.as_array().into_iter().flatten() {
        let Some((job, _)) = order["shard"].as_str().and_then(|s| s.split_once('/')) else {
            continue;
        };
        site.jobs.entry(job.to_string()).or_insert_with(|| Job {
            body: json!({"shape": "sweep", "cpus": 1.0, "bundle": job, "pull_gb": 0.1, "preemptibles": true, "shards": 100_000}),
            runtime_s: 5.0,
            accepted: Some(0.0),
            told_at: 0.0,
            cancelled_at: None,
            done: vec![false; 100_000],
            told: None,
        });
    }
}

async fn live(world: Shared) {
    let http = Arc::new(Http::default());
    let mut due: BTreeMap<String, (f64, u16)> = BTreeMap::new();
    let step = 0.1;
    loop {
        sleep(Duration::from_secs_f64(step)).await;
        let mut reports = Vec::new();
        {
            let mut w = world.lock().unwrap();
            let now = w.start.elapsed().as_secs_f64();
            w.site.now = now;
            w.state.tick(now, step);
            let up: Vec<String> = w
                .site
                .machines
                .values()
                .filter(|m| m.up_at <= now)
                .map(|m| m.name.clone())
                .collect();
            for name in up {
                w.site.live(&name, step);
                if !due.contains_key(&name) {
                    println!("machine {name} is up");
                    due.insert(name.clone(), (now, 0));
                    let (world, served) = (world.clone(), name.clone());
                    tokio::spawn(serve(loopback(worker_port(&name)), MOST, move |request| {
                        worker(world.clone(), served.clone(), request)
                    }));
                }
                let entry = due.get_mut(&name).unwrap();
                let m = w.site.machines.get_mut(&name).unwrap();
                if now >= entry.0 || (m.changed && now > entry.0 - REPORT_S + 0.5) {
                    entry.0 = now + REPORT_S;
                    reports.push((name.clone(), entry.1, at_loopback(m.report(), &name), now));
                }
            }
        }
        for (name, node, body, sent) in reports {
            let answer = http
                .call(
                    Method::POST,
                    loopback(PUBLIC + node),
                    "/hello",
                    body.to_string().into_bytes(),
                    Duration::from_secs(2),
                )
                .await;
            let mut next = (node + 1) % NODES;
            if let Ok(answer) = answer {
                let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                if answer.status == 200 {
                    next = node;
                    let mut w = world.lock().unwrap();
                    learn_jobs(&mut w.site, &value["orders"]);
                    if w.site.machines.contains_key(&name)
                        && w.site.obey(&name, value["fence"].as_u64())
                    {
                        w.site.answered(&name, sent);
                        w.site.execute(&name, &value["orders"]);
                    }
                } else if let Some(leader) = value["controller"]
                    .as_str()
                    .and_then(|c| c.strip_prefix("host-"))
                {
                    next = leader.parse().unwrap_or(next);
                }
            }
            due.get_mut(&name).unwrap().1 = next;
        }
    }
}

fn settings(node: u16) -> Value {
    let others: Vec<Value> = (0..NODES)
        .filter(|&i| i != node)
        .map(|i| json!({"member": format!("host-{i}"), "site": "a", "peer_addr": loopback(PEERS + i)}))
        .collect();
    json!({"member": format!("host-{node}"), "site": "a", "public_addr": loopback(PUBLIC + node),
        "peer_bind": loopback(PEERS + node), "others": others,
        "external": {"cloud": loopback(CLOUD), "state": loopback(STATE)},
        "cluster": {"count": NODES, "zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
            "workers": {"report_s": REPORT_S, "lease_s": LEASE_S, "gang_wait_s": 20.0, "gang_peer_s": 2.0, "cancel_s": CANCEL_S},
            "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12},
            "cloud": {"rps": 10, "list_lag_s": 1}, "limits": {"max_sockets": 1000}, "clock_error_ms": 25}})
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let folder = std::path::Path::new("target/site");
    std::fs::create_dir_all(folder)?;
    for node in 0..NODES {
        let text = serde_json::to_string_pretty(&settings(node)).expect("plain data");
        std::fs::write(folder.join(format!("host-{node}.json")), text)?;
    }
    let world: Shared = Arc::new(Mutex::new(World {
        site: Site::default(),
        state: StateService::default(),
        start: Instant::now(),
    }));
    println!(
        "state service on {}, cloud on {}; settings in {}",
        loopback(STATE),
        loopback(CLOUD),
        folder.display()
    );
    let (for_state, for_cloud) = (world.clone(), world.clone());
    tokio::select! {
        result = serve(loopback(STATE), MOST, move |r| state(for_state.clone(), r)) => result,
        result = serve(loopback(CLOUD), MOST, move |r| cloud(for_cloud.clone(), r)) => result,
        () = live(world) => Ok(()),
    }
}
