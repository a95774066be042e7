//! The commands `copperfield nodes`, `drain`, `undrain` and `moves`.
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | success |
//! | 2 | invalid command line, or the key file cannot be read |
//! | 3 | there is no such node |
//! | 4 | tasks of a protected class would be affected, and the drain was not confirmed |
//! | 5 | no controller answers, or none can carry out the request now: try again |
//! | 6 | the key is missing or wrong, or the operators' endpoints are switched off |
//! | 1 | any other error |

use std::io::{BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};
use serde::Serialize;
use thiserror::Error;

use crate::client::{Client, ClientError};
use crate::table;
use crate::views::{DrainRequest, Node};

const EXIT_SUCCESS: u8 = 0;
const EXIT_OTHER: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_NOT_FOUND: u8 = 3;
const EXIT_UNCONFIRMED: u8 = 4;
const EXIT_TRY_AGAIN: u8 = 5;
const EXIT_UNAUTHORIZED: u8 = 6;

/// The environment variable with the operators' key.
const KEY_VARIABLE: &str = "COPPERFIELD_KEY";
/// The maximum deadline of a drain in seconds.
const MAX_DEADLINE_S: f64 = 1e6;

/// A command for operators. The doc comments of its variants and fields are its help text.
#[expect(
    missing_docs,
    reason = "a doc comment on an argument would become part of its help text"
)]
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the nodes.
    Nodes {
        /// Instead of the nodes, show how many nodes each controller answers.
        #[arg(long = "by-holder", conflicts_with = "json")]
        by_shard_owner: bool,
        #[command(flatten)]
        site: SiteArgs,
    },
    /// Start nothing new on a node, migrate the movable tasks, and let the others complete.
    Drain {
        node: String,
        /// Stop the remaining tasks, with their grace period, after this many seconds.
        #[arg(long, value_name = "S", value_parser = parse_deadline)]
        deadline: Option<f64>,
        /// Do not ask for confirmation if tasks of a protected class are affected.
        #[arg(long)]
        yes: bool,
        #[command(flatten)]
        site: SiteArgs,
    },
    /// End the drain of a node, so that it takes new tasks again.
    Undrain {
        node: String,
        #[command(flatten)]
        site: SiteArgs,
    },
    /// Show the migrations of tasks, and the jobs that wait for whole workers.
    Moves(SiteArgs),
}

/// The site, the key and the output format of a command.
#[derive(Debug, Args)]
pub struct SiteArgs {
    /// Public address of a controller. May be given several times.
    #[arg(
        long = "address",
        value_name = "HOST:PORT",
        env = "COPPERFIELD_ADDRESS",
        value_delimiter = ',',
        default_value = "127.0.0.1:8080"
    )]
    addresses: Vec<SocketAddr>,
    /// File with the operators' key. Without it the key is read from COPPERFIELD_KEY.
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
#[error("must be a number of seconds from 0 to {MAX_DEADLINE_S}")]
struct InvalidDeadline;

fn parse_deadline(text: &str) -> Result<f64, InvalidDeadline> {
    match text.parse::<f64>() {
        Ok(seconds) if (0.0..=MAX_DEADLINE_S).contains(&seconds) => Ok(seconds),
        _ => Err(InvalidDeadline),
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
        // Writing fails if the reader has closed the pipe, for example a pager that was quit.
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

    /// Runs the command and returns the exit code. Errors are printed to standard error.
    pub async fn run(self) -> u8 {
        let client = match self.site().client() {
            Ok(client) => client,
            Err(error) => {
                eprintln!("copperfield: {error}");
                return EXIT_USAGE;
            }
        };
        match self.execute(&client).await {
            Ok(()) => EXIT_SUCCESS,
            Err(error) => {
                eprintln!("copperfield: {error}");
                if let ClientError::ConfirmationRequired(required) = &error {
                    eprintln!("  protected: {}", required.protected.join(", "));
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
                let request = DrainRequest {
                    deadline_s: *deadline,
                    yes: *yes,
                };
                site.print_node(&drain(client, node, request).await?);
            }
        }
        Ok(())
    }
}

/// Drains a node. If tasks of a protected class would be affected, asks the operator for
/// confirmation and repeats the request.
async fn drain(
    client: &Client,
    node: &str,
    mut request: DrainRequest,
) -> Result<Node, ClientError> {
    let result = client.drain(node, &request).await;
    let Err(ClientError::ConfirmationRequired(required)) = &result else {
        return result;
    };
    let protected = required.protected.join(", ");
    let question = format!("{} ({protected}). Drain it anyway?", required.error);
    if !ask_for_confirmation(&question) {
        return result;
    }
    request.yes = true;
    client.drain(node, &request).await
}

/// Asks a question on the terminal. Returns `false` without a terminal, because nobody can answer.
fn ask_for_confirmation(question: &str) -> bool {
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
        ClientError::Unauthorized | ClientError::EndpointsDisabled => EXIT_UNAUTHORIZED,
        ClientError::Unexpected { .. } => EXIT_OTHER,
    }
}
