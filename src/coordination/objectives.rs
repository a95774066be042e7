//! What the settings ask for a job: its class's objectives, and whether its tasks may be moved.

use crate::protocol::job::{JobSpec, Kind, Priority};
use crate::settings::{Objective, Tuning};

/// The worthwhile time of a job whose class has no objective.
const DEFAULT_COMPLETION_TARGET_S: f64 = 3600.0;
/// The longest patience of a job at its start.
const MAX_START_DELAY_TOLERANCE_S: f64 = 120.0;
const MIN_START_DELAY_TOLERANCE_S: f64 = 0.5;
/// Of the time an image takes to be fetched, what a job must be placed earlier for it.
const FETCH_SHARE: f64 = 0.8;
/// However long the fetch, a job has this part of its objective to be placed.
const MIN_START_SHARE: f64 = 0.2;

/// Whether an operator is asked before the job is disturbed: services of the highest priority, and
/// classes that the settings protect.
pub(super) fn protected(tuning: &Tuning, spec: &JobSpec) -> bool {
    (spec.kind == Kind::Service && spec.priority == Priority::Production)
        || tuning
            .class
            .get(&spec.class)
            .is_some_and(|class| class.protected)
}

/// Whether a job's tasks may be moved while they run: the stricter of its own setting and its
/// class's counts, and what is protected never moves.
pub(super) fn movable(tuning: &Tuning, spec: &JobSpec) -> bool {
    !pinned(tuning, spec) && !protected(tuning, spec)
}

/// Whether the job or its class says that its tasks stay where they are.
pub(super) fn pinned(tuning: &Tuning, spec: &JobSpec) -> bool {
    let class = tuning.class.get(&spec.class);
    spec.movable == Some(false)
        || class.is_some_and(|class| class.protected || class.movable == Some(false))
}

/// How long after its submission finishing a job is still worth most.
pub(super) fn completion_target_s(objectives: &[Objective], spec: &JobSpec) -> f64 {
    objectives
        .iter()
        .filter(|objective| objective.class.as_deref() == Some(&spec.class))
        .filter_map(|objective| match objective.kind.as_str() {
            "finished" => objective.within_s,
            "deadline" => Some(spec.deadline_s? * objective.times.unwrap_or(1.0)),
            _ => None,
        })
        .reduce(f64::max)
        .or(spec.deadline_s)
        .unwrap_or(DEFAULT_COMPLETION_TARGET_S)
}

/// How long after its submission a job must be placed to start in time, by each objective, if most
/// workers have yet to fetch its image. One that is past that lets those go first that can still
/// be in time.
pub(super) fn placement_deadlines_s(
    objectives: &[Objective],
    spec: &JobSpec,
    fetch_s: f64,
) -> Vec<f64> {
    let mut all: Vec<f64> = wait_limits(objectives, spec)
        .map(|within_s| (within_s - FETCH_SHARE * fetch_s).max(within_s * MIN_START_SHARE))
        .collect();
    all.sort_by(f64::total_cmp);
    if all.is_empty() {
        all.push(start_delay_tolerance_s(objectives, spec));
    }
    all
}

/// Seconds of delay at the start that cost a job most of its value.
pub(super) fn start_delay_tolerance_s(objectives: &[Objective], spec: &JobSpec) -> f64 {
    wait_limits(objectives, spec)
        .fold(MAX_START_DELAY_TOLERANCE_S, f64::min)
        .max(MIN_START_DELAY_TOLERANCE_S)
}

fn wait_limits(objectives: &[Objective], spec: &JobSpec) -> impl Iterator<Item = f64> {
    objectives
        .iter()
        .filter(|objective| {
            objective.kind == "wait" && objective.class.as_deref() == Some(&spec.class)
        })
        .filter_map(|objective| objective.within_s)
}
