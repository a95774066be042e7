//! What waits to be written to the state service.

use std::collections::VecDeque;

use crate::protocol::JobId;

/// One chunk of a job's bitmap of done tasks, by the job's index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination) struct JobChunk {
    /// The job's index.
    pub job: u32,
    /// The chunk's position in the job.
    pub chunk: u32,
}

/// A stored chunk whose job has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination) struct ObsoleteChunk {
    /// The job, which has no index any more.
    pub job: JobId,
    /// The chunk's position in the job.
    pub chunk: u32,
    /// The version of its key.
    pub version: u64,
}

/// Writes that wait, each kind in its order, and whether a transaction is in flight: there is
/// one at a time.
#[derive(Debug, Default)]
pub(in crate::coordination) struct WriteQueue {
    in_flight: bool,
    /// Jobs, by index, all of whose tasks are done.
    finished_jobs: VecDeque<u32>,
    /// Chunks that differ from what is stored, the one that waits longest first.
    changed_chunks: VecDeque<JobChunk>,
    /// Chunks to be removed from the state service.
    obsolete_chunks: VecDeque<ObsoleteChunk>,
}

impl WriteQueue {
    /// Whether a transaction was sent whose results are not known yet.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// A transaction is sent.
    pub fn begin_transaction(&mut self) {
        self.in_flight = true;
    }

    /// The results of the transaction are known.
    pub fn end_transaction(&mut self) {
        self.in_flight = false;
    }

    /// Has the end of a job stored.
    pub fn push_finished_job(&mut self, job: u32) {
        self.finished_jobs.push_back(job);
    }

    /// The next job whose end is to be stored.
    pub fn pop_finished_job(&mut self) -> Option<u32> {
        self.finished_jobs.pop_front()
    }

    /// Has a chunk stored once it is due.
    pub fn push_changed_chunk(&mut self, chunk: JobChunk) {
        self.changed_chunks.push_back(chunk);
    }

    /// The changed chunk that waits longest.
    pub fn first_changed_chunk(&self) -> Option<JobChunk> {
        self.changed_chunks.front().copied()
    }

    /// Takes the changed chunk that waits longest.
    pub fn pop_changed_chunk(&mut self) -> Option<JobChunk> {
        self.changed_chunks.pop_front()
    }

    /// Has a stored chunk removed.
    pub fn push_obsolete_chunk(&mut self, chunk: ObsoleteChunk) {
        self.obsolete_chunks.push_back(chunk);
    }

    /// The next chunk to be removed.
    pub fn pop_obsolete_chunk(&mut self) -> Option<ObsoleteChunk> {
        self.obsolete_chunks.pop_front()
    }
}
