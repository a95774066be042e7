//! What goes into the core and what comes out of it.

use crate::bookkeeping::StoredJob;
use crate::bookkeeping::writer::{Write, Written};
use crate::protocol::JobId;
use crate::protocol::cloud::{Listed, MachineType};
use crate::protocol::job::Standing;
pub use crate::protocol::peer::Outcome;
use crate::protocol::peer::{Downward, Order, Told, Upward};
use crate::protocol::worker::{Command, Report};

#[derive(Debug)]
pub enum Input {
    Report {
        ticket: u64,
        report: Report,
    },
    /// The end of a direct message.
    Direct {
        machine: String,
        flight: u64,
        outcome: Outcome,
    },
    /// What a holder of some of the machines tells.
    Upward {
        ticket: u64,
        word: Upward,
    },
    /// What this node had heard before it was elected.
    Heard(Vec<Told>),
    /// Messages that another node was to carry and did not take; `surely`: it carries none.
    NotCarried {
        node: u32,
        flights: Vec<u64>,
        surely: bool,
    },
    Job(StoredJob),
    CancelBegin {
        ticket: u64,
        job: JobId,
    },
    CancelSettled {
        job: JobId,
        end: Option<Standing>,
    },
    Operate {
        ticket: u64,
        order: Order,
        /// The time of day, for what is stored.
        unix_ms: u64,
    },
    Written(Vec<(Write, Written)>),
    Types(Vec<MachineType>),
    Listed(Vec<Listed>),
    Rented {
        request: String,
        outcome: RentOutcome,
    },
    Returned {
        machines: Vec<String>,
        ok: bool,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum RentOutcome {
    Machines(Vec<String>),
    NoCapacity,
    /// Not carried out; worth trying later.
    Refused,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelBegin {
    Over(Standing),
    /// Its end is just being stored.
    Busy,
    /// Nothing of it is started any more; store the cancellation, and how many of its
    /// tasks were done.
    Go {
        done: u32,
    },
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a report: 200 with commands.
    Answer {
        ticket: u64,
        body: Vec<u8>,
    },
    /// Answer a report without renewing anything.
    Refuse {
        ticket: u64,
        why: &'static str,
    },
    /// Answer a report without renewing anything: this node is to be reported to.
    SendTo {
        ticket: u64,
        node: u32,
    },
    /// Answer a holder; `None`: it was overtaken by another word of the same.
    Granted {
        ticket: u64,
        down: Option<Downward>,
    },
    Direct {
        machine: String,
        address: String,
        session: u64,
        flight: u64,
        commands: Vec<Command>,
        /// Through this node.
        via: Option<u32>,
    },
    Inspect {
        machine: String,
        address: String,
        /// As far as is known, or as it most likely is.
        session: u64,
        flight: u64,
        via: Option<u32>,
    },
    Write(Vec<Write>),
    Rent {
        request: String,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    Return(Vec<String>),
    List,
    ReadTypes,
    Cancel {
        ticket: u64,
        begin: CancelBegin,
    },
    /// Answer an operator.
    Operated {
        ticket: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A worker has seen a higher token than ours.
    Deposed,
}

/// Where a report came from: only a `/hello` proves what became of the
/// commands in the response before it, only a direct answer of its message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Source {
    Hello,
    Direct { flight: u64, executed: bool },
}
