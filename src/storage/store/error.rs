//! Errors of requests to the state service, which tell whether the request may have been carried
//! out.

use thiserror::Error;

use crate::storage::records::RecordError;
use crate::transport::client::CallError;

/// A request to the state service failed.
#[derive(Debug, Clone, Error)]
pub enum StoreError {
    /// Certainly not carried out: the state service answered with this status.
    #[error("the state service answered with status {0}")]
    Refused(u16),
    /// Certainly not carried out: the connection could not be established.
    #[error("cannot connect to the state service")]
    ConnectFailed,
    /// The request may have been carried out, or may still be carried out later.
    #[error("outcome unknown: {0}")]
    Unknown(UnknownOutcome),
    /// Conditions of the transaction failed, on these keys.
    #[error("conditions failed on keys {0:?}")]
    Conflict(Vec<String>),
    /// The lease does not exist or has ended.
    #[error("the lease does not exist or has ended")]
    LeaseNotFound,
    /// The service no longer has all changes since the watched revision, or they exceed the maximum
    /// size of a response. The caller has to list the prefix again.
    #[error("the changes since the watched revision are not available")]
    WatchExpired,
}

/// The reason why it is unknown whether a request was carried out, or what was read.
#[derive(Debug, Clone, Error)]
pub enum UnknownOutcome {
    /// The HTTP call failed after the request may have been sent.
    #[error(transparent)]
    CallFailed(CallError),
    /// The response does not parse.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
    /// A peer was asked to relay the request, and sent no valid response.
    #[error("no response from the relaying peer")]
    RelayNotAnswered,
    /// The record that was read does not parse.
    #[error("the stored record does not parse")]
    InvalidRecord(#[source] RecordError),
}

impl StoreError {
    /// Converts the error of an HTTP call.
    pub(super) fn from_call_error(error: CallError) -> Self {
        match error {
            CallError::Unsent => Self::ConnectFailed,
            other => Self::Unknown(UnknownOutcome::CallFailed(other)),
        }
    }

    /// Converts the error of the HTTP call of a watch.
    pub(super) fn from_watch_error(error: CallError) -> Self {
        match error {
            // The service does not limit the size of a response, so a retry of the same watch would
            // fail again.
            CallError::TooLarge => Self::WatchExpired,
            other => Self::Unknown(UnknownOutcome::CallFailed(other)),
        }
    }

    /// Converts the error of parsing a response body.
    pub(super) fn from_parse_error(error: serde_json::Error) -> Self {
        Self::Unknown(UnknownOutcome::InvalidResponse(error.to_string()))
    }
}
