//! What the leader has stored: the ends of jobs, done bits and the worker registry, one
//! transaction at a time.

use crate::protocol::JobId;
use crate::storage::bitmap;
use crate::storage::writer::{Write, Written, completed};

use super::messages::Effect;
use super::model::*;
use super::state::Core;

/// Values in one transaction, under the 64 KiB that it may have.
pub(super) const TXN_BYTES: usize = 40 * 1024;

impl Core {
    pub(super) fn flush_writes(&mut self) {
        if self.writing {
            return;
        }
        let limit = self.config.cluster.state.txn_ops;
        let mut batch: Vec<Write> = Vec::new();
        let mut bytes = 0;
        // First, as workers wait for their answers until they are off the record.
        self.fencing_writes(&mut batch, limit, &mut bytes);
        let mut ops = batch.len();
        while ops + 2 <= limit
            && let Some(ix) = self.finish.pop_front()
        {
            let job = &self.jobs[ix];
            let write = Write::Finish {
                job: job.spec.id,
                version: job.version,
                done: job.spec.tasks,
            };
            ops += write.changes();
            batch.push(write);
        }
        self.drain_writes(&mut batch, limit, &mut ops);
        let room = limit.saturating_sub(ops);
        let before = batch.len();
        self.registry_writes(&mut batch, before + room, &mut bytes);
        ops += batch.len() - before;
        let chunk_tasks = self.chunk_tasks as usize;
        while ops < limit
            && bytes <= TXN_BYTES
            && let Some(&(ix, chunk)) = self.progress_due.front()
        {
            let due = self
                .jobs
                .get(ix)
                .filter(|j| j.state == JobState::Live)
                .and_then(|j| *j.chunk_due.get(chunk as usize)?);
            if due.is_some_and(|at| at > self.now) {
                break;
            }
            self.progress_due.pop_front();
            // The job may have ended since, and its index be another's by now.
            if due.is_none() {
                continue;
            }
            let job = &mut self.jobs[ix];
            job.chunk_due[chunk as usize] = None;
            let from = chunk as usize * chunk_tasks;
            let to = (from + chunk_tasks).min(job.tasks.len());
            let mut bits = vec![0u8; (to - from).div_ceil(8)];
            for (i, t) in job.tasks[from..to].iter().enumerate() {
                if t.done {
                    bits[i / 8] |= 1 << (i % 8);
                }
            }
            ops += 1;
            bytes += bits.len() * 2 + 200;
            batch.push(Write::Progress {
                job: job.spec.id,
                chunk,
                value: bitmap::to_record(&bits),
                version: job.chunks[chunk as usize],
            });
        }
        while ops < limit
            && let Some((job, chunk, version)) = self.drop_progress.pop_front()
        {
            ops += 1;
            batch.push(Write::DropProgress {
                job,
                chunk,
                version,
            });
        }
        if !batch.is_empty() {
            self.writing = true;
            self.effects.push(Effect::Write(batch));
        }
    }

    pub(super) fn handle_write_results(&mut self, results: Vec<(Write, Written)>) {
        self.writing = false;
        for (write, written) in results {
            match write {
                Write::Finish { job, done, .. } => match written {
                    Written::Stored { .. } => self.end_job(job, completed(done)),
                    Written::Ended(end) => self.end_job(job, end),
                    Written::Again { .. } => {
                        if let Some(&ix) = self.job_ids.get(&job) {
                            self.finish.push_back(ix);
                        }
                    }
                },
                Write::Progress {
                    job, chunk, value, ..
                } => self.progress_written(job, chunk, &value, &written),
                Write::WorkerRegistry { page, value, .. } => {
                    self.registry_written(page, &value, &written);
                }
                Write::FencingRecord { page, .. } => self.fencing_written(page, &written),
                Write::Drain { node, record, .. } => self.drain_written(node, record, &written),
                Write::DropProgress { job, chunk, .. } => {
                    if let Written::Again { version } = written {
                        self.drop_progress.push_back((job, chunk, version));
                    }
                }
            }
        }
    }

    pub(super) fn progress_written(
        &mut self,
        id: JobId,
        chunk: u32,
        value: &serde_json::Value,
        written: &Written,
    ) {
        let version = match written {
            Written::Stored { version } | Written::Again { version } => *version,
            Written::Ended(_) => return,
        };
        let Some(&ix) = self.job_ids.get(&id) else {
            if version > 0 {
                self.drop_progress.push_back((id, chunk, version));
            }
            return;
        };
        let from = (chunk * self.chunk_tasks) as usize;
        let now = self.now;
        let job = &mut self.jobs[ix];
        job.chunks[chunk as usize] = version;
        if matches!(job.state, JobState::Terminal(_)) {
            if version > 0 {
                self.drop_progress.push_back((id, chunk, version));
            }
            return;
        }
        if let Written::Stored { .. } = written {
            let bits = bitmap::from_record(value).unwrap_or_default();
            for (i, t) in job.tasks.iter_mut().enumerate().skip(from) {
                let bit = i - from;
                let Some(byte) = bits.get(bit / 8) else { break };
                if byte & (1 << (bit % 8)) != 0 {
                    t.stored = true;
                }
            }
        } else {
            self.progress_due(ix, chunk, now);
        }
    }
}
