//! The paths of the public interface.

use warp::http::Method;

use super::error::ApiError;
use crate::protocol::JobId;

/// What a request to the public interface is for.
#[derive(Debug, PartialEq)]
pub(super) enum Route<'a> {
    /// An operator's request; `page` is the rest of the path.
    Admin { page: &'a str },
    /// A worker's heartbeat.
    Heartbeat,
    /// A user's submission of a job.
    Submit,
    /// Whether the process should get requests.
    Health,
    /// The cancellation of a job.
    Cancel(JobId),
    /// The question how a job stands.
    Lookup(JobId),
}

impl<'a> Route<'a> {
    /// Without `admin_enabled` operators' paths do not exist.
    pub(super) fn of(
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
                Some(job) => Self::of_job(method, job),
                None => Err(ApiError::NoSuchPath),
            },
        }
    }

    fn of_job(method: &Method, rest: &str) -> Result<Self, ApiError> {
        let parse = |id: &str| JobId::parse(id).ok_or(ApiError::NoSuchJob);
        match (method, rest.strip_suffix("/withdraw")) {
            (&Method::POST, Some(id)) => parse(id).map(Self::Cancel),
            (&Method::GET, None) => parse(rest).map(Self::Lookup),
            _ => Err(ApiError::MethodNotAllowed),
        }
    }
}
