//! Why a request to the state service failed, and whether it may have been carried out.

use thiserror::Error;

use crate::storage::records::RecordError;
use crate::transport::client::CallError;

/// Why a request to the state service failed.
#[derive(Debug, Clone, Error)]
pub enum StoreError {
    /// Surely not carried out: the state service answered with this status.
    #[error("the state service refuses: {0}")]
    Refused(u16),
    /// Surely not carried out: no connection came about.
    #[error("the state service was not reached")]
    NotReached,
    /// May have been carried out, or may still be.
    #[error("outcome unknown: {0}")]
    Unknown(UnknownOutcome),
    /// The keys whose condition failed.
    #[error("conditions failed: {0:?}")]
    Conflict(Vec<String>),
    /// The lease has ended.
    #[error("no such lease")]
    LeaseNotFound,
    /// The watch fell behind what the service keeps, or what one answer may hold: only reading
    /// everything anew leads on from there.
    #[error("too old")]
    TooOld,
}

/// Why it is not known whether a request was carried out, or what was read.
#[derive(Debug, Clone, Error)]
pub enum UnknownOutcome {
    /// The answer did not arrive.
    #[error(transparent)]
    Exchange(CallError),
    /// The answer does not parse.
    #[error("{0}")]
    InvalidAnswer(String),
    /// A controller was asked to relay the request, and its answer did not arrive.
    #[error("peer gave no answer")]
    RelayLost,
    /// The record that was read does not parse.
    #[error("unreadable record")]
    InvalidRecord(#[source] RecordError),
}

impl StoreError {
    /// A request that failed in the exchange.
    pub(super) fn from_exchange(error: CallError) -> Self {
        match error {
            CallError::Unsent => Self::NotReached,
            other => Self::Unknown(UnknownOutcome::Exchange(other)),
        }
    }

    /// A watch that failed in the exchange.
    pub(super) fn from_watch(error: CallError) -> Self {
        match error {
            // The service has no limit to an answer; the same question gets the same again.
            CallError::TooLarge => Self::TooOld,
            other => Self::Unknown(UnknownOutcome::Exchange(other)),
        }
    }

    /// An answer with a body that does not parse.
    pub(super) fn from_body(error: serde_json::Error) -> Self {
        Self::Unknown(UnknownOutcome::InvalidAnswer(error.to_string()))
    }
}
