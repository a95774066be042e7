//! The records in the state service, and how a controller reads and writes them.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `cf/leader` | the current leader; the key's version is the fencing token | the election |
//! | `cf/founded` | term marker: exists once any leader has been elected, and holds the last token whose leader confirmed its election | the election |
//! | `cf/j/{job}` | description of a live job | any controller, create-only |
//! | `cf/t/{job}` | terminal state of a job, never deleted | the leader, or any controller while there is no leader |
//! | `cf/p/{job}/{chunk}` | completed tasks, as a hexadecimal bitmap | the leader |
//! | `cf/d/{worker}` | a drain requested by an operator | the leader |
//! | `cf/s/{page}` | fenced workers, and when each last got an answer to a heartbeat | the leader |
//! | `cf/r/{page}` | the worker registry: workers that may hold task instances | the leader |
//!
//! When a job ends, one transaction moves it from `cf/j/` to `cf/t/`. Readers therefore read
//! `cf/j/` first and `cf/t/` second, so that they find at least one of the two keys even if the
//! move happens between the reads.
//!
//! [`records`] defines the keys and values, [`bitmap`] the bitmaps of completed tasks, [`snapshot`]
//! the state that a new leader starts from, [`store`] the client of the state service, [`writer`]
//! the leader's transactions, and [`recovery`] reads the snapshot.

#![warn(missing_docs)]

pub mod bitmap;
pub mod records;
pub mod recovery;
pub mod snapshot;
pub mod store;
pub mod writer;

pub use records::{
    DRAINS_PREFIX, DrainRecord, FENCING_PREFIX, JOBS_PREFIX, JobRecord, LEADER_KEY,
    PROGRESS_PREFIX, REGISTRY_PREFIX, RecordError, TERM_MARKER_KEY, WorkerRecord, drain_key,
    fencing_key, job_key, job_record, parse_job_record, parse_terminal, progress_key, registry_key,
    terminal_key, terminal_record,
};
pub use snapshot::{
    FencedWorker, Snapshot, StoredDrain, StoredFencingPage, StoredJob, StoredProgress,
    StoredRegistryPage,
};
