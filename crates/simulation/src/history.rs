//! What happened to every task of a run, and whether it may have.
//!
//! Stand-ins note what workers see; [`History::problems`] looks at the whole of it
//! afterwards. It knows nothing of how the controllers decide.

use std::collections::{BTreeMap, BTreeSet};

/// One thing a worker saw. Times are in seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// The task got on the worker.
    Starts,
    /// It completed.
    Done,
    /// It left without completing: stopped, killed, or its worker gone.
    Leaves,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    pub at: f64,
    /// As in `wk-000412/3`.
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub what: What,
}

#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
}

impl History {
    pub fn note(&mut self, at: f64, task: &str, attempt: u64, worker: &str, what: What) {
        self.events.push(Event {
            at,
            task: task.to_string(),
            attempt,
            worker: worker.to_string(),
            what,
        });
    }

    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Tasks that completed.
    pub fn done(&self) -> BTreeSet<&str> {
        let done = self.events.iter().filter(|e| e.what == What::Done);
        done.map(|e| e.task.as_str()).collect()
    }

    /// Workers on which a task started, in order.
    pub fn places(&self, task: &str) -> Vec<&str> {
        let of = |e: &&Event| e.task == task && e.what == What::Starts;
        self.events
            .iter()
            .filter(of)
            .map(|e| e.worker.as_str())
            .collect()
    }

    /// Everything that must not have been: a task on two workers, an attempt used
    /// twice, a task that completed twice or was started after it had, and those of
    /// `must_end` that did not complete.
    pub fn problems<'a>(&self, must_end: impl IntoIterator<Item = &'a str>) -> Vec<String> {
        let mut problems = Vec::new();
        let mut on: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
        let mut attempts: BTreeSet<(&str, u64)> = BTreeSet::new();
        let mut done: BTreeSet<&str> = BTreeSet::new();
        for e in &self.events {
            let (task, worker) = (e.task.as_str(), e.worker.as_str());
            let mut problem = |what: String| problems.push(format!("{:.1} {task}: {what}", e.at));
            match e.what {
                What::Starts => {
                    if let Some((other, _)) = on.insert(task, (worker, e.attempt)) {
                        problem(format!("starts on {worker} while on {other}"));
                    }
                    if !attempts.insert((task, e.attempt)) {
                        problem(format!("attempt {} starts again on {worker}", e.attempt));
                    }
                    if done.contains(task) {
                        problem(format!("starts on {worker} after it was done"));
                    }
                }
                What::Done | What::Leaves => {
                    if on.remove(task) != Some((worker, e.attempt)) {
                        problem(format!("ends on {worker}, where it was not"));
                    }
                    if e.what == What::Done && !done.insert(task) {
                        problem(format!("is done once more on {worker}"));
                    }
                }
            }
        }
        for task in must_end {
            if !done.contains(task) {
                problems.push(format!("{task}: never done"));
            }
        }
        problems
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A checker that finds nothing is worth nothing: each fault is found.
    #[test]
    fn each_fault_is_found() {
        let story = |events: &[(&str, u64, What)]| {
            let mut history = History::default();
            for (at, (worker, attempt, what)) in events.iter().enumerate() {
                history.note(at as f64, "t/0", *attempt, worker, what.clone());
            }
            history.problems(["t/0"]).join("; ")
        };
        use What::{Done, Leaves, Starts};
        assert_eq!(
            story(&[
                ("a", 1, Starts),
                ("a", 1, Leaves),
                ("b", 2, Starts),
                ("b", 2, Done)
            ]),
            ""
        );
        for (events, fault) in [
            (
                vec![("a", 1, Starts), ("b", 2, Starts), ("b", 2, Done)],
                "while on a",
            ),
            (
                vec![
                    ("a", 1, Starts),
                    ("a", 1, Leaves),
                    ("a", 1, Starts),
                    ("a", 1, Done),
                ],
                "attempt 1",
            ),
            (
                vec![
                    ("a", 1, Starts),
                    ("a", 1, Done),
                    ("b", 2, Starts),
                    ("b", 2, Done),
                ],
                "once more",
            ),
            (vec![("a", 1, Starts), ("a", 1, Leaves)], "never done"),
            (vec![("a", 1, Starts), ("b", 1, Done)], "where it was not"),
        ] {
            let found = story(&events);
            assert!(found.contains(fault), "{fault}: {found}");
        }
    }
}
