//! The controllers as processes, and their users.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;
use crate::site::{Flavor, Site, WorkerSettings};
use crate::state::{Limits, State};

/// A small deployment of BRIEF-copperfield.md.
pub struct Deployment {
    pub zones: Vec<&'static str>,
    pub sites: [&'static str; 3],
    pub teams: Value,
    pub objectives: Value,
    pub workers: WorkerSettings,
    pub state: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub max_sockets: u32,
    pub flavors: Vec<Flavor>,
}

pub fn lichtval() -> Deployment {
    let flavor = |name, cpus, gpus, memory_gb, price, market_price, ready_s| Flavor {
        name,
        cpus,
        gpus,
        memory_gb,
        price,
        market_price,
        ready_s,
    };
    Deployment {
        zones: vec!["havenhal", "kelder", "zolder"],
        sites: ["zolder"; 3],
        teams: json!([{"name": "beeldteam", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]),
        objectives: json!([
            {"kind": "wait", "class": "voorbeeld", "within_s": 1.0, "share": 0.9},
            {"kind": "wait", "class": "lichtbak", "within_s": 100.0, "share": 0.65},
            {"kind": "finished", "class": "lichtbak", "within_s": 400.0, "share": 0.85},
            {"kind": "deadline", "class": "nachtframes", "share": 0.55, "times": 1.0},
            {"kind": "deadline", "class": "nachtframes", "share": 0.65, "times": 1.5},
            {"kind": "deadline", "class": "spoedframes", "share": 0.9, "times": 1.0},
            {"kind": "wait", "class": "spoedframes", "within_s": 10.0, "share": 0.9}]),
        workers: WorkerSettings {
            report_s: 2.5,
            lease_s: 12.0,
            gang_wait_s: 45.0,
            gang_peer_s: 6.0,
            cancel_s: 32.0,
        },
        state: Limits {
            rps: 200.0,
            write_rps: 50.0,
            value_kb: 8.0,
            txn_ops: 12,
        },
        cloud_rps: 8.0,
        list_lag_s: 5.0,
        cpu_share: 0.16,
        memory_mb: 56.0,
        max_sockets: 1500,
        flavors: vec![
            flavor("klein-kast", 4.0, 0.0, 32.0, 0.2, 0.07, 20.0),
            flavor("middel-kast", 8.0, 0.0, 32.0, 0.36, 0.12, 15.0),
            flavor("gpu-kast", 12.0, 2.0, 48.0, 5.63, 1.85, 35.0),
        ],
    }
}

pub fn portasul() -> Deployment {
    let flavor = |name, cpus, gpus, memory_gb, price, market_price, ready_s| Flavor {
        name,
        cpus,
        gpus,
        memory_gb,
        price,
        market_price,
        ready_s,
    };
    Deployment {
        zones: vec!["portoalegre", "curitiba", "floripa"],
        sites: ["portoalegre", "curitiba", "floripa"],
        teams: json!([{"name": "operporta", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]),
        objectives: json!([
            {"kind": "wait", "class": "pedidoporta", "within_s": 2.0, "share": 0.93},
            {"kind": "wait", "class": "fraudegpu", "within_s": 30.0, "share": 0.8},
            {"kind": "finished", "class": "fraudegpu", "within_s": 100.0, "share": 0.8},
            {"kind": "finished", "class": "conciliadiaria", "within_s": 150.0, "share": 0.9}]),
        workers: WorkerSettings {
            report_s: 3.0,
            lease_s: 18.0,
            gang_wait_s: 50.0,
            gang_peer_s: 8.0,
            cancel_s: 48.0,
        },
        state: Limits {
            rps: 250.0,
            write_rps: 40.0,
            value_kb: 32.0,
            txn_ops: 32,
        },
        cloud_rps: 4.0,
        list_lag_s: 8.0,
        cpu_share: 0.32,
        memory_mb: 136.0,
        max_sockets: 2500,
        flavors: vec![
            flavor("nopequeno", 8.0, 0.0, 64.0, 0.43, 0.17, 15.0),
            flavor("nomedio", 16.0, 2.0, 64.0, 3.85, 1.52, 35.0),
            flavor("nogrande", 48.0, 8.0, 288.0, 27.72, 9.58, 30.0),
        ],
    }
}

/// A free port below the range of outgoing connections.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let next = std::process::id()
            .wrapping_mul(193)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], 10_240 + (next % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub struct Cluster {
    pub state: Arc<State>,
    pub site: Arc<Site>,
    pub record: Arc<Record>,
    pub public: Vec<SocketAddr>,
    processes: Vec<Option<Child>>,
    folder: PathBuf,
}

impl Cluster {
    /// Starts the stand-ins and three controllers. `workers` are (index of flavor, count).
    pub fn start(deployment: Deployment, workers: &[(usize, usize)], record: Arc<Record>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("copperfield-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let state = State::new(deployment.state, record.clone());
        let (state_address, cloud_address) = (free_address(), free_address());
        let public: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let peers: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let site = Site::new(
            deployment.workers,
            deployment.flavors.clone(),
            deployment.zones.clone(),
            public.clone(),
            record.clone(),
        );
        let served = state.clone();
        http::serve(state_address, Arc::new(move |r| served.handle(&r))).expect("a free port");
        let served = site.clone();
        http::serve(cloud_address, Arc::new(move |r| served.answer_cloud(&r)))
            .expect("a free port");
        let mut number = 0;
        for &(flavor, count) in workers {
            for _ in 0..count {
                number += 1;
                let region = deployment.zones[number % deployment.zones.len()];
                let flavor = &deployment.flavors[flavor];
                site.add_worker(&format!("vm-{number:06}"), flavor, region, free_address());
            }
        }
        site.run();
        for i in 0..3 {
            let settings = settings(
                &deployment,
                i,
                &public,
                &peers,
                state_address,
                cloud_address,
            );
            fs::write(folder.join(format!("host-{i}.json")), settings.to_string())
                .expect("a settings file");
        }
        let mut cluster = Self {
            state,
            site,
            record,
            public,
            processes: vec![None, None, None],
            folder,
        };
        for i in 0..3 {
            cluster.start_controller(i);
        }
        cluster
    }

    pub fn start_controller(&mut self, i: usize) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("host-{i}.log")))
            .expect("a log file");
        let child = Command::new("target/release/copperfield")
            .arg("--config")
            .arg(self.folder.join(format!("host-{i}.json")))
            .env(
                "LOG_LEVEL",
                std::env::var("CASE_LOG").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        self.record.write("case", &format!("host-{i} started"));
        // run.sh ends these processes if this one ends early.
        if let Ok(file) = std::env::var("CASE_PIDS")
            && let Ok(mut file) = File::options().create(true).append(true).open(file)
        {
            let _ = writeln!(file, "{}", child.id());
        }
        self.processes[i] = Some(child);
    }

    /// The controller that the state service has as leader.
    pub fn leader(&self) -> Option<usize> {
        let keys = self.state.keys("cf/leader");
        let member = keys.first()?.1["member"].as_str()?;
        member.strip_prefix("host-")?.parse().ok()
    }

    /// Sends one request of a user.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &Value,
        limit_s: f64,
    ) -> Option<(u16, Value)> {
        let bytes = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let limit = Duration::from_secs_f64(limit_s);
        let answer = http::call(self.public[node], method, path, &bytes, limit).ok();
        let answer = answer
            .map(|(status, body)| (status, serde_json::from_slice(&body).unwrap_or(Value::Null)));
        let shown = match &answer {
            Some((status, value)) => format!("{status} {value}"),
            None => "no answer".into(),
        };
        let mut sent = body.to_string();
        sent.truncate(600);
        self.record.write(
            "user",
            &format!("{method} {path} to host-{node}: {sent} -> {shown}"),
        );
        answer
    }

    /// Sends one request of a user as it stands, and returns the status.
    pub fn ask_raw(&self, node: usize, request: &str, limit_s: f64) -> Option<(u16, Value)> {
        let limit = Duration::from_secs_f64(limit_s);
        let answer = http::exchange(self.public[node], request.as_bytes(), limit).ok();
        let answer = answer
            .map(|(status, body)| (status, serde_json::from_slice(&body).unwrap_or(Value::Null)));
        self.record.write(
            "user",
            &format!("to host-{node}: {request:?} -> {answer:?}"),
        );
        answer
    }

    /// Uploads a job and submits it until it is accepted, for up to 60 s. Returns the last status.
    pub fn submit(&self, body: &Value, run_s: f64) -> u16 {
        self.submit_varied(body, run_s, None)
    }

    /// As `submit`; `longer` are the first task that runs longer, and its run time.
    pub fn submit_varied(&self, body: &Value, run_s: f64, longer: Option<(u64, f64)>) -> u16 {
        let uid = body["uid"].as_str().unwrap().to_string();
        let job = crate::site::Job {
            body: body.clone(),
            run_s,
            longer,
            cancelled_at: None,
        };
        self.site.lock().jobs.insert(uid, job);
        let began = self.record.now();
        let mut node = 0;
        loop {
            let answer = self.ask(node, "POST", "/work", body, 5.0);
            match answer {
                Some((status @ (200 | 201 | 400 | 422), _)) => return status,
                other if self.record.now() - began > 60.0 => return other.map_or(0, |a| a.0),
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
            node = (node + 1) % 3;
        }
    }

    /// Asks for a job's state at one node after the other.
    pub fn poll(&self, uid: &str) -> Option<Value> {
        for node in 0..3 {
            if let Some((200, value)) =
                self.ask(node, "GET", &format!("/work/{uid}"), &Value::Null, 2.0)
            {
                return Some(value);
            }
        }
        None
    }

    /// How many tasks of a job have come onto a machine so far.
    pub fn starts(&self, uid: &str) -> u32 {
        self.site.lock().starts.get(uid).copied().unwrap_or(0)
    }

    pub fn wait(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    /// Waits until all machines have reported to a leader.
    pub fn wait_ready(&self, limit_s: f64) -> bool {
        let until = self.record.now() + limit_s;
        while self.record.now() < until {
            if self.leader().is_some()
                && self
                    .state
                    .keys("cf/r/")
                    .iter()
                    .map(|(_, v)| v.as_object().map_or(0, |o| o.len()))
                    .sum::<usize>()
                    >= self.site.lock().workers.len()
            {
                return true;
            }
            self.wait(0.2);
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            let _ = process.kill();
            let _ = process.wait();
        }
        if std::env::var("CASE_KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn settings(
    d: &Deployment,
    own: usize,
    public: &[SocketAddr],
    peers: &[SocketAddr],
    state: SocketAddr,
    cloud: SocketAddr,
) -> Value {
    let others: Vec<Value> = (0..3)
        .filter(|i| *i != own)
        .map(|i| json!({"member": format!("host-{i}"), "site": d.sites[i], "peer_addr": peers[i]}))
        .collect();
    json!({"member": format!("host-{own}"), "site": d.sites[own], "public_addr": public[own], "peer_bind": peers[own],
        "others": others, "external": {"cloud": cloud, "state": state},
        "cluster": {"count": 3, "zones": d.zones, "teams": d.teams, "objectives": d.objectives,
            "workers": {"report_s": d.workers.report_s, "lease_s": d.workers.lease_s, "gang_wait_s": d.workers.gang_wait_s,
                "gang_peer_s": d.workers.gang_peer_s, "cancel_s": d.workers.cancel_s},
            "state": {"rps": d.state.rps, "write_rps": d.state.write_rps, "value_kb": d.state.value_kb, "txn_ops": d.state.txn_ops},
            "cloud": {"rps": d.cloud_rps, "list_lag_s": d.list_lag_s},
            "limits": {"cpu_share": d.cpu_share, "memory_mb": d.memory_mb, "max_sockets": d.max_sockets},
            "clock_error_ms": 25.0}})
}

/// A job with the usual fields, which the caller changes.
#[expect(clippy::too_many_arguments, reason = "the fields of a job")]
pub fn job(
    number: u64,
    class: &str,
    team: &str,
    shape: &str,
    rank: &str,
    shards: u64,
    cpus: f64,
    memory_gb: f64,
) -> Value {
    json!({"uid": format!("wk-{number:06}"), "jobclass": class, "owner": team, "shape": shape, "rank": rank,
        "shards": shards, "cpus": cpus, "gpus": 0.0, "memory_gb": memory_gb, "bundle": "img-01", "pull_gb": 0.2,
        "flavors": null, "region": null, "one_zone": false, "spread": false, "preemptibles": true,
        "runtime_s": 4.0, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": null})
}
