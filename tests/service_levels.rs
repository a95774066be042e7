//! Days that are made to starve somebody. Less than half of a class, of a team or of a class's
//! largest jobs served fails a day, so the least served stays over half on each of them, at one size and at half as much
//! again, wherever there was room for it.

use copperfield_simulation::core_harness::CoreHarness;
use copperfield_simulation::service_levels::{RequestedJob, service_levels};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]},
 {"name":"big","cpus":12,"gpus":2,"memory_gb":48,"local_gb":90,"pull_gb_per_s":1,"price":5.0,"ready_s":10,"regions":["a","b"]}]}"#;

/// Jobs come for so long, and may take so long afterwards.
const DAY_S: f64 = 150.0;
const AFTER_S: f64 = 150.0;

struct Class {
    name: &'static str,
    team: &'static str,
    body: Value,
    /// On a site of size 1.
    a_minute: f64,
}

fn classes() -> Vec<Class> {
    let class = |name, team, a_minute, body| Class {
        name,
        team,
        body,
        a_minute,
    };
    vec![
        class(
            "portal",
            "front",
            4.0,
            json!({"shape": "service", "rank": "production", "shards": 4, "cpus": 1.0,
            "spread": true, "runtime_s": 0.0, "bundle": "web"}),
        ),
        class(
            "bake",
            "art",
            6.0,
            json!({"shape": "group", "shards": 2, "cpus": 10.0, "gpus": 2.0, "memory_gb": 38.0,
            "one_zone": true, "runtime_s": 20.0, "flavors": ["big"], "bundle": "bake"}),
        ),
        class(
            "rush",
            "art",
            20.0,
            json!({"rank": "urgent", "shards": 6, "runtime_s": 8.0, "preemptibles": true}),
        ),
        class(
            "night",
            "farm",
            8.0,
            json!({"shards": 25, "runtime_s": 8.0, "preemptibles": true}),
        ),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Starves {
    Nobody,
    /// Ten times as many jobs of this class for 30 s.
    Burst(&'static str),
    /// Three times as many rush jobs without an end.
    Rush,
    /// The zone of most whole workers is cut for 40 s.
    Cut,
    /// All workers of a type fail every task for 40 s.
    Sick,
    /// A third of the small workers is taken at once, and none can be had.
    Taken,
    /// A leader ends every 3 s for 45 s.
    Leaders,
}

fn day(starves: Starves, size: f64, seed: u64) -> Vec<(String, f64)> {
    let teams = ["front", "art", "farm"].map(|name| json!({"name": name}));
    let cluster = json!({"zones": ["a", "b"], "teams": teams, "objectives": [
            {"kind": "wait", "class": "bake", "within_s": 20.0}, {"kind": "wait", "class": "portal", "within_s": 2.0},
            {"kind": "wait", "class": "rush", "within_s": 8.0}],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
        "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}, "clock_error_ms": 25});
    let mut crew = CoreHarness::new(TYPES, cluster, 50);
    let mut names = Vec::new();
    for (flavor, zone, count) in [
        ("small", "a", 14.0),
        ("small", "b", 14.0),
        ("big", "a", 2.0),
        ("big", "b", 5.0),
    ] {
        let count = (count * size) as usize;
        for i in 0..count {
            let name = format!("{zone}-{flavor}-{i}");
            crew.add_worker(&name, flavor, zone, 0.1 + i as f64 * 1.9 / count as f64);
            names.push(name);
        }
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut asked = Vec::new();
    let mut next = 1;
    for second in 0..(DAY_S + AFTER_S) as u32 {
        let at = f64::from(second);
        let within = |from: f64, to: f64| (from..to).contains(&at);
        for class in classes().iter().filter(|_| at < DAY_S) {
            let times = match starves {
                Starves::Burst(name) if name == class.name && within(30.0, 60.0) => 10.0,
                Starves::Rush if class.name == "rush" && at > 30.0 => 3.0,
                _ => 1.0,
            };
            let mut due = class.a_minute / 60.0 * size * times;
            while due > 0.0 && rng.random_bool(due.min(1.0)) {
                due -= 1.0;
                let mut body = class.body.clone();
                body["uid"] = json!(format!("wk-{next:06}"));
                body["jobclass"] = json!(class.name);
                body["owner"] = json!(class.team);
                next += 1;
                let job = crew.submit(&body);
                let service = body["shape"] == "service";
                // Portals close again after a while.
                let until = if service { at + 60.0 } else { DAY_S + AFTER_S };
                asked.push((
                    job,
                    RequestedJob {
                        id: job.to_string(),
                        class: class.name.into(),
                        team: class.team.into(),
                        tasks: body["shards"].as_u64().expect("a number") as u32,
                        service,
                        submitted: at,
                        from: at + 15.0,
                        until,
                    },
                ));
            }
        }
        for (job, _) in asked.iter().filter(|(_, a)| a.service && a.until == at) {
            crew.cancel(*job);
        }
        let of = |part: &'static str| names.iter().filter(move |n| n.contains(part)).cloned();
        match starves {
            Starves::Cut if at == 40.0 => crew.unreachable.extend(of("b-")),
            Starves::Cut if at == 80.0 => crew.unreachable.clear(),
            Starves::Sick if at == 40.0 => crew.failing_workers.extend(of("-big-")),
            Starves::Sick if at == 80.0 => crew.failing_workers.clear(),
            Starves::Taken if at == 40.0 => {
                let taken: Vec<String> = of("-small-").step_by(3).collect();
                taken.iter().for_each(|name| crew.remove_worker(name));
            }
            Starves::Leaders if within(40.0, 85.0) && second % 3 == 0 => crew.fail_over(),
            _ => {}
        }
        crew.run(1.0);
    }
    let asked: Vec<RequestedJob> = asked.into_iter().map(|(_, asked)| asked).collect();
    assert!(asked.len() > 60, "{} jobs", asked.len());
    let all = service_levels(&crew.history, &asked);
    all.into_iter()
        .map(|(name, s)| (name, s.min_share()))
        .collect()
}

fn everybody_gets_half(starves: Starves) {
    for size in [1.0, 1.5] {
        let all = day(starves, size, 7);
        assert_eq!(
            all.len(),
            11,
            "four classes, their largest jobs, three teams"
        );
        let least = all.iter().min_by(|a, b| a.1.total_cmp(&b.1)).expect("some");
        println!("{starves:?} x {size}: least {} {:.2}", least.0, least.1);
        assert!(least.1 >= 0.5, "{starves:?} x {size}: {all:.2?}");
    }
}

#[test]
fn a_burst_of_any_class_leaves_the_others_half() {
    for class in classes() {
        everybody_gets_half(Starves::Burst(class.name));
    }
}

#[test]
fn a_plain_day_and_rush_without_end() {
    everybody_gets_half(Starves::Nobody);
    everybody_gets_half(Starves::Rush);
}

#[test]
fn workers_that_are_cut_off_sick_or_taken() {
    for starves in [Starves::Cut, Starves::Sick, Starves::Taken] {
        everybody_gets_half(starves);
    }
}

#[test]
fn one_leader_after_another() {
    everybody_gets_half(Starves::Leaders);
}
