//! Measures the processor time of the leader's core while demand exceeds supply: heartbeats,
//! batches and writes together, at 1,000, 3,000 and 10,000 workers, and what the next leader needs
//! when a third of the workers is unresponsive. Simulated workers execute commands at once, so only
//! the core is measured, without HTTP.

use copperfield_simulation::core_harness::CoreHarness;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":8,"memory_gb":64,"local_gb":50,"pull_gb_per_s":0.3,"price":0.4,"ready_s":15,"regions":["a","b","c"]},
 {"name":"mid","cpus":16,"gpus":2,"memory_gb":64,"local_gb":100,"pull_gb_per_s":0.3,"price":4.0,"ready_s":30,"regions":["a","b","c"]},
 {"name":"big","cpus":48,"gpus":8,"memory_gb":256,"local_gb":100,"pull_gb_per_s":0.4,"price":28.0,"ready_s":30,"regions":["a","b","c"]}]}"#;
/// Number of workers for which the rates of regular jobs hold; larger clusters get proportionally
/// more.
const WORKERS_PER_LOAD_UNIT: usize = 1000;
const DURATION_S: u32 = 60;

fn job(shape: &str, id: u32, rng: &mut StdRng) -> Value {
    let mut body = match shape {
        "service" => json!({"rank": "production", "shards": ([2, 6, 16][rng.random_range(0..3)]),
            "cpus": 4.0, "memory_gb": 20.0, "spread": true, "runtime_s": 0.0}),
        "group" => json!({"rank": "urgent", "shards": (1 << rng.random_range(0..4)), "cpus": 40.0,
            "gpus": 8.0, "memory_gb": 200.0, "one_zone": true, "runtime_s": 80.0,
            "snapshot_every_s": 30.0, "snapshot_s": 2.0, "flavors": ["big"]}),
        _ => json!({"shards": (rng.random_range(50..1500)), "memory_gb": 4.0, "runtime_s": 30.0}),
    };
    body["uid"] = json!(format!("wk-{id:06}"));
    body["shape"] = json!(shape);
    body["jobclass"] = json!(shape);
    body["bundle"] = json!(format!("{shape}-{}", rng.random_range(0..12)));
    body
}

/// Load in addition to the regular jobs.
#[derive(Clone, Copy)]
enum ExtraLoad {
    None,
    /// One array of 100,000 tasks that run for seconds.
    HugeArray,
    /// 5,000 jobs of a single short task.
    ManySmallJobs,
}

fn main() {
    // `cargo bench --bench core -- 3000` runs only the regular load, with that many workers.
    if let Some(workers) = std::env::args().find_map(|a| a.parse().ok()) {
        return run_scenario("regular load", ExtraLoad::None, workers);
    }
    for workers in [1000, 3000, 10_000] {
        run_scenario("regular load", ExtraLoad::None, workers);
    }
    run_scenario("a huge array", ExtraLoad::HugeArray, 1000);
    run_scenario("many small jobs", ExtraLoad::ManySmallJobs, 1000);
}

fn submit_extra_load(harness: &mut CoreHarness, extra_load: ExtraLoad) {
    let small = |id: u32, shards: u32| {
        json!({"uid": format!("wk-{id:06}"), "rank": "best_effort", "shards": shards, "cpus": 0.25,
            "memory_gb": 1.0, "runtime_s": 4.0, "jobclass": "guest", "bundle": "guest"})
    };
    match extra_load {
        ExtraLoad::None => {}
        ExtraLoad::HugeArray => {
            harness.submit(&small(900_000, 100_000));
        }
        ExtraLoad::ManySmallJobs => {
            for i in 0..5000 {
                harness.submit(&small(900_000 + i, 1));
            }
        }
    }
}

fn run_scenario(name: &str, extra_load: ExtraLoad, workers: usize) {
    let load_units = workers / WORKERS_PER_LOAD_UNIT;
    let cluster = json!({"zones": ["a", "b", "c"], "teams": [{"name": "team"}],
        "objectives": [{"kind": "wait", "class": "service", "within_s": 1.0},
            {"kind": "wait", "class": "group", "within_s": 35.0}],
        "workers": {"report_s": 3.0, "lease_s": 15.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 45.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 16, "txn_ops": 16}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 2000}});
    let mut rng = StdRng::seed_from_u64(1);
    let mut harness = CoreHarness::new(TYPES, cluster, 99);
    for i in 0..workers {
        let flavor = match i % 10 {
            0 => "big",
            1..=4 => "mid",
            _ => "small",
        };
        let zone = ["a", "b", "c"][i % 3];
        harness.add_worker(
            &format!("vm-{i:06}"),
            flavor,
            zone,
            rng.random_range(0.0..3.0),
        );
    }
    let mut id = 0;
    let mut submit = |harness: &mut CoreHarness, shape: &str, rng: &mut StdRng| {
        id += 1;
        harness.submit(&job(shape, id, rng));
    };
    for _ in 0..100 * load_units {
        submit(&mut harness, "service", &mut rng);
    }
    let mut slowest_second_s = 0.0f64;
    for second in 0..DURATION_S {
        if second == 20 {
            submit_extra_load(&mut harness, extra_load);
        }
        for (shape, per_s) in [("service", 0.1), ("group", 0.4), ("sweep", 0.8)] {
            for _ in 0..load_units {
                if rng.random_bool(per_s) {
                    submit(&mut harness, shape, &mut rng);
                }
            }
        }
        let before = harness.step_durations_s.len();
        harness.run(1.0);
        slowest_second_s = slowest_second_s.max(harness.step_durations_s[before..].iter().sum());
    }
    let total: f64 = harness.step_durations_s.iter().sum();
    println!(
        "{name}: {workers} workers, {DURATION_S} s: {} starts, {} changes, {} steps",
        harness.start_count,
        harness.written_changes,
        harness.step_durations_s.len()
    );
    println!(
        "core: {:.1} ms of processor time a second, slowest second {:.0} ms; {}",
        total / f64::from(DURATION_S) * 1e3,
        slowest_second_s * 1e3,
        quantiles(&harness.step_durations_s),
    );
    for i in (0..workers).filter(|i| i % 3 == 0) {
        harness.unreachable.insert(format!("vm-{i:06}"));
    }
    harness.run(10.0);
    let before = harness.step_durations_s.len();
    let restore_started = std::time::Instant::now();
    harness.fail_over();
    let restore_time = restore_started.elapsed();
    harness.run(2.0);
    println!(
        "next leader: state restored in {:.1} ms, {}",
        restore_time.as_secs_f64() * 1e3,
        quantiles(&harness.step_durations_s[before..]),
    );
    let (before, starts) = (harness.step_durations_s.len(), harness.start_count);
    harness.run(20.0);
    println!(
        "after lease expiry: {:.1} ms of processor time a second, {} starts; {}",
        harness.step_durations_s[before..].iter().sum::<f64>() * 1e3 / 20.0,
        harness.start_count - starts,
        quantiles(&harness.step_durations_s[before..]),
    );
}

fn quantiles(steps: &[f64]) -> String {
    let mut times = hdrhistogram::Histogram::<u64>::new(3).expect("valid precision");
    for step in steps {
        times.record((step * 1e6) as u64).expect("within bounds");
    }
    let [p50, p99] = [0.5, 0.99].map(|q| times.value_at_quantile(q));
    format!("a step p50 {p50} us, p99 {p99} us, max {} us", times.max())
}
