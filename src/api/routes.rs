//! The routes of the public interface.

use warp::http::Method;

use super::error::ApiError;
use crate::protocol::JobId;

/// The route of a request to the public interface.
#[derive(Debug, PartialEq)]
pub(super) enum Route<'a> {
    /// An operator's request; `page` is the rest of the path.
    Admin { page: &'a str },
    /// A worker's heartbeat.
    Heartbeat,
    /// A user's submission of a job.
    Submit,
    /// The health check.
    Health,
    /// The cancellation of a job.
    Cancel(JobId),
    /// A lookup of a job's state.
    Lookup(JobId),
}

impl<'a> Route<'a> {
    /// Parses the route of a request. The operators' paths exist only if `admin_enabled` is set.
    pub(super) fn parse(
        method: &Method,
        path: &'a str,
        admin_enabled: bool,
    ) -> Result<Self, ApiError> {
        if admin_enabled && let Some(page) = path.strip_prefix("/operator/") {
            return Ok(Self::Admin { page });
        }
        match (method, path) {
            (&Method::POST, "/hello") => Ok(Self::Heartbeat),
            (&Method::POST, "/work") => Ok(Self::Submit),
            (&Method::GET, "/healthz") => Ok(Self::Health),
            (method, path) => match path.strip_prefix("/work/") {
                Some(job_path) => Self::parse_job_path(method, job_path),
                None => Err(ApiError::NoSuchPath),
            },
        }
    }

    fn parse_job_path(method: &Method, job_path: &str) -> Result<Self, ApiError> {
        let parse_id = |id: &str| JobId::parse(id).ok_or(ApiError::NoSuchJob);
        match (method, job_path.strip_suffix("/withdraw")) {
            (&Method::POST, Some(id)) => parse_id(id).map(Self::Cancel),
            (&Method::GET, None) => parse_id(job_path).map(Self::Lookup),
            _ => Err(ApiError::MethodNotAllowed),
        }
    }
}
