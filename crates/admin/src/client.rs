//! Asks the controllers, whichever of them answers.

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

/// One controller is given so long before the next is asked.
const DEADLINE: Duration = Duration::from_secs(5);
/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// What controllers answer on all paths of operators while these are switched off.
const SWITCHED_OFF: &str = "no such path";

/// Why a request of an operator was not carried out.
#[derive(Debug, Error)]
pub enum ClientError {
    /// None of the addresses answers.
    #[error("no controller answers at {0}")]
    Unreachable(String),
    /// There is no leader now, or it cannot store anything.
    #[error("the controllers cannot do it now ({0}); try again in a moment")]
    Busy(String),
    /// The key is refused.
    #[error("the key is missing or not the one in the controllers' settings")]
    Unauthorized,
    /// The settings have no key, so that nobody may ask.
    #[error("operators' endpoints are switched off on this site")]
    SwitchedOff,
    /// There is no such node.
    #[error("{0}")]
    NotFound(String),
    /// A drain would disturb a protected class.
    #[error("{}", .0.error)]
    ConfirmationRequired(ConfirmationRequired),
    /// An answer that the protocol does not have.
    #[error("the controllers answered {status}: {problem}")]
    Unexpected {
        /// The status code.
        status: u16,
        /// The reason in the answer, or what is wrong with its body.
        problem: String,
    },
}

/// Asks controllers as an operator.
pub struct Client {
    addresses: Vec<SocketAddr>,
    key: String,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

struct Answer {
    status: u16,
    body: Bytes,
}

/// What an answer means for the caller.
enum Interpreted<T> {
    Final(Result<T, ClientError>),
    /// This controller cannot do it now; another may know who leads.
    Busy(String),
}

impl Client {
    /// `addresses` are tried in turn.
    pub fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            addresses,
            key,
            pool: Pool::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// All nodes, by name.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn nodes(&self) -> Result<Vec<Node>, ClientError> {
        let mut all: Vec<Node> = Vec::new();
        loop {
            let since = all.last().map_or("", |node| node.name.as_str());
            let path = format!("/operator/nodes?since={since}");
            let page: Nodes = self.request(Method::GET, &path, &()).await?;
            let empty = page.nodes.is_empty();
            all.extend(page.nodes);
            if !page.more || empty {
                return Ok(all);
            }
        }
    }

    /// Moves in progress and the last that ended, and why nothing moves for a job.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn moves(&self) -> Result<Moves, ClientError> {
        self.request(Method::GET, "/operator/moves", &()).await
    }

    /// Drains a node, and returns it as it is once the drain is stored. The same drain twice
    /// does nothing more.
    ///
    /// # Errors
    /// [`ClientError::ConfirmationRequired`] if a protected class would be disturbed.
    pub async fn drain(&self, node: &str, order: &DrainRequest) -> Result<Node, ClientError> {
        let path = node_path(node, "drain")?;
        self.request(Method::POST, &path, order).await
    }

    /// Ends a drain, and returns the node as it is then.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn undrain(&self, node: &str) -> Result<Node, ClientError> {
        let path = node_path(node, "undrain")?;
        let order = DrainRequest::default();
        self.request(Method::POST, &path, &order).await
    }

    /// Asks one controller after another until one has a final answer.
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
        let mut busy = None;
        for &address in &self.addresses {
            let answer = self.ask(&method, address, path, body.clone());
            let Ok(Some(answer)) = tokio::time::timeout(DEADLINE, answer).await else {
                continue;
            };
            match answer.interpret() {
                Interpreted::Final(result) => return result,
                Interpreted::Busy(reason) => busy = Some(reason),
            }
        }
        Err(match busy {
            Some(reason) => ClientError::Busy(reason),
            None => ClientError::Unreachable(self.address_list()),
        })
    }

    fn address_list(&self) -> String {
        let addresses: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        addresses.join(", ")
    }

    async fn ask(
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
    fn interpret<T: DeserializeOwned>(&self) -> Interpreted<T> {
        Interpreted::Final(match self.status {
            200 => serde_json::from_slice(&self.body)
                .map_err(|error| self.unexpected(error.to_string())),
            401 => Err(ClientError::Unauthorized),
            404 if self.reason() == SWITCHED_OFF => Err(ClientError::SwitchedOff),
            404 => Err(ClientError::NotFound(self.reason())),
            409 => Err(match serde_json::from_slice(&self.body) {
                Ok(confirm) => ClientError::ConfirmationRequired(confirm),
                Err(_) => self.unexpected(self.reason()),
            }),
            503 => return Interpreted::Busy(self.reason()),
            _ => Err(self.unexpected(self.reason())),
        })
    }

    /// The `error` of the body.
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

/// Names of nodes stand in paths as they are; one that could not is no node's.
fn node_path(node: &str, verb: &str) -> Result<String, ClientError> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:".contains(&byte);
    if node.is_empty() || !node.bytes().all(is_plain) {
        return Err(ClientError::NotFound(format!("there is no node {node:?}")));
    }
    Ok(format!("/operator/nodes/{node}/{verb}"))
}
