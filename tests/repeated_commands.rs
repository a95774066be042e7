//! Direct messages that workers have carried out and answered arrive again, minutes late and in any
//! order. Guards against a copy of a start that runs a task again after the worker was told to
//! forget the attempt.

mod simulated_cluster;

use simulated_cluster::*;

/// When the first fault begins, in seconds.
const FIRST_FAULT_S: f64 = 1.0;
/// How long messages are repeated, in seconds.
const REPEATING_S: f64 = 60.0;

#[test]
fn late_copies_of_starts_of_failed_tasks_run_no_task_twice() {
    let faults = [
        (FIRST_FAULT_S, Fault::RepeatCommands(1.0, REPEATING_S)),
        (FIRST_FAULT_S, Fault::FailTasksOnWorker(1, 20.0)),
        (10.0, Fault::RestartAll(0.2)),
        (20.0, Fault::FailTasksOnWorker(4, 20.0)),
        (30.0, Fault::CrashFollower(0)),
    ];
    expect_clean("failed tasks", 0..6, &faults, 0.0);
}

#[test]
fn late_copies_of_starts_of_cancelled_jobs_start_nothing() {
    let faults = [
        (FIRST_FAULT_S, Fault::RepeatCommands(1.0, REPEATING_S)),
        (8.0, Fault::CancelRunningJobs(3, 0.0)),
        (20.0, Fault::CancelRunningJobs(3, 0.0)),
        (30.0, Fault::CrashFollower(0)),
    ];
    expect_clean("cancelled jobs", 0..6, &faults, 0.0);
}
