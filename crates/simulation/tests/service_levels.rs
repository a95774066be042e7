//! Tests of the shares of served work, computed from known histories.

use copperfield_simulation::history::{EventKind, History};
use copperfield_simulation::service_levels::{RequestedJob, service_levels};

/// Guards against a share that stays at 1: tests that compare it with a target would always pass.
#[test]
fn unserved_work_lowers_the_share() {
    let mut history = History::default();
    let mut record = |at, task: &str, kind| history.record(at, task, at as u64, "m", kind);
    record(1.0, "a/0", EventKind::Started);
    record(3.0, "a/0", EventKind::Completed);
    record(2.0, "a/1", EventKind::Started);
    record(5.0, "a/1", EventKind::Left);
    record(1.0, "s/0", EventKind::Started);
    record(6.0, "s/0", EventKind::Left);
    record(8.0, "s/0", EventKind::Started);
    let requested = |job: &str, service, tasks| RequestedJob {
        id: job.into(),
        class: job.into(),
        team: "t".into(),
        tasks,
        service,
        submitted_at: 0.0,
        measured_from: 2.0,
        measured_until: 12.0,
    };
    let levels = service_levels(
        &history,
        &[requested("a", false, 4), requested("s", true, 1)],
    );
    let (a, s) = (levels["class a"], levels["class s"]);
    assert_eq!(
        (a.tasks, a.started, a.completed, a.min_share()),
        (4, 2, 1, 0.25)
    );
    assert_eq!(
        (s.requested_s, s.running_s, s.min_share()),
        (10.0, 8.0, 0.8)
    );
    assert_eq!(levels["team t"].min_share(), 0.25);
}

/// Guards against starvation of large jobs that the share of their class hides, because its small
/// jobs are served.
#[test]
fn large_jobs_that_start_too_late_count_as_not_started() {
    let mut history = History::default();
    let mut record = |at, task: &str, kind| history.record(at, task, 1, "m", kind);
    for task in ["small/0", "large/0", "late/0", "late/1"] {
        let at = if task.starts_with("late") { 241.0 } else { 5.0 };
        record(at, task, EventKind::Started);
        record(at + 1.0, task, EventKind::Completed);
    }
    let requested = |job: &str, tasks| RequestedJob {
        id: job.into(),
        class: "c".into(),
        team: "t".into(),
        tasks,
        service: false,
        submitted_at: 0.0,
        measured_from: 0.0,
        measured_until: 300.0,
    };
    let levels = service_levels(
        &history,
        &[
            requested("small", 1),
            requested("large", 3),
            requested("late", 2),
        ],
    );
    let largest = levels["largest of c"];
    assert_eq!(
        (largest.tasks, largest.started, largest.completed),
        (5, 1, 3)
    );
    assert_eq!(largest.min_share(), 0.2);
    assert_eq!(levels["class c"].started, 4);
}
