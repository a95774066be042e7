//! The share of requested work that was served, by class, by team, and of each class's largest jobs.

use std::collections::BTreeMap;

use crate::history::{EventKind, History};

/// An accepted job, and when its tasks should have been served. Times are in simulated seconds.
#[derive(Debug, Clone)]
pub struct RequestedJob {
    /// The job's id, as in `wk-000412`.
    pub id: String,
    /// The job's class.
    pub class: String,
    /// The team that owns the job.
    pub team: String,
    /// How many tasks, or replicas of a service, it has.
    pub tasks: u32,
    /// A service: measured by the time for which its replicas run.
    pub service: bool,
    /// When it was submitted.
    pub submitted_at: f64,
    /// The start of the measured period: of a service, some time after it was submitted.
    pub measured_from: f64,
    /// The end of the measured period: of the run, or when the job was cancelled.
    pub measured_until: f64,
}

/// How much of the work of a class or a team was served.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevel {
    /// Tasks, without replicas of services.
    pub tasks: u32,
    /// Tasks that started.
    pub started: u32,
    /// Tasks that completed.
    pub completed: u32,
    /// Seconds for which replicas of services were requested.
    pub requested_s: f64,
    /// Seconds for which replicas of services ran.
    pub running_s: f64,
}

impl ServiceLevel {
    /// The minimum of the shares of tasks started, tasks completed and replica time; 1 is all.
    pub fn min_share(&self) -> f64 {
        let share = |part: f64, of: f64| if of > 0.0 { part / of } else { 1.0 };
        let tasks = f64::from(self.tasks);
        share(f64::from(self.started), tasks)
            .min(share(f64::from(self.completed), tasks))
            .min(share(self.running_s, self.requested_s))
    }
}

/// When a task started on a worker and when it left it, once per attempt.
type Stays = Vec<(f64, f64)>;

/// The largest jobs must start within this time after their submission.
pub const START_DEADLINE_S: f64 = 240.0;

/// Service levels by name: `class …`, `team …`, or `largest of …` for the jobs of a class that have
/// at least half as many tasks as its largest one. Of these, a job that starts later than
/// [`START_DEADLINE_S`] counts as never started.
pub fn service_levels(
    history: &History,
    requested: &[RequestedJob],
) -> BTreeMap<String, ServiceLevel> {
    // Of each task: its stays on workers, and whether it completed.
    let mut stays: BTreeMap<&str, (Stays, bool)> = BTreeMap::new();
    for e in history.events() {
        let (stays, done) = stays.entry(e.task.as_str()).or_default();
        match (&e.kind, stays.last_mut()) {
            (EventKind::Started, last) => {
                // The loss of its previous worker was not observed.
                if let Some((_, until)) = last.filter(|(_, until)| until.is_infinite()) {
                    *until = e.at;
                }
                stays.push((e.at, f64::INFINITY));
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
    let mut all: BTreeMap<String, ServiceLevel> = BTreeMap::new();
    for job in requested {
        let mut own = ServiceLevel::default();
        let mut first_start = f64::INFINITY;
        for task in 0..job.tasks {
            let name = format!("{}/{task}", job.id);
            let nowhere = (Vec::new(), false);
            let (stays, done) = stays.get(name.as_str()).unwrap_or(&nowhere);
            first_start = stays
                .first()
                .map_or(first_start, |(at, _)| first_start.min(*at));
            if job.service {
                let within = |(from, until): &(f64, f64)| {
                    (until.min(job.measured_until) - from.max(job.measured_from)).max(0.0)
                };
                own.requested_s += (job.measured_until - job.measured_from).max(0.0);
                own.running_s += stays.iter().map(within).sum::<f64>();
            } else {
                own.tasks += 1;
                own.started += u32::from(!stays.is_empty());
                own.completed += u32::from(*done);
            }
        }
        let largest = job.tasks * 2 >= largest_tasks[job.class.as_str()];
        let in_time = first_start <= job.submitted_at + START_DEADLINE_S;
        let mut sums = vec![
            (format!("class {}", job.class), own),
            (format!("team {}", job.team), own),
        ];
        if largest {
            let started = if in_time { own.started } else { 0 };
            let own = ServiceLevel { started, ..own };
            sums.push((format!("largest of {}", job.class), own));
        }
        for (name, own) in sums {
            let sum = all.entry(name).or_default();
            sum.tasks += own.tasks;
            sum.started += own.started;
            sum.completed += own.completed;
            sum.requested_s += own.requested_s;
            sum.running_s += own.running_s;
        }
    }
    all
}
