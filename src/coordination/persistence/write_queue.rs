//! The queue of writes to the state service.

use std::collections::VecDeque;

use crate::protocol::JobId;

/// One chunk of a job's done bitmap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination) struct JobChunk {
    /// The index of the job.
    pub job: u32,
    /// The chunk's position in the job.
    pub chunk: u32,
}

/// A stored chunk whose job has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination) struct ObsoleteChunk {
    /// The id of the job, which no longer has an index.
    pub job: JobId,
    /// The chunk's position in the job.
    pub chunk: u32,
    /// The version of its key.
    pub version: u64,
}

/// Pending writes, with a queue for each kind, and whether a transaction is in flight. At most one
/// transaction is in flight.
#[derive(Debug, Default)]
pub(in crate::coordination) struct WriteQueue {
    in_flight: bool,
    /// Indices of jobs whose tasks are all done.
    finished_jobs: VecDeque<u32>,
    /// Chunks that differ from their stored versions, the longest-waiting first.
    changed_chunks: VecDeque<JobChunk>,
    /// Stored chunks to be removed from the state service.
    obsolete_chunks: VecDeque<ObsoleteChunk>,
}

impl WriteQueue {
    /// Whether a transaction is in flight, so that its results are not known yet.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Records that a transaction was sent.
    pub fn begin_transaction(&mut self) {
        self.in_flight = true;
    }

    /// Records that the results of the transaction are known.
    pub fn end_transaction(&mut self) {
        self.in_flight = false;
    }

    /// Queues the end of a job to be stored.
    pub fn push_finished_job(&mut self, job: u32) {
        self.finished_jobs.push_back(job);
    }

    /// Takes the next job whose end must be stored.
    pub fn pop_finished_job(&mut self) -> Option<u32> {
        self.finished_jobs.pop_front()
    }

    /// Queues a changed chunk to be stored once it is due.
    pub fn push_changed_chunk(&mut self, chunk: JobChunk) {
        self.changed_chunks.push_back(chunk);
    }

    /// The longest-waiting changed chunk.
    pub fn first_changed_chunk(&self) -> Option<JobChunk> {
        self.changed_chunks.front().copied()
    }

    /// Takes the longest-waiting changed chunk.
    pub fn pop_changed_chunk(&mut self) -> Option<JobChunk> {
        self.changed_chunks.pop_front()
    }

    /// Queues a stored chunk to be removed.
    pub fn push_obsolete_chunk(&mut self, chunk: ObsoleteChunk) {
        self.obsolete_chunks.push_back(chunk);
    }

    /// Takes the next chunk to be removed.
    pub fn pop_obsolete_chunk(&mut self) -> Option<ObsoleteChunk> {
        self.obsolete_chunks.pop_front()
    }
}
