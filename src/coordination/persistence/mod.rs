//! Writes the leader's state to the state service, one transaction at a time: ends of jobs, done
//! tasks, drains, the worker registry and the fencing record.

mod write_batch;
mod write_queue;

use std::ops::Range;

use serde_json::Value;

use crate::protocol::JobId;
use crate::storage::StoredProgress;
use crate::storage::bitmap::TaskBitmap;
use crate::storage::writer::{Write, WriteOutcome, completed};

use super::messages::Effect;
use super::model::*;
use super::state::Core;

pub(super) use write_batch::WriteBatch;
pub(super) use write_queue::{JobChunk, ObsoleteChunk, WriteQueue};

/// The number of changes for the end of a job: its terminal state is added and its description is
/// removed.
const CHANGES_PER_FINISHED_JOB: usize = 2;
/// The size of a progress write without the bitmap itself.
const PROGRESS_OVERHEAD_BYTES: usize = 200;

impl Core {
    /// Sends a transaction with the pending writes, if none is in flight.
    pub(super) fn flush_writes(&mut self) {
        if self.write_queue.is_in_flight() {
            return;
        }
        let mut batch = WriteBatch::new(self.config.cluster.state.txn_ops);
        // Fencing writes come first, because a fenced worker gets no answer until its removal from
        // the record is stored.
        self.add_fencing_writes(&mut batch);
        self.add_finished_jobs(&mut batch);
        self.add_drain_writes(&mut batch);
        self.add_registry_writes(&mut batch);
        self.add_progress_writes(&mut batch);
        self.add_obsolete_chunks(&mut batch);
        self.add_token_write(&mut batch);
        if !batch.is_empty() {
            self.write_queue.begin_transaction();
            self.effects.push(Effect::Write(batch.into_writes()));
        }
    }

    fn add_finished_jobs(&mut self, batch: &mut WriteBatch) {
        while batch.has_room_for(CHANGES_PER_FINISHED_JOB)
            && let Some(job_index) = self.write_queue.pop_finished_job()
        {
            let job = &self.jobs[job_index];
            let write = Write::Finish {
                job: job.spec.id,
                version: job.version,
                done: job.spec.tasks,
            };
            batch.push(write, 0);
        }
    }

    fn add_progress_writes(&mut self, batch: &mut WriteBatch) {
        while batch.has_room_for_value()
            && let Some(chunk) = self.write_queue.first_changed_chunk()
        {
            let due = self.chunk_due_at(chunk);
            if due.is_some_and(|at| at > self.now) {
                break;
            }
            self.write_queue.pop_changed_chunk();
            if due.is_some() {
                self.add_progress_write(chunk, batch);
            }
        }
    }

    /// When a chunk is due to be written; `None` if its job has ended since. In that case another
    /// job may have the same index now.
    fn chunk_due_at(&self, chunk: JobChunk) -> Option<Time> {
        let job = self.jobs.get(chunk.job)?;
        if job.state != JobState::Live {
            return None;
        }
        *job.chunk_due.get(chunk.chunk as usize)?
    }

    fn add_progress_write(&mut self, JobChunk { job, chunk }: JobChunk, batch: &mut WriteBatch) {
        let tasks = self.tasks_of_chunk(job, chunk);
        let job = &mut self.jobs[job];
        job.chunk_due[chunk as usize] = None;
        let mut bitmap = TaskBitmap::new(tasks.len());
        for (position, task) in job.tasks[tasks].iter().enumerate() {
            if task.done {
                bitmap.insert(position);
            }
        }
        let write = Write::Progress {
            job: job.spec.id,
            chunk,
            value: bitmap.to_record(),
            version: job.chunk_versions[chunk as usize],
        };
        batch.push(write, bitmap.hex_digits() + PROGRESS_OVERHEAD_BYTES);
    }

    fn add_obsolete_chunks(&mut self, batch: &mut WriteBatch) {
        while batch.has_room_for(1)
            && let Some(obsolete) = self.write_queue.pop_obsolete_chunk()
        {
            let write = Write::DeleteProgress {
                job: obsolete.job,
                chunk: obsolete.chunk,
                version: obsolete.version,
            };
            batch.push(write, 0);
        }
    }

    /// Handles the results of the transaction in flight.
    pub(super) fn handle_write_results(&mut self, results: Vec<(Write, WriteOutcome)>) {
        self.write_queue.end_transaction();
        for (write, written) in results {
            if let WriteOutcome::Stored { version } = written {
                self.record_guarded_revision(version);
            }
            match write {
                Write::Finish { job, done, .. } => self.handle_finish_result(job, done, &written),
                Write::Progress {
                    job, chunk, value, ..
                } => self.handle_progress_result(job, chunk, &value, &written),
                Write::WorkerRegistry { page, value, .. } => {
                    self.handle_registry_result(page, &value, &written);
                }
                Write::FencingRecord { page, .. } => self.handle_fencing_result(page, &written),
                Write::Drain { node, record, .. } => {
                    self.handle_drain_written(node, record, &written);
                }
                Write::DeleteProgress { job, chunk, .. } => {
                    if let WriteOutcome::Retry { version } = written {
                        self.write_queue.push_obsolete_chunk(ObsoleteChunk {
                            job,
                            chunk,
                            version,
                        });
                    }
                }
            }
        }
    }

    fn handle_finish_result(&mut self, job: JobId, done: u32, written: &WriteOutcome) {
        match written {
            WriteOutcome::Stored { .. } => self.end_job(job, completed(done)),
            WriteOutcome::JobAlreadyEnded(outcome) => self.end_job(job, *outcome),
            WriteOutcome::Retry { .. } => {
                if let Some(job_index) = self.jobs.index_of(job) {
                    self.write_queue.push_finished_job(job_index);
                }
            }
        }
    }

    fn handle_progress_result(
        &mut self,
        id: JobId,
        chunk: u32,
        value: &Value,
        written: &WriteOutcome,
    ) {
        let version = match written {
            WriteOutcome::Stored { version } | WriteOutcome::Retry { version } => *version,
            WriteOutcome::JobAlreadyEnded(_) => return,
        };
        let Some(job_index) = self.jobs.index_of(id) else {
            return self.remove_chunk(id, chunk, version);
        };
        let job = &mut self.jobs[job_index];
        job.chunk_versions[chunk as usize] = version;
        if matches!(job.state, JobState::Terminal(_)) {
            return self.remove_chunk(id, chunk, version);
        }
        if let WriteOutcome::Stored { .. } = written {
            self.mark_stored(job_index, chunk, value);
        } else {
            self.schedule_progress_write(job_index, chunk, self.now);
        }
    }

    /// Marks the tasks whose done bits are stored.
    fn mark_stored(&mut self, job_index: u32, chunk: u32, value: &Value) {
        let bitmap = TaskBitmap::from_record(value).unwrap_or_default();
        let first = self.first_task_of_chunk(chunk);
        let tasks = self.jobs[job_index].tasks.iter_mut().skip(first);
        for (position, task) in tasks.take(bitmap.capacity()).enumerate() {
            if bitmap.contains(position) {
                task.stored = true;
            }
        }
    }

    /// Restores a chunk that an earlier leader has stored. It may be longer than the current chunk
    /// size, if the state service accepted larger values at that time.
    pub(super) fn restore_progress(&mut self, stored: &StoredProgress) {
        let StoredProgress {
            job: id,
            chunk,
            version,
            ..
        } = *stored;
        let Some(job_index) = self.jobs.index_of(id) else {
            // The job has ended, so the chunk is obsolete.
            return self.write_queue.push_obsolete_chunk(ObsoleteChunk {
                job: id,
                chunk,
                version,
            });
        };
        let first = self.first_task_of_chunk(chunk);
        let job = &mut self.jobs[job_index];
        if let Some(chunk_version) = job.chunk_versions.get_mut(chunk as usize) {
            *chunk_version = version;
        }
        let tasks = job.tasks.iter_mut().skip(first);
        for (position, task) in tasks.take(stored.bitmap.capacity()).enumerate() {
            if stored.bitmap.contains(position) && !task.done {
                task.done = true;
                task.stored = true;
                job.done += 1;
            }
        }
    }

    /// The range of a job's tasks that a chunk covers.
    fn tasks_of_chunk(&self, job_index: u32, chunk: u32) -> Range<usize> {
        let first = self.first_task_of_chunk(chunk);
        let end = first + self.tasks_per_chunk as usize;
        first..end.min(self.jobs[job_index].tasks.len())
    }

    fn first_task_of_chunk(&self, chunk: u32) -> usize {
        chunk as usize * self.tasks_per_chunk as usize
    }

    /// Schedules the write of a chunk at `at`, unless a write is already scheduled.
    pub(super) fn schedule_progress_write(&mut self, job_index: u32, chunk: u32, at: Time) {
        let due = &mut self.jobs[job_index].chunk_due[chunk as usize];
        if due.is_none() {
            *due = Some(at);
            let chunk = JobChunk {
                job: job_index,
                chunk,
            };
            self.write_queue.push_changed_chunk(chunk);
        }
    }

    /// Queues the removal of a chunk whose job has ended, if the chunk is stored.
    pub(super) fn remove_chunk(&mut self, job: JobId, chunk: u32, version: u64) {
        if version > 0 {
            self.write_queue.push_obsolete_chunk(ObsoleteChunk {
                job,
                chunk,
                version,
            });
        }
    }
}
