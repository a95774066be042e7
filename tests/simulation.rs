//! Runs whole controllers in a simulated cluster with injected faults. Each run uses simulated time
//! and a fixed seed, and checks every rule of the simulation.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::{Job, Site};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use simulated_cluster::*;

#[test]
fn run_without_faults_violates_no_rule() {
    expect_clean("no faults", 1..3, &[], 0.0);
}

#[test]
fn controllers_crash_one_by_one_and_all_together() {
    let faults = [
        (8.0, Fault::CrashController(0)),
        (16.0, Fault::CrashController(1)),
        (24.0, Fault::CrashController(2)),
        (40.0, Fault::CrashAll),
    ];
    expect_clean("crashes", 10..13, &faults, 0.0);
}

#[test]
fn leaders_crash_in_a_state_outage_while_a_worker_is_partitioned() {
    let faults = [
        (12.0, Fault::StateOutage(9.0)),
        (14.0, Fault::PartitionWorker(2, 12.0)),
        (15.0, Fault::CrashController(0)),
        (16.0, Fault::CrashController(1)),
        (40.0, Fault::StateOutage(12.0)),
        (45.0, Fault::CrashAll),
    ];
    expect_clean("outages and crashes", 20..24, &faults, 0.002);
}

#[test]
fn a_controller_is_cut_off_from_the_state_service_alone_or_from_all() {
    let faults = [
        (8.0, Fault::PartitionController(0, "state", 12.0)),
        (25.0, Fault::PartitionController(1, "*", 10.0)),
        (40.0, Fault::PartitionController(2, "state", 10.0)),
        (42.0, Fault::PartitionController(0, "*", 15.0)),
    ];
    expect_clean("partitioned controllers", 30..34, &faults, 0.002);
}

#[test]
fn workers_hang_die_and_are_partitioned_while_messages_are_delayed() {
    let faults = [
        (6.0, Fault::HangWorker(1, 4.0)),
        (12.0, Fault::HangWorker(3, 20.0)),
        (20.0, Fault::PartitionWorker(5, 4.0)),
        (26.0, Fault::PartitionWorker(2, 25.0)),
        (30.0, Fault::KillWorker(4)),
        (35.0, Fault::CrashController(0)),
    ];
    expect_clean("worker faults", 40..44, &faults, 0.005);
}

/// Workers are unresponsive for longer and for shorter than their lease, while one leader after
/// another crashes, and during an outage in which the peers extend the leader's lease.
#[test]
fn workers_are_unresponsive_and_return_while_leaders_change() {
    let faults = [
        (10.0, Fault::PartitionWorker(2, 14.0)),
        (10.0, Fault::PartitionWorker(4, 5.0)),
        (13.0, Fault::CrashController(0)),
        (14.5, Fault::CrashController(1)),
        (16.0, Fault::CrashController(2)),
        (28.0, Fault::PartitionWorker(1, 4.5)),
        (28.0, Fault::HangWorker(3, 5.0)),
        (30.0, Fault::StateOutage(5.0)),
        (36.0, Fault::CrashController(1)),
        (48.0, Fault::PartitionWorker(0, 4.0)),
        (51.0, Fault::StateOutage(4.0)),
        (53.0, Fault::CrashAll),
        (62.0, Fault::PartitionWorker(5, 9.0)),
        (65.0, Fault::PauseController(0, 2.5)),
        (65.5, Fault::PauseController(1, 2.0)),
    ];
    expect_clean("unresponsive workers", 80..90, &faults, 0.004);
}

/// The pauses are shorter than a leader's lease, about as long, longer, and much longer. Every
/// controller pauses, so the leader does too.
#[test]
fn controllers_pause_while_their_clocks_run() {
    let faults = [
        (6.0, Fault::PauseController(0, 0.6)),
        (8.0, Fault::PauseController(1, 1.4)),
        (11.0, Fault::PauseController(2, 1.7)),
        (14.0, Fault::PauseController(0, 1.4)),
        (18.0, Fault::PauseController(1, 3.0)),
        (24.0, Fault::PauseController(2, 6.0)),
        (32.0, Fault::PauseController(0, 25.0)),
        (60.0, Fault::PauseController(1, 14.0)),
    ];
    expect_clean("pauses", 50..56, &faults, 0.002);
}

/// All controllers pause at once, during an outage, and together with crashes and partitions.
#[test]
fn controllers_pause_in_a_state_outage_and_with_other_faults() {
    let faults = [
        (10.0, Fault::StateOutage(8.0)),
        (11.0, Fault::PauseController(0, 3.0)),
        (13.0, Fault::PauseController(1, 1.2)),
        (14.0, Fault::PauseController(2, 9.0)),
        (28.0, Fault::PartitionController(0, "state", 8.0)),
        (29.0, Fault::PauseController(1, 5.0)),
        (30.0, Fault::PartitionWorker(2, 14.0)),
        (42.0, Fault::PauseController(0, 4.0)),
        (42.0, Fault::PauseController(1, 4.5)),
        (42.0, Fault::PauseController(2, 5.0)),
        (55.0, Fault::CrashController(1)),
        (55.5, Fault::PauseController(0, 1.4)),
        (57.0, Fault::PauseController(2, 12.0)),
    ];
    expect_clean("pauses and other faults", 60..66, &faults, 0.002);
}

/// Users poll a hundred times a second while leaders crash, pause and recover, and while the state
/// service is down.
#[test]
fn users_poll_at_a_high_rate_while_leaders_change() {
    let faults = [
        (5.0, Fault::RandomPolls(60.0)),
        (10.0, Fault::CrashController(0)),
        (18.0, Fault::PauseController(1, 1.4)),
        (22.0, Fault::PauseController(2, 7.0)),
        (35.0, Fault::StateOutage(6.0)),
        (37.0, Fault::PauseController(0, 2.0)),
        (50.0, Fault::CrashAll),
    ];
    expect_clean("random polls", 70..73, &faults, 0.002);
}

/// A process may restart within a fraction of a second. Its own leader key then still exists, its
/// messages are still in flight, and it remembers none of the votes that it granted.
#[test]
fn processes_restart_immediately() {
    let faults = [
        (6.0, Fault::RestartAll(0.05)),
        (10.0, Fault::RestartLeaders(8, 0.1)),
        (18.0, Fault::PartitionWorker(2, 14.0)),
        (22.0, Fault::RestartAll(0.5)),
        (22.3, Fault::RestartAll(0.2)),
        (23.0, Fault::RestartAll(0.1)),
        (26.0, Fault::RestartLeaders(4, 0.3)),
        (34.0, Fault::StateOutage(6.0)),
        (35.0, Fault::RestartLeaders(2, 0.1)),
        (38.0, Fault::RestartAll(0.1)),
        (44.0, Fault::PartitionController(0, "state", 6.0)),
        (45.0, Fault::PartitionController(1, "state", 6.0)),
        (46.0, Fault::RestartLeaders(3, 0.05)),
        (52.0, Fault::PauseController(2, 1.4)),
        (52.2, Fault::RestartLeaders(6, 0.2)),
        (60.0, Fault::HangWorker(3, 9.0)),
        (61.0, Fault::RestartAll(0.3)),
    ];
    expect_clean("immediate restarts", 200..206, &faults, 0.003);
}

/// The leader crashes every 0.4 s, and later all controllers do, so that none gets far after a
/// restart.
#[test]
fn processes_crash_in_loops() {
    let mut faults = Vec::new();
    for n in 0..25 {
        let at = f64::from(n) * 0.4;
        faults.push((8.0 + at, Fault::RestartLeaders(1, 0.1)));
        faults.push((30.0 + at, Fault::RestartAll(0.15)));
    }
    expect_clean("crash loops", 210..213, &faults, 0.002);
}

/// All controllers crash at once, and during the following start a process crashes again at one of
/// its messages to the state service. Covers the first 40 messages, which reach into the first
/// seconds of the new leader, each both before it is sent and after it was carried out.
#[test]
fn a_process_crashes_at_each_message_of_a_start() {
    for step in 0..40 {
        for after_execution in [false, true] {
            let faults = [
                (9.0, Fault::RestartAll(FAST_RESTART_S)),
                (9.05, Fault::CrashAtStateMessage(step, after_execution)),
            ];
            let name = format!("message {step}, after execution: {after_execution}");
            expect_clean_until(&name, 220..221, &faults, 0.0, 60.0, 2);
        }
    }
}

/// A process crashes at one of its messages to the state service after all controllers have
/// crashed, and the state service is down for 3 s, beginning between 0.4 s before and 0.5 s after
/// that crash.
#[test]
fn a_process_crashes_at_each_message_of_a_start_around_a_state_outage() {
    for step in 0..40 {
        let faults = [
            (9.0, Fault::RestartAll(FAST_RESTART_S)),
            (9.05, Fault::CrashAtStateMessage(step, step % 2 == 0)),
            (8.6 + f64::from(step % 4) * 0.3, Fault::StateOutage(3.0)),
        ];
        expect_clean_until(&format!("message {step}"), 230..231, &faults, 0.0, 60.0, 2);
    }
}

/// Returns the seconds until the next leader is elected, after the leader or, if `all`, every
/// controller has crashed. Crashed controllers restart after `restart_after_s`.
fn time_until_elected_s(seed: u64, all: bool, restart_after_s: f64) -> f64 {
    simulate(async move {
        let cluster = start_cluster(seed, 0.0);
        tokio::spawn(simulate_workers(cluster.clone()));
        sleep(Duration::from_secs(6)).await;
        let first = leader(&cluster).expect("a leader");
        let leader_key = |cluster: &SharedCluster| {
            cluster
                .lock()
                .unwrap()
                .state
                .handle(0.0, "GET", "/kv/cf/leader", b"")
        };
        let token_before = leader_key(&cluster).1["stamp"].clone();
        let crashed = Instant::now();
        for i in (0..CONTROLLERS).filter(|&i| all || i == first) {
            restart_controller(&cluster, i, restart_after_s);
        }
        loop {
            let (status, key) = leader_key(&cluster);
            if status == 200 && key["stamp"] != token_before {
                return crashed.elapsed().as_secs_f64();
            }
            sleep(Duration::from_millis(5)).await;
        }
    })
}

/// Guards against an election that waits for the lease of a crashed leader, and for one more TTL if
/// all controllers have crashed. The TTL is 1.5 s here and 2.5 s by default.
#[test]
fn a_leader_that_restarts_at_once_is_replaced_before_its_lease_ends() {
    for seed in 240..246 {
        for all in [false, true] {
            let elected_after_s = time_until_elected_s(seed, all, FAST_RESTART_S);
            assert!(
                elected_after_s < 0.6,
                "seed {seed}, all {all}: {elected_after_s} s"
            );
        }
    }
}

/// Guards against controllers that wait one TTL after their start because of votes that they may
/// have granted, although all have restarted and no leader can still hold such votes.
#[test]
fn after_all_restarted_no_lease_extension_vote_delays_the_election() {
    for seed in 250..256 {
        let elected_after_s = time_until_elected_s(seed, true, 2.5);
        assert!(
            elected_after_s < 2.5 + 0.5,
            "seed {seed}: {elected_after_s} s"
        );
    }
}

/// A controller that has just restarted may have voted to extend a lease before the restart, so it
/// must assume that unresponsive workers were answered since. Guards against its election while
/// another controller still knows which votes it granted. Such an election once restarted the leases
/// of 396 workers.
#[test]
fn a_restarted_controller_lets_others_lead_while_workers_are_unresponsive() {
    for seed in 100..106 {
        simulate(async move {
            let cluster = start_cluster(seed, 0.0);
            tokio::spawn(simulate_workers(cluster.clone()));
            sleep(Duration::from_secs(8)).await;
            tokio::spawn(inject_fault(
                cluster.clone(),
                0.0,
                Fault::PartitionWorker(2, 30.0),
                seed,
            ));
            // By then the worker is in the fencing record.
            sleep(Duration::from_secs_f64(3.4)).await;
            let first = leader(&cluster).expect("a first leader");
            kill_controller(&cluster, first);
            start_controller(&cluster, first, seed + 50);
            sleep(Duration::from_secs_f64(2.6)).await;
            let second = leader(&cluster).expect("a second leader");
            assert_ne!(second, first, "seed {seed}");
            kill_controller(&cluster, second);
            start_controller(&cluster, second, seed + 60);
            sleep(Duration::from_secs_f64(3.0)).await;
            let third = leader(&cluster).expect("a third leader");
            assert_eq!(
                third,
                3 - first - second,
                "seed {seed}: not {first} nor {second}"
            );
        });
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let faults = [
        (10.0, Fault::CrashController(0)),
        (20.0, Fault::StateOutage(5.0)),
    ];
    let run = || run_scenario(7, &faults, 0.01, 60.0, JOB_ROUNDS);
    assert_eq!(run(), run());
}

/// Starts a task and returns the rules that the start violates.
fn start_task(site: &mut Site, worker: &str, task: &str, attempt: u64) -> Vec<String> {
    let order = json!([{"verb": "start", "shard": task, "try": attempt}]);
    site.execute_commands(worker, &order);
    site.advance_worker(worker, 0.0);
    site.violations
        .drain(..)
        .map(|violation| violation.split(' ').nth(1).unwrap().to_string())
        .collect()
}

/// Guards against a checker that overlooks violations.
#[test]
fn checker_reports_violations_of_starts_answers_and_leases() {
    let mut site = Site::default();
    let a = site.add_worker("small", "a", true, 0.0);
    let b = site.add_worker("small", "b", false, 0.0);
    let c = site.add_worker("small", "b", false, 0.0);
    let mut add_job = |id: usize, extra: Value| {
        let body = job(id, "service", 2, extra);
        let job = Job {
            body,
            runtime_s: 1.0,
            accepted_at: Some(0.0),
            reported_at: 0.0,
            cancelled_at: None,
            done: vec![false; 2],
            reported_phase: None,
            last_answer_at: 0.0,
        };
        site.jobs.insert(format!("wk-{id:06}"), job);
    };
    add_job(1, json!({"preemptibles": true, "pull_gb": 0.0}));
    add_job(
        2,
        json!({"preemptibles": false, "pull_gb": 0.0, "region": "b"}),
    );
    add_job(
        3,
        json!({"preemptibles": true, "pull_gb": 0.0, "spread": true}),
    );
    add_job(
        4,
        json!({"preemptibles": true, "pull_gb": 0.0, "one_zone": true}),
    );
    add_job(5, json!({"preemptibles": true, "pull_gb": 0.0}));
    site.jobs.get_mut("wk-000005").unwrap().cancelled_at = Some(-100.0);
    assert_eq!(
        start_task(&mut site, &a, "wk-000001/0", 1),
        Vec::<String>::new()
    );
    assert_eq!(start_task(&mut site, &b, "wk-000001/0", 2), ["ran_twice:"]);
    assert_eq!(
        start_task(&mut site, &a, "wk-000002/0", 3),
        ["wrong_place:", "wrong_place:"]
    );
    assert_eq!(
        start_task(&mut site, &b, "wk-000003/0", 4),
        Vec::<String>::new()
    );
    assert_eq!(
        start_task(&mut site, &c, "wk-000003/1", 5),
        ["wrong_place:"]
    );
    assert_eq!(
        start_task(&mut site, &c, "wk-000004/0", 6),
        Vec::<String>::new()
    );
    let d = site.add_worker("small", "a", false, 0.0);
    assert_eq!(
        start_task(&mut site, &d, "wk-000004/1", 7),
        ["wrong_place:"]
    );
    assert_eq!(
        start_task(&mut site, &d, "wk-000005/0", 8),
        ["ran_cancelled:"]
    );
    site.check_user_answer("wk-000001", 1.0, 200, Some("done"));
    site.check_user_answer("wk-000001", 1.0, 200, Some("running"));
    site.check_user_answer("wk-000002", 1.0, 404, None);
    site.check_user_answer("wk-999999", 1.0, 200, Some("pending"));
    let rules: Vec<&str> = site
        .violations
        .iter()
        .filter_map(|violation| violation.split(' ').nth(1))
        .collect();
    assert_eq!(
        rules,
        ["not_done:", "went_back:", "forgotten:", "invented:"]
    );
    site.now = 80.0;
    site.jobs.get_mut("wk-000002").unwrap().last_answer_at = 70.0;
    site.check_jobs_answered(75.0);
    let unanswered_violations = site.violations.split_off(4);
    let lost_job = |id: &str| format!("80.0 forgotten: {id}, unanswered for 75 s");
    let unanswered = ["wk-000001", "wk-000003", "wk-000004", "wk-000005"];
    assert_eq!(unanswered_violations, unanswered.map(lost_job));
    // The lease of `d` is renewed while a task of the cancelled job is on it.
    site.check_lease_renewal(&d);
    let renewed = site.violations.pop().expect("a violation");
    assert_eq!(
        renewed,
        format!("80.0 renewed_cancelled: wk-000005/0 on {d}")
    );
    assert_eq!(site.violations.len(), 4);
}

/// Returns the rules that were violated since the last call.
fn violated_rules(site: &mut Site) -> Vec<String> {
    let rule = |violation: String| violation.split(' ').nth(1).unwrap().to_string();
    site.violations.drain(..).map(rule).collect()
}

/// Guards against a checker that overlooks violations of the rules for team limits, waiting jobs
/// and starts of cancelled jobs.
#[test]
fn checker_reports_exceeded_limits_waiting_jobs_and_late_starts() {
    let mut site = Site::default();
    let a = site.add_worker("small", "a", false, 0.0);
    site.cpu_limits.insert("team".into(), 3.0);
    let mut add_job = |id: usize| {
        let body = job(id, "sweep", 1, json!({"pull_gb": 0.0}));
        let mut job = Job::new(&body, 1.0);
        job.accepted_at = Some(0.0);
        site.jobs.insert(format!("wk-{id:06}"), job);
    };
    (1..=4).for_each(&mut add_job);
    // Tasks of a cancelled job count towards the limit of 3 CPUs: each of the two tasks uses 2
    // CPUs.
    site.jobs.get_mut("wk-000001").unwrap().cancelled_at = Some(0.0);
    assert_eq!(
        start_task(&mut site, &a, "wk-000001/0", 1),
        Vec::<String>::new()
    );
    assert_eq!(start_task(&mut site, &a, "wk-000002/0", 2), ["quota:"]);

    // After both tasks have ended, the worker has room and the team is under its limit.
    site.execute_commands(
        &a,
        &json!([{"verb": "halt", "shard": "wk-000001/0", "try": 1, "drain_s": 0.0},
            {"verb": "halt", "shard": "wk-000002/0", "try": 2, "drain_s": 0.0}]),
    );
    site.jobs.get_mut("wk-000001").unwrap().reported_phase = Some("withdrawn");
    site.jobs.get_mut("wk-000002").unwrap().reported_phase = Some("done");
    site.jobs.get_mut("wk-000003").unwrap().body["asked"] = json!(true);
    site.now = 89.0;
    site.check_waiting_jobs(90.0);
    assert_eq!(violated_rules(&mut site), Vec::<String>::new());
    site.now = 91.0;
    site.check_waiting_jobs(90.0);
    assert_eq!(
        site.violations,
        ["91.0 unplaced: wk-000004, for 90 s despite free capacity"]
    );
    site.violations.clear();
    site.cpu_limits.insert("team".into(), 1.0);
    site.check_waiting_jobs(90.0);
    assert_eq!(violated_rules(&mut site), Vec::<String>::new());

    let start = json!({"verb": "start", "shard": "wk-000001/0", "try": 9});
    let halt = json!({"verb": "halt", "shard": "wk-000001/0", "try": 9, "drain_s": 0.0});
    site.check_commands(&json!([start, halt]), 2.0);
    assert_eq!(violated_rules(&mut site), Vec::<String>::new());
    site.check_commands(&json!([start]), 2.0);
    assert_eq!(violated_rules(&mut site), ["started_cancelled:"]);

    // A repeated submission is rejected, and another one is answered with an older phase. An answer
    // to a request that was sent before the newer answer arrived is counted but violates no rule.
    site.check_user_answer("wk-000004", 91.0, 422, None);
    site.jobs.get_mut("wk-000004").unwrap().body["asked"] = json!(true);
    site.check_user_answer("wk-000004", 91.0, 200, Some("withdrawn"));
    assert_eq!(violated_rules(&mut site), ["forgotten:"]);
    site.now = 92.0;
    site.check_user_answer("wk-000004", 90.9, 201, Some("pending"));
    assert_eq!(
        (violated_rules(&mut site).len(), site.overtaken_answers),
        (0, 1)
    );
    site.check_user_answer("wk-000004", 91.1, 201, Some("pending"));
    assert_eq!(violated_rules(&mut site), ["went_back:"]);
}
