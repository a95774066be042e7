//! Measures the time of one auction: 500 tasks on 1,000 workers. The target is 30 ms.

use std::time::Instant;

use copperfield::coordination::auction::{BidderGroup, Lot, clear};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn main() {
    let mut times = hdrhistogram::Histogram::<u64>::new(3).expect("valid precision");
    let mut capped = 0;
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let lots: Vec<Lot> = (0..1000)
            .map(|i| Lot {
                cpu_slots: rng.random_range(0..=8),
                gpu_slots: 0,
                memory: 64_000,
                zone: i % 3,
            })
            .collect();
        let groups: Vec<BidderGroup> = (0..20)
            .map(|_| BidderGroup {
                demand: 25,
                cpu_slots: rng.random_range(1..=4),
                gpu_slots: 0,
                memory: 2_000,
                values: (0..lots.len() as u32)
                    .map(|l| (l, rng.random_range(1.0..100.0)))
                    .collect(),
                zone_room: None,
            })
            .collect();
        let started = Instant::now();
        let (awards, outcome) = clear(&lots, &groups, 4000);
        times
            .record(started.elapsed().as_micros() as u64)
            .expect("within bounds");
        assert!(!awards.is_empty());
        capped += u32::from(outcome.capped);
    }
    println!(
        "500 tasks on 1,000 workers: p50 {} us, p99 {} us, max {} us; {capped} of 50 capped",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
}
