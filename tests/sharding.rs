//! Days on which the workers are shared among the controllers, and several of them and of
//! the workers fail together, or shares move under running work.

mod simulated_cluster;

use std::time::Duration;

use copperfield::settings::Switch;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

fn clean(name: &str, seeds: std::ops::Range<u64>, faults: &[(f64, Fault)], loss: f64) {
    for seed in seeds {
        let day = simulate(async {
            let world = site(seed, loss);
            play_in(world, seed, faults, 150.0, ROUNDS).await
        });
        expect_clean_day(name, seed, ROUNDS, day);
    }
}

/// A service, a gang and an array run through a fault that is none of theirs: each task is
/// started once, so none was lost, doubled or stopped. Returns how often workers changed the
/// node that answers them.
fn nothing_notices(seed: u64, fault: Fault) -> usize {
    simulate(async {
        let world = site(seed, 0.0);
        for i in 0..6 {
            // Enough that the leader's own are no more than a network's fault explains.
            let (site, zone) = (&mut world.lock().unwrap().site, ["a", "b"][i % 2]);
            site.add_worker("small", zone, false, 0.0);
        }
        tokio::spawn(workers(world.clone()));
        let gang = json!({"one_zone": true, "cpus": 1.0});
        for (id, shape, tasks, extra) in [
            (1, "service", 8, json!({"spread": true})),
            (2, "group", 3, gang),
            (3, "sweep", 5, json!({"cpus": 1.0})),
        ] {
            let body = job(id, shape, tasks, extra);
            let name = format!("wk-{id:06}");
            tokio::spawn(user(world.clone(), name, body, 40.0, 1.0, None));
        }
        tokio::spawn(inflict(world.clone(), 5.0, fault, seed));
        sleep(Duration::from_secs(65)).await;
        let w = world.lock().unwrap();
        assert_eq!(w.site.broken, [""; 0], "seed {seed}");
        assert_eq!(w.site.starts, 16, "seed {seed}");
        for id in [2, 3] {
            let told = w.site.jobs[&format!("wk-{id:06}")].told;
            assert_eq!(told, Some("done"), "seed {seed}: job {id}");
        }
        w.answered_by.values().map(|by| by.len() - 1).sum()
    })
}

/// Each worker is sent to another node every second.
#[test]
fn shares_move_under_running_work_and_nothing_notices() {
    for seed in 400..404 {
        let moves = nothing_notices(seed, Fault::Scatter(40, 1.0));
        assert!(moves >= 100, "seed {seed}: {moves} moves");
    }
}

/// A leader that had lost its workers, and only it, once returned hundreds of good workers for
/// their replicas' sake: its own questions went unanswered, and their zones were heard by others.
#[test]
fn a_leader_that_reaches_no_worker_leads_through_the_others() {
    for seed in 404..408 {
        nothing_notices(seed, Fault::PartLeader(20.0));
    }
}

/// Workers stay where they report, so that all nodes have some.
#[test]
fn every_node_has_a_share() {
    let by = simulate(async {
        let world = site(410, 0.0);
        play_in(world.clone(), 410, &[], 40.0, 2).await;
        let w = world.lock().unwrap();
        w.answered_by.clone()
    });
    let mut nodes: Vec<usize> = by.values().filter_map(|b| b.last().copied()).collect();
    nodes.sort_unstable();
    nodes.dedup();
    assert_eq!(nodes.len(), NODES, "{by:?}");
}

/// Each message between controllers in turn, or the answer to it, while shares move.
#[test]
fn each_message_of_a_move_is_lost() {
    for step in 0..60 {
        for answer in [false, true] {
            let faults = [
                (8.0, Fault::Scatter(4, 1.5)),
                (8.01, Fault::Drop(step, answer)),
            ];
            let name = format!("message {step}, {answer}");
            expect_clean_by(&name, 420..421, &faults, 0.0, 60.0, 2);
        }
    }
}

#[test]
fn holders_and_workers_fail_together() {
    let days: [(&str, &[(f64, Fault)]); 8] = [
        (
            "two nodes and two machines end at once, in a move",
            &[
                (9.5, Fault::Scatter(6, 1.0)),
                (10.0, Fault::Kill(0)),
                (10.0, Fault::Kill(1)),
                (10.0, Fault::Die(3)),
                (10.0, Fault::CutWorker(2, 9.0)),
                (40.0, Fault::Scatter(8, 0.7)),
                (41.0, Fault::Kill(2)),
                (41.0, Fault::Kill(1)),
                (41.2, Fault::Hang(5, 5.0)),
            ],
        ),
        (
            "a holder and the machines it has, in an outage",
            &[
                (12.0, Fault::Outage(9.0)),
                (13.0, Fault::Kill(1)),
                (13.0, Fault::CutWorker(1, 8.0)),
                (13.0, Fault::CutWorker(4, 4.0)),
                (14.0, Fault::Scatter(10, 1.0)),
                (40.0, Fault::Cut(2, "*", 10.0)),
                (40.0, Fault::CutWorker(2, 10.0)),
                (40.0, Fault::CutWorker(5, 10.0)),
            ],
        ),
        (
            "controllers do not reach each other",
            &[
                (8.0, Fault::Cut(0, "host-1", 40.0)),
                (12.0, Fault::Scatter(10, 2.0)),
                (55.0, Fault::Cut(1, "host-2", 30.0)),
                (56.0, Fault::Cut(0, "host-2", 30.0)),
                (60.0, Fault::Scatter(10, 2.0)),
                (70.0, Fault::Die(1)),
            ],
        ),
        (
            "holders stand still while shares move",
            &[
                (8.0, Fault::Scatter(40, 1.2)),
                (9.0, Fault::Freeze(0, 4.0)),
                (16.0, Fault::Freeze(1, 9.0)),
                (30.0, Fault::Freeze(2, 12.0)),
                (46.0, Fault::Freeze(0, 1.4)),
                (46.0, Fault::Freeze(1, 1.4)),
            ],
        ),
        (
            "a holder reaches its machines and nobody else, or everybody but machines",
            &[
                (9.0, Fault::Cut(0, "state", 20.0)),
                (9.0, Fault::Cut(0, "host-1", 20.0)),
                (9.0, Fault::Cut(0, "host-2", 20.0)),
                (40.0, Fault::Cut(1, "vm-000001", 25.0)),
                (40.0, Fault::Cut(1, "vm-000003", 25.0)),
                (42.0, Fault::Cut(1, "vm-000005", 25.0)),
                (44.0, Fault::Scatter(12, 1.5)),
            ],
        ),
        (
            "restarts at once under moves and silent machines",
            &[
                (8.0, Fault::Scatter(50, 0.9)),
                (9.0, Fault::RestartLeaders(6, 0.05)),
                (20.0, Fault::RestartAll(0.1)),
                (21.0, Fault::RestartAll(0.3)),
                (24.0, Fault::CutWorker(2, 14.0)),
                (27.0, Fault::RestartLeaders(4, 0.2)),
                (50.0, Fault::Outage(6.0)),
                (51.0, Fault::RestartAll(0.2)),
            ],
        ),
        (
            "orders do not reach machines whose reports are answered",
            &[
                (10.0, Fault::Cut(0, "host-1", 30.0)),
                (10.0, Fault::Cut(0, "vm-000001", 30.0)),
                (10.0, Fault::Cut(0, "vm-000004", 30.0)),
                (12.0, Fault::Scatter(12, 2.0)),
            ],
        ),
        (
            "a mass loss in a move, and everybody ends in it",
            &[
                (9.0, Fault::Scatter(30, 0.8)),
                (10.0, Fault::Die(1)),
                (10.0, Fault::Die(4)),
                (10.1, Fault::CutWorker(5, 20.0)),
                (11.0, Fault::RestartAll(0.4)),
                (14.0, Fault::Outage(4.0)),
                (30.0, Fault::KillAll),
                (31.0, Fault::Hang(2, 9.0)),
            ],
        ),
    ];
    for (name, faults) in days {
        clean(name, 430..434, faults, 0.004);
    }
}

/// Nodes of which some share and some do not, as while an operator restarts them one by one
/// with other settings.
#[test]
fn some_nodes_share_and_some_do_not() {
    for on in 0..8u32 {
        let faults = [
            (8.0, Fault::Scatter(20, 1.5)),
            (12.0, Fault::RestartLeaders(3, 0.3)),
            (30.0, Fault::Kill(0)),
            (36.0, Fault::CutWorker(2, 9.0)),
        ];
        let day = simulate(async {
            let world = site(440, 0.0);
            for i in 0..NODES {
                kill(&world, i);
                let share = on & (1 << i) > 0;
                world.lock().unwrap().shares[i] = if share { Switch::On } else { Switch::Off };
                boot(&world, i, 440 + i as u64);
            }
            play_in(world, 440, &faults, 150.0, ROUNDS).await
        });
        expect_clean_day(&format!("shared by {on:03b}"), 440, ROUNDS, day);
    }
}

/// Twenty tasks that last, so that every worker has some, and the rules that were broken.
/// Workers that others than the leader speak with are cut off from everything, so often and
/// for so long.
fn with_long_work(seed: u64, cuts: &'static [(f64, f64)], faults: &[(f64, Fault)]) -> Vec<String> {
    simulate(async {
        let world = site(seed, 0.0);
        let sweep = job(900, "sweep", 20, json!({"cpus": 1.0}));
        let name = "wk-000900".to_string();
        tokio::spawn(user(world.clone(), name, sweep, 60.0, 0.5, None));
        let cut = world.clone();
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(cuts[0].0 - 0.1)).await;
            let leads = leader(&cut).expect("a leader");
            let held = |(name, node): (&String, &usize)| {
                let number: usize = name[3..].parse().expect("our own names");
                (*node != leads && number <= 6).then_some(number)
            };
            let held: Vec<usize> = cut
                .lock()
                .unwrap()
                .targets
                .iter()
                .filter_map(held)
                .collect();
            for m in held {
                for (at, for_s) in cuts {
                    let fault = Fault::CutWorker(m, *for_s);
                    tokio::spawn(inflict(cut.clone(), at - cuts[0].0 + 0.1, fault, seed));
                }
            }
        });
        let (broken, ..) = play_in(world, seed, faults, 40.0, 1).await;
        broken
    })
}

/// What a shard owner answered last is in the record of silent workers: else the next leader takes
/// leases for over that a shard owner had renewed. The last leader is away for longer than a TTL, as
/// it would not know for whom it had vouched.
#[test]
fn the_record_knows_what_holders_answered() {
    for step in 0..12 {
        let at = 12.4 + 0.1 * f64::from(step);
        let broken = with_long_work(450, &[(10.0, 25.0)], &[(at, Fault::RestartLeaders(1, 3.0))]);
        assert!(broken.is_empty(), "step {step}: {broken:#?}");
    }
}

/// Workers on the record come back for a second while the leader cannot store their removal:
/// no shard owner may answer them. Planted, the next leader took leases for over that were renewed,
/// where the shard owner ended as well and could not tell.
#[test]
fn no_holder_breaks_the_promise_of_the_record() {
    for step in 0..16u32 {
        let cuts = &[(10.0, 4.0), (15.1, 20.0)];
        let faults = [
            (13.7 + 0.04 * f64::from(step / 2), Fault::CutLeader(20.0)),
            (15.0, Fault::KillFollower(step as usize % 2)),
        ];
        let broken = with_long_work(460, cuts, &faults);
        assert!(broken.is_empty(), "step {step}: {broken:#?}");
    }
}
