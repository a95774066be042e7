//! The events of every task of a run, and a check of their order.
//!
//! The fakes record what workers observe. [`History::violations`] checks all events afterwards,
//! independently of the decisions of the controllers.

use std::collections::{BTreeMap, BTreeSet};

/// What a worker observed of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// The task started on the worker.
    Started,
    /// The task completed.
    Completed,
    /// The task left the worker without completing: it was stopped or failed, or the worker was
    /// lost.
    Left,
}

/// An event of a task on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Simulated time in seconds.
    pub at: f64,
    /// The name of the task, as in `wk-000412/3`.
    pub task: String,
    /// The attempt of the task.
    pub attempt: u64,
    /// The worker's name.
    pub worker: String,
    /// What the worker observed.
    pub kind: EventKind,
}

/// All events of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
}

impl History {
    /// Records an event. Events must be recorded in the order of their times.
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
        let completed = self
            .events
            .iter()
            .filter(|e| e.kind == EventKind::Completed);
        completed.map(|e| e.task.as_str()).collect()
    }

    /// Workers on which a task started, in the order of the starts.
    pub fn workers_of(&self, task: &str) -> Vec<&str> {
        let starts_task = |e: &&Event| e.task == task && e.kind == EventKind::Started;
        self.events
            .iter()
            .filter(starts_task)
            .map(|e| e.worker.as_str())
            .collect()
    }

    /// Returns every violation: a task on two workers at once, an attempt that started twice, a
    /// task that started or completed after it had completed, a task that ended on a worker where
    /// it was not running, and a task of `must_complete` that did not complete.
    pub fn violations<'a>(&self, must_complete: impl IntoIterator<Item = &'a str>) -> Vec<String> {
        let mut violations = Vec::new();
        let mut running: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
        let mut attempts: BTreeSet<(&str, u64)> = BTreeSet::new();
        let mut completed: BTreeSet<&str> = BTreeSet::new();
        for e in &self.events {
            let (task, worker) = (e.task.as_str(), e.worker.as_str());
            let mut violation =
                |details: String| violations.push(format!("{:.1} {task}: {details}", e.at));
            match e.kind {
                EventKind::Started => {
                    if let Some((other, _)) = running.insert(task, (worker, e.attempt)) {
                        violation(format!("starts on {worker} while running on {other}"));
                    }
                    if !attempts.insert((task, e.attempt)) {
                        violation(format!("attempt {} starts again on {worker}", e.attempt));
                    }
                    if completed.contains(task) {
                        violation(format!("starts on {worker} after it had completed"));
                    }
                }
                EventKind::Completed | EventKind::Left => {
                    if running.remove(task) != Some((worker, e.attempt)) {
                        violation(format!(
                            "ends on {worker}, where this attempt was not running"
                        ));
                    }
                    if e.kind == EventKind::Completed && !completed.insert(task) {
                        violation(format!("completes again on {worker}"));
                    }
                }
            }
        }
        for task in must_complete {
            if !completed.contains(task) {
                violations.push(format!("{task}: never completed"));
            }
        }
        violations
    }
}
