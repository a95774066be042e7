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

use crate::client::{Client, ClientError};
use crate::table;
use crate::views::DrainOrder;

#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the nodes.
    Nodes {
        /// Count the nodes that each controller speaks with instead.
        #[arg(long = "by-holder", conflicts_with = "json")]
        by_shard_owner: bool,
        #[command(flatten)]
        at: At,
    },
    /// Start nothing new on a node; what may move moves, the rest runs to its end.
    Drain {
        node: String,
        /// Stop in order what still runs after so many seconds.
        #[arg(long, value_name = "S", value_parser = seconds)]
        deadline: Option<f64>,
        /// Do not ask, even if a protected class is disturbed.
        #[arg(long)]
        yes: bool,
        #[command(flatten)]
        at: At,
    },
    /// Let a node that drains take work again.
    Undrain {
        node: String,
        #[command(flatten)]
        at: At,
    },
    /// Show moves, and what waits for whole workers.
    Moves(At),
}

/// Which site, and as whom.
#[derive(Debug, Args)]
pub struct At {
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

fn seconds(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(s) if (0.0..=1e6).contains(&s) => Ok(s),
        _ => Err("allowed is a number from 0 to 1000000".into()),
    }
}

impl At {
    fn client(&self) -> Result<Client, String> {
        let key = match &self.key_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|e| format!("--key-file {}: cannot be read: {e}", path.display()))?,
            None => std::env::var("COPPERFIELD_KEY").unwrap_or_default(),
        };
        Ok(Client::new(self.addresses.clone(), key.trim().to_string()))
    }

    fn show<T: Serialize>(&self, value: &T, table: impl FnOnce(&T) -> String) {
        let text = if self.json {
            serde_json::to_string_pretty(value).expect("plain data")
        } else {
            table(value)
        };
        // Nobody reads on: a pager that was left.
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}

impl Command {
    fn at(&self) -> &At {
        match self {
            Self::Moves(at) => at,
            Self::Nodes { at, .. } | Self::Drain { at, .. } | Self::Undrain { at, .. } => at,
        }
    }

    /// Carries the command out and returns the exit code; problems go to standard error.
    pub async fn run(self) -> u8 {
        let client = match self.at().client() {
            Ok(client) => client,
            Err(problem) => {
                eprintln!("copperfield: {problem}");
                return 2;
            }
        };
        match self.execute_effect(&client).await {
            Ok(()) => 0,
            Err(error) => {
                eprintln!("copperfield: {error}");
                if let ClientError::Confirm(confirm) = &error {
                    eprintln!("  protected: {}", confirm.protected.join(", "));
                    eprintln!("  nothing was changed; say --yes if it is meant");
                }
                exit_code(&error)
            }
        }
    }

    async fn execute_effect(&self, client: &Client) -> Result<(), ClientError> {
        let at = self.at();
        match self {
            Self::Nodes { by_shard_owner, .. } => {
                let table = if *by_shard_owner {
                    table::by_shard_owner
                } else {
                    table::nodes
                };
                at.show(&client.nodes().await?, |n| table(n));
            }
            Self::Moves(_) => at.show(&client.moves().await?, table::moves),
            Self::Undrain { node, .. } => {
                let node = client.undrain(node).await?;
                at.show(&node, |n| table::nodes(std::slice::from_ref(n)));
            }
            Self::Drain {
                node,
                deadline,
                yes,
                ..
            } => {
                let mut order = DrainOrder {
                    deadline_s: *deadline,
                    yes: *yes,
                };
                let mut drained = client.drain(node, &order).await;
                if let Err(ClientError::Confirm(confirm)) = &drained
                    && asked(&format!(
                        "{} ({}). Drain it all the same?",
                        confirm.error,
                        confirm.protected.join(", ")
                    ))
                {
                    order.yes = true;
                    drained = client.drain(node, &order).await;
                }
                at.show(&drained?, |n| table::nodes(std::slice::from_ref(n)));
            }
        }
        Ok(())
    }
}

/// Asks on a terminal; elsewhere nobody can say yes.
fn asked(question: &str) -> bool {
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
        ClientError::NotFound(_) => 3,
        ClientError::Confirm(_) => 4,
        ClientError::Unreachable(_) | ClientError::Busy(_) => 5,
        ClientError::Unauthorized | ClientError::SwitchedOff => 6,
        ClientError::Unexpected(..) => 1,
    }
}
