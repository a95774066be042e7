//! The core of a newly elected leader, for tests that create its inputs one by one.

use copperfield::coordination::core::{Config, Core};
use copperfield::protocol::cloud::parse_machine_types;
use copperfield::protocol::worker::{Heartbeat, TaskStatus};
use copperfield::settings::{Cluster, Tuning};
use copperfield::storage::{Snapshot, StoredJob, StoredRegistryPage, WorkerRecord};
use serde_json::{Value, json};

pub const TOKEN: u64 = 50;
/// Usual age of the cloud's list of workers, in seconds.
pub const LIST_LAG_S: f64 = 5.0;
const ADDRESS: &str = "10.1.0.1:9000";
const INSTANCE_TYPE: &str = "small";

/// Creates the core of a leader elected at time 0 that has read these jobs, and these workers,
/// given as (name, zone), from the worker registry.
pub fn elected_leader(
    zones: &[&str],
    team: Value,
    workers: impl IntoIterator<Item = (String, String)>,
    jobs: Vec<StoredJob>,
) -> Core {
    let config = Config {
        cluster: cluster(zones, team),
        tuning: Tuning::default(),
    };
    let snapshot = Snapshot {
        jobs,
        registry: vec![StoredRegistryPage {
            page: 0,
            version: 5,
            workers: Some(workers.into_iter().map(registry_entry).collect()),
        }],
        ..Snapshot::default()
    };
    let types = json!({"flavors": [{"name": INSTANCE_TYPE, "cpus": 4, "memory_gb": 16, "local_gb": 50,
        "pull_gb_per_s": 1, "price": 0.2, "ready_s": 10, "regions": zones}]});
    let types = parse_machine_types(types.to_string().as_bytes()).expect("valid");
    Core::new(config, TOKEN, 0.0, types, snapshot)
}

fn cluster(zones: &[&str], team: Value) -> Cluster {
    let cluster = json!({"zones": zones, "teams": [team], "objectives": [],
        "workers": {"report_s": 5.0, "lease_s": 25.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 40.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5, "list_lag_s": LIST_LAG_S},
        "limits": {"max_sockets": 3000}});
    serde_json::from_value(cluster).expect("valid")
}

fn registry_entry((name, zone): (String, String)) -> (String, WorkerRecord) {
    let record = WorkerRecord {
        address: ADDRESS.into(),
        machine_type: INSTANCE_TYPE.into(),
        zone,
        spot: false,
        images: Vec::new(),
    };
    (name, record)
}

/// A heartbeat of a worker that knows the fencing token of the new leader.
pub fn heartbeat(worker: &str, zone: &str, counter: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        worker: worker.into(),
        address: ADDRESS.into(),
        machine_type: INSTANCE_TYPE.into(),
        zone: zone.into(),
        spot: false,
        incarnation: 1,
        counter,
        token: TOKEN,
        notice_s: None,
        tasks,
    }
}
