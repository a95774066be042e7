//! What happened to every task of a run, and whether it was allowed to.
//!
//! Fakes record what workers observe; [`History::violations`] checks all of it afterwards,
//! independently of how the controllers decide.

use std::collections::{BTreeMap, BTreeSet};

/// What a worker observed of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// The task started on the worker.
    Started,
    /// It completed.
    Completed,
    /// It left without completing: stopped, killed, or its worker was lost.
    Left,
}

/// An event of a task on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Simulated time in seconds.
    pub at: f64,
    /// As in `wk-000412/3`.
    pub task: String,
    /// The attempt of the task.
    pub attempt: u64,
    /// The worker's name.
    pub worker: String,
    /// What happened.
    pub kind: EventKind,
}

/// All events of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
}

impl History {
    /// Records an event; events are recorded in the order of their times.
    pub fn record(&mut self, at: f64, task: &str, attempt: u64, worker: &str, kind: EventKind) {
        self.events.push(Event {
            at,
            task: task.to_string(),
            attempt,
            worker: worker.to_string(),
            kind,
        });
    }

    /// All events, in the order in which they were recorded.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Tasks that completed.
    pub fn completed(&self) -> BTreeSet<&str> {
        let done = self
            .events
            .iter()
            .filter(|e| e.kind == EventKind::Completed);
        done.map(|e| e.task.as_str()).collect()
    }

    /// Workers on which a task started, in order.
    pub fn workers_of(&self, task: &str) -> Vec<&str> {
        let of = |e: &&Event| e.task == task && e.kind == EventKind::Started;
        self.events
            .iter()
            .filter(of)
            .map(|e| e.worker.as_str())
            .collect()
    }

    /// Every violation: a task on two workers at once, an attempt started twice, a task that
    /// completed twice or started after it had completed, and tasks of `must_end` that did not
    /// complete.
    pub fn violations<'a>(&self, must_end: impl IntoIterator<Item = &'a str>) -> Vec<String> {
        let mut violations = Vec::new();
        let mut on: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
        let mut attempts: BTreeSet<(&str, u64)> = BTreeSet::new();
        let mut completed: BTreeSet<&str> = BTreeSet::new();
        for e in &self.events {
            let (task, worker) = (e.task.as_str(), e.worker.as_str());
            let mut violation =
                |what: String| violations.push(format!("{:.1} {task}: {what}", e.at));
            match e.kind {
                EventKind::Started => {
                    if let Some((other, _)) = on.insert(task, (worker, e.attempt)) {
                        violation(format!("starts on {worker} while on {other}"));
                    }
                    if !attempts.insert((task, e.attempt)) {
                        violation(format!("attempt {} starts again on {worker}", e.attempt));
                    }
                    if completed.contains(task) {
                        violation(format!("starts on {worker} after it was done"));
                    }
                }
                EventKind::Completed | EventKind::Left => {
                    if on.remove(task) != Some((worker, e.attempt)) {
                        violation(format!("ends on {worker}, where it was not"));
                    }
                    if e.kind == EventKind::Completed && !completed.insert(task) {
                        violation(format!("is done once more on {worker}"));
                    }
                }
            }
        }
        for task in must_end {
            if !completed.contains(task) {
                violations.push(format!("{task}: never done"));
            }
        }
        violations
    }
}
