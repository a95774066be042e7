//! Whole workers by moves, drains, and what fails on the way, on the core with workers
//! that do as they are told. `standins::history` looks at every run afterwards.

use copperfield::protocol::JobId;
use copperfield::protocol::peer::AdminRequest;
use copperfield::settings::{Class, Tuning};
use copperfield::storage::Snapshot;
use copperfield_simulation::core_harness::{CheckpointMode, CoreHarness, fixed_fleet};
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"gpu4","cpus":16,"gpus":4,"memory_gb":64,"local_gb":90,"pull_gb_per_s":1,"price":4.0,"ready_s":10,"regions":["a","b"]}]}"#;

fn cluster() -> Value {
    json!({"zones": ["a", "b"], "teams": [{"name": "team"}],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}, "clock_error_ms": 25})
}

fn tuning() -> Tuning {
    let mut tuning = fixed_fleet();
    tuning.defragmentation.enabled = true;
    tuning
}

fn gpu_task(id: u64, extra: Value) -> Value {
    let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": "small", "shards": 1, "cpus": 3.0,
        "gpus": 1.0, "memory_gb": 4.0, "runtime_s": 400.0, "snapshot_every_s": 30.0, "snapshot_s": 1.0, "pull_gb": 0.0});
    for (k, v) in extra.as_object().expect("an object") {
        body[k] = v.clone();
    }
    body
}

fn whole(id: u64, runtime_s: f64) -> Value {
    json!({"uid": format!("wk-{id:06}"), "jobclass": "bake", "shape": "group", "cpus": 12.0, "gpus": 4.0,
        "memory_gb": 32.0, "runtime_s": runtime_s, "pull_gb": 0.0, "bundle": "bake"})
}

/// Four workers, each with a part of its GPUs taken: the task of each is made by
/// filling workers one after another and letting the fillers end.
struct Scattered {
    crew: CoreHarness,
    /// Tasks of one GPU that run on, one job each.
    small: Vec<JobId>,
}

fn names() -> [&'static str; 4] {
    ["a-0", "a-1", "b-0", "b-1"]
}

/// Eight GPUs are free, two on each worker.
fn scattered(extra: Value, tuning: Tuning) -> Scattered {
    let mut crew = CoreHarness::with_tuning(TYPES, cluster(), 50, Snapshot::default(), tuning);
    for (i, name) in names().into_iter().enumerate() {
        let zone = if name.starts_with('a') { "a" } else { "b" };
        crew.add_worker(name, "gpu4", zone, 0.1 + i as f64 * 0.4);
    }
    crew.run(3.0);
    // Two that end and two that stay on each, in turn, so that what stays is spread.
    let mut small = Vec::new();
    for zone in ["a", "b"] {
        for n in 0..2u64 {
            for i in 0..2 {
                let id = 10 + n * 2 + i + if zone == "b" { 100 } else { 0 };
                let mut stays = gpu_task(id, extra.clone());
                stays["region"] = json!(zone);
                small.push(crew.submit(&stays));
                let mut ends = gpu_task(id + 50, json!({"runtime_s": 8.0}));
                ends["region"] = json!(zone);
                crew.submit(&ends);
            }
            crew.run(0.5);
        }
    }
    crew.run(45.0);
    Scattered { crew, small }
}

impl Scattered {
    /// How many of the small tasks each worker holds.
    fn held(&self) -> Vec<usize> {
        let on = |name: &str| {
            let places = self.small.iter().flat_map(|j| self.crew.instances_of(*j));
            places.filter(|(_, m)| *m == name).count()
        };
        names().map(on).to_vec()
    }

    fn placed(&self, job: JobId) -> usize {
        self.crew.instances_of(job).len()
    }

    fn problems(&self) -> Vec<String> {
        let live: Vec<String> = self.small.iter().map(|j| format!("{j}/0")).collect();
        self.crew
            .history
            .violations(live.iter().map(String::as_str))
    }

    fn moves(&mut self) -> Value {
        let (status, moves) = self.crew.admin_request(AdminRequest::Moves);
        assert_eq!(status, 200);
        moves
    }

    fn wait_for_move(&mut self) {
        for _ in 0..200 {
            if !self.moves()["live"].as_array().expect("a list").is_empty() {
                return;
            }
            self.crew.run(0.05);
        }
        panic!("nothing moves: {}", self.moves());
    }
}

#[test]
fn a_whole_worker_comes_free_by_moves_and_every_task_ends_once() {
    let mut site = scattered(json!({}), tuning());
    assert_eq!(site.held(), [2, 2, 2, 2], "fragmented");
    let job = site.crew.submit(&whole(1, 30.0));
    site.crew.run(15.0);
    assert_eq!(site.placed(job), 1, "{}", site.moves());
    site.crew.run(600.0);
    assert_eq!(site.problems(), [""; 0]);
    assert!(site.crew.history.completed().contains("wk-000001/0"));
}

#[test]
fn without_the_planner_the_same_job_waits() {
    let mut off = tuning();
    off.defragmentation.enabled = false;
    let mut site = scattered(json!({}), off);
    let job = site.crew.submit(&whole(1, 30.0));
    site.crew.run(60.0);
    assert_eq!(site.placed(job), 0);
}

/// The stricter of a job's mark and its class's counts, and what does not save is moved
/// only while it would lose little.
#[test]
fn what_may_not_move_stays() {
    let mut by_class = tuning();
    let unmovable = Class {
        movable: Some(false),
        protected: false,
    };
    by_class.class.insert("small".into(), unmovable);
    let mut protected = tuning();
    let asked_first = Class {
        movable: None,
        protected: true,
    };
    protected.class.insert("small".into(), asked_first);
    for (extra, tuning) in [
        (json!({"movable": false}), tuning()),
        (json!({"movable": true}), by_class),
        (json!({}), protected),
        (json!({"snapshot_every_s": 0.0}), tuning()),
        (
            json!({"shape": "service", "rank": "production", "movable": true}),
            tuning(),
        ),
    ] {
        let mut site = scattered(extra.clone(), tuning);
        let before = site.held();
        let job = site.crew.submit(&whole(1, 30.0));
        site.crew.run(60.0);
        assert_eq!((site.placed(job), site.held()), (0, before), "{extra}");
        let reason = site.moves()["waiting"][0]["reason"].clone();
        assert_eq!(reason, "work that may not move is in the way", "{extra}");
    }
}

/// A gang of two moves whole; the leader that stops both sees both gone before either
/// starts again.
#[test]
fn a_gang_moves_whole() {
    let mut site = scattered(json!({"movable": false}), tuning());
    let gang = gpu_task(
        300,
        json!({"shape": "group", "shards": 2, "cpus": 2.0, "one_zone": true}),
    );
    let gang = site.crew.submit(&gang);
    site.crew.run(45.0);
    let before: Vec<String> = site
        .crew
        .instances_of(gang)
        .into_iter()
        .map(|p| p.1.into())
        .collect();
    assert_eq!(before.len(), 2);
    let order = AdminRequest::Drain {
        node: before[0].clone(),
        deadline_s: None,
        yes: false,
    };
    assert_eq!(site.crew.admin_request(order).0, 200);
    site.crew.run(20.0);
    let after = site.crew.instances_of(gang);
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|(_, m)| *m != before[0]), "{after:?}");
    let story = |task: u32| {
        let task = format!("{gang}/{task}");
        site.crew.history.workers_of(&task).len()
    };
    assert_eq!((story(0), story(1)), (2, 2), "both were moved, once");
}

/// Whatever fails while a move is under way: the checker finds each task done once, and
/// the room that moves had claimed is there for a job that needs all of it.
#[test]
fn a_move_that_fails_partway_leaves_one_answer_and_no_claim() {
    type Fault = fn(&mut Scattered, &str, &str);
    let faults: [(&str, Fault); 12] = [
        ("the target dies", |s, _, to| s.crew.remove_worker(to)),
        ("the source dies", |s, from, _| s.crew.remove_worker(from)),
        ("the target hangs", |s, _, to| {
            s.crew.unreachable.insert(to.into());
        }),
        ("the source hangs", |s, from, _| {
            s.crew.unreachable.insert(from.into());
        }),
        ("the target drains", |s, _, to| {
            let node = to.to_string();
            s.crew.send_admin_request(AdminRequest::Drain {
                node,
                deadline_s: None,
                yes: false,
            });
        }),
        ("the source's zone is cut", |s, from, _| {
            let zone = &from[..1];
            let there = names().into_iter().filter(|n| n.starts_with(zone));
            s.crew.unreachable.extend(there.map(String::from));
        }),
        ("the save fails", |s, _, _| {
            s.crew.checkpointing = CheckpointMode::Fails;
        }),
        ("the save is slow", |s, _, _| {
            s.crew.checkpointing = CheckpointMode::Slow(30.0);
        }),
        ("the leader is killed", |s, _, _| s.crew.fail_over()),
        ("all controllers are killed", |s, _, _| {
            s.crew.pause(6.0);
            s.crew.fail_over();
        }),
        ("the leader stands still", |s, _, _| {
            s.crew.pause(20.0);
            s.crew.core.paused(20.0);
        }),
        ("the state service is out", |s, _, _| s.crew.outage = true),
    ];
    for (what, fault) in faults {
        // At once, while tasks save, when they have left, and when they arrive.
        for after in [0.0, 0.4, 1.3, 2.5, 4.0] {
            let mut site = scattered(json!({}), tuning());
            let job = site.crew.submit(&whole(1, 20.0));
            site.wait_for_move();
            let mv = site.moves()["live"][0].clone();
            let name = |of: &str| mv[of].as_str().map_or_else(String::new, String::from);
            let (from, to) = (name("from"), name("to"));
            site.crew.run(after);
            if !from.is_empty() {
                fault(&mut site, &from, &to);
            }
            site.crew.run(40.0);
            site.crew.unreachable.clear();
            site.crew.checkpointing = CheckpointMode::InTime;
            site.crew.end_outage();
            for node in names() {
                site.crew
                    .send_admin_request(AdminRequest::Undrain { node: node.into() });
            }
            site.crew.run(1200.0);
            let case = format!("{what}, {after} s on");
            assert_eq!(site.problems(), [""; 0], "{case}");
            assert!(
                site.crew
                    .history
                    .completed()
                    .contains(format!("{job}/0").as_str()),
                "{case}"
            );
            assert_eq!(site.moves()["live"], json!([]), "{case}");
            // Nothing is claimed: every GPU that is left can be had at once.
            let left = names().len() - site.crew.removed.len();
            let all = gpu_task(900, json!({"shards": 4 * left, "runtime_s": 5.0}));
            let all = site.crew.submit(&all);
            site.crew.run(8.0);
            assert!(
                site.crew.finished.contains(&all) || site.placed(all) == 4 * left,
                "{case}"
            );
        }
    }
}

/// The order to stop does not arrive, and the task completes meanwhile: that is its one
/// answer, and the place that was held for it is free again.
#[test]
fn a_task_that_ends_by_itself_in_the_middle_is_done() {
    let mut site = scattered(json!({"runtime_s": 64.0}), tuning());
    let job = site.crew.submit(&whole(1, 20.0));
    site.wait_for_move();
    let moves = site.moves();
    let from = moves["live"][0]["from"]
        .as_str()
        .expect("a name")
        .to_string();
    let task = moves["live"][0]["task"]
        .as_str()
        .expect("a task")
        .to_string();
    site.crew.unreachable.insert(from);
    site.crew.run(8.0);
    site.crew.unreachable.clear();
    site.crew.run(120.0);
    assert_eq!(site.problems(), [""; 0]);
    assert!(site.crew.history.completed().contains(task.as_str()));
    assert!(site.crew.finished.contains(&job));
    assert_eq!(site.moves()["live"], json!([]));
}

/// A user cancels the moving job, or the one that the worker is freed for.
#[test]
fn a_cancellation_in_the_middle_ends_the_move() {
    for moving in [true, false] {
        let mut site = scattered(json!({}), tuning());
        let job = site.crew.submit(&whole(1, 20.0));
        site.wait_for_move();
        let task = site.moves()["live"][0]["task"].clone();
        let task = task.as_str().and_then(|t| t.split('/').next());
        let moved = JobId::parse(task.expect("a task")).expect("an id");
        site.crew.cancel(if moving { moved } else { job });
        site.crew.run(60.0);
        assert_eq!(site.moves()["live"], json!([]));
        assert_eq!(site.placed(if moving { moved } else { job }), 0);
        site.crew.run(600.0);
        let others = site.small.iter().filter(|j| !moving || **j != moved);
        let others: Vec<String> = others.map(|j| format!("{j}/0")).collect();
        let problems = site
            .crew
            .history
            .violations(others.iter().map(String::as_str));
        assert_eq!(problems, [""; 0]);
    }
}

/// A source that never lets go: moves for the job are tried again ever more seldom, and
/// then not at all.
#[test]
fn moves_that_come_to_nothing_are_not_started_over_without_end() {
    let mut site = scattered(json!({}), tuning());
    site.crew.checkpointing = CheckpointMode::Slow(1e6);
    site.crew.submit(&whole(1, 20.0));
    site.crew.run(900.0);
    let moves = site.moves();
    let begun = moves["recent"].as_array().expect("a list").len();
    assert!((1..=12).contains(&begun), "{begun} moves: {moves}");
}

#[test]
fn a_drain_is_kept_through_failovers_and_taken_back() {
    let mut site = scattered(json!({}), tuning());
    let drain = |deadline_s| AdminRequest::Drain {
        node: "a-0".into(),
        deadline_s,
        yes: false,
    };
    let (status, node) = site.crew.admin_request(drain(None));
    assert_eq!((status, &node["state"]), (200, &json!("draining")));
    assert_eq!(
        site.crew.admin_request(drain(None)).0,
        200,
        "the same once more"
    );
    site.crew.run(15.0);
    assert_eq!(site.held()[0], 0, "what may move has moved");
    let state = |site: &mut Scattered| {
        let (_, nodes) = site
            .crew
            .admin_request(AdminRequest::Nodes { since: "".into() });
        nodes["nodes"][0]["state"].clone()
    };
    assert_eq!(state(&mut site), json!("drained"));
    // All controllers are restarted, twice.
    for _ in 0..2 {
        site.crew.fail_over();
        site.crew.run(15.0);
        assert_eq!(state(&mut site), json!("drained"));
    }
    let before = site.crew.history.events().len();
    let fill = site
        .crew
        .submit(&gpu_task(500, json!({"shards": 20, "runtime_s": 5.0})));
    site.crew.run(30.0);
    assert!(site.crew.finished.contains(&fill));
    let news = &site.crew.history.events()[before..];
    assert!(
        news.iter().all(|e| e.worker != "a-0"),
        "nothing new starts there"
    );
    let (status, node) = site
        .crew
        .admin_request(AdminRequest::Undrain { node: "a-0".into() });
    assert_eq!((status, &node["state"]), (200, &json!("ready")));
    assert!(site.crew.drains.is_empty());
    let refill = gpu_task(501, json!({"shards": 20, "runtime_s": 5.0}));
    site.crew.submit(&refill);
    site.crew.run(10.0);
    let news = site.crew.history.events();
    assert!(news[before..].iter().any(|e| e.worker == "a-0"));
}

/// What may not move runs on until the deadline, also under a leader elected since, and
/// is then stopped in order.
#[test]
fn at_its_deadline_a_drain_stops_what_is_left_in_order() {
    let mut site = scattered(json!({"movable": false}), tuning());
    let order = AdminRequest::Drain {
        node: "b-1".into(),
        deadline_s: Some(60.0),
        yes: false,
    };
    assert_eq!(site.crew.admin_request(order).0, 200);
    site.crew.run(20.0);
    site.crew.fail_over();
    site.crew.run(30.0);
    assert_eq!(site.held()[3], 2, "before the deadline");
    site.crew.run(15.0);
    assert_eq!(site.held()[3], 0, "after it");
    assert_eq!(site.held().iter().sum::<usize>(), 8, "elsewhere");
    site.crew.run(600.0);
    assert_eq!(site.problems(), [""; 0]);
}

#[test]
fn operators_are_told_what_is_wrong() {
    let production = json!({"shape": "service", "rank": "production"});
    let mut site = scattered(production, tuning());
    let drain = |node: &str, yes| AdminRequest::Drain {
        node: node.into(),
        deadline_s: None,
        yes,
    };
    let (status, body) = site.crew.admin_request(drain("nowhere", false));
    assert_eq!(
        (status, body),
        (404, json!({"error": "there is no node \"nowhere\""}))
    );
    let (status, body) = site.crew.admin_request(drain("a-0", false));
    assert_eq!(status, 409);
    assert_eq!(
        body["protected"].as_array().map(Vec::len),
        Some(2),
        "{body}"
    );
    assert!(site.crew.drains.is_empty(), "nothing was changed");
    let before = site.held();
    assert_eq!(site.crew.admin_request(drain("a-0", true)).0, 200);
    // All nodes of a zone, and then all there are: replicas stay where they are.
    for node in ["a-1", "b-0", "b-1"] {
        assert_eq!(site.crew.admin_request(drain(node, true)).0, 200);
    }
    site.crew.run(60.0);
    assert_eq!(site.held(), before);
    let job = site.crew.submit(&gpu_task(400, json!({})));
    site.crew.run(20.0);
    assert_eq!(site.placed(job), 0, "there is nowhere to start");
    assert_eq!(
        site.crew
            .admin_request(AdminRequest::Undrain { node: "b-0".into() })
            .0,
        200
    );
    site.crew.run(5.0);
    assert_eq!(site.placed(job), 1);
    assert_eq!(
        site.crew
            .admin_request(AdminRequest::Undrain { node: "b-0".into() })
            .0,
        200,
        "the same once more"
    );
    assert_eq!(
        site.crew
            .admin_request(AdminRequest::Undrain {
                node: "nowhere".into()
            })
            .0,
        404
    );
}

/// While the state service is out a drain counts already, but nobody is told so before
/// it is stored.
#[test]
fn a_drain_is_answered_once_it_is_stored() {
    let mut site = scattered(json!({}), tuning());
    site.crew.outage = true;
    let order = AdminRequest::Drain {
        node: "a-0".into(),
        deadline_s: None,
        yes: false,
    };
    let ticket = site.crew.send_admin_request(order);
    site.crew.run(8.0);
    assert!(!site.crew.admin_responses.contains_key(&ticket));
    site.crew.end_outage();
    site.crew.run(1.0);
    assert_eq!(site.crew.admin_responses[&ticket].0, 200);
    assert_eq!(site.crew.drains.len(), 1);
}

/// Guests of a lower rank fill what is free: they give way to what moves and to the job
/// that waits, and every one of them still ends once.
#[test]
fn guests_give_way_to_what_moves() {
    let mut site = scattered(json!({}), tuning());
    let guests = gpu_task(
        200,
        json!({"rank": "best_effort", "shards": 8, "cpus": 2.0, "runtime_s": 600.0}),
    );
    let guests = site.crew.submit(&guests);
    site.crew.run(10.0);
    assert_eq!(site.placed(guests), 8, "nothing is free");
    let job = site.crew.submit(&whole(1, 30.0));
    site.crew.run(20.0);
    assert_eq!(site.placed(job), 1, "{}", site.moves());
    assert_eq!(site.held().iter().sum::<usize>(), 8, "what moved runs on");
    site.crew.run(2000.0);
    assert_eq!(site.problems(), [""; 0]);
    assert!(site.crew.finished.contains(&guests));
}
