//! `copperfield nodes`, `drain`, `undrain` and `moves`.
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | done |
//! | 2 | the command line cannot be understood |
//! | 3 | there is no such node |
//! | 4 | a protected class would be disturbed and nobody said yes |
//! | 5 | no controller answers, or none can do it now: worth trying again |
//! | 6 | the key is missing or wrong, or the endpoints are switched off |
//! | 1 | anything else |

use std::io::{BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use serde::Serialize;
use thiserror::Error;

use crate::client::{Client, ClientError};
use crate::table;
use crate::views::{DrainRequest, Node};

const EXIT_DONE: u8 = 0;
const EXIT_OTHER: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_NOT_FOUND: u8 = 3;
const EXIT_UNCONFIRMED: u8 = 4;
const EXIT_TRY_AGAIN: u8 = 5;
const EXIT_UNAUTHORIZED: u8 = 6;

/// The variable with the operators' key.
const KEY_VARIABLE: &str = "COPPERFIELD_KEY";
/// The longest deadline of a drain, in seconds.
const MAX_DEADLINE_S: f64 = 1e6;

/// A command of operators. The comments on its parts are its published help.
#[expect(
    missing_docs,
    reason = "a comment on an argument would become a part of the published help"
)]
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the nodes.
    Nodes {
        /// Count the nodes that each controller speaks with instead.
        #[arg(long = "by-holder", conflicts_with = "json")]
        by_shard_owner: bool,
        #[command(flatten)]
        site: SiteArgs,
    },
    /// Start nothing new on a node; what may move moves, the rest runs to its end.
    Drain {
        node: String,
        /// Stop in order what still runs after so many seconds.
        #[arg(long, value_name = "S", value_parser = parse_seconds)]
        deadline: Option<f64>,
        /// Do not ask, even if a protected class is disturbed.
        #[arg(long)]
        yes: bool,
        #[command(flatten)]
        site: SiteArgs,
    },
    /// Let a node that drains take work again.
    Undrain {
        node: String,
        #[command(flatten)]
        site: SiteArgs,
    },
    /// Show moves, and what waits for whole workers.
    Moves(SiteArgs),
}

/// Which site, with which key, and how to print.
#[derive(Debug, Args)]
pub struct SiteArgs {
    /// Public address of a controller; may be given several times.
    #[arg(
        long = "address",
        value_name = "HOST:PORT",
        env = "COPPERFIELD_ADDRESS",
        value_delimiter = ',',
        default_value = "127.0.0.1:8080"
    )]
    addresses: Vec<SocketAddr>,
    /// File with the operators' key; otherwise it is taken from COPPERFIELD_KEY.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Error)]
#[error("--key-file {}: cannot be read: {source}", .path.display())]
struct KeyFileError {
    path: PathBuf,
    source: std::io::Error,
}

#[derive(Debug, Error)]
#[error("allowed is a number from 0 to {MAX_DEADLINE_S}")]
struct NotADeadline;

fn parse_seconds(text: &str) -> Result<f64, NotADeadline> {
    match text.parse::<f64>() {
        Ok(seconds) if (0.0..=MAX_DEADLINE_S).contains(&seconds) => Ok(seconds),
        _ => Err(NotADeadline),
    }
}

impl SiteArgs {
    fn client(&self) -> Result<Client, KeyFileError> {
        let key = match &self.key_file {
            Some(path) => std::fs::read_to_string(path).map_err(|source| KeyFileError {
                path: path.clone(),
                source,
            })?,
            None => std::env::var(KEY_VARIABLE).unwrap_or_default(),
        };
        Ok(Client::new(self.addresses.clone(), key.trim().to_string()))
    }

    fn print<T: Serialize>(&self, value: &T, table: impl FnOnce(&T) -> String) {
        let text = if self.json {
            serde_json::to_string_pretty(value).expect("plain data")
        } else {
            table(value)
        };
        // Nobody reads on: a pager that was left.
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    fn print_node(&self, node: &Node) {
        self.print(node, |node| table::nodes(std::slice::from_ref(node)));
    }
}

impl Command {
    fn site(&self) -> &SiteArgs {
        match self {
            Self::Moves(site) => site,
            Self::Nodes { site, .. } | Self::Drain { site, .. } | Self::Undrain { site, .. } => {
                site
            }
        }
    }

    /// Carries the command out and returns the exit code; problems go to standard error.
    pub async fn run(self) -> u8 {
        let client = match self.site().client() {
            Ok(client) => client,
            Err(error) => {
                eprintln!("copperfield: {error}");
                return EXIT_USAGE;
            }
        };
        match self.execute(&client).await {
            Ok(()) => EXIT_DONE,
            Err(error) => {
                eprintln!("copperfield: {error}");
                if let ClientError::ConfirmationRequired(confirm) = &error {
                    eprintln!("  protected: {}", confirm.protected.join(", "));
                    eprintln!("  nothing was changed; say --yes if it is meant");
                }
                exit_code(&error)
            }
        }
    }

    async fn execute(&self, client: &Client) -> Result<(), ClientError> {
        let site = self.site();
        match self {
            Self::Nodes { by_shard_owner, .. } => {
                let nodes = client.nodes().await?;
                let table = if *by_shard_owner {
                    table::by_shard_owner
                } else {
                    table::nodes
                };
                site.print(&nodes, |nodes| table(nodes));
            }
            Self::Moves(_) => site.print(&client.moves().await?, table::moves),
            Self::Undrain { node, .. } => site.print_node(&client.undrain(node).await?),
            Self::Drain {
                node,
                deadline,
                yes,
                ..
            } => {
                let order = DrainRequest {
                    deadline_s: *deadline,
                    yes: *yes,
                };
                site.print_node(&drain(client, node, order).await?);
            }
        }
        Ok(())
    }
}

/// Asks before it disturbs a protected class, if there is someone to ask.
async fn drain(client: &Client, node: &str, mut order: DrainRequest) -> Result<Node, ClientError> {
    let drained = client.drain(node, &order).await;
    let Err(ClientError::ConfirmationRequired(confirm)) = &drained else {
        return drained;
    };
    let protected = confirm.protected.join(", ");
    let question = format!("{} ({protected}). Drain it all the same?", confirm.error);
    if !is_confirmed(&question) {
        return drained;
    }
    order.yes = true;
    client.drain(node, &order).await
}

/// Asks on a terminal; elsewhere nobody can say yes.
fn is_confirmed(question: &str) -> bool {
    if !std::io::stdin().is_terminal() || !std::io::stderr().is_terminal() {
        return false;
    }
    eprint!("{question} [y/N] ");
    let mut answer = String::new();
    let read = std::io::stdin().lock().read_line(&mut answer);
    read.is_ok() && matches!(answer.trim(), "y" | "Y" | "yes")
}

fn exit_code(error: &ClientError) -> u8 {
    match error {
        ClientError::NotFound(_) => EXIT_NOT_FOUND,
        ClientError::ConfirmationRequired(_) => EXIT_UNCONFIRMED,
        ClientError::Unreachable(_) | ClientError::Busy(_) => EXIT_TRY_AGAIN,
        ClientError::Unauthorized | ClientError::SwitchedOff => EXIT_UNAUTHORIZED,
        ClientError::Unexpected { .. } => EXIT_OTHER,
    }
}
