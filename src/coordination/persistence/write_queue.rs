//! What waits to be written to the state service.

use std::collections::VecDeque;

use crate::protocol::JobId;

/// One chunk of a job's bitmap of done tasks, by the job's index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination) struct JobChunk {
    pub job: u32,
    pub chunk: u32,
}

/// A stored chunk whose job has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination) struct ObsoleteChunk {
    pub job: JobId,
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
    obsolete_chunks: VecDeque<ObsoleteChunk>,
}

impl WriteQueue {
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    pub fn begin_transaction(&mut self) {
        self.in_flight = true;
    }

    pub fn end_transaction(&mut self) {
        self.in_flight = false;
    }

    pub fn push_finished_job(&mut self, job: u32) {
        self.finished_jobs.push_back(job);
    }

    pub fn pop_finished_job(&mut self) -> Option<u32> {
        self.finished_jobs.pop_front()
    }

    pub fn push_changed_chunk(&mut self, chunk: JobChunk) {
        self.changed_chunks.push_back(chunk);
    }

    pub fn first_changed_chunk(&self) -> Option<JobChunk> {
        self.changed_chunks.front().copied()
    }

    pub fn pop_changed_chunk(&mut self) -> Option<JobChunk> {
        self.changed_chunks.pop_front()
    }

    pub fn push_obsolete_chunk(&mut self, chunk: ObsoleteChunk) {
        self.obsolete_chunks.push_back(chunk);
    }

    pub fn pop_obsolete_chunk(&mut self) -> Option<ObsoleteChunk> {
        self.obsolete_chunks.pop_front()
    }
}
