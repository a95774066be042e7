//! Properties of a job that follow from the settings: times derived from its class's objectives,
//! and whether its tasks may be migrated.

use crate::protocol::job::{JobSpec, Kind, Priority};
use crate::settings::{Objective, Tuning};

/// The completion target of a job without an objective or a deadline.
const DEFAULT_COMPLETION_TARGET_S: f64 = 3600.0;
/// The highest tolerance of a job for a delayed start, used for jobs without a `wait` objective.
const MAX_START_DELAY_TOLERANCE_S: f64 = 120.0;
/// The lowest tolerance of a job for a delayed start.
const MIN_START_DELAY_TOLERANCE_S: f64 = 0.5;
/// The share of the image fetch time by which a job must be placed ahead of its objective.
const FETCH_LEAD_SHARE: f64 = 0.8;
/// The share of an objective's time that a job always has for its placement, however long the fetch
/// takes.
const MIN_PLACEMENT_SHARE: f64 = 0.2;

/// Returns whether an operator must confirm a drain that disturbs the job. This holds for services
/// of the highest priority and for classes that the settings protect.
pub(super) fn protected(tuning: &Tuning, spec: &JobSpec) -> bool {
    (spec.kind == Kind::Service && spec.priority == Priority::Production)
        || tuning
            .class
            .get(&spec.class)
            .is_some_and(|class| class.protected)
}

/// Returns whether a job's tasks may be migrated while they run. The stricter of the job's and its
/// class's setting applies, and protected jobs are never migrated.
pub(super) fn movable(tuning: &Tuning, spec: &JobSpec) -> bool {
    !pinned(tuning, spec) && !protected(tuning, spec)
}

/// Returns whether the settings of the job or its class forbid migrating its tasks.
pub(super) fn pinned(tuning: &Tuning, spec: &JobSpec) -> bool {
    let class = tuning.class.get(&spec.class);
    spec.movable == Some(false)
        || class.is_some_and(|class| class.protected || class.movable == Some(false))
}

/// Returns within how many seconds of its submission a job should finish to keep most of its value.
pub(super) fn completion_target_s(objectives: &[Objective], spec: &JobSpec) -> f64 {
    objectives
        .iter()
        .filter(|objective| objective.class.as_deref() == Some(&spec.class))
        .filter_map(|objective| match objective.kind.as_str() {
            "finished" => objective.within_s,
            "deadline" => Some(spec.deadline_s? * objective.deadline_factor.unwrap_or(1.0)),
            _ => None,
        })
        .reduce(f64::max)
        .or(spec.deadline_s)
        .unwrap_or(DEFAULT_COMPLETION_TARGET_S)
}

/// Returns, for each `wait` objective, within how many seconds of its submission a job must be
/// placed to start in time, if most workers have not fetched its image yet. The times are
/// ascending. A job that has missed them yields to jobs that can still start in time.
pub(super) fn placement_deadlines_s(
    objectives: &[Objective],
    spec: &JobSpec,
    fetch_s: f64,
) -> Vec<f64> {
    let mut deadlines_s: Vec<f64> = wait_objectives_s(objectives, spec)
        .map(|within_s| (within_s - FETCH_LEAD_SHARE * fetch_s).max(within_s * MIN_PLACEMENT_SHARE))
        .collect();
    deadlines_s.sort_by(f64::total_cmp);
    if deadlines_s.is_empty() {
        deadlines_s.push(start_delay_tolerance_s(objectives, spec));
    }
    deadlines_s
}

/// Returns the delay of its start, in seconds, that costs a job most of its value.
pub(super) fn start_delay_tolerance_s(objectives: &[Objective], spec: &JobSpec) -> f64 {
    wait_objectives_s(objectives, spec)
        .fold(MAX_START_DELAY_TOLERANCE_S, f64::min)
        .max(MIN_START_DELAY_TOLERANCE_S)
}

/// Returns the times, in seconds, of the `wait` objectives of a job's class.
fn wait_objectives_s(objectives: &[Objective], spec: &JobSpec) -> impl Iterator<Item = f64> {
    objectives
        .iter()
        .filter(|objective| {
            objective.kind == "wait" && objective.class.as_deref() == Some(&spec.class)
        })
        .filter_map(|objective| objective.within_s)
}
