//! `copperfield`: one controller.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand};
use copperfield::service::Service;
use copperfield::settings::{Settings, Tuning, tuning_beside};
use copperfield::transport::client::Http;
use copperfield::transport::server::serve;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// A cluster scheduler for small sites.
///
/// Serves with the settings of FILE. Operators' own settings are read from a
/// file of the same name that ends in .hcl, if there is one.
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    arg_required_else_help = true
)]
struct Cli {
    #[command(flatten)]
    serve: Files,
    #[command(subcommand)]
    command: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Only check the settings.
    Check(Files),
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operators' settings (HCL); by default the file beside FILE that ends in .hcl.
    #[arg(long, value_name = "FILE", requires = "config")]
    tuning: Option<PathBuf>,
}

impl Files {
    fn load(&self) -> Result<(Settings, Tuning), String> {
        let config = self.config.as_ref().ok_or("--config FILE is missing")?;
        let settings = Settings::load(config).map_err(|e| e.to_string())?;
        let tuning = match self.tuning.clone().or_else(|| tuning_beside(config)) {
            Some(path) => Tuning::load(&path).map_err(|e| e.to_string())?,
            None => Tuning::default(),
        };
        tuning.check_against(&settings)?;
        Ok((settings, tuning))
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (files, only_check) = match &cli.command {
        Some(Verb::Check(files)) => (files, true),
        None => (&cli.serve, false),
    };
    let (settings, tuning) = match files.load() {
        Ok(loaded) => loaded,
        Err(problem) => {
            eprintln!("copperfield: {}", problem.replace('\n', " "));
            return ExitCode::from(2);
        }
    };
    if only_check {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    init_logging();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings, tuning)),
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("copperfield: {error}");
            ExitCode::FAILURE
        }
    }
}

fn init_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    };
    // A client that hangs up is no error of ours. When a cut resets the connections
    // of a thousand workers, warp's line for each buried everything else.
    let quiet = Targets::new()
        .with_default(level)
        .with_target("warp", LevelFilter::OFF)
        // Its pool tells of every connection twice, which hid all else at debug.
        .with_target("hyper_util", LevelFilter::INFO);
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .finish()
        .with(quiet)
        .init();
}

async fn run(settings: Settings, tuning: Tuning) -> std::io::Result<()> {
    let public = settings.public_addr;
    let peers = settings.peer_bind;
    // The rest is for what the node calls itself: the workers, above all.
    let most = settings.cluster.limits.max_sockets;
    let (for_public, for_peers) = (most * 6 / 10, most / 20);
    let network = Arc::new(Http::default());
    let (service, owner) = Service::start(settings, tuning, network, rand::random());
    let for_users = service.clone();
    let public = serve(public, for_public, move |request| {
        for_users.clone().public(request)
    });
    let peers = serve(peers, for_peers, move |request| {
        service.clone().peer(request)
    });
    // Whichever of these ends, the process is of no use any more.
    tokio::select! {
        result = public => result,
        result = peers => result,
        _ = owner => Err(std::io::Error::other("the owner of the state has ended")),
    }
}
