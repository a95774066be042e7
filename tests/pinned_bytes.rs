//! Stored records and settings as an earlier build wrote or read them, kept as files under
//! `tests/pinned`. The files are never made anew: a difference is a change of what is stored, or
//! of what settings mean.

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
use copperfield::transport::client::{Answer, CallFuture, Network};
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

/// The lines of a file, without those that only explain.
fn lines(file: &str) -> Vec<String> {
    let text = pinned(file);
    let lines = text.lines().filter(|l| !l.starts_with('#'));
    lines.map(str::to_string).collect()
}

fn check_lines(file: &str, made: &[String]) {
    let kept = lines(file);
    for (ix, (kept, made)) in kept.iter().zip(made).enumerate() {
        assert_eq!(kept, made, "{file}, line {}", ix + 1);
    }
    assert_eq!(kept.len(), made.len(), "{file}: number of lines");
}

/// Each line is read, and written back to the same bytes.
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

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".into(), |v| v.to_string())
}

/// So that an empty text is seen.
fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

// ---- stored records ----

#[test]
fn keys_keep_their_spelling() {
    let (small, large) = (JobId(412), JobId(1_234_567));
    let made = [
        storage::LEADER.to_string(),
        storage::TERM_MARKER.to_string(),
        storage::JOBS.to_string(),
        storage::PROGRESS.to_string(),
        storage::REGISTRY.to_string(),
        storage::DRAINS.to_string(),
        storage::FENCING.to_string(),
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
    check_lines("records/keys.txt", &made);
}

#[test]
fn records_are_read_and_written_back() {
    let jobs = check_records(
        "records/jobs.txt",
        |v| storage::parse_job_record(&v).expect("a job"),
        |job| storage::job_record(&job.spec, job.accepted_ms),
    );
    let made: Vec<String> = jobs.iter().map(|job| job.accepted_ms.to_string()).collect();
    check_lines("records/jobs_at.txt", &made);

    let outcomes = check_records(
        "records/ends.txt",
        |v| storage::parse_terminal(&v).expect("an outcome"),
        |outcome| storage::terminal_record(*outcome),
    );
    let made: Vec<String> = outcomes
        .iter()
        .map(|e| format!("{} {}", e.phase == Phase::Done, e.done))
        .collect();
    check_lines("records/ends_read.txt", &made);

    let bitmaps = check_records(
        "records/progress.txt",
        |v| TaskBitmap::from_record(&v).expect("a bitmap"),
        TaskBitmap::to_record,
    );
    let numbers = |bitmap: &TaskBitmap| {
        let bytes = bitmap.as_bytes().iter().map(u8::to_string);
        bytes.collect::<Vec<_>>().join(" ")
    };
    let made: Vec<String> = bitmaps.iter().map(numbers).collect();
    check_lines("records/progress_read.txt", &made);
    let made = [1024, 8 * 1024, 64 * 1024].map(|b| tasks_per_chunk(b).to_string());
    check_lines("records/progress_chunks.txt", &made);

    let drains: Vec<DrainRecord> = check_serde("records/drains.txt");
    let made: Vec<String> = drains
        .iter()
        .map(|d| format!("{} {}", d.at_ms, or_dash(d.until_ms)))
        .collect();
    check_lines("records/drains_read.txt", &made);

    let workers: Vec<WorkerRecord> = check_serde("records/machines.txt");
    let made: Vec<String> = workers
        .iter()
        .map(|m| {
            let images = m.images.join(",");
            format!(
                "{} {} {} {} {images}",
                m.address, m.machine_type, m.zone, m.spot
            )
        })
        .collect();
    check_lines("records/machines_read.txt", &made);
}

/// What earlier versions stored, or what is not written in full, is read all the same.
#[test]
fn records_that_lack_something_are_read() {
    let value = |file: &str| -> Vec<Value> {
        let lines = lines(file).into_iter();
        lines
            .map(|l| serde_json::from_str(&l).expect("JSON"))
            .collect()
    };
    let made: Vec<String> = value("records/lacking_ends.txt")
        .iter()
        .map(|v| or_dash(storage::parse_terminal(v).ok().map(|e| e.done)))
        .collect();
    check_lines("records/lacking_ends_read.txt", &made);
    let made: Vec<String> = value("records/lacking_jobs.txt")
        .iter()
        .map(|v| match storage::parse_job_record(v) {
            Ok(JobRecord { spec, accepted_ms }) => format!("{accepted_ms} {}", spec.to_json()),
            Err(error) => error.to_string(),
        })
        .collect();
    check_lines("records/lacking_jobs_read.txt", &made);
    let made: Vec<String> = value("records/lacking_others.txt")
        .into_iter()
        .map(|v| {
            let drain = serde_json::from_value::<DrainRecord>(v.clone()).is_ok();
            let worker = serde_json::from_value::<WorkerRecord>(v.clone()).is_ok();
            format!("{drain} {worker} {}", TaskBitmap::from_record(&v).is_ok())
        })
        .collect();
    check_lines("records/lacking_others_read.txt", &made);
}

#[test]
fn timestamps_of_fenced_workers_stay() {
    let made: Vec<String> = [0u64, 1, 999, 1000, 60_000, 3_600_000]
        .iter()
        .map(|&age| {
            let at = timestamp::from_age(age, 1_700_000_000_000);
            let later = 1_700_000_012_345;
            format!(
                "{at} {} {}",
                timestamp::min_age(at, later, 0),
                timestamp::min_age(at, later, 250)
            )
        })
        .collect();
    check_lines("records/stamps.txt", &made);
}

/// Takes every request, and answers each with the same revision.
#[derive(Default)]
struct Recorder(Mutex<Vec<String>>);

impl Network for Recorder {
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
            Ok(Answer {
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
    let until = [
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
    let drains = until
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

/// What a leader writes, each kind alone and all in one.
#[tokio::test(start_paused = true)]
async fn transactions_of_a_leader_keep_their_bytes() {
    let recorder = Arc::new(Recorder::default());
    let at = SocketAddr::from(([10, 0, 0, 1], 1));
    let store = Arc::new(Store::new(recorder.clone(), at, Vec::new(), 1000.0, 1000.0));
    let mut batches: Vec<Vec<Write>> = writes().into_iter().map(|w| vec![w]).collect();
    batches.push(writes());
    for batch in batches {
        let written = write(store.clone(), 7, batch, 1_700_000_000_000, || true).await;
        assert!(written.is_ok());
    }
    check_lines(
        "records/transactions.txt",
        &recorder.0.lock().expect("no panic"),
    );
    let end = completed(5);
    let same = JobOutcome {
        phase: Phase::Done,
        done: 5,
    };
    assert!(end == same);
}

#[tokio::test(start_paused = true)]
async fn requests_to_the_state_service_keep_their_bytes() {
    let recorder = Arc::new(Recorder::default());
    let at = SocketAddr::from(([10, 0, 0, 1], 1));
    let store = Store::new(recorder.clone(), at, Vec::new(), 1000.0, 1000.0);
    let some = Duration::from_millis(1234);
    let _ = store.list("x/").await;
    let _ = store.watch("x/", 5, some).await;
    let _ = store.create_lease(some).await;
    let _ = store.extend_lease(6, some).await;
    store.end_lease(6).await;
    let _ = store.outcome(JobId(412)).await;
    check_lines(
        "records/requests.txt",
        &recorder.0.lock().expect("no panic"),
    );
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
        let class = or_dash(o.class.as_ref());
        all.push(format!(
            "{} {class} {} {}",
            quoted(&o.kind),
            or_dash(o.within_s),
            or_dash(o.deadline_factor)
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
            or_dash(class.movable),
            class.protected
        ));
    }
    all.push(or_dash(t.operators.as_ref().map(|o| &o.key)));
    all.push(format!(
        "{} {}",
        t.log.time,
        t.log.format == LogFormat::Json
    ));
    all
}

#[test]
fn settings_files_are_read_as_before() {
    let read = |file: &str| Settings::load(&pinned_path(file)).expect(file);
    let (full, least) = (read("settings/full.json"), read("settings/least.json"));
    check_lines("settings/full.txt", &settings_lines(&full));
    check_lines("settings/least.txt", &settings_lines(&least));
    let tuning = Tuning::load(&pinned_path("settings/full.hcl")).expect("good");
    check_lines("settings/full_hcl.txt", &tuning_lines(&tuning));
    let other = Tuning::load(&pinned_path("settings/other.hcl")).expect("good");
    check_lines("settings/other_hcl.txt", &tuning_lines(&other));
    check_lines(
        "settings/default_hcl.txt",
        &tuning_lines(&Tuning::default()),
    );
    let refused = tuning.check_against(&full).expect_err("too long");
    check_lines("settings/against.txt", &[refused.to_string()]);
}

/// The first line of what is said of a settings file, without the file's name.
fn said<T, E: std::fmt::Display>(
    text: &str,
    load: impl Fn(&std::path::Path) -> Result<T, E>,
) -> String {
    let name = format!("copperfield-pinned-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("writable");
    let said = load(&path).map_or_else(|e| e.to_string(), |_| "good".into());
    std::fs::remove_file(&path).expect("ours");
    said.replace(&path.display().to_string(), "FILE")
}

/// One wrong field each: where, what, and the text of the refusal.
#[test]
fn refusals_of_settings_keep_their_text() {
    let full: Value = serde_json::from_str(&pinned("settings/full.json")).expect("JSON");
    let wrong: Vec<Value> = serde_json::from_str(&pinned("settings/wrong.json")).expect("JSON");
    let texts: Vec<String> = wrong
        .iter()
        .map(|case| {
            let mut bad = full.clone();
            let pointer = case["at"].as_str().expect("a place");
            *bad.pointer_mut(pointer).expect(pointer) = case["is"].clone();
            said(&bad.to_string(), Settings::load)
        })
        .collect();
    check_lines("settings/wrong.txt", &texts);
    let wrong: Vec<String> =
        serde_json::from_str(&pinned("settings/wrong_hcl.json")).expect("JSON");
    let texts: Vec<String> = wrong.iter().map(|text| said(text, Tuning::load)).collect();
    check_lines("settings/wrong_hcl.txt", &texts);
}
