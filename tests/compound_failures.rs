//! Each meeting of troubles on the operators' page, brought about on purpose: the second trouble
//! is moved across the first in small steps, on days of their own jobs. Every rule holds, and after
//! the troubles every job ends. docs/notes/meetings.md has a row for each.

mod simulated_cluster;

use std::collections::BTreeMap;

use copperfield_simulation::cluster::{CANCEL_S, LEASE_S};
use serde_json::{Value, json};
use tokio::time::{Duration, sleep};

use simulated_cluster::*;

/// When the first trouble of a meeting begins: the jobs of the day run by then.
const AT: f64 = 8.0;
/// After the troubles leases run out, gangs gather anew and all is done.
const AFTER_S: f64 = 50.0;
const FIRST_ID: usize = 100;

/// A meeting, and the jobs that it needs beside those of every day.
struct Meeting {
    /// Seconds between two days of the sweep.
    step_s: f64,
    steps: u32,
    /// Of the jobs of every day.
    rounds: u32,
    /// CPUs that the team may use; 0 for no limit.
    limit: f64,
    /// Workers that there may be.
    capacity: usize,
    /// When a job is submitted, how long a task runs, tasks, and what else it says.
    jobs: Vec<(f64, f64, u32, Value)>,
    until_s: f64,
}

impl Default for Meeting {
    fn default() -> Self {
        Self {
            step_s: 0.15,
            steps: 8,
            rounds: 2,
            limit: 0.0,
            capacity: 16,
            jobs: Vec::new(),
            until_s: AT + 20.0 + AFTER_S,
        }
    }
}

impl Meeting {
    /// Plays the days of the sweep: the troubles of each, by what is added to the time of the one
    /// that moves.
    fn holds(self, troubles: impl Fn(f64) -> Vec<(f64, Fault)>) {
        for step in 0..self.steps {
            let later_s = f64::from(step) * self.step_s;
            let faults = troubles(later_s);
            let (broken, told) = self.play(u64::from(step), &faults);
            assert!(
                broken.is_empty(),
                "{later_s} s later, {faults:?}: {broken:#?}"
            );
            let open = never_ended(&told);
            assert!(open.is_empty(), "{later_s} s later, never ended: {open:?}");
        }
    }

    fn play(
        &self,
        seed: u64,
        faults: &[(f64, Fault)],
    ) -> (Vec<String>, BTreeMap<String, Option<&'static str>>) {
        simulate(async {
            let cluster = start_limited_cluster(seed, 0.0, self.limit);
            cluster.lock().unwrap().site.capacity = self.capacity;
            for (i, (at, run_s, tasks, extra)) in self.jobs.iter().enumerate() {
                // Not of those that never end.
                let number = FIRST_ID + i * 4;
                let body = job(number, "sweep", *tasks, extra.clone());
                let id = format!("wk-{number:06}");
                tokio::spawn(simulate_user(cluster.clone(), id, body, *run_s, *at, None));
            }
            let (broken, _, told) =
                run_scenario_on(cluster, seed, faults, self.until_s, self.rounds).await;
            (broken, told)
        })
    }
}

/// A team at its limit of 14 CPUs with one long job, and others that come once that is called off
/// and the leader has changed.
fn at_the_limit() -> Meeting {
    let long = (1.0, 60.0, 14, json!({"cpus": 1.0}));
    let rest = (0..16u32).map(|i| (AT + 2.2 + f64::from(i) * 0.5, 3.0, 4, json!({"cpus": 1.0})));
    Meeting {
        rounds: 0,
        limit: 14.0,
        jobs: [long].into_iter().chain(rest).collect(),
        ..Meeting::default()
    }
}

#[test]
fn users_look_closely_at_what_was_accepted_ended_and_called_off() {
    Meeting::default().holds(|later_s| {
        vec![
            (0.5, Fault::RequestBursts(40.0)),
            (2.0, Fault::CancelOnCompletion(0.5, 30.0)),
            (AT + later_s, Fault::CancelRunningJobs(3, 0.0)),
            (AT + 0.6, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn a_transaction_is_carried_out_at_once_and_only_its_answer_is_lost() {
    Meeting::default().holds(|later_s| {
        vec![
            (0.5, Fault::RequestBursts(40.0)),
            (3.0, Fault::LoseTransactionAnswers(0.5, 20.0)),
            (AT + later_s, Fault::CancelRunningJobs(4, 0.0)),
            (AT + 1.0, Fault::CrashFollower(0)),
        ]
    });
}

/// Nothing else is wrong. What users are told in these milliseconds is looked at by all nodes.
#[test]
fn the_end_of_a_job_meets_cancellations_questions_and_submissions() {
    for step in 0..24u32 {
        let later_s = f64::from(step) * 0.025;
        let broken = simulate(async move {
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
                    sleep(Duration::from_secs_f64(later_s)).await;
                    cancel_until_answered(cluster, id).await;
                });
            }
            sleep(Duration::from_secs(30)).await;
            let w = cluster.lock().unwrap();
            let told = w.site.jobs.values().filter(|j| j.reported_phase.is_some());
            assert_eq!(told.count(), 3);
            w.site.violations.clone()
        });
        assert!(broken.is_empty(), "{later_s} s after the end: {broken:#?}");
    }
}

#[test]
fn jobs_are_cancelled_as_the_leader_is_refused_alone_and_then_everybody_is() {
    let outage_s = CANCEL_S + 6.0;
    let until_s = AT + 1.0 + outage_s + AFTER_S;
    Meeting {
        until_s,
        ..Meeting::default()
    }
    .holds(|later_s| {
        vec![
            (AT, Fault::RefuseLeader(10.0)),
            (AT - 0.3 + later_s, Fault::CancelRunningJobs(4, 0.0)),
            (AT + 1.0, Fault::StateOutage(outage_s)),
        ]
    });
}

#[test]
fn a_team_at_its_limit_has_jobs_cancelled_on_workers_that_hang_and_the_leader_changes() {
    at_the_limit().holds(|later_s| {
        vec![
            (AT, Fault::CancelRunningJobs(3, 12.0)),
            (AT + later_s, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn a_team_at_its_limit_has_jobs_cancelled_while_a_new_leader_cannot_ask_some_workers() {
    at_the_limit().holds(|later_s| {
        vec![
            (AT, Fault::PartitionWorker(1, 10.0)),
            (AT, Fault::PartitionWorker(5, 10.0)),
            (AT + 0.2, Fault::RestartLeaders(1, 0.5)),
            (AT + 0.6 + later_s, Fault::CancelRunningJobs(4, 0.0)),
            (AT + 4.0, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn jobs_are_cancelled_while_a_controllers_work_changes_hands() {
    Meeting::default().holds(|later_s| {
        vec![
            (AT - 1.0, Fault::SwitchHeartbeatTargets(12, 0.3)),
            (AT + later_s, Fault::CancelRunningJobs(4, 0.0)),
            (AT + 0.5, Fault::CrashFollower(0)),
        ]
    });
}

#[test]
fn new_workers_are_up_at_once_while_writes_lag_and_the_leader_ends() {
    let many = |i: u32| (AT - 1.0 + f64::from(i), 4.0, 30, json!({"cpus": 2.0}));
    Meeting {
        jobs: (0..2).map(many).collect(),
        ..Meeting::default()
    }
    .holds(|later_s| {
        vec![
            (0.0, Fault::FastWorkerBoot(40.0)),
            (AT - 1.0, Fault::LateTransactions(0.5, 8.0)),
            (AT + later_s, Fault::RestartLeaders(1, 0.3)),
        ]
    });
}

#[test]
fn old_reports_reach_every_controller_as_a_new_leader_begins() {
    Meeting::default().holds(|later_s| {
        vec![
            (2.0, Fault::ReplayHeartbeatsToNextLeader(0.7, 30.0)),
            (2.0, Fault::DuplicateHeartbeats(0.4, 30.0)),
            (AT + later_s, Fault::RestartLeaders(3, 0.5)),
            (AT + 1.0, Fault::CancelRunningJobs(3, 0.0)),
        ]
    });
}

#[test]
fn all_controllers_are_away_for_about_a_lease() {
    Meeting {
        step_s: 0.5,
        ..Meeting::default()
    }
    .holds(|later_s| {
        let away_s = LEASE_S - 2.0 + later_s;
        vec![
            (AT - 0.5, Fault::CancelRunningJobs(2, 0.0)),
            (AT, Fault::RestartAll(away_s)),
        ]
    });
}

#[test]
fn leaders_change_ten_times_also_in_an_outage() {
    Meeting {
        step_s: 1.0,
        steps: 6,
        until_s: AT + 60.0 + AFTER_S,
        ..Meeting::default()
    }
    .holds(|later_s| {
        vec![
            (AT, Fault::RestartLeaders(10, 1.0)),
            (AT + later_s, Fault::StateOutage(9.0)),
            (AT + 2.0, Fault::CancelRunningJobs(3, 0.0)),
        ]
    });
}

#[test]
fn workers_reach_no_controller_while_direct_commands_reach_them() {
    Meeting::default().holds(|later_s| {
        let mut all: Vec<_> = [2, 4, 6]
            .map(|m| (AT, Fault::DropHeartbeatsFromWorker(m, 2.0 * LEASE_S)))
            .to_vec();
        all.push((AT + 2.0 + later_s, Fault::CancelRunningJobs(4, 0.0)));
        all.push((AT + 3.0, Fault::RestartLeaders(1, 0.5)));
        all
    });
}

#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    Meeting {
        until_s: AT + 3.0 * LEASE_S + AFTER_S,
        ..Meeting::default()
    }
    .holds(|later_s| {
        vec![
            (AT, Fault::PartitionZone(1.5 * LEASE_S + later_s)),
            (AT + later_s, Fault::CancelRunningJobs(4, 0.0)),
            (AT + 2.0, Fault::RequestBursts(10.0)),
        ]
    });
}

#[test]
fn a_leader_without_state_and_peers_while_jobs_are_cancelled_through_the_next() {
    Meeting::default().holds(|later_s| {
        vec![
            (AT, Fault::PartitionLeaderFromStateAndPeers(8.0)),
            (AT, Fault::RequestBursts(20.0)),
            (AT + 0.8 + later_s, Fault::CancelRunningJobs(4, 0.0)),
        ]
    });
}

#[test]
fn jobs_bound_to_one_zone_lose_their_workers() {
    let bound = |i: u32| (1.0, 8.0, 3 + i, json!({"region": "b", "cpus": 1.0}));
    Meeting {
        jobs: (0..3).map(bound).collect(),
        ..Meeting::default()
    }
    .holds(|later_s| {
        vec![
            (AT - 2.0 + later_s, Fault::KillWorker(2)),
            (AT, Fault::KillWorker(4)),
            (AT + later_s, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn there_is_more_work_than_room() {
    let rank = |i: u32| {
        if i.is_multiple_of(3) {
            "urgent"
        } else {
            "normal"
        }
    };
    let job = |i: u32| (1.0 + f64::from(i) * 0.5, 2.0, 8, json!({"rank": rank(i)}));
    Meeting {
        capacity: 6,
        jobs: (0..10).map(job).collect(),
        ..Meeting::default()
    }
    .holds(|later_s| {
        vec![
            (AT, Fault::LateTransactions(0.3, 6.0)),
            (AT + later_s, Fault::RestartLeaders(1, 0.5)),
        ]
    });
}

#[test]
fn one_task_jobs_come_all_the_time_and_many_are_cancelled() {
    let job = |i: u32| {
        (
            1.0 + f64::from(i) * 0.25,
            1.5,
            1,
            json!({"cpus": 1.0, "pull_gb": 0.0}),
        )
    };
    Meeting {
        steps: 3,
        jobs: (0..120).map(job).collect(),
        ..Meeting::default()
    }
    .holds(|later_s| {
        let mut all: Vec<_> = (0..7u32)
            .map(|i| (4.0 + f64::from(i) * 4.0, Fault::CancelRunningJobs(4, 0.0)))
            .collect();
        all.push((AT + later_s, Fault::RestartLeaders(2, 0.5)));
        all.push((4.0, Fault::CancelOnCompletion(0.25, 30.0)));
        all
    });
}

#[test]
fn tasks_of_a_small_job_end_far_apart_across_a_change_of_leader() {
    // Each takes a whole large worker, of which there are two.
    let whole = json!({"flavors": ["big"], "cpus": 12.0});
    Meeting {
        capacity: 6,
        jobs: vec![(1.0, 4.0, 3, whole.clone()), (1.5, 6.0, 2, whole)],
        until_s: AT + 30.0 + AFTER_S,
        ..Meeting::default()
    }
    .holds(|later_s| vec![(AT + later_s, Fault::RestartLeaders(3, 1.0))]);
}

#[test]
fn commands_and_their_answers_are_held_up_for_seconds() {
    Meeting::default().holds(|later_s| {
        vec![
            (AT + later_s, Fault::HangWorker(1, 4.0)),
            (AT + later_s, Fault::PartitionWorker(3, 4.0)),
            (AT + 1.0, Fault::CancelRunningJobs(4, 5.0)),
            (AT + 2.0, Fault::PauseController(0, 3.0)),
        ]
    });
}

#[test]
fn controllers_hand_over_and_back_within_a_second() {
    Meeting::default().holds(|later_s| {
        vec![
            (AT, Fault::RefuseLeader(0.5)),
            (AT + later_s, Fault::RefuseLeader(0.5)),
            (AT + 1.0 + later_s, Fault::RestartAll(0.1)),
            (AT + 1.3, Fault::CancelRunningJobs(3, 0.0)),
        ]
    });
}

#[test]
fn transactions_are_carried_out_late_after_newer_ones() {
    Meeting::default().holds(|later_s| {
        vec![
            (AT, Fault::LateTransactions(0.6, 10.0)),
            (AT, Fault::RequestBursts(20.0)),
            (AT + later_s, Fault::CancelRunningJobs(4, 0.0)),
            (AT + 2.0, Fault::RestartLeaders(2, 0.5)),
        ]
    });
}

#[test]
fn a_leader_ends_while_workers_hear_nothing_and_jobs_are_cancelled() {
    Meeting {
        until_s: AT + 4.0 * LEASE_S + AFTER_S,
        ..Meeting::default()
    }
    .holds(|later_s| {
        vec![
            (AT, Fault::DropMessagesToWorker(1, 1.5 * LEASE_S)),
            (AT, Fault::DropMessagesToWorker(2, 1.5 * LEASE_S)),
            (AT + 1.0 + later_s, Fault::CancelRunningJobs(4, 0.0)),
            (AT + 1.5, Fault::RestartLeaders(1, 1.0)),
        ]
    });
}
