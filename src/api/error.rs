//! The errors that the HTTP interfaces return, with their status codes and texts.

use std::time::Duration;

use warp::http::StatusCode;

use super::submission::Unschedulable;
use crate::protocol::job::InvalidField;
use crate::protocol::worker::InvalidHeartbeat;
use crate::transport::server::ApiResponse;

/// Why a request is refused. The client receives the text as `error` in the body.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    /// The process was paused, so that the client may have timed out. It can retry at once.
    #[error("this node stood still")]
    ProcessPaused,
    #[error("no such path")]
    NoSuchPath,
    #[error("no such job")]
    NoSuchJob,
    #[error("method not allowed")]
    MethodNotAllowed,
    #[error("not stored in time")]
    NotStoredInTime,
    #[error("no answer in time")]
    NoAnswerInTime,
    #[error("the state service does not answer")]
    StateServiceUnavailable,
    #[error("cannot be stored now")]
    NotStored,

    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error(transparent)]
    InvalidSubmission(#[from] InvalidField),
    #[error(transparent)]
    Unschedulable(#[from] Unschedulable),
    #[error("description: too large to be stored")]
    SubmissionTooLarge,
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    #[error("too many changes wait")]
    WriteBacklog { backlog: Duration },
    #[error("too many questions wait")]
    ReadBacklog,

    #[error(transparent)]
    InvalidHeartbeat(#[from] InvalidHeartbeat),
    #[error("address: not an IP address and port")]
    InvalidWorkerAddress,

    #[error("the key is missing or wrong")]
    Unauthorized,
    #[error("there is no such page")]
    NoSuchAdminPage,
    #[error("drain: {0}")]
    InvalidDrain(serde_json::Error),
    #[error("deadline_s: found {0}, allowed is 0 to 1000000")]
    InvalidDrainDeadline(f64),
    #[error("no leader answers")]
    NoLeader,

    #[error("cut off from the state service and from all peers")]
    CutOff,
    #[error("message: found {found}, allowed are those of this version")]
    UnknownPeerMessage { found: String },
}

impl ApiError {
    fn status(&self) -> StatusCode {
        match self {
            Self::NotJson(_)
            | Self::InvalidSubmission(_)
            | Self::SubmissionTooLarge
            | Self::InvalidHeartbeat(_)
            | Self::InvalidWorkerAddress
            | Self::InvalidDrain(_)
            | Self::InvalidDrainDeadline(_)
            | Self::UnknownPeerMessage { .. } => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoSuchPath | Self::NoSuchJob | Self::NoSuchAdminPage => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::Unschedulable(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::ProcessPaused
            | Self::NotStoredInTime
            | Self::NoAnswerInTime
            | Self::StateServiceUnavailable
            | Self::NotStored
            | Self::MachineTypesUnknown
            | Self::WriteBacklog { .. }
            | Self::ReadBacklog
            | Self::NoLeader
            | Self::CutOff => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// After how many seconds the client should retry; `None` if it should not retry, or only with
    /// another controller.
    fn retry_after_s(&self) -> Option<u32> {
        match self {
            Self::WriteBacklog { backlog } => Some(backlog.as_secs() as u32 + 1),
            Self::ReadBacklog => Some(2),
            Self::ProcessPaused
            | Self::NotStoredInTime
            | Self::NoAnswerInTime
            | Self::StateServiceUnavailable
            | Self::NotStored
            | Self::MachineTypesUnknown
            | Self::NoLeader => Some(1),
            _ => None,
        }
    }
}

impl From<ApiError> for ApiResponse {
    fn from(error: ApiError) -> Self {
        let response = Self::error(error.status().as_u16(), &error.to_string());
        Self {
            retry_after_s: error.retry_after_s(),
            ..response
        }
    }
}
