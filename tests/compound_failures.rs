//! Combinations of two or more faults that operators have listed. Each test shifts the time of one
//! fault in small steps across the others and runs one simulation per step. Every rule must hold,
//! and after the faults every job must end. docs/notes/meetings.md has a row for each combination.

mod simulated_cluster;

use std::collections::BTreeMap;

use copperfield_simulation::cluster::{CANCEL_S, LEASE_S};
use serde_json::{Value, json};
use tokio::time::{Duration, sleep};

use simulated_cluster::*;

/// When the first fault of a combination usually begins, in seconds. The first jobs are running by
/// then.
const FAULT_AT_S: f64 = 8.0;
/// Time after the faults in which leases expire, gangs gather again and all jobs end, in seconds.
const RECOVERY_S: f64 = 50.0;
/// Number of the first job of [`FaultSweep::jobs`].
const FIRST_ID: usize = 100;

/// A combination of faults that is simulated several times, with one fault at a different time in
/// each run.
struct FaultSweep {
    /// By how many seconds the time of the shifted fault differs between two runs.
    step_s: f64,
    /// Number of runs.
    steps: u32,
    /// Rounds of the default jobs.
    rounds: u32,
    /// CPUs that the team may use; 0 for no limit.
    limit: f64,
    /// Maximum number of workers.
    capacity: usize,
    /// Further jobs: when each is submitted, how long a task runs, the number of tasks, and the
    /// fields that differ from the defaults.
    jobs: Vec<(f64, f64, u32, Value)>,
    /// When a run ends.
    until_s: f64,
}

impl Default for FaultSweep {
    fn default() -> Self {
        Self {
            step_s: 0.15,
            steps: 8,
            rounds: 2,
            limit: 0.0,
            capacity: 16,
            jobs: Vec::new(),
            until_s: FAULT_AT_S + 20.0 + RECOVERY_S,
        }
    }
}

impl FaultSweep {
    /// Runs the simulations and checks that each violates no rule and ends every job. `faults`
    /// returns the faults of a run, given the seconds by which to shift one of them.
    fn expect_clean_runs(self, faults: impl Fn(f64) -> Vec<(f64, Fault)>) {
        for step in 0..self.steps {
            let shift_s = f64::from(step) * self.step_s;
            let faults = faults(shift_s);
            let (violations, phases) = self.run(u64::from(step), &faults);
            assert!(
                violations.is_empty(),
                "shifted by {shift_s} s, {faults:?}: {violations:#?}"
            );
            let unfinished = unfinished_jobs(&phases);
            assert!(
                unfinished.is_empty(),
                "shifted by {shift_s} s, never ended: {unfinished:?}"
            );
        }
    }

    /// Runs one simulation. Returns the violated rules and the terminal phase that each user
    /// received.
    fn run(
        &self,
        seed: u64,
        faults: &[(f64, Fault)],
    ) -> (Vec<String>, BTreeMap<String, Option<&'static str>>) {
        simulate(async {
            let cluster = start_limited_cluster(seed, 0.0, self.limit);
            cluster.lock().unwrap().site.capacity = self.capacity;
            for (i, (at, runtime_s, tasks, extra)) in self.jobs.iter().enumerate() {
                // A step of 4 avoids the ids of services, which [`unfinished_jobs`] leaves out.
                let number = FIRST_ID + i * 4;
                let body = job(number, "sweep", *tasks, extra.clone());
                let id = format!("wk-{number:06}");
                tokio::spawn(simulate_user(
                    cluster.clone(),
                    id,
                    body,
                    *runtime_s,
                    *at,
                    None,
                ));
            }
            let (violations, _, phases) =
                run_scenario_on(cluster, seed, faults, self.until_s, self.rounds).await;
            (violations, phases)
        })
    }
}

/// A team whose one long job uses all of its 14 CPUs, and whose other jobs are submitted after that
/// job was cancelled and the leader has changed.
fn team_at_its_limit() -> FaultSweep {
    let long_job = (1.0, 60.0, 14, json!({"cpus": 1.0}));
    let later_jobs = (0..16u32).map(|i| {
        (
            FAULT_AT_S + 2.2 + f64::from(i) * 0.5,
            3.0,
            4,
            json!({"cpus": 1.0}),
        )
    });
    FaultSweep {
        rounds: 0,
        limit: 14.0,
        jobs: [long_job].into_iter().chain(later_jobs).collect(),
        ..FaultSweep::default()
    }
}

#[test]
fn users_send_request_bursts_after_jobs_are_accepted_ended_and_cancelled() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (0.5, Fault::RequestBursts(40.0)),
            (2.0, Fault::CancelOnCompletion(0.5, 30.0)),
            (FAULT_AT_S + shift_s, Fault::CancelRunningJobs(3, 0.0)),
            (FAULT_AT_S + 0.6, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn transactions_are_carried_out_and_only_their_answers_are_lost() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (0.5, Fault::RequestBursts(40.0)),
            (3.0, Fault::LoseTransactionAnswers(0.5, 20.0)),
            (FAULT_AT_S + shift_s, Fault::CancelRunningJobs(4, 0.0)),
            (FAULT_AT_S + 1.0, Fault::CrashFollower(0)),
        ]
    });
}

/// Each run cancels its jobs a little later after their last tasks completed, while users send
/// bursts of requests to all controllers. No fault is active.
#[test]
fn jobs_end_during_cancellations_polls_and_repeated_submissions() {
    for step in 0..24u32 {
        let cancel_after_s = f64::from(step) * 0.025;
        let violations = simulate(async move {
            let cluster = start_cluster(u64::from(step), 0.0);
            cluster.lock().unwrap().request_bursts = true;
            tokio::spawn(simulate_workers(cluster.clone()));
            for (id, shape) in [(1, "sweep"), (3, "group"), (5, "sweep")] {
                let body = job(id, shape, id as u32, json!({"cpus": 1.0}));
                let id = format!("wk-{id:06}");
                tokio::spawn(simulate_user(
                    cluster.clone(),
                    id.clone(),
                    body,
                    4.0,
                    1.0,
                    None,
                ));
                let cluster = cluster.clone();
                tokio::spawn(async move {
                    let ended = || {
                        let w = cluster.lock().unwrap();
                        let job = w.site.jobs.get(&id);
                        job.is_some_and(|j| j.done.iter().all(|d| *d))
                    };
                    while !ended() {
                        sleep(Duration::from_millis(5)).await;
                    }
                    sleep(Duration::from_secs_f64(cancel_after_s)).await;
                    cancel_until_answered(cluster, id).await;
                });
            }
            sleep(Duration::from_secs(30)).await;
            let w = cluster.lock().unwrap();
            let ended_jobs = w.site.jobs.values().filter(|j| j.reported_phase.is_some());
            assert_eq!(ended_jobs.count(), 3);
            w.site.violations.clone()
        });
        assert!(
            violations.is_empty(),
            "{cancel_after_s} s after the end: {violations:#?}"
        );
    }
}

#[test]
fn jobs_are_cancelled_while_the_state_service_refuses_the_leader_and_then_everyone() {
    let outage_s = CANCEL_S + 6.0;
    let until_s = FAULT_AT_S + 1.0 + outage_s + RECOVERY_S;
    FaultSweep {
        until_s,
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::RefuseLeader(10.0)),
            (FAULT_AT_S - 0.3 + shift_s, Fault::CancelRunningJobs(4, 0.0)),
            (FAULT_AT_S + 1.0, Fault::StateOutage(outage_s)),
        ]
    });
}

#[test]
fn team_at_its_limit_has_jobs_cancelled_on_hung_workers_while_the_leader_changes() {
    team_at_its_limit().expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::CancelRunningJobs(3, 12.0)),
            (FAULT_AT_S + shift_s, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn team_at_its_limit_has_jobs_cancelled_while_a_new_leader_cannot_reach_some_workers() {
    team_at_its_limit().expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::PartitionWorker(1, 10.0)),
            (FAULT_AT_S, Fault::PartitionWorker(5, 10.0)),
            (FAULT_AT_S + 0.2, Fault::RestartLeaders(1, 0.5)),
            (FAULT_AT_S + 0.6 + shift_s, Fault::CancelRunningJobs(4, 0.0)),
            (FAULT_AT_S + 4.0, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn jobs_are_cancelled_while_workers_change_their_shard_owner() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S - 1.0, Fault::SwitchHeartbeatTargets(12, 0.3)),
            (FAULT_AT_S + shift_s, Fault::CancelRunningJobs(4, 0.0)),
            (FAULT_AT_S + 0.5, Fault::CrashFollower(0)),
        ]
    });
}

#[test]
fn new_workers_boot_fast_while_transactions_are_late_and_the_leader_crashes() {
    let large_job = |i: u32| {
        (
            FAULT_AT_S - 1.0 + f64::from(i),
            4.0,
            30,
            json!({"cpus": 2.0}),
        )
    };
    FaultSweep {
        jobs: (0..2).map(large_job).collect(),
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        vec![
            (0.0, Fault::FastWorkerBoot(40.0)),
            (FAULT_AT_S - 1.0, Fault::LateTransactions(0.5, 8.0)),
            (FAULT_AT_S + shift_s, Fault::RestartLeaders(1, 0.3)),
        ]
    });
}

#[test]
fn old_heartbeats_reach_every_controller_when_a_new_leader_is_elected() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (2.0, Fault::ReplayHeartbeatsToNextLeader(0.7, 30.0)),
            (2.0, Fault::DuplicateHeartbeats(0.4, 30.0)),
            (FAULT_AT_S + shift_s, Fault::RestartLeaders(3, 0.5)),
            (FAULT_AT_S + 1.0, Fault::CancelRunningJobs(3, 0.0)),
        ]
    });
}

#[test]
fn all_controllers_are_down_for_about_a_lease() {
    FaultSweep {
        step_s: 0.5,
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        let down_s = LEASE_S - 2.0 + shift_s;
        vec![
            (FAULT_AT_S - 0.5, Fault::CancelRunningJobs(2, 0.0)),
            (FAULT_AT_S, Fault::RestartAll(down_s)),
        ]
    });
}

#[test]
fn leaders_crash_ten_times_and_the_state_service_is_down() {
    FaultSweep {
        step_s: 1.0,
        steps: 6,
        until_s: FAULT_AT_S + 60.0 + RECOVERY_S,
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::RestartLeaders(10, 1.0)),
            (FAULT_AT_S + shift_s, Fault::StateOutage(9.0)),
            (FAULT_AT_S + 2.0, Fault::CancelRunningJobs(3, 0.0)),
        ]
    });
}

#[test]
fn heartbeats_are_lost_while_direct_messages_reach_the_workers() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        let mut faults: Vec<_> = [2, 4, 6]
            .map(|m| {
                (
                    FAULT_AT_S,
                    Fault::DropHeartbeatsFromWorker(m, 2.0 * LEASE_S),
                )
            })
            .to_vec();
        faults.push((FAULT_AT_S + 2.0 + shift_s, Fault::CancelRunningJobs(4, 0.0)));
        faults.push((FAULT_AT_S + 3.0, Fault::RestartLeaders(1, 0.5)));
        faults
    });
}

#[test]
fn a_zone_with_workers_and_a_controller_is_partitioned_for_longer_than_a_lease() {
    FaultSweep {
        until_s: FAULT_AT_S + 3.0 * LEASE_S + RECOVERY_S,
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::PartitionZone(1.5 * LEASE_S + shift_s)),
            (FAULT_AT_S + shift_s, Fault::CancelRunningJobs(4, 0.0)),
            (FAULT_AT_S + 2.0, Fault::RequestBursts(10.0)),
        ]
    });
}

#[test]
fn jobs_are_cancelled_by_the_next_leader_while_the_last_one_is_partitioned() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::PartitionLeaderFromStateAndPeers(8.0)),
            (FAULT_AT_S, Fault::RequestBursts(20.0)),
            (FAULT_AT_S + 0.8 + shift_s, Fault::CancelRunningJobs(4, 0.0)),
        ]
    });
}

#[test]
fn jobs_restricted_to_one_zone_lose_their_workers() {
    let job_in_zone_b = |i: u32| (1.0, 8.0, 3 + i, json!({"region": "b", "cpus": 1.0}));
    FaultSweep {
        jobs: (0..3).map(job_in_zone_b).collect(),
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S - 2.0 + shift_s, Fault::KillWorker(2)),
            (FAULT_AT_S, Fault::KillWorker(4)),
            (FAULT_AT_S + shift_s, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn jobs_need_more_than_the_capacity_while_the_leader_crashes() {
    let rank = |i: u32| {
        if i.is_multiple_of(3) {
            "urgent"
        } else {
            "normal"
        }
    };
    let job = |i: u32| (1.0 + f64::from(i) * 0.5, 2.0, 8, json!({"rank": rank(i)}));
    FaultSweep {
        capacity: 6,
        jobs: (0..10).map(job).collect(),
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::LateTransactions(0.3, 6.0)),
            (FAULT_AT_S + shift_s, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn one_task_jobs_are_submitted_continuously_and_many_are_cancelled() {
    let job = |i: u32| {
        (
            1.0 + f64::from(i) * 0.25,
            1.5,
            1,
            json!({"cpus": 1.0, "pull_gb": 0.0}),
        )
    };
    FaultSweep {
        steps: 3,
        jobs: (0..120).map(job).collect(),
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        let mut faults: Vec<_> = (0..7u32)
            .map(|i| (4.0 + f64::from(i) * 4.0, Fault::CancelRunningJobs(4, 0.0)))
            .collect();
        faults.push((FAULT_AT_S + shift_s, Fault::RestartLeaders(2, 0.5)));
        faults.push((4.0, Fault::CancelOnCompletion(0.25, 30.0)));
        faults
    });
}

#[test]
fn tasks_of_small_jobs_end_far_apart_while_leaders_crash() {
    // Each task needs a whole large worker, of which there are two.
    let whole_worker = json!({"flavors": ["big"], "cpus": 12.0});
    FaultSweep {
        capacity: 6,
        jobs: vec![
            (1.0, 4.0, 3, whole_worker.clone()),
            (1.5, 6.0, 2, whole_worker),
        ],
        until_s: FAULT_AT_S + 30.0 + RECOVERY_S,
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| vec![(FAULT_AT_S + shift_s, Fault::RestartLeaders(3, 1.0))]);
}

#[test]
fn direct_messages_and_their_answers_are_delayed_for_seconds() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S + shift_s, Fault::HangWorker(1, 4.0)),
            (FAULT_AT_S + shift_s, Fault::PartitionWorker(3, 4.0)),
            (FAULT_AT_S + 1.0, Fault::CancelRunningJobs(4, 5.0)),
            (FAULT_AT_S + 2.0, Fault::PauseController(0, 3.0)),
        ]
    });
}

#[test]
fn leadership_changes_several_times_within_a_second() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::RefuseLeader(0.5)),
            (FAULT_AT_S + shift_s, Fault::RefuseLeader(0.5)),
            (FAULT_AT_S + 1.0 + shift_s, Fault::RestartAll(0.1)),
            (FAULT_AT_S + 1.3, Fault::CancelRunningJobs(3, 0.0)),
        ]
    });
}

#[test]
fn transactions_are_carried_out_after_newer_ones() {
    FaultSweep::default().expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::LateTransactions(0.6, 10.0)),
            (FAULT_AT_S, Fault::RequestBursts(20.0)),
            (FAULT_AT_S + shift_s, Fault::CancelRunningJobs(4, 0.0)),
            (FAULT_AT_S + 2.0, Fault::RestartLeaders(2, 0.5)),
        ]
    });
}

#[test]
fn leader_crashes_while_workers_receive_nothing_and_jobs_are_cancelled() {
    FaultSweep {
        until_s: FAULT_AT_S + 4.0 * LEASE_S + RECOVERY_S,
        ..FaultSweep::default()
    }
    .expect_clean_runs(|shift_s| {
        vec![
            (FAULT_AT_S, Fault::DropMessagesToWorker(1, 1.5 * LEASE_S)),
            (FAULT_AT_S, Fault::DropMessagesToWorker(2, 1.5 * LEASE_S)),
            (FAULT_AT_S + 1.0 + shift_s, Fault::CancelRunningJobs(4, 0.0)),
            (FAULT_AT_S + 1.5, Fault::RestartLeaders(1, 1.0)),
        ]
    });
}
