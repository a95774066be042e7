//! Compares stored records, requests to the state service and the interpretation of settings with
//! the files under `tests/pinned`, which an earlier build produced. The files are never
//! regenerated: a difference means that the stored format or the meaning of settings has changed.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield::protocol::JobId;
use copperfield::protocol::job::{JobOutcome, Phase};
use copperfield::settings::{LogFormat, Settings, Switch, Tuning};
use copperfield::storage::bitmap::{TaskBitmap, tasks_per_chunk};
use copperfield::storage::store::Store;
use copperfield::storage::writer::{Write, completed, write};
use copperfield::storage::{self, DrainRecord, FencedWorker, JobRecord, WorkerRecord};
use copperfield::transport::client::{CallFuture, HttpResponse, Network};
use copperfield_fencing::timestamp;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

fn pinned_path(file: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned")).join(file)
}

fn pinned(file: &str) -> String {
    let path = pinned_path(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the lines of a pinned file, without its comments.
fn lines(file: &str) -> Vec<String> {
    let text = pinned(file);
    let lines = text.lines().filter(|l| !l.starts_with('#'));
    lines.map(str::to_string).collect()
}

fn check_lines(file: &str, actual: &[String]) {
    let pinned = lines(file);
    for (ix, (pinned, actual)) in pinned.iter().zip(actual).enumerate() {
        assert_eq!(pinned, actual, "{file}, line {}", ix + 1);
    }
    assert_eq!(pinned.len(), actual.len(), "{file}: number of lines");
}

/// Parses each line, checks that it serializes to the same bytes, and returns the parsed values.
fn check_records<T>(file: &str, read: impl Fn(Value) -> T, write: impl Fn(&T) -> Value) -> Vec<T> {
    let values = lines(file).into_iter().map(|line| {
        let value = serde_json::from_str(&line).expect(&line);
        let read = read(value);
        assert_eq!(write(&read).to_string(), line, "{file}");
        read
    });
    let values: Vec<T> = values.collect();
    assert!(!values.is_empty(), "{file}");
    values
}

fn check_serde<T: Serialize + DeserializeOwned>(file: &str) -> Vec<T> {
    check_records(
        file,
        |v| serde_json::from_value(v).expect(file),
        |t| serde_json::to_value(t).expect("plain data"),
    )
}

fn value_or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".into(), |v| v.to_string())
}

/// Quotes a text, so that an empty one is visible.
fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

// ---- stored records ----

#[test]
fn keys_are_unchanged() {
    let (small, large) = (JobId(412), JobId(1_234_567));
    let actual = [
        storage::LEADER_KEY.to_string(),
        storage::TERM_MARKER_KEY.to_string(),
        storage::JOBS_PREFIX.to_string(),
        storage::PROGRESS_PREFIX.to_string(),
        storage::REGISTRY_PREFIX.to_string(),
        storage::DRAINS_PREFIX.to_string(),
        storage::FENCING_PREFIX.to_string(),
        storage::job_key(small),
        storage::job_key(large),
        storage::terminal_key(small),
        storage::progress_key(small, 0),
        storage::progress_key(large, 12_345),
        storage::registry_key(3),
        storage::registry_key(123_456),
        storage::fencing_key(4),
        storage::drain_key("vm-1"),
    ];
    check_lines("records/keys.txt", &actual);
}

#[test]
fn records_round_trip_unchanged() {
    let jobs = check_records(
        "records/jobs.txt",
        |v| storage::parse_job_record(&v).expect("a job"),
        |job| storage::job_record(&job.spec, job.accepted_ms),
    );
    let actual: Vec<String> = jobs.iter().map(|job| job.accepted_ms.to_string()).collect();
    check_lines("records/jobs_at.txt", &actual);

    let outcomes = check_records(
        "records/ends.txt",
        |v| storage::parse_terminal(&v).expect("an outcome"),
        |outcome| storage::terminal_record(*outcome),
    );
    let actual: Vec<String> = outcomes
        .iter()
        .map(|e| format!("{} {}", e.phase == Phase::Done, e.done))
        .collect();
    check_lines("records/ends_read.txt", &actual);

    let bitmaps = check_records(
        "records/progress.txt",
        |v| TaskBitmap::from_record(&v).expect("a bitmap"),
        TaskBitmap::to_record,
    );
    let numbers = |bitmap: &TaskBitmap| {
        let bytes = bitmap.as_bytes().iter().map(u8::to_string);
        bytes.collect::<Vec<_>>().join(" ")
    };
    let actual: Vec<String> = bitmaps.iter().map(numbers).collect();
    check_lines("records/progress_read.txt", &actual);
    let actual = [1024, 8 * 1024, 64 * 1024].map(|b| tasks_per_chunk(b).to_string());
    check_lines("records/progress_chunks.txt", &actual);

    let drains: Vec<DrainRecord> = check_serde("records/drains.txt");
    let actual: Vec<String> = drains
        .iter()
        .map(|d| format!("{} {}", d.at_ms, value_or_dash(d.until_ms)))
        .collect();
    check_lines("records/drains_read.txt", &actual);

    let workers: Vec<WorkerRecord> = check_serde("records/machines.txt");
    let actual: Vec<String> = workers
        .iter()
        .map(|m| {
            let images = m.images.join(",");
            format!(
                "{} {} {} {} {images}",
                m.address, m.machine_type, m.zone, m.spot
            )
        })
        .collect();
    check_lines("records/machines_read.txt", &actual);
}

/// Records with missing fields, as earlier versions stored them, are read with defaults or rejected
/// as before.
#[test]
fn records_with_missing_fields_are_read_as_before() {
    let value = |file: &str| -> Vec<Value> {
        let lines = lines(file).into_iter();
        lines
            .map(|l| serde_json::from_str(&l).expect("JSON"))
            .collect()
    };
    let actual: Vec<String> = value("records/lacking_ends.txt")
        .iter()
        .map(|v| value_or_dash(storage::parse_terminal(v).ok().map(|e| e.done)))
        .collect();
    check_lines("records/lacking_ends_read.txt", &actual);
    let actual: Vec<String> = value("records/lacking_jobs.txt")
        .iter()
        .map(|v| match storage::parse_job_record(v) {
            Ok(JobRecord { spec, accepted_ms }) => format!("{accepted_ms} {}", spec.to_json()),
            Err(error) => error.to_string(),
        })
        .collect();
    check_lines("records/lacking_jobs_read.txt", &actual);
    let actual: Vec<String> = value("records/lacking_others.txt")
        .into_iter()
        .map(|v| {
            let drain = serde_json::from_value::<DrainRecord>(v.clone()).is_ok();
            let worker = serde_json::from_value::<WorkerRecord>(v.clone()).is_ok();
            format!("{drain} {worker} {}", TaskBitmap::from_record(&v).is_ok())
        })
        .collect();
    check_lines("records/lacking_others_read.txt", &actual);
}

#[test]
fn timestamps_of_fenced_workers_are_unchanged() {
    let actual: Vec<String> = [0u64, 1, 999, 1000, 60_000, 3_600_000]
        .iter()
        .map(|&age| {
            let at = timestamp::from_age(age, 1_700_000_000_000);
            let read_at = 1_700_000_012_345;
            format!(
                "{at} {} {}",
                timestamp::min_age(at, read_at, 0),
                timestamp::min_age(at, read_at, 250)
            )
        })
        .collect();
    check_lines("records/stamps.txt", &actual);
}

/// A network that records every request and answers each with the same response.
#[derive(Default)]
struct RecordingNetwork(Mutex<Vec<String>>);

impl Network for RecordingNetwork {
    fn call(
        &self,
        method: Method,
        _to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        _deadline: Duration,
    ) -> CallFuture<'_> {
        let body = String::from_utf8(body).expect("text");
        let line = format!("{method} {path} {body}");
        self.0.lock().expect("no panic").push(line);
        let answer = pinned("records/answer.json").into_bytes();
        Box::pin(async move {
            Ok(HttpResponse {
                status: 200,
                body: answer.into(),
            })
        })
    }
}

fn fenced(name: &str, age_ms: u64) -> FencedWorker {
    FencedWorker {
        name: name.into(),
        age_ms,
    }
}

fn writes() -> Vec<Write> {
    let value: Value = serde_json::from_str(&pinned("records/value.json")).expect("JSON");
    let records = [
        None,
        Some(DrainRecord {
            at_ms: 1,
            until_ms: Some(2),
        }),
        Some(DrainRecord {
            at_ms: 3,
            until_ms: None,
        }),
    ];
    let drains = records
        .into_iter()
        .zip(20..)
        .map(|(record, version)| Write::Drain {
            node: format!("vm-{version}"),
            record,
            version,
        });
    let mut all = vec![
        Write::Finish {
            job: JobId(412),
            version: 10,
            done: 11,
        },
        Write::Progress {
            job: JobId(413),
            chunk: 12,
            value: value.clone(),
            version: 13,
        },
        Write::DeleteProgress {
            job: JobId(414),
            chunk: 14,
            version: 15,
        },
        Write::WorkerRegistry {
            page: 16,
            value,
            version: 17,
        },
        Write::FencingRecord {
            page: 18,
            workers: vec![fenced("vm-1", 0), fenced("vm-2", 4321)],
            version: 19,
        },
    ];
    all.extend(drains);
    all
}

/// Checks the transactions for each kind of write alone and for one batch of all kinds.
#[tokio::test(start_paused = true)]
async fn transactions_of_a_leader_are_unchanged() {
    let network = Arc::new(RecordingNetwork::default());
    let at = SocketAddr::from(([10, 0, 0, 1], 1));
    let store = Arc::new(Store::new(network.clone(), at, Vec::new(), 1000.0, 1000.0));
    let mut batches: Vec<Vec<Write>> = writes().into_iter().map(|w| vec![w]).collect();
    batches.push(writes());
    for batch in batches {
        let written = write(store.clone(), 7, batch, 1_700_000_000_000, || true).await;
        assert!(written.is_ok());
    }
    check_lines(
        "records/transactions.txt",
        &network.0.lock().expect("no panic"),
    );
    let outcome = completed(5);
    let expected = JobOutcome {
        phase: Phase::Done,
        done: 5,
    };
    assert!(outcome == expected);
}

#[tokio::test(start_paused = true)]
async fn requests_to_the_state_service_are_unchanged() {
    let network = Arc::new(RecordingNetwork::default());
    let at = SocketAddr::from(([10, 0, 0, 1], 1));
    let store = Store::new(network.clone(), at, Vec::new(), 1000.0, 1000.0);
    let duration = Duration::from_millis(1234);
    let _ = store.list("x/").await;
    let _ = store.watch("x/", 5, duration).await;
    let _ = store.create_lease(duration).await;
    let _ = store.extend_lease(6, duration).await;
    store.end_lease(6).await;
    let _ = store.job_outcome(JobId(412)).await;
    check_lines("records/requests.txt", &network.0.lock().expect("no panic"));
}

// ---- settings ----

fn settings_lines(s: &Settings) -> Vec<String> {
    let c = &s.cluster;
    let mut all = vec![
        format!("{} {} {} {}", s.member, s.site, s.public_addr, s.peer_bind),
        format!("{} {}", s.external.cloud, s.external.state),
        c.zones.join(" "),
    ];
    for other in &s.peers {
        all.push(format!(
            "{} {} {}",
            other.member,
            quoted(&other.site),
            other.peer_addr
        ));
    }
    for team in &c.teams {
        all.push(format!(
            "{} {} {} {} {}",
            team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max
        ));
    }
    for o in &c.objectives {
        let class = value_or_dash(o.class.as_ref());
        all.push(format!(
            "{} {class} {} {}",
            quoted(&o.kind),
            value_or_dash(o.within_s),
            value_or_dash(o.deadline_factor)
        ));
    }
    let w = &c.workers;
    all.push(format!(
        "{} {} {} {} {}",
        w.heartbeat_interval_s, w.lease_s, w.gang_wait_s, w.gang_peer_s, w.cancel_s
    ));
    let st = &c.state;
    all.push(format!(
        "{} {} {} {}",
        st.rps, st.write_rps, st.value_kb, st.txn_ops
    ));
    all.push(format!("{} {}", c.cloud.rps, c.cloud.list_lag_s));
    all.push(format!(
        "{} {} {}",
        c.limits.max_sockets, c.limits.memory_mb, c.clock_error_ms
    ));
    all.push(format!("{} {}", s.own_index(), quoted(s.controller(0))));
    all
}

fn tuning_lines(t: &Tuning) -> Vec<String> {
    let d = &t.defragmentation;
    let mut all = vec![
        t.auction_cap.to_string(),
        t.headroom_midpoint.to_string(),
        t.headroom_decay_per_s.to_string(),
        t.slot_cpus.to_string(),
        t.running_price_factor.to_string(),
        t.spot_mean_life_s.to_string(),
        t.scale_in_idle_s.to_string(),
        t.scale_in_idle_no_jobs_s.to_string(),
        t.fleet_max.to_string(),
        t.leader_ttl_ms.to_string(),
        (t.sharding == Switch::On).to_string(),
        d.enabled.to_string(),
        d.max_migrations.to_string(),
        d.max_lost_work_s.to_string(),
        d.migration_cooldown_s.to_string(),
        d.max_migrating_share.to_string(),
        d.max_saved_wait_s.to_string(),
    ];
    for (name, class) in &t.class {
        all.push(format!(
            "{name} {} {}",
            value_or_dash(class.movable),
            class.protected
        ));
    }
    all.push(value_or_dash(t.operators.as_ref().map(|o| &o.key)));
    all.push(format!(
        "{} {}",
        t.log.time,
        t.log.format == LogFormat::Json
    ));
    all
}

#[test]
fn settings_files_are_read_unchanged() {
    let read = |file: &str| Settings::load(&pinned_path(file)).expect(file);
    let (full, minimal) = (read("settings/full.json"), read("settings/least.json"));
    check_lines("settings/full.txt", &settings_lines(&full));
    check_lines("settings/least.txt", &settings_lines(&minimal));
    let tuning = Tuning::load(&pinned_path("settings/full.hcl")).expect("valid");
    check_lines("settings/full_hcl.txt", &tuning_lines(&tuning));
    let other = Tuning::load(&pinned_path("settings/other.hcl")).expect("valid");
    check_lines("settings/other_hcl.txt", &tuning_lines(&other));
    check_lines(
        "settings/default_hcl.txt",
        &tuning_lines(&Tuning::default()),
    );
    let error = tuning.check_against(&full).expect_err("too long");
    check_lines("settings/against.txt", &[error.to_string()]);
}

/// Loads a settings file with this text. Returns the error with the path replaced by `FILE`, or
/// `good`.
fn load_result<T, E: std::fmt::Display>(
    text: &str,
    load: impl Fn(&std::path::Path) -> Result<T, E>,
) -> String {
    let name = format!("copperfield-pinned-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("writable");
    let result = load(&path).map_or_else(|e| e.to_string(), |_| "good".into());
    std::fs::remove_file(&path).expect("the file exists");
    result.replace(&path.display().to_string(), "FILE")
}

/// Checks the error for settings files with one invalid field each.
#[test]
fn errors_of_settings_are_unchanged() {
    let full: Value = serde_json::from_str(&pinned("settings/full.json")).expect("JSON");
    let cases: Vec<Value> = serde_json::from_str(&pinned("settings/wrong.json")).expect("JSON");
    let texts: Vec<String> = cases
        .iter()
        .map(|case| {
            let mut invalid = full.clone();
            let pointer = case["at"].as_str().expect("a JSON pointer");
            *invalid.pointer_mut(pointer).expect(pointer) = case["is"].clone();
            load_result(&invalid.to_string(), Settings::load)
        })
        .collect();
    check_lines("settings/wrong.txt", &texts);
    let cases: Vec<String> =
        serde_json::from_str(&pinned("settings/wrong_hcl.json")).expect("JSON");
    let texts: Vec<String> = cases
        .iter()
        .map(|text| load_result(text, Tuning::load))
        .collect();
    check_lines("settings/wrong_hcl.txt", &texts);
}
