//! What every plan must keep, and how far plans are from the best there are.

use copperfield_defrag::{
    Fleet, Limits, Reason, TaskInstance, Want, Work, Worker, Yield, empty, free,
};
use copperfield_protocol::job::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LIMITS: Limits = Limits {
    moves: 16,
    soon_s: 5.0,
    move_s: 1.0,
};

fn gpus(n: i64) -> Resources {
    Resources::new(n as f64, n as f64, 4.0 * n as f64)
}

fn worker(zone: u32, whole: i64) -> Worker {
    Worker {
        zone,
        kind: 0,
        spot: false,
        receives: true,
        frees: true,
        whole: gpus(whole),
        room: gpus(whole),
        price: 1.0,
        fetch_gb_per_s: 1.0,
        images: vec![0],
        yields: Vec::new(),
    }
}

fn work(needs: i64) -> Work {
    Work {
        needs: gpus(needs),
        rank: 1,
        weight: 1.0,
        kinds: None,
        zone: None,
        spot: true,
        one_zone: false,
        zone_cap: u32::MAX,
        by_zone: vec![0; 2],
        image: 0,
        image_gb: 0.0,
        gang: false,
        may_leave: u32::MAX,
        avoid: Vec::new(),
    }
}

fn want(tasks: u32, needs: i64) -> Want {
    Want {
        needs: gpus(needs),
        rank: 1,
        tasks,
        one_zone: true,
        zone_cap: u32::MAX,
        by_zone: vec![0; 2],
        kinds: None,
        zone: None,
        spot: true,
        whole: true,
        worth: 1e9,
    }
}

impl Site {
    fn put(&mut self, worker: u32, w: usize, lost_s: f64) -> u32 {
        let zone = self.0.workers[worker as usize].zone as usize;
        let needs = self.0.works[w].needs;
        self.0.works[w].by_zone[zone] += 1;
        self.0.workers[worker as usize].room.sub(&needs);
        self.0.instances.push(TaskInstance {
            worker,
            work: w as u32,
            movable: true,
            ends_in_s: 100.0,
            lost_s,
        });
        self.0.instances.len() as u32 - 1
    }
}

struct Site(Fleet);

/// Two zones of two workers with four GPUs each; every worker holds one task of two.
fn scattered() -> Site {
    let mut site = Site(Fleet {
        workers: (0..4).map(|m| worker(m / 2, 4)).collect(),
        works: vec![work(2)],
        instances: Vec::new(),
    });
    for m in 0..4 {
        site.put(m, 0, 1.0 + f64::from(m));
    }
    site
}

#[test]
fn one_whole_worker_costs_the_cheapest_move() {
    let plan = free(&scattered().0, &want(1, 4), &LIMITS).expect("a plan");
    assert_eq!(plan.frees, [0]);
    assert_eq!(plan.moves.len(), 1);
    assert_eq!(plan.lost_s, 1.0);
}

#[test]
fn a_gang_gets_its_workers_in_one_zone() {
    let plan = free(&scattered().0, &want(2, 4), &LIMITS).expect("a plan");
    assert_eq!(plan.frees, [0, 1]);
    let zone = |m: u32| m / 2;
    assert!(plan.moves.iter().all(|mv| zone(mv.to) == 1), "{plan:?}");
}

#[test]
fn what_may_not_move_is_in_the_way() {
    let mut site = scattered();
    site.0.instances.iter_mut().for_each(|c| c.movable = false);
    assert_eq!(free(&site.0, &want(1, 4), &LIMITS), Err(Reason::InTheWay));
}

#[test]
fn what_ends_soon_is_waited_for() {
    let mut site = scattered();
    site.0.instances[3].ends_in_s = 4.0;
    assert_eq!(free(&site.0, &want(1, 4), &LIMITS), Err(Reason::ComesFree));
}

#[test]
fn nothing_goes_to_a_worker_that_takes_no_work_or_that_is_being_freed() {
    let mut site = scattered();
    for m in 1..4 {
        site.0.workers[m].receives = false;
    }
    // Only worker 0 takes anything, so it cannot be the one that is freed.
    let plan = free(&site.0, &want(1, 4), &LIMITS).expect("a plan");
    assert!(
        plan.moves.iter().all(|mv| mv.to == 0) && plan.frees == [1],
        "{plan:?}"
    );
    site.0.workers[0].receives = false;
    assert_eq!(free(&site.0, &want(1, 4), &LIMITS), Err(Reason::NoTarget));
}

#[test]
fn a_gang_moves_whole_or_not_at_all() {
    let mut site = scattered();
    site.0.works[0].gang = true;
    let mut limits = LIMITS;
    // All four would have to move, and there is no room for that beside what is freed.
    assert_eq!(free(&site.0, &want(1, 4), &limits), Err(Reason::NoTarget));
    limits.moves = 3;
    assert_eq!(free(&site.0, &want(1, 4), &limits), Err(Reason::InTheWay));
}

#[test]
fn a_service_keeps_its_spread_and_its_share_at_work() {
    let mut site = scattered();
    site.0.works[0].zone_cap = 2;
    let plan = free(&site.0, &want(1, 4), &LIMITS).expect("a plan");
    assert_eq!(plan.moves[0].to, 1, "within its own zone");
    assert_eq!(free(&site.0, &want(2, 4), &LIMITS), Err(Reason::NoTarget));
    site.0.works[0].may_leave = 0;
    assert_eq!(free(&site.0, &want(1, 4), &LIMITS), Err(Reason::InTheWay));
}

/// Guests fill what is left of every worker: they give way to what moves, for a price,
/// and to the job that waits.
#[test]
fn lower_work_gives_way_to_what_moves_and_to_what_waits() {
    let mut site = scattered();
    for m in 0..4 {
        site.0.works.push(work(2));
        let guest = site.0.works.len() - 1;
        site.0.works[guest].rank = 0;
        site.put(m, guest, 5.0);
        let cost = 10.0 - f64::from(m);
        let needs = gpus(2);
        site.0.workers[m as usize].yields = vec![Yield {
            rank: 0,
            needs,
            cost,
        }];
    }
    let plan = free(&site.0, &want(1, 4), &LIMITS).expect("a plan");
    assert_eq!(plan.moves.len(), 1, "guests are not moved: {plan:?}");
    let to = plan.moves[0].to;
    assert_eq!((plan.frees[0], to), (0, 3), "the cheapest guest gives way");
    assert_eq!(plan.cost, 0.5 * (1.0 + 1.0) + 7.0);
    site.0.works[0].rank = 0;
    assert_eq!(free(&site.0, &want(1, 4), &LIMITS), Err(Reason::ComesFree));
}

#[test]
fn a_move_happens_only_if_what_it_frees_is_worth_more() {
    let mut cheap = want(1, 4);
    cheap.worth = 0.5;
    assert!(matches!(
        free(&scattered().0, &cheap, &LIMITS),
        Err(Reason::NotWorth { .. })
    ));
}

#[test]
fn a_worker_that_drains_gives_away_what_finds_a_place() {
    let mut site = scattered();
    site.0.workers[0].receives = false;
    site.0.works.push(work(3));
    site.0.workers[1].room = gpus(4);
    site.0.instances.remove(1);
    site.0.workers[0].room = gpus(4);
    site.0.instances.remove(0);
    site.put(0, 1, 1.0);
    site.put(0, 0, 1.0);
    let moves = empty(&site.0, 0, &LIMITS);
    assert_eq!(moves.len(), 2, "{moves:?}");
    let one = Limits { moves: 1, ..LIMITS };
    assert_eq!(empty(&site.0, 0, &one).len(), 1);
}

/// Every way to move copies, tried one after another: the cheapest that frees all places.
fn exhaustive(fleet: &Fleet, want: &Want) -> Option<f64> {
    fn go(fleet: &Fleet, want: &Want, c: usize, to: &mut Vec<Option<u32>>, best: &mut Option<f64>) {
        if c == fleet.instances.len() {
            if let Some(cost) = cost(fleet, want, to)
                && best.is_none_or(|b| cost < b)
            {
                *best = Some(cost);
            }
            return;
        }
        for t in std::iter::once(None).chain((0..fleet.workers.len() as u32).map(Some)) {
            if t != Some(fleet.instances[c].worker) {
                to.push(t);
                go(fleet, want, c + 1, to, best);
                to.pop();
            }
        }
    }
    fn cost(fleet: &Fleet, want: &Want, to: &[Option<u32>]) -> Option<f64> {
        let mut reserved = vec![Resources::default(); fleet.workers.len()];
        let mut freed = reserved.clone();
        let mut cost = 0.0;
        for (c, t) in (0u32..).zip(to) {
            let instance = &fleet.instances[c as usize];
            let needs = &fleet.works[instance.work as usize].needs;
            if let Some(t) = t {
                reserved[*t as usize].add(needs);
                freed[instance.worker as usize].add(needs);
                cost += fleet.cost_to(c, *t, &LIMITS);
            }
        }
        let fits = |(m, t): (&Worker, &Resources)| t.fits_in(&m.room);
        if !fleet.workers.iter().zip(&reserved).all(fits) {
            return None;
        }
        let mut places = [0; 2];
        for (i, m) in fleet.workers.iter().enumerate() {
            let mut room = m.room;
            room.add(&freed[i]);
            room.sub(&reserved[i]);
            if want.needs.fits_in(&room) {
                places[m.zone as usize] += 1;
            }
        }
        (places.iter().any(|&p| p >= want.tasks)).then_some(cost)
    }
    let mut best = None;
    go(fleet, want, 0, &mut Vec::new(), &mut best);
    best
}

/// Small fleets, each seed another: how much more work the planner moves than the best
/// plan there is, and how often it finds none though there is one.
#[test]
fn plans_are_near_the_best_that_exhaustive_search_finds() {
    let mut ratios = Vec::new();
    let mut missed = 0;
    for seed in 0..2000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = rng.random_range(3..=5);
        let mut site = Site(Fleet {
            workers: (0..workers).map(|m| worker(m % 2, 4)).collect(),
            works: (1..=3).map(work).collect(),
            instances: Vec::new(),
        });
        for w in &mut site.0.works {
            w.weight = rng.random_range(1..=3).into();
            w.image = 1;
            w.image_gb = 2.0;
        }
        for _ in 0..rng.random_range(2..=6) {
            let (m, w) = (rng.random_range(0..workers), rng.random_range(0..3));
            if site.0.works[w]
                .needs
                .fits_in(&site.0.workers[m as usize].room)
            {
                site.put(m, w, rng.random_range(1..30).into());
            }
            site.0.workers[m as usize]
                .images
                .push(rng.random_range(0..2));
        }
        let want = want(rng.random_range(1..=2), rng.random_range(3..=4));
        let best = exhaustive(&site.0, &want);
        match (free(&site.0, &want, &LIMITS), best) {
            (Ok(plan), Some(best)) => {
                assert!(
                    plan.cost >= best - 1e-9,
                    "seed {seed}: better than the best"
                );
                ratios.push(plan.cost / best);
            }
            (Err(Reason::ComesFree), Some(best)) => assert_eq!(best, 0.0, "seed {seed}"),
            (Err(_), None) => {}
            (Err(_), Some(_)) => missed += 1,
            (Ok(plan), None) => panic!("seed {seed}: {plan:?} cannot be"),
        }
    }
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    let worst = ratios.iter().copied().fold(0.0, f64::max);
    let exact = ratios.iter().filter(|&&r| r < 1.0 + 1e-9).count();
    println!(
        "{} plans: mean {mean:.3}, worst {worst:.2} of the best; {exact} the best; {missed} missed",
        ratios.len()
    );
    assert!(ratios.len() > 100, "the instances are worth something");
    assert!(mean < 1.1 && worst < 3.0, "mean {mean}, worst {worst}");
    assert!(missed * 20 < ratios.len(), "{missed} missed");
}
