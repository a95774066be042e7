//! The health check, which tells a load balancer whether to send requests to this controller.

use serde_json::json;

use super::Api;
use super::error::ApiError;
use crate::transport::server::ApiResponse;

/// A controller is unhealthy if neither the state service nor any peer has answered it for this
/// long.
const CUT_OFF_AFTER_S: f64 = 6.0;

impl Api {
    /// Answers a health check.
    pub(super) fn health(&self) -> Result<ApiResponse, ApiError> {
        let context = &self.context;
        let cut_off = context.store.since_last_answer_s() > CUT_OFF_AFTER_S
            && !context.settings.peers.is_empty()
            && context.seconds_since_peer_contact() > CUT_OFF_AFTER_S;
        if cut_off {
            return Err(ApiError::CutOff);
        }
        Ok(ApiResponse::json(200, &json!({"ok": true})))
    }
}
