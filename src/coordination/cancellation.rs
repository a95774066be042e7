//! Cancellation of jobs: nothing of a job starts from the moment that it is asked for.

use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;

use super::messages::CancelDecision;
use super::model::*;
use super::state::Core;

impl Core {
    /// A user asks to cancel a job. The caller stores the cancellation if that is still to be done.
    pub(super) fn begin_cancellation(&mut self, id: JobId) -> CancelDecision {
        if let Some(outcome) = self.jobs.outcome(id) {
            return CancelDecision::Terminal(outcome);
        }
        let Some(ix) = self.jobs.index_of(id) else {
            self.jobs.record_early_cancellation(id);
            return CancelDecision::Go { done: 0 };
        };
        match self.jobs[ix].state {
            JobState::Terminal(outcome) => CancelDecision::Terminal(outcome),
            JobState::Finishing => CancelDecision::Busy,
            JobState::Live | JobState::Cancelling => {
                self.jobs[ix].begin_cancelling(self.now);
                // Before it is stored: whether it was may stay unknown for as long as the state
                // service is down, while another controller has read that it was, and has
                // answered the user so.
                self.stop_all_instances(ix);
                CancelDecision::Go {
                    done: self.jobs[ix].done,
                }
            }
        }
    }

    /// What is stored of a job that was to be cancelled is known now.
    pub(super) fn finish_cancellation(&mut self, id: JobId, outcome: Option<JobOutcome>) {
        self.jobs.forget_early_cancellation(id);
        if let Some(outcome) = outcome {
            return self.end_job(id, outcome);
        }
        // It was never accepted, so there is nothing to stop.
        if let Some(ix) = self.jobs.index_of(id)
            && self.jobs[ix].state == JobState::Cancelling
        {
            self.jobs[ix].resume();
            self.finish_if_done(ix);
        }
    }
}
