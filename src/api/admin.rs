//! Operators' requests, which only the leader can answer.

use copperfield_admin::views::DrainRequest;
use subtle::ConstantTimeEq;
use warp::http::Method;

use super::error::ApiError;
use super::lookup::LocalLookups;
use super::peers::call_leader;
use super::{Api, CANCEL_DEADLINE};
use crate::controller::commands::{AdminResponse, Command};
use crate::protocol::peer::{AdminRequest, PeerReply, PeerRequest};
use crate::transport::server::{ApiRequest, ApiResponse};

/// The longest allowed time until a drain's deadline, in seconds.
const MAX_DRAIN_DEADLINE_S: f64 = 1e6;

impl Api {
    /// Checks the key of an operator's request.
    pub(super) fn authorize(&self, request: &ApiRequest) -> Result<(), ApiError> {
        let operators = self.context.tuning.operators.as_ref();
        let key = &operators.ok_or(ApiError::NoSuchPath)?.key;
        let authorization = request.authorization.as_deref().unwrap_or_default();
        let given_key = authorization.strip_prefix("Bearer ").unwrap_or_default();
        if !bool::from(given_key.as_bytes().ct_eq(key.as_bytes())) {
            return Err(ApiError::Unauthorized);
        }
        Ok(())
    }

    /// Answers an operator's request as the leader, or forwards it to the leader.
    pub(super) async fn admin(&self, request: AdminRequest) -> Result<ApiResponse, ApiError> {
        if let Some(response) = self.admin_as_leader(request.clone()).await {
            return Ok(response);
        }
        let LocalLookups { leader, .. } = self.look_up_all_locally(Vec::new()).await;
        let request = PeerRequest::Admin(request);
        match call_leader(&self.context, leader.as_deref(), request, CANCEL_DEADLINE).await {
            Some(PeerReply::AdminResponse { status, body }) => Ok(response(status, body)),
            _ => Err(ApiError::NoLeader),
        }
    }

    /// Answers an operator's request as the leader; `None` if this controller does not lead.
    pub(super) async fn admin_as_leader(&self, request: AdminRequest) -> Option<ApiResponse> {
        let reply = self
            .handle
            .ask(|reply| Command::Admin { request, reply })
            .await;
        let AdminResponse { status, body } = reply.flatten()?;
        Some(response(status, body))
    }
}

fn response(status: u16, body: Vec<u8>) -> ApiResponse {
    ApiResponse {
        status,
        body,
        retry_after_s: None,
    }
}

/// Parses an operator's HTTP request. `page` is its path without the operators' prefix.
pub(super) fn parse_request(request: &ApiRequest, page: &str) -> Result<AdminRequest, ApiError> {
    if request.method == Method::GET {
        return parse_get(request, page);
    }
    let node_and_action = page
        .strip_prefix("nodes/")
        .and_then(|rest| rest.split_once('/'));
    match node_and_action {
        Some((node, "drain")) => parse_drain(node, &request.body),
        Some((node, "undrain")) => Ok(AdminRequest::Undrain { node: node.into() }),
        _ => Err(ApiError::NoSuchAdminPage),
    }
}

fn parse_get(request: &ApiRequest, page: &str) -> Result<AdminRequest, ApiError> {
    let query = request.query.as_deref().unwrap_or_default();
    match page {
        "nodes" => Ok(AdminRequest::Nodes {
            since: query.strip_prefix("since=").unwrap_or_default().into(),
        }),
        "moves" => Ok(AdminRequest::Moves),
        _ => Err(ApiError::NoSuchAdminPage),
    }
}

fn parse_drain(node: &str, body: &[u8]) -> Result<AdminRequest, ApiError> {
    let drain = match body {
        b"" => DrainRequest::default(),
        body => serde_json::from_slice(body).map_err(ApiError::InvalidDrain)?,
    };
    if let Some(deadline_s) = drain.deadline_s
        && !(0.0..=MAX_DRAIN_DEADLINE_S).contains(&deadline_s)
    {
        return Err(ApiError::InvalidDrainDeadline(deadline_s));
    }
    Ok(AdminRequest::Drain {
        node: node.into(),
        deadline_s: drain.deadline_s,
        yes: drain.yes,
    })
}
