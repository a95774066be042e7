//! Heartbeats from workers.

use std::net::SocketAddr;

use serde_json::json;
use warp::http::StatusCode;

use super::Api;
use super::error::ApiError;
use crate::controller::commands::Command;
use crate::protocol::worker::Heartbeat;
use crate::transport::server::ApiResponse;

/// The status that tells a worker to report to another controller.
const REDIRECT: u16 = StatusCode::MISDIRECTED_REQUEST.as_u16();

impl Api {
    /// Answers a heartbeat with commands, or with a redirect to another controller.
    pub(super) async fn heartbeat(&self, body: &[u8]) -> Result<ApiResponse, ApiError> {
        let heartbeat = Heartbeat::parse(body)?;
        if heartbeat.address.parse::<SocketAddr>().is_err() {
            return Err(ApiError::InvalidWorkerAddress);
        }
        let answer = self
            .handle
            .ask(|reply| Command::Heartbeat { heartbeat, reply })
            .await;
        match answer {
            // Checked again before the answer is sent: the process may have been paused since the
            // event loop answered.
            Some(answer) if answer.status == REDIRECT || self.context.may_answer_workers() => {
                Ok(answer)
            }
            _ => Ok(ApiResponse::json(REDIRECT, &json!({}))),
        }
    }
}
