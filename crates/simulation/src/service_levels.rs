//! How much of what was asked for was served, by class, by team, and of each class's largest jobs.

use std::collections::BTreeMap;

use crate::history::{History, What};

/// A job that was accepted, and by when its tasks should have been served.
#[derive(Debug, Clone)]
pub struct Asked {
    /// As in `wk-000412`.
    pub job: String,
    pub class: String,
    pub team: String,
    pub tasks: u32,
    /// A service: what counts is the time for which its replicas run.
    pub service: bool,
    pub submitted: f64,
    /// From when on, in seconds: of a service, some time after it was submitted.
    pub from: f64,
    /// The end of the day, or when the job was cancelled.
    pub until: f64,
}

/// What became of the tasks of a class or a team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Served {
    /// Tasks, those of services aside, and how many of them have started and completed.
    pub tasks: u32,
    pub started: u32,
    pub done: u32,
    /// Seconds for which replicas were wanted, and for which they ran.
    pub wanted_s: f64,
    pub up_s: f64,
}

impl Served {
    /// The least of the shares of tasks started, tasks done and replica time: 1 is all.
    pub fn least(&self) -> f64 {
        let share = |part: f64, of: f64| if of > 0.0 { part / of } else { 1.0 };
        let tasks = f64::from(self.tasks);
        share(f64::from(self.started), tasks)
            .min(share(f64::from(self.done), tasks))
            .min(share(self.up_s, self.wanted_s))
    }
}

/// When a task got on a worker and when it left it.
type Stays = Vec<(f64, f64)>;

/// The largest jobs have to begin within this, in seconds from when they were submitted.
pub const BEGIN_S: f64 = 240.0;

/// By name, which is `class …`, `team …`, or `largest of …` for the jobs of a class that have at
/// least half as many tasks as its largest one. Of these, one that begins too late counts as never
/// started.
pub fn served(history: &History, asked: &[Asked]) -> BTreeMap<String, Served> {
    // Of each task: when it got on a worker and left it again, and whether it completed.
    let mut stays: BTreeMap<&str, (Stays, bool)> = BTreeMap::new();
    for e in history.events() {
        let (stays, done) = stays.entry(e.task.as_str()).or_default();
        match (&e.what, stays.last_mut()) {
            (What::Starts, last) => {
                // Its worker was gone before, which nobody saw.
                if let Some((_, until)) = last.filter(|(_, until)| until.is_infinite()) {
                    *until = e.at;
                }
                stays.push((e.at, f64::INFINITY));
            }
            (_, Some((_, until))) => *until = e.at,
            (_, None) => {}
        }
        *done |= e.what == What::Done;
    }
    let mut limit: BTreeMap<&str, u32> = BTreeMap::new();
    for asked in asked {
        let limit = limit.entry(&asked.class).or_default();
        *limit = asked.tasks.max(*limit);
    }
    let mut all: BTreeMap<String, Served> = BTreeMap::new();
    for asked in asked {
        let mut own = Served::default();
        let mut begins = f64::INFINITY;
        for task in 0..asked.tasks {
            let name = format!("{}/{task}", asked.job);
            let nowhere = (Vec::new(), false);
            let (stays, done) = stays.get(name.as_str()).unwrap_or(&nowhere);
            begins = stays.first().map_or(begins, |(at, _)| begins.min(*at));
            if asked.service {
                let within = |(from, until): &(f64, f64)| {
                    (until.min(asked.until) - from.max(asked.from)).max(0.0)
                };
                own.wanted_s += (asked.until - asked.from).max(0.0);
                own.up_s += stays.iter().map(within).sum::<f64>();
            } else {
                own.tasks += 1;
                own.started += u32::from(!stays.is_empty());
                own.done += u32::from(*done);
            }
        }
        let largest = asked.tasks * 2 >= limit[asked.class.as_str()];
        let in_time = begins <= asked.submitted + BEGIN_S;
        let mut sums = vec![
            (format!("class {}", asked.class), own),
            (format!("team {}", asked.team), own),
        ];
        if largest {
            let started = if in_time { own.started } else { 0 };
            let own = Served { started, ..own };
            sums.push((format!("largest of {}", asked.class), own));
        }
        for (name, own) in sums {
            let sum = all.entry(name).or_default();
            sum.tasks += own.tasks;
            sum.started += own.started;
            sum.done += own.done;
            sum.wanted_s += own.wanted_s;
            sum.up_s += own.up_s;
        }
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A figure that is always 1 would guard nothing.
    #[test]
    fn what_was_not_served_is_missing() {
        let mut history = History::default();
        let mut note = |at, task: &str, what| history.note(at, task, at as u64, "m", what);
        note(1.0, "a/0", What::Starts);
        note(3.0, "a/0", What::Done);
        note(2.0, "a/1", What::Starts);
        note(5.0, "a/1", What::Leaves);
        note(1.0, "s/0", What::Starts);
        note(6.0, "s/0", What::Leaves);
        note(8.0, "s/0", What::Starts);
        let asked = |job: &str, service, tasks| Asked {
            job: job.into(),
            class: job.into(),
            team: "t".into(),
            tasks,
            service,
            submitted: 0.0,
            from: 2.0,
            until: 12.0,
        };
        let all = served(&history, &[asked("a", false, 4), asked("s", true, 1)]);
        let (a, s) = (all["class a"], all["class s"]);
        assert_eq!((a.tasks, a.started, a.done, a.least()), (4, 2, 1, 0.25));
        assert_eq!((s.wanted_s, s.up_s, s.least()), (10.0, 8.0, 0.8));
        assert_eq!(all["team t"].least(), 0.25);
    }

    /// A class may be served by its small jobs alone.
    #[test]
    fn large_jobs_that_begin_too_late_are_missing() {
        let mut history = History::default();
        let mut note = |at, task: &str, what| history.note(at, task, 1, "m", what);
        for task in ["small/0", "large/0", "late/0", "late/1"] {
            let at = if task.starts_with("late") { 241.0 } else { 5.0 };
            note(at, task, What::Starts);
            note(at + 1.0, task, What::Done);
        }
        let asked = |job: &str, tasks| Asked {
            job: job.into(),
            class: "c".into(),
            team: "t".into(),
            tasks,
            service: false,
            submitted: 0.0,
            from: 0.0,
            until: 300.0,
        };
        let all = served(
            &history,
            &[asked("small", 1), asked("large", 3), asked("late", 2)],
        );
        let largest = all["largest of c"];
        assert_eq!((largest.tasks, largest.started, largest.done), (5, 1, 3));
        assert_eq!(largest.least(), 0.2);
        assert_eq!(all["class c"].started, 4);
    }
}
