//! How long whole-node gangs wait on fragmented fleets: without moves, with moves of
//! replicas only (the default), and with the planner.
//!
//!     cargo run --release -p copperfield-standins --example fragmentation [SVG]
//!
//! The core with workers that obey at once, in simulated time. Fleets of 50, 200 and 1,000
//! nodes of four GPUs come out of a rush: every GPU had a task, and those that are left, 60
//! to 95% of all, lie where chance left them. They run on for log-normal times (median 400
//! s); four in five save. New ones come as a Poisson process, as many as end. Gangs of one,
//! two or four whole nodes come over three minutes and want half of what is free; they
//! may stop nothing. Prints a table; draws it if a file is named.

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

const TYPES: &str = r#"{"flavors":[{"name":"gpu4","cpus":16,"gpus":4,"memory_gb":64,"local_gb":90,
 "pull_gb_per_s":1,"price":4.0,"ready_s":10,"regions":["a","b","c"]}]}"#;
const ZONES: [&str; 3] = ["a", "b", "c"];
const SIZES: [usize; 3] = [50, 200, 1000];
const LOADS: [f64; 4] = [0.6, 0.75, 0.85, 0.95];
const SEEDS: u64 = 2;
/// The rush is over by then.
const WARM_S: f64 = 80.0;
const MEASURED_S: f64 = 300.0;
/// Gangs come so long.
const GANGS_S: f64 = 180.0;
const MEDIAN_S: f64 = 400.0;
const SPREAD: f64 = 0.5;
const GANG_S: f64 = 40.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Moves {
    None,
    Replicas,
    Planner,
}

const ALL: [Moves; 3] = [Moves::None, Moves::Replicas, Moves::Planner];

impl Moves {
    fn name(self) -> &'static str {
        match self {
            Self::None => "no moves",
            Self::Replicas => "replicas only (default)",
            Self::Planner => "planner",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: usize,
    load: f64,
    moves: Moves,
}

struct Outcome {
    /// In milliseconds; a gang that never started counts as having waited until the end.
    waits: Histogram<u64>,
    never: usize,
    /// Seconds of work lost for each gang that started.
    lost_s: f64,
    moved: usize,
}

fn cluster() -> Value {
    json!({"zones": ZONES, "teams": [{"name": "team"}],
        "workers": {"report_s": 2.5, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 32.0},
        "state": {"rps": 2000, "write_rps": 500, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}})
}

/// A site and the users who submit to it.
struct Play {
    crew: CoreHarness,
    next: u64,
}

impl Play {
    fn new(case: Case) -> Self {
        let mut tuning = fixed_fleet();
        tuning.defragmentation.enabled = case.moves == Moves::Planner;
        let mut crew = CoreHarness::with_tuning(TYPES, cluster(), 50, Snapshot::default(), tuning);
        for i in 0..case.nodes {
            let first = 0.1 + 2.4 * i as f64 / case.nodes as f64;
            crew.add_worker(&format!("n-{i:04}"), "gpu4", ZONES[i % 3], first);
        }
        crew.run(3.0);
        let mut play = Self { crew, next: 0 };
        // A replica for every four nodes, which today's moves move.
        play.submit(
            json!({"shape": "service", "rank": "urgent", "shards": case.nodes / 4, "gpus": 0.0,
            "cpus": 3.0, "runtime_s": 0.0, "spread": true, "movable": case.moves != Moves::None}),
        );
        play
    }

    /// A task of one GPU; four in five save.
    fn small(&mut self, runtime_s: f64, rng: &mut StdRng) {
        let saves = if rng.random_bool(0.8) { 30.0 } else { 0.0 };
        self.submit(json!({"runtime_s": runtime_s, "snapshot_every_s": saves, "snapshot_s": 2.0}));
    }

    fn submit(&mut self, body: Value) -> JobId {
        self.next += 1;
        let mut whole = json!({"uid": format!("wk-{:06}", self.next), "jobclass": "small", "pull_gb": 0.0,
            "cpus": 2.0, "gpus": 1.0, "memory_gb": 4.0});
        for (k, v) in body.as_object().expect("an object") {
            whole[k] = v.clone();
        }
        self.crew.submit(&whole)
    }
}

fn play(case: Case, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut play = Play::new(case);
    let gpus = 4 * case.nodes;
    let runtime = LogNormal::new(MEDIAN_S.ln(), SPREAD).expect("valid");
    let mean_s = MEDIAN_S * (SPREAD * SPREAD / 2.0).exp();
    let between = Exp::new(case.load * gpus as f64 / mean_s).expect("valid");
    // On average a gang wants two nodes, for `GANG_S`.
    let nodes_at_once = 0.5 * (1.0 - case.load) * case.nodes as f64;
    let gangs = Exp::new(nodes_at_once / 2.0 / GANG_S).expect("valid");
    play.crew.run(5.0);
    for _ in 0..gpus {
        let stays = rng.random_bool(case.load);
        let runtime_s = if stays {
            // They are somewhere in the middle, so that as many end as come.
            (runtime.sample(&mut rng) * rng.random_range(0.0..1.0)).max(5.0)
        } else {
            rng.random_range(20.0..60.0)
        };
        play.small(runtime_s, &mut rng);
    }
    let warm = play.crew.now + WARM_S;
    let (mut task_at, mut gang_at) = (play.crew.now, warm);
    let mut waiting: Vec<(JobId, f64, usize)> = Vec::new();
    let mut waits = Histogram::new(3).expect("valid");
    let (mut started, mut lost_before) = (0u32, 0.0);
    while play.crew.now < warm + MEASURED_S {
        let now = play.crew.now;
        while task_at <= now {
            task_at += between.sample(&mut rng);
            let runtime_s = runtime.sample(&mut rng);
            play.small(runtime_s, &mut rng);
        }
        while gang_at <= now && now < warm + GANGS_S {
            gang_at += gangs.sample(&mut rng);
            let tasks = [1, 1, 2, 4][rng.random_range(0..4)];
            let id = play.submit(
                json!({"shape": "group", "jobclass": "bake", "shards": tasks, "cpus": 14.0,
                "gpus": 4.0, "one_zone": true, "runtime_s": GANG_S, "bundle": "bake"}),
            );
            waiting.push((id, now, tasks));
        }
        if now < warm {
            lost_before = play.crew.lost_work_s;
        }
        play.crew.run(0.5);
        let now = play.crew.now;
        waiting.retain(|&(id, since, tasks)| {
            let all = play.crew.instances_of(id).len() == tasks || play.crew.finished.contains(&id);
            if all {
                waits.record(millis(now - since)).expect("it resizes");
                started += 1;
            }
            !all
        });
    }
    for (_, since, _) in &waiting {
        waits
            .record(millis(play.crew.now - since))
            .expect("it resizes");
    }
    let problems = play.crew.history.violations([]);
    assert!(problems.is_empty(), "{problems:?}");
    Outcome {
        waits,
        never: waiting.len(),
        lost_s: (play.crew.lost_work_s - lost_before) / f64::from(started.max(1)),
        moved: play.crew.core.finished_migrations(),
    }
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// Plays every case with every seed, several at once.
fn play_all(cases: &[Case]) -> Vec<Outcome> {
    let next = Mutex::new(cases.len());
    let results: Mutex<Vec<Option<Outcome>>> = Mutex::new((0..cases.len()).map(|_| None).collect());
    let threads = thread::available_parallelism().map_or(1, std::num::NonZero::get);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    // The largest take longest, so they go first.
                    let at = {
                        let mut next = next.lock().expect("no panic");
                        if *next == 0 {
                            return;
                        }
                        *next -= 1;
                        *next
                    };
                    let mut all = play(cases[at], 0);
                    for seed in 1..SEEDS {
                        let more = play(cases[at], seed);
                        all.waits.add(&more.waits).expect("same bounds");
                        all.never += more.never;
                        all.lost_s += more.lost_s;
                        all.moved += more.moved;
                    }
                    results.lock().expect("no panic")[at] = Some(all);
                }
            });
        }
    });
    let results = results.into_inner().expect("no panic");
    results.into_iter().map(|r| r.expect("played")).collect()
}

fn main() {
    let mut cases = Vec::new();
    for nodes in SIZES {
        for load in LOADS {
            cases.extend(ALL.map(|moves| Case { nodes, load, moves }));
        }
    }
    let results = play_all(&cases);
    println!(
        "| nodes | load | moves | gangs | wait p50 s | p90 s | p99 s | never started | work lost a gang, s | planner's moves |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (case, r) in cases.iter().zip(&results) {
        let s = |q: f64| r.waits.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "| {} | {:.0}% | {} | {} | {:.1} | {:.1} | {:.1} | {} | {:.1} | {} |",
            case.nodes,
            case.load * 100.0,
            case.moves.name(),
            r.waits.len(),
            s(0.5),
            s(0.9),
            s(0.99),
            r.never,
            r.lost_s / SEEDS as f64,
            r.moved
        );
    }
    if let Some(path) = std::env::args().nth(1) {
        draw(&path, &cases, &results).expect("the file can be written");
    }
}

/// p90 of the wait over the load, a panel for each size.
fn draw(path: &str, cases: &[Case], results: &[Outcome]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1080, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, nodes) in root.split_evenly((1, SIZES.len())).iter().zip(SIZES) {
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{nodes} nodes: wait, p90"), ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(58.0..97.0, (0.4..600.0).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("GPUs taken, %")
            .y_desc("seconds")
            .draw()?;
        for (moves, color) in ALL.into_iter().zip([&BLACK, &BLUE, &RED]) {
            let points: Vec<(f64, f64)> = cases
                .iter()
                .zip(results)
                .filter(|(c, _)| c.nodes == nodes && c.moves == moves)
                .map(|(c, r)| {
                    let p90 = r.waits.value_at_quantile(0.9) as f64 / 1000.0;
                    (c.load * 100.0, p90.max(0.5))
                })
                .collect();
            chart
                .draw_series(LineSeries::new(points.clone(), color))?
                .label(moves.name())
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
