//! Measures how long gangs that need whole workers wait on fragmented fleets: without migration,
//! with migration of service replicas only (the default), and with the defragmentation planner.
//!
//!     cargo run --release -p copperfield-simulation --example fragmentation [SVG]
//!
//! The core runs in simulated time with workers that execute commands at once. The fleets have 50,
//! 200 and 1,000 workers with four GPUs each. At first every GPU has a task. A share of the tasks,
//! 60 to 95% by load, runs on for log-normal times with a median of 400 s. The others end within a
//! minute, which leaves the rest at random places. Four in five tasks save checkpoints. New tasks
//! arrive as a Poisson process, as many as end. Gangs of one, two or four whole workers arrive for
//! three minutes and request half of the free workers on average. They may not preempt any task.
//! Prints a table, and draws a chart if a file is given.

use std::sync::Mutex;
use std::thread;

use copperfield::storage::Snapshot;
use copperfield_protocol::JobId;
use copperfield_simulation::core_harness::{CoreHarness, fixed_fleet};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde_json::{Value, json};

const MACHINE_TYPES: &str = r#"{"flavors":[{"name":"gpu4","cpus":16,"gpus":4,"memory_gb":64,"local_gb":90,
 "pull_gb_per_s":1,"price":4.0,"ready_s":10,"regions":["a","b","c"]}]}"#;
const ZONES: [&str; 3] = ["a", "b", "c"];
const WORKER_COUNTS: [usize; 3] = [50, 200, 1000];
const LOADS: [f64; 4] = [0.6, 0.75, 0.85, 0.95];
const SEEDS: u64 = 2;
/// Time until the short tasks of the initial load have ended.
const WARM_UP_S: f64 = 80.0;
const MEASURED_S: f64 = 300.0;
/// How long gangs arrive.
const GANG_ARRIVALS_S: f64 = 180.0;
const MEDIAN_RUNTIME_S: f64 = 400.0;
/// Standard deviation of the logarithm of run times.
const RUNTIME_SIGMA: f64 = 0.5;
const GANG_RUNTIME_S: f64 = 40.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Migration {
    None,
    Replicas,
    Planner,
}

const MIGRATION_MODES: [Migration; 3] = [Migration::None, Migration::Replicas, Migration::Planner];

impl Migration {
    fn name(self) -> &'static str {
        match self {
            Self::None => "no migration",
            Self::Replicas => "replicas only (default)",
            Self::Planner => "defragmentation planner",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    workers: usize,
    load: f64,
    migration: Migration,
}

struct Outcome {
    /// Waits of gangs. A gang that never started counts as having waited until the end.
    waits_ms: Histogram<u64>,
    never_started: usize,
    /// Seconds of work lost per gang that started.
    lost_work_s: f64,
    migrations: usize,
}

fn cluster() -> Value {
    json!({"zones": ZONES, "teams": [{"name": "team"}],
        "workers": {"report_s": 2.5, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 32.0},
        "state": {"rps": 2000, "write_rps": 500, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}})
}

/// A simulated fleet and the jobs submitted to it.
struct Simulation {
    harness: CoreHarness,
    /// The number in the id of the newest job.
    last_job: u64,
}

impl Simulation {
    fn new(case: Case) -> Self {
        let mut tuning = fixed_fleet();
        tuning.defragmentation.enabled = case.migration == Migration::Planner;
        let mut harness =
            CoreHarness::with_tuning(MACHINE_TYPES, cluster(), 50, Snapshot::default(), tuning);
        for i in 0..case.workers {
            let first_heartbeat_at = 0.1 + 2.4 * i as f64 / case.workers as f64;
            harness.add_worker(
                &format!("n-{i:04}"),
                "gpu4",
                ZONES[i % 3],
                first_heartbeat_at,
            );
        }
        harness.run(3.0);
        let mut simulation = Self {
            harness,
            last_job: 0,
        };
        // One replica per four workers. Replicas may be migrated unless migration is off.
        simulation.submit(
            json!({"shape": "service", "rank": "urgent", "shards": case.workers / 4, "gpus": 0.0,
            "cpus": 3.0, "runtime_s": 0.0, "spread": true, "movable": case.migration != Migration::None}),
        );
        simulation
    }

    /// Submits a task with one GPU. Four in five tasks save checkpoints.
    fn submit_small_task(&mut self, runtime_s: f64, rng: &mut StdRng) {
        let checkpoint_every_s = if rng.random_bool(0.8) { 30.0 } else { 0.0 };
        self.submit(json!({"runtime_s": runtime_s, "snapshot_every_s": checkpoint_every_s, "snapshot_s": 2.0}));
    }

    fn submit(&mut self, body: Value) -> JobId {
        self.last_job += 1;
        let mut merged = json!({"uid": format!("wk-{:06}", self.last_job), "jobclass": "small", "pull_gb": 0.0,
            "cpus": 2.0, "gpus": 1.0, "memory_gb": 4.0});
        for (k, v) in body.as_object().expect("an object") {
            merged[k] = v.clone();
        }
        self.harness.submit(&merged)
    }
}

/// Runs a case with a seed.
fn run(case: Case, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(case);
    let gpus = 4 * case.workers;
    let runtime = LogNormal::new(MEDIAN_RUNTIME_S.ln(), RUNTIME_SIGMA).expect("valid");
    let mean_s = MEDIAN_RUNTIME_S * (RUNTIME_SIGMA * RUNTIME_SIGMA / 2.0).exp();
    let task_interval = Exp::new(case.load * gpus as f64 / mean_s).expect("valid");
    // On average a gang requests two workers, for `GANG_RUNTIME_S`.
    let workers_at_once = 0.5 * (1.0 - case.load) * case.workers as f64;
    let gang_interval = Exp::new(workers_at_once / 2.0 / GANG_RUNTIME_S).expect("valid");
    simulation.harness.run(5.0);
    for _ in 0..gpus {
        let runs_on = rng.random_bool(case.load);
        let runtime_s = if runs_on {
            // The remaining part of a run, so that from the start as many tasks end as arrive.
            (runtime.sample(&mut rng) * rng.random_range(0.0..1.0)).max(5.0)
        } else {
            rng.random_range(20.0..60.0)
        };
        simulation.submit_small_task(runtime_s, &mut rng);
    }
    let warm_until = simulation.harness.now + WARM_UP_S;
    let (mut next_task_at, mut next_gang_at) = (simulation.harness.now, warm_until);
    let mut waiting: Vec<(JobId, f64, usize)> = Vec::new();
    let mut waits_ms = Histogram::new(3).expect("valid");
    let (mut started, mut lost_before) = (0u32, 0.0);
    while simulation.harness.now < warm_until + MEASURED_S {
        let now = simulation.harness.now;
        while next_task_at <= now {
            next_task_at += task_interval.sample(&mut rng);
            let runtime_s = runtime.sample(&mut rng);
            simulation.submit_small_task(runtime_s, &mut rng);
        }
        while next_gang_at <= now && now < warm_until + GANG_ARRIVALS_S {
            next_gang_at += gang_interval.sample(&mut rng);
            let tasks = [1, 1, 2, 4][rng.random_range(0..4)];
            let id = simulation.submit(
                json!({"shape": "group", "jobclass": "bake", "shards": tasks, "cpus": 14.0,
                "gpus": 4.0, "one_zone": true, "runtime_s": GANG_RUNTIME_S, "bundle": "bake"}),
            );
            waiting.push((id, now, tasks));
        }
        if now < warm_until {
            lost_before = simulation.harness.lost_work_s;
        }
        simulation.harness.run(0.5);
        let now = simulation.harness.now;
        waiting.retain(|&(id, since, tasks)| {
            let started_or_finished = simulation.harness.instances_of(id).len() == tasks
                || simulation.harness.finished.contains(&id);
            if started_or_finished {
                waits_ms
                    .record(millis(now - since))
                    .expect("the histogram resizes");
                started += 1;
            }
            !started_or_finished
        });
    }
    for (_, since, _) in &waiting {
        waits_ms
            .record(millis(simulation.harness.now - since))
            .expect("the histogram resizes");
    }
    let violations = simulation.harness.history.violations([]);
    assert!(violations.is_empty(), "{violations:?}");
    Outcome {
        waits_ms,
        never_started: waiting.len(),
        lost_work_s: (simulation.harness.lost_work_s - lost_before) / f64::from(started.max(1)),
        migrations: simulation.harness.core.finished_migrations(),
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// Runs every case with every seed, on all processors.
fn run_all(cases: &[Case]) -> Vec<Outcome> {
    let next = Mutex::new(cases.len());
    let results: Mutex<Vec<Option<Outcome>>> = Mutex::new((0..cases.len()).map(|_| None).collect());
    let threads = thread::available_parallelism().map_or(1, std::num::NonZero::get);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    // The largest cases take longest, so they run first.
                    let at = {
                        let mut next = next.lock().expect("no panic");
                        if *next == 0 {
                            return;
                        }
                        *next -= 1;
                        *next
                    };
                    let mut total = run(cases[at], 0);
                    for seed in 1..SEEDS {
                        let more = run(cases[at], seed);
                        total.waits_ms.add(&more.waits_ms).expect("same bounds");
                        total.never_started += more.never_started;
                        total.lost_work_s += more.lost_work_s;
                        total.migrations += more.migrations;
                    }
                    results.lock().expect("no panic")[at] = Some(total);
                }
            });
        }
    });
    let results = results.into_inner().expect("no panic");
    results
        .into_iter()
        .map(|r| r.expect("every case was run"))
        .collect()
}

fn main() {
    let mut cases = Vec::new();
    for workers in WORKER_COUNTS {
        for load in LOADS {
            cases.extend(MIGRATION_MODES.map(|migration| Case {
                workers,
                load,
                migration,
            }));
        }
    }
    let results = run_all(&cases);
    println!(
        "| workers | load | migration | gangs | wait p50 s | p90 s | p99 s | never started | work lost per gang, s | planned migrations |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (case, r) in cases.iter().zip(&results) {
        let quantile_s = |q: f64| r.waits_ms.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "| {} | {:.0}% | {} | {} | {:.1} | {:.1} | {:.1} | {} | {:.1} | {} |",
            case.workers,
            case.load * 100.0,
            case.migration.name(),
            r.waits_ms.len(),
            quantile_s(0.5),
            quantile_s(0.9),
            quantile_s(0.99),
            r.never_started,
            r.lost_work_s / SEEDS as f64,
            r.migrations
        );
    }
    if let Some(path) = std::env::args().nth(1) {
        draw(&path, &cases, &results).expect("the file can be written");
    }
}

/// Draws the 90th percentile of the wait over the load, with a panel for each fleet size.
fn draw(path: &str, cases: &[Case], results: &[Outcome]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1080, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, workers) in root
        .split_evenly((1, WORKER_COUNTS.len()))
        .iter()
        .zip(WORKER_COUNTS)
    {
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{workers} workers: wait, p90"), ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(58.0..97.0, (0.4..600.0).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("GPUs in use, %")
            .y_desc("seconds")
            .draw()?;
        for (migration, color) in MIGRATION_MODES.into_iter().zip([&BLACK, &BLUE, &RED]) {
            let points: Vec<(f64, f64)> = cases
                .iter()
                .zip(results)
                .filter(|(c, _)| c.workers == workers && c.migration == migration)
                .map(|(c, r)| {
                    let p90 = r.waits_ms.value_at_quantile(0.9) as f64 / 1000.0;
                    (c.load * 100.0, p90.max(0.5))
                })
                .collect();
            chart
                .draw_series(LineSeries::new(points.clone(), color))?
                .label(migration.name())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
            chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, color.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()?;
    }
    root.present()?;
    Ok(())
}
