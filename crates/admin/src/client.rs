//! The client of the admin API. It tries the controllers in turn until one answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::views::{ConfirmationRequired, DrainRequest, Moves, Node, Nodes};

/// The time that a controller has to answer before the next one is tried.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// The error of the 404 answer on all operators' paths if the settings contain no operators' key.
const ENDPOINTS_DISABLED_REASON: &str = "no such path";

/// Why an operator's request was not carried out.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No controller answered at any of the addresses.
    #[error("no controller answers at {0}")]
    Unreachable(String),
    /// There is no leader, or the leader cannot store the change now.
    #[error("the controllers cannot do it now ({0}); try again in a moment")]
    Busy(String),
    /// The controllers refused the key.
    #[error("the key is missing or not the one in the controllers' settings")]
    Unauthorized,
    /// The settings of the site contain no operators' key, which disables the endpoints.
    #[error("operators' endpoints are switched off on this site")]
    EndpointsDisabled,
    /// There is no such node.
    #[error("{0}")]
    NotFound(String),
    /// The drain would affect tasks of a protected class and must be confirmed.
    #[error("{}", .0.error)]
    ConfirmationRequired(ConfirmationRequired),
    /// The answer is not part of the protocol.
    #[error("the controllers answered {status}: {problem}")]
    Unexpected {
        /// The status code.
        status: u16,
        /// The reason given in the answer, or what is wrong with its body.
        problem: String,
    },
}

/// A client of the admin API.
pub struct Client {
    addresses: Vec<SocketAddr>,
    key: String,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

struct Answer {
    status: u16,
    body: Bytes,
}

/// What to do after a controller's answer.
enum AnswerAction<T> {
    /// Return the result to the caller.
    Return(Result<T, ClientError>),
    /// Try the next controller, because this one cannot carry out the request now. Contains the
    /// reason in the answer. Another controller may know the leader.
    TryNext(String),
}

impl Client {
    /// Creates a client that tries the addresses in the given order.
    pub fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            addresses,
            key,
            pool: Pool::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Returns all nodes, ordered by name.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn nodes(&self) -> Result<Vec<Node>, ClientError> {
        let mut all: Vec<Node> = Vec::new();
        loop {
            let since = all.last().map_or("", |node| node.name.as_str());
            let path = format!("/operator/nodes?since={since}");
            let page: Nodes = self.request(Method::GET, &path, &()).await?;
            let is_empty = page.nodes.is_empty();
            all.extend(page.nodes);
            if !page.more || is_empty {
                return Ok(all);
            }
        }
    }

    /// Returns the migrations in progress, the last ones that ended, and the jobs that wait for
    /// whole workers.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn moves(&self) -> Result<Moves, ClientError> {
        self.request(Method::GET, "/operator/moves", &()).await
    }

    /// Drains a node. Returns the node after the drain is stored. Repeating the request has no
    /// further effect.
    ///
    /// # Errors
    /// [`ClientError::ConfirmationRequired`] if tasks of a protected class would be affected and
    /// the request does not confirm it. Otherwise see [`ClientError`].
    pub async fn drain(&self, node: &str, request: &DrainRequest) -> Result<Node, ClientError> {
        let path = node_path(node, "drain")?;
        self.request(Method::POST, &path, request).await
    }

    /// Ends the drain of a node. Returns the node after that.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn undrain(&self, node: &str) -> Result<Node, ClientError> {
        let path = node_path(node, "undrain")?;
        let request = DrainRequest::default();
        self.request(Method::POST, &path, &request).await
    }

    /// Sends a request to one controller after another until one gives a final answer.
    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body = match method {
            Method::GET => Vec::new(),
            _ => serde_json::to_vec(body).expect("plain data"),
        };
        let mut busy_reason = None;
        for &address in &self.addresses {
            let answer = self.send(&method, address, path, body.clone());
            let Ok(Some(answer)) = tokio::time::timeout(REQUEST_TIMEOUT, answer).await else {
                continue;
            };
            match answer.interpret() {
                AnswerAction::Return(result) => return result,
                AnswerAction::TryNext(reason) => busy_reason = Some(reason),
            }
        }
        Err(match busy_reason {
            Some(reason) => ClientError::Busy(reason),
            None => ClientError::Unreachable(self.address_list()),
        })
    }

    fn address_list(&self) -> String {
        let addresses: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        addresses.join(", ")
    }

    /// Sends a request to one controller. Returns `None` if it gives no complete answer.
    async fn send(
        &self,
        method: &Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Option<Answer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let response = self.pool.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer { status, body })
    }
}

impl Answer {
    fn interpret<T: DeserializeOwned>(&self) -> AnswerAction<T> {
        AnswerAction::Return(match self.status {
            200 => serde_json::from_slice(&self.body)
                .map_err(|error| self.unexpected(error.to_string())),
            401 => Err(ClientError::Unauthorized),
            404 if self.reason() == ENDPOINTS_DISABLED_REASON => {
                Err(ClientError::EndpointsDisabled)
            }
            404 => Err(ClientError::NotFound(self.reason())),
            409 => Err(match serde_json::from_slice(&self.body) {
                Ok(required) => ClientError::ConfirmationRequired(required),
                Err(_) => self.unexpected(self.reason()),
            }),
            503 => return AnswerAction::TryNext(self.reason()),
            _ => Err(self.unexpected(self.reason())),
        })
    }

    /// Returns the `error` field of the body.
    fn reason(&self) -> String {
        let value: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let reason = value["error"].as_str().unwrap_or("no reason given");
        reason.to_string()
    }

    fn unexpected(&self, problem: String) -> ClientError {
        ClientError::Unexpected {
            status: self.status,
            problem,
        }
    }
}

/// Returns the path of a request about a node. Names are inserted without escaping, so a name with
/// other characters is rejected: no node has such a name.
fn node_path(node: &str, verb: &str) -> Result<String, ClientError> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:".contains(&byte);
    if node.is_empty() || !node.bytes().all(is_plain) {
        return Err(ClientError::NotFound(format!("there is no node {node:?}")));
    }
    Ok(format!("/operator/nodes/{node}/{verb}"))
}
