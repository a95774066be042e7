//! The share of requested work that was served: by class, by team, and for the largest jobs of each
//! class.

use std::collections::BTreeMap;

use crate::history::{EventKind, History};

/// An accepted job, and the period in which its tasks should have been served. Times are in
/// simulated seconds.
#[derive(Debug, Clone)]
pub struct RequestedJob {
    /// The job's id, as in `wk-000412`.
    pub id: String,
    /// The job's class.
    pub class: String,
    /// The team that owns the job.
    pub team: String,
    /// Number of tasks, or of replicas of a service.
    pub tasks: u32,
    /// Whether it is a service, which is measured by the time for which its replicas run.
    pub service: bool,
    /// When the job was submitted.
    pub submitted_at: f64,
    /// The start of the measured period. For a service it is some time after the submission.
    pub measured_from: f64,
    /// The end of the measured period: the end of the run, or when the job was cancelled.
    pub measured_until: f64,
}

/// How much of the work of a class or a team was served.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevel {
    /// Number of requested tasks, without replicas of services.
    pub tasks: u32,
    /// Number of tasks that started.
    pub started: u32,
    /// Number of tasks that completed.
    pub completed: u32,
    /// Seconds for which replicas of services were requested.
    pub requested_s: f64,
    /// Seconds for which replicas of services ran.
    pub running_s: f64,
}

impl ServiceLevel {
    /// The minimum of three shares: tasks started, tasks completed, and replica time served. It is
    /// 1 if all work was served.
    pub fn min_share(&self) -> f64 {
        let share = |part: f64, total: f64| if total > 0.0 { part / total } else { 1.0 };
        let tasks = f64::from(self.tasks);
        share(f64::from(self.started), tasks)
            .min(share(f64::from(self.completed), tasks))
            .min(share(self.running_s, self.requested_s))
    }
}

/// The periods for which a task was on a worker, one per attempt.
type Runs = Vec<(f64, f64)>;

/// The largest jobs of a class must start within this time after their submission.
pub const START_DEADLINE_S: f64 = 240.0;

/// Returns the service levels by name: `class …`, `team …`, and `largest of …` for the jobs of a
/// class that have at least half as many tasks as its largest job. In the last, a job that starts
/// later than [`START_DEADLINE_S`] after its submission counts as never started.
pub fn service_levels(
    history: &History,
    requested: &[RequestedJob],
) -> BTreeMap<String, ServiceLevel> {
    // For each task: its runs, and whether it completed.
    let mut by_task: BTreeMap<&str, (Runs, bool)> = BTreeMap::new();
    for e in history.events() {
        let (runs, done) = by_task.entry(e.task.as_str()).or_default();
        match (&e.kind, runs.last_mut()) {
            (EventKind::Started, last) => {
                // The previous run ends here if the loss of its worker was not observed.
                if let Some((_, until)) = last.filter(|(_, until)| until.is_infinite()) {
                    *until = e.at;
                }
                runs.push((e.at, f64::INFINITY));
            }
            (_, Some((_, until))) => *until = e.at,
            (_, None) => {}
        }
        *done |= e.kind == EventKind::Completed;
    }
    let mut largest_tasks: BTreeMap<&str, u32> = BTreeMap::new();
    for job in requested {
        let largest = largest_tasks.entry(&job.class).or_default();
        *largest = job.tasks.max(*largest);
    }
    let mut sums: BTreeMap<String, ServiceLevel> = BTreeMap::new();
    for job in requested {
        let mut level = ServiceLevel::default();
        let mut first_start = f64::INFINITY;
        for task in 0..job.tasks {
            let name = format!("{}/{task}", job.id);
            let never_started = (Vec::new(), false);
            let (runs, done) = by_task.get(name.as_str()).unwrap_or(&never_started);
            first_start = runs
                .first()
                .map_or(first_start, |(at, _)| first_start.min(*at));
            if job.service {
                let measured = |(from, until): &(f64, f64)| {
                    (until.min(job.measured_until) - from.max(job.measured_from)).max(0.0)
                };
                level.requested_s += (job.measured_until - job.measured_from).max(0.0);
                level.running_s += runs.iter().map(measured).sum::<f64>();
            } else {
                level.tasks += 1;
                level.started += u32::from(!runs.is_empty());
                level.completed += u32::from(*done);
            }
        }
        let is_large = job.tasks * 2 >= largest_tasks[job.class.as_str()];
        let in_time = first_start <= job.submitted_at + START_DEADLINE_S;
        let mut levels = vec![
            (format!("class {}", job.class), level),
            (format!("team {}", job.team), level),
        ];
        if is_large {
            let started = if in_time { level.started } else { 0 };
            let level = ServiceLevel { started, ..level };
            levels.push((format!("largest of {}", job.class), level));
        }
        for (name, level) in levels {
            let sum = sums.entry(name).or_default();
            sum.tasks += level.tasks;
            sum.started += level.started;
            sum.completed += level.completed;
            sum.requested_s += level.requested_s;
            sum.running_s += level.running_s;
        }
    }
    sums
}
