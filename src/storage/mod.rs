//! The records that the state service keeps, and how a controller reads and writes them.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `cf/leader` | the current leader; the key's version is the fencing token | the election |
//! | `cf/founded` | term marker: there has been a leader, and the last token whose leader knew that it led | the election |
//! | `cf/j/{job}` | a live job's description | any controller, create-only |
//! | `cf/t/{job}` | a job's terminal state, kept for ever | the leader, or any controller while there is none |
//! | `cf/p/{job}/{chunk}` | which tasks are done, as a hexadecimal bitmap | the leader |
//! | `cf/d/{worker}` | a drain that an operator has ordered | the leader |
//! | `cf/s/{page}` | fenced workers, and when each was last answered | the leader |
//! | `cf/r/{page}` | the worker registry: workers that may have been given tasks | the leader |
//!
//! The end of a job moves it from `cf/j/` to `cf/t/` in one transaction. A reader therefore asks
//! for `cf/j/` first and for `cf/t/` second: whichever way it races with the move, it finds one
//! of the two.
//!
//! [`records`] has the keys and values, [`snapshot`] what a new leader starts from,
//! [`store`] the client of the state service, [`writer`] the leader's transactions and
//! [`recovery`] what a new leader reads.

#![warn(missing_docs)]

pub mod bitmap;
pub mod records;
pub mod recovery;
pub mod snapshot;
pub mod store;
pub mod writer;

pub use records::{
    DRAINS, DrainRecord, FENCING, JOBS, JobRecord, LEADER, PROGRESS, REGISTRY, RecordError,
    TERM_MARKER, WorkerRecord, drain_key, fencing_key, job_key, job_record, parse_job_record,
    parse_terminal, progress_key, registry_key, terminal_key, terminal_record,
};
pub use snapshot::{
    FencedWorker, Snapshot, StoredDrain, StoredFencingPage, StoredJob, StoredProgress,
    StoredRegistryPage,
};
