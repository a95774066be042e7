//! A small deployment: controllers as separate processes, with settings of the render farm.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;
use crate::site::{Flavor, Site, Times};
use crate::state::{Limits, StateService};

pub const ZONES: [&str; 3] = ["havenhal", "kelder", "zolder"];
pub const LIMITS: Limits = Limits {
    rps: 200.0,
    write_rps: 50.0,
    value_kb: 8.0,
    txn_ops: 12,
};
/// The limits that `state_limits` sets in the site file of the render farm.
pub const NEXT_LIMITS: Limits = Limits {
    rps: 200.0,
    write_rps: 35.0,
    value_kb: 2.0,
    txn_ops: 4,
};
const TIMES: Times = Times {
    report_s: 2.5,
    lease_s: 12.0,
    list_lag_s: 5.0,
};

/// The controllers' processes, by index. A watchdog ends them if a case takes too long.
static PROCESSES: Mutex<[Option<Child>; 3]> = Mutex::new([None, None, None]);
/// A case must end within 120 s.
const WATCHDOG_S: u64 = 117;

/// A controller.
struct Controller {
    name: String,
    public: SocketAddr,
    settings: PathBuf,
}

fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(WATCHDOG_S));
        for process in PROCESSES.lock().unwrap().iter_mut().flatten() {
            let _ = process.kill();
        }
        println!("the case could not run: it took too long");
        std::process::exit(2);
    });
}

pub struct Deployment {
    pub state: StateService,
    pub site: Site,
    pub record: Record,
    controllers: Vec<Controller>,
    folder: PathBuf,
    next_node: usize,
}

impl Deployment {
    /// Starts the state service, the cloud, 24 machines and three controllers.
    pub fn start(root: &Path, record: Record) -> Self {
        Self::start_with(root, record, |site| {
            for zone in ZONES {
                site.add_machines("klein-kast", zone, false, 5);
                site.add_machines("middel-kast", zone, false, 1);
                site.add_machines("gpu-kast", zone, false, 2);
            }
        })
    }

    /// Starts the state service, the cloud, the machines that are up already, and three controllers.
    pub fn start_with(root: &Path, record: Record, machines: impl Fn(&Site)) -> Self {
        start_watchdog();
        let state = StateService::start(LIMITS, record.clone());
        let public: Vec<SocketAddr> = (0..3).map(|_| http::free_address()).collect();
        let peer: Vec<SocketAddr> = (0..3).map(|_| http::free_address()).collect();
        let names: Vec<String> = (0..3).map(|i| format!("host-{i}")).collect();
        let nodes = names.iter().cloned().zip(public.iter().copied()).collect();
        let flavor = |name, cpus, gpus, memory_gb, price, ready_s| Flavor {
            name,
            cpus,
            gpus,
            memory_gb,
            price,
            pull_gb_per_s: 1.0,
            ready_s,
            regions: ZONES.to_vec(),
        };
        let flavors = vec![
            flavor("klein-kast", 4.0, 0.0, 32.0, 0.2, 20.0),
            flavor("middel-kast", 8.0, 0.0, 32.0, 0.36, 15.0),
            flavor("gpu-kast", 12.0, 2.0, 48.0, 5.63, 35.0),
        ];
        let site = Site::start(flavors, TIMES, nodes, record.clone());
        machines(&site);
        let folder = match std::env::var_os("REVIEW_FOLDER") {
            Some(folder) => PathBuf::from(folder),
            None => std::env::temp_dir().join(format!("review-{}", std::process::id())),
        };
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut controllers = Vec::new();
        for i in 0..3 {
            let others: Vec<Value> = (0..3)
                .filter(|&other| other != i)
                .map(|other| json!({"member": names[other], "site": "zolder", "peer_addr": peer[other]}))
                .collect();
            let limits = |l: Limits| json!({"rps": l.rps, "write_rps": l.write_rps, "value_kb": l.value_kb, "txn_ops": l.txn_ops});
            let mut state_limits = limits(LIMITS);
            state_limits["next"] = limits(NEXT_LIMITS);
            let settings = json!({
                "member": names[i], "site": "zolder", "public_addr": public[i], "peer_bind": peer[i], "others": others,
                "external": {"cloud": site.cloud_address, "state": state.address},
                "cluster": {
                    "count": 3, "zones": ZONES,
                    "teams": [{"name": "beeldteam", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
                    "objectives": [
                        {"kind": "deadline", "class": "spoedframes", "share": 0.9, "times": 1.0},
                        {"kind": "wait", "class": "spoedframes", "within_s": 10.0, "share": 0.9}],
                    "workers": {"report_s": 2.5, "lease_s": 12.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 32.0},
                    "state": state_limits,
                    "cloud": {"rps": 8.0, "list_lag_s": 5.0},
                    "limits": {"cpu_share": 0.16, "memory_mb": 56.0, "max_sockets": 1500},
                    "clock_error_ms": 25.0}});
            let path = folder.join(format!("{}.json", names[i]));
            std::fs::write(&path, settings.to_string()).expect("the settings can be written");
            controllers.push(Controller {
                name: names[i].clone(),
                public: public[i],
                settings: path,
            });
        }
        let mut deployment = Self {
            state,
            site,
            record,
            controllers,
            folder,
            next_node: 0,
        };
        for i in 0..3 {
            deployment.start_controller(root, i);
        }
        deployment
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start_controller(&mut self, root: &Path, i: usize) {
        let controller = &self.controllers[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", controller.name)))
            .expect("a log");
        let child = Command::new(root.join("target/release/copperfield"))
            .arg("--config")
            .arg(&controller.settings)
            .current_dir(root)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a controller");
        self.record.line(&format!("{} started", controller.name));
        // The script ends these processes if it is stopped, or if the stand-in fails.
        let pids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        PROCESSES.lock().unwrap()[i] = Some(child);
    }

    /// Changes the limits of the state service in the settings of a controller, for its next start.
    pub fn set_state_limits(&self, i: usize, limits: Limits) {
        let path = &self.controllers[i].settings;
        let text = std::fs::read_to_string(path).expect("the settings");
        let mut settings: Value = serde_json::from_str(&text).expect("JSON");
        settings["cluster"]["state"] = json!({"rps": limits.rps, "write_rps": limits.write_rps,
            "value_kb": limits.value_kb, "txn_ops": limits.txn_ops});
        std::fs::write(path, settings.to_string()).expect("the settings can be written");
        self.record.line(&format!(
            "settings of {}: state {limits:?}",
            self.controllers[i].name
        ));
    }

    /// Kills a controller.
    pub fn kill_controller(&mut self, i: usize) {
        let process = PROCESSES.lock().unwrap()[i].take();
        if let Some(mut process) = process {
            let _ = process.kill();
            let _ = process.wait();
            self.record
                .line(&format!("{} killed", self.controllers[i].name));
        }
    }

    /// The index of the controller that the leader key names.
    pub fn leader(&self) -> Option<usize> {
        let name = self.state.leader()?;
        self.controllers.iter().position(|c| c.name == name)
    }

    /// The process ID of a controller, if it runs.
    pub fn pid(&self, i: usize) -> Option<u32> {
        PROCESSES.lock().unwrap()[i].as_ref().map(Child::id)
    }

    /// Whether a controller's process has ended by itself.
    pub fn ended(&mut self, i: usize) -> bool {
        PROCESSES.lock().unwrap()[i]
            .as_mut()
            .is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))))
    }

    /// Sends a request of a user to one controller.
    pub fn ask(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &Value,
        wait_s: f64,
    ) -> Option<(u16, Value)> {
        let text = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let answer = http::call(
            method,
            self.controllers[i].public,
            path,
            &text,
            Duration::from_secs_f64(wait_s),
        );
        let answer = answer
            .map(|(status, text)| (status, serde_json::from_str(&text).unwrap_or(Value::Null)));
        self.record.line(&match &answer {
            Some((status, value)) => format!(
                "user: {method} {path} at {} -> {status} {value}",
                self.controllers[i].name
            ),
            None => format!(
                "user: {method} {path} at {} -> no answer",
                self.controllers[i].name
            ),
        });
        answer
    }

    /// Sends a request of a user to the next controller, as through the load balancer.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        body: &Value,
        wait_s: f64,
    ) -> Option<(u16, Value)> {
        self.next_node = (self.next_node + 1) % 3;
        self.ask(self.next_node, method, path, body, wait_s)
    }

    /// Submits a job until it is accepted, with at most ten attempts.
    pub fn submit(&mut self, body: &Value, runtime_s: f64) -> bool {
        self.site.upload(body, runtime_s);
        for _ in 0..10 {
            if let Some((200 | 201, _)) = self.request("POST", "/work", body, 5.0) {
                return true;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// Waits until a controller leads and all answer.
    pub fn wait_until_ready(&mut self, for_s: f64) -> bool {
        let end = self.record.now() + for_s;
        while self.record.now() < end {
            let healthy = (0..3).all(|i| {
                http::call(
                    "GET",
                    self.controllers[i].public,
                    "/healthz",
                    "",
                    Duration::from_secs(1),
                )
                .is_some_and(|(status, _)| status == 200)
            });
            if healthy && self.leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Copies the controllers' logs into the record, and removes the temporary folder.
    pub fn finish(&mut self) {
        for i in 0..3 {
            self.kill_controller(i);
        }
        for controller in &self.controllers {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", controller.name)));
            for line in log.unwrap_or_default().lines().take(60) {
                self.record
                    .line(&format!("log of {}: {line}", controller.name));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for i in 0..3 {
            self.kill_controller(i);
        }
    }
}

/// A job of the render farm: an array of rush frames.
pub fn rush_frames(number: u32, shards: u32, bundle: &str, runtime_s: f64) -> Value {
    json!({"uid": format!("wk-{number:06}"), "jobclass": "spoedframes", "owner": "beeldteam", "shape": "sweep",
        "rank": "urgent", "shards": shards, "cpus": 1.0, "gpus": 0.0, "memory_gb": 2.4, "bundle": bundle, "pull_gb": 1.5,
        "flavors": null, "region": null, "one_zone": false, "spread": false, "preemptibles": true,
        "runtime_s": runtime_s, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": 300.0})
}
