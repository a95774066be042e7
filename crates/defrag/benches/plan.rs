//! Measures how the planning time grows with the size of the fleet.
//!
//! The waiting job is a gang that needs four whole workers of eight GPUs in one of three zones.
//! Every worker of the fleet holds up to ten small tasks.

use std::time::Instant;

use copperfield_defrag::{Fleet, Job, Limits, TaskInstance, WaitingJob, Worker, free_workers};
use copperfield_protocol::job::Resources;
use criterion::{BenchmarkId, Criterion};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

fn fleet(workers: u32, tasks: u32, seed: u64) -> Fleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = Resources::new(64.0, 8.0, 512.0);
    let mut fleet = Fleet {
        workers: (0..workers)
            .map(|m| Worker {
                zone: m % 3,
                kind: m % 2,
                spot: m % 5 == 0,
                usable: true,
                freeable: true,
                capacity,
                room: capacity,
                price: 0.003,
                fetch_gb_per_s: 1.0,
                images: vec![m % 7, m % 11],
                preemptible: Vec::new(),
            })
            .collect(),
        jobs: Vec::new(),
        instances: Vec::new(),
    };
    let remaining_s = LogNormal::new(4.0, 1.0).expect("valid");
    // A job has about 40 tasks. One job in ten uses one or two GPUs per task.
    for ix in 0..(tasks / 40).max(20) {
        let cpu_only = ix % 10 > 0;
        let needs = if cpu_only {
            Resources::new(rng.random_range(1..=8).into(), 0.0, 8.0)
        } else {
            Resources::new(4.0, rng.random_range(1..=2).into(), 32.0)
        };
        fleet.jobs.push(Job {
            needs,
            priority: 1,
            weight: 10.0,
            kinds: None,
            zone: None,
            spot: true,
            one_zone: false,
            zone_cap: u32::MAX,
            instances_by_zone: vec![0; 3],
            image: rng.random_range(0..20),
            image_gb: 2.0,
            gang: false,
            migration_budget: 8,
            avoided_workers: Vec::new(),
        });
    }
    let jobs = fleet.jobs.len() as u32;
    for m in 0..workers {
        let worker = &mut fleet.workers[m as usize];
        for i in 0..tasks / workers {
            let ix = rng.random_range(0..jobs / 10) * 10 + if i == 0 { 0 } else { 1 + i % 9 };
            let job = &mut fleet.jobs[ix.min(jobs - 1) as usize];
            if job.needs.fits_in(&worker.room) {
                worker.room.sub(&job.needs);
                job.instances_by_zone[worker.zone as usize] += 1;
                fleet.instances.push(TaskInstance {
                    worker: m,
                    job: ix.min(jobs - 1),
                    movable: rng.random_bool(0.9),
                    ends_in_s: remaining_s.sample(&mut rng) + 5.0,
                    lost_s: rng.random_range(0.0..40.0),
                });
            }
        }
    }
    fleet
}

fn waiting_job() -> WaitingJob {
    WaitingJob {
        needs: Resources::new(48.0, 8.0, 256.0),
        priority: 1,
        tasks: 4,
        one_zone: true,
        zone_cap: u32::MAX,
        placed_by_zone: vec![0; 3],
        kinds: None,
        zone: None,
        spot: true,
        gang: true,
        place_value: 1e6,
    }
}

const LIMITS: Limits = Limits {
    max_migrations: 64,
    ends_soon_s: 5.0,
    migration_overhead_s: 1.0,
};

fn main() {
    println!("machines  tasks  plans  moves   p50 ms   p99 ms   max ms");
    for workers in [100, 300, 1000, 3000, 10_000] {
        let mut times = Histogram::<u64>::new(3).expect("valid");
        let (mut plans, mut migrations) = (0, 0);
        for seed in 0..200 {
            let fleet = fleet(workers, workers * 10, seed);
            let started_at = Instant::now();
            let plan = free_workers(&fleet, &waiting_job(), &LIMITS);
            times
                .record(started_at.elapsed().as_micros() as u64)
                .expect("in range");
            plans += usize::from(plan.is_ok());
            migrations += plan.map_or(0, |p| p.migrations.len());
        }
        let ms = |us: u64| us as f64 / 1000.0;
        println!(
            "{workers:8} {:6} {plans:6} {migrations:6} {:8.3} {:8.3} {:8.3}",
            workers * 10,
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99)),
            ms(times.max())
        );
    }
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    let mut group = criterion.benchmark_group("plan");
    for workers in [1000, 10_000] {
        let fleet = fleet(workers, workers * 10, 1);
        group.bench_with_input(BenchmarkId::from_parameter(workers), &fleet, |b, fleet| {
            b.iter(|| free_workers(fleet, &waiting_job(), &LIMITS));
        });
    }
    group.finish();
}
