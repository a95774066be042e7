//! `copperfield`: one controller.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand};
use copperfield::api::Api;
use copperfield::protocol::{MAX_BODY, MAX_PEER_BODY};
use copperfield::settings::{
    LeaderTtlTooLong, Log, LogFormat, Settings, SettingsError, Tuning, tuning_beside,
};
use copperfield::transport::client::HttpClient;
use copperfield::transport::server::{bind, serve};
use copperfield_http::Meter;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::Layer;
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
    #[command(flatten)]
    Admin(copperfield_admin::cli::Command),
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

/// Why the process does not start.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error("--config FILE is missing")]
    ConfigMissing,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    LeaderTtl(#[from] LeaderTtlTooLong),
}

impl Files {
    fn load(&self) -> Result<(Settings, Tuning), LoadError> {
        let config = self.config.as_ref().ok_or(LoadError::ConfigMissing)?;
        let settings = Settings::load(config)?;
        let tuning = match self.tuning.clone().or_else(|| tuning_beside(config)) {
            Some(path) => Tuning::load(&path)?,
            None => Tuning::default(),
        };
        tuning.check_against(&settings)?;
        Ok((settings, tuning))
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (files, only_check) = match cli.command {
        Some(Verb::Check(files)) => (files, true),
        Some(Verb::Admin(command)) => {
            return match runtime() {
                Ok(runtime) => ExitCode::from(runtime.block_on(command.run())),
                Err(error) => fail(&error),
            };
        }
        None => (cli.serve, false),
    };
    let (settings, tuning) = match files.load() {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("copperfield: {}", error.to_string().replace('\n', " "));
            return ExitCode::from(2);
        }
    };
    if only_check {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    init_logging(&tuning.log);
    announce(&settings, &tuning);
    match runtime().and_then(|runtime| runtime.block_on(run(settings, tuning))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn fail(error: &std::io::Error) -> ExitCode {
    eprintln!("copperfield: {error}");
    ExitCode::FAILURE
}

/// What runs here, for whoever reads the log later.
fn announce(settings: &Settings, tuning: &Tuning) {
    let on = |on: bool| if on { "on" } else { "off" };
    tracing::info!(
        version = env!("CARGO_PKG_VERSION"),
        member = settings.member,
        site = settings.site,
        public = %settings.public_addr,
        peers = %settings.peer_bind,
        state = %settings.external.state,
        cloud = %settings.external.cloud,
        defragmentation = on(tuning.defragmentation.enabled),
        operators = on(tuning.operators.is_some()),
        "starts"
    );
}

fn init_logging(log: &Log) {
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
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    let all = tracing_subscriber::registry();
    match (log.format, log.time) {
        (LogFormat::Text, false) => all.with(lines.without_time().with_filter(quiet)).init(),
        (LogFormat::Text, true) => all.with(lines.with_filter(quiet)).init(),
        (LogFormat::Json, false) => all
            .with(
                lines
                    .json()
                    .flatten_event(true)
                    .without_time()
                    .with_filter(quiet),
            )
            .init(),
        (LogFormat::Json, true) => all
            .with(lines.json().flatten_event(true).with_filter(quiet))
            .init(),
    }
}

/// Bytes that connections and requests under way may hold: a quarter of what the platform
/// gives. The rest is for the program and what the core keeps of the fleet.
fn for_clients(settings: &Settings) -> usize {
    const MIB: f64 = 1024.0 * 1024.0;
    let limits = &settings.cluster.limits;
    let least = 4.0 * MIB;
    if limits.memory_mb == 0.0 {
        return (64.0 * MIB) as usize;
    }
    ((limits.memory_mb * MIB * 0.25).max(least)) as usize
}

async fn run(settings: Settings, tuning: Tuning) -> std::io::Result<()> {
    let public = settings.public_addr;
    let peers = settings.peer_bind;
    // The rest is for what the node calls itself: the workers, above all.
    let limit = settings.cluster.limits.max_sockets;
    let (for_public, for_peers) = (limit * 6 / 10, limit / 20);
    let meter = Meter::new(for_clients(&settings));
    // Before anything else: while an earlier process of this node has its addresses, this one
    // does nothing in the node's name. As its successor it may remove its leader key.
    let (public, peers) = (bind(public).await?, bind(peers).await?);
    let network = Arc::new(HttpClient::default());
    let (api, tasks) = Api::start(settings, tuning, network, rand::random());
    let public_api = api.clone();
    let public = serve(
        public,
        for_public,
        MAX_BODY,
        meter.clone(),
        move |request| public_api.clone().public(request),
    );
    let peers = serve(peers, for_peers, MAX_PEER_BODY, meter, move |request| {
        api.clone().peer(request)
    });
    // Whichever of these ends, the process is of no use any more.
    tokio::select! {
        result = public => result,
        result = peers => result,
        _ = tasks.event_loop_ended() => Err(std::io::Error::other("the owner of the state has ended")),
    }
}
