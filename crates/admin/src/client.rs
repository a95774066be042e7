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

use crate::views::{Confirm, DrainOrder, Moves, Node, Nodes};

/// One controller is given so long before the next is asked.
const DEADLINE: Duration = Duration::from_secs(5);
const MAX_ANSWER: usize = 1024 * 1024;

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("no controller answers at {0}")]
    Unreachable(String),
    #[error("the controllers cannot do it now ({0}); try again in a moment")]
    Busy(String),
    #[error("the key is missing or not the one in the controllers' settings")]
    Unauthorized,
    #[error("operators' endpoints are switched off on this site")]
    SwitchedOff,
    #[error("{0}")]
    NotFound(String),
    #[error("{}", .0.error)]
    Confirm(Confirm),
    #[error("the controllers answered {0}: {1}")]
    Unexpected(u16, String),
}

/// Names of nodes stand in paths as they are; one that could not is no node's.
fn path_of(node: &str, verb: &str) -> Result<String, ClientError> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._:".contains(&b);
    if node.is_empty() || !node.bytes().all(plain) {
        return Err(ClientError::NotFound(format!("there is no node {node:?}")));
    }
    Ok(format!("/operator/nodes/{node}/{verb}"))
}

pub struct Client {
    addresses: Vec<SocketAddr>,
    key: String,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

struct Answer {
    status: u16,
    body: Bytes,
}

impl Client {
    /// `addresses` are tried in turn.
    pub fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
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
            let since = all.last().map_or("", |n| n.name.as_str());
            let path = format!("/operator/nodes?since={since}");
            let page: Nodes = self.read(Method::GET, &path, &()).await?;
            let empty = page.nodes.is_empty();
            all.extend(page.nodes);
            if !page.more || empty {
                return Ok(all);
            }
        }
    }

    /// # Errors
    /// See [`ClientError`].
    pub async fn moves(&self) -> Result<Moves, ClientError> {
        self.read(Method::GET, "/operator/moves", &()).await
    }

    /// The node as it is once the drain is stored. The same drain twice does nothing more.
    ///
    /// # Errors
    /// [`ClientError::Confirm`] if a protected class would be disturbed.
    pub async fn drain(&self, node: &str, order: &DrainOrder) -> Result<Node, ClientError> {
        let path = path_of(node, "drain")?;
        self.read(Method::POST, &path, order).await
    }

    /// # Errors
    /// See [`ClientError`].
    pub async fn undrain(&self, node: &str) -> Result<Node, ClientError> {
        let path = path_of(node, "undrain")?;
        self.read(Method::POST, &path, &DrainOrder::default()).await
    }

    async fn read<T: DeserializeOwned>(
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
            let asked = self.ask(&method, address, path, body.clone());
            let Ok(Some(answer)) = tokio::time::timeout(DEADLINE, asked).await else {
                continue;
            };
            let text = || {
                let value: serde_json::Value =
                    serde_json::from_slice(&answer.body).unwrap_or_default();
                value["error"]
                    .as_str()
                    .unwrap_or("no reason given")
                    .to_string()
            };
            return match answer.status {
                200 => serde_json::from_slice(&answer.body)
                    .map_err(|e| ClientError::Unexpected(200, e.to_string())),
                401 => Err(ClientError::Unauthorized),
                404 if text() == "no such path" => Err(ClientError::SwitchedOff),
                404 => Err(ClientError::NotFound(text())),
                409 => Err(match serde_json::from_slice(&answer.body) {
                    Ok(confirm) => ClientError::Confirm(confirm),
                    Err(_) => ClientError::Unexpected(409, text()),
                }),
                // Another may know who leads.
                503 => {
                    busy = Some(text());
                    continue;
                }
                status => Err(ClientError::Unexpected(status, text())),
            };
        }
        let names: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        Err(match busy {
            Some(why) => ClientError::Busy(why),
            None => ClientError::Unreachable(names.join(", ")),
        })
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
        let body = Limited::new(response.into_body(), MAX_ANSWER);
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer { status, body })
    }
}
