//! `copperfield`: one controller process.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand};
use copperfield::api::Api;
use copperfield::protocol::{MAX_BODY, MAX_PEER_BODY};
use copperfield::settings::{
    LeaderTtlTooLong, Limits, Log, LogFormat, Settings, SettingsError, Tuning, default_tuning_path,
};
use copperfield::transport::client::HttpClient;
use copperfield::transport::server::{bind, serve};
use copperfield_http::Meter;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

const MIB: f64 = 1024.0 * 1024.0;
/// The part of the process's memory that connections and requests under way may hold. The rest
/// is for the program and for what the core keeps of the fleet.
const CONNECTION_MEMORY_PART: f64 = 0.25;
const MIN_CONNECTION_MEMORY: f64 = 4.0 * MIB;
/// Where the platform sets no memory limit.
const DEFAULT_CONNECTION_MEMORY: f64 = 64.0 * MIB;

const EXIT_BAD_SETTINGS: u8 = 2;

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
    serve: SettingsFiles,
    #[command(subcommand)]
    action: Option<Action>,
}

#[derive(Subcommand)]
enum Action {
    /// Only check the settings.
    Check(SettingsFiles),
    #[command(flatten)]
    Admin(copperfield_admin::cli::Command),
}

#[derive(clap::Args)]
struct SettingsFiles {
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operators' settings (HCL); by default the file beside FILE that ends in .hcl.
    #[arg(long, value_name = "FILE", requires = "config")]
    tuning: Option<PathBuf>,
}

/// Why no controller can be started with the settings.
#[derive(Debug, Error)]
enum LoadError {
    #[error("--config FILE is missing")]
    ConfigMissing,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Each file is valid, and they contradict each other.
    #[error(transparent)]
    LeaderTtl(#[from] LeaderTtlTooLong),
}

impl SettingsFiles {
    fn load(&self) -> Result<(Settings, Tuning), LoadError> {
        let config = self.config.as_ref().ok_or(LoadError::ConfigMissing)?;
        let settings = Settings::load(config)?;
        let tuning = match self.tuning.clone().or_else(|| default_tuning_path(config)) {
            Some(path) => Tuning::load(&path)?,
            None => Tuning::default(),
        };
        tuning.check_against(&settings)?;
        Ok((settings, tuning))
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.action {
        None => serve_with(&cli.serve),
        Some(Action::Check(files)) => check(&files),
        Some(Action::Admin(command)) => administer(command),
    }
}

/// Checks the settings and starts nothing.
fn check(files: &SettingsFiles) -> ExitCode {
    match files.load() {
        Ok(_) => {
            println!("settings are good");
            ExitCode::SUCCESS
        }
        Err(error) => bad_settings(&error),
    }
}

/// Runs an operator's command.
fn administer(command: copperfield_admin::cli::Command) -> ExitCode {
    match runtime() {
        Ok(runtime) => ExitCode::from(runtime.block_on(command.run())),
        Err(error) => failure(&error),
    }
}

/// Runs a controller until one of its parts fails.
fn serve_with(files: &SettingsFiles) -> ExitCode {
    let (settings, tuning) = match files.load() {
        Ok(loaded) => loaded,
        Err(error) => return bad_settings(&error),
    };
    init_logging(&tuning.log);
    log_start(&settings, &tuning);
    match runtime().and_then(|runtime| runtime.block_on(run(settings, tuning))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Prints the error on one line.
fn bad_settings(error: &LoadError) -> ExitCode {
    eprintln!("copperfield: {}", error.to_string().replace('\n', " "));
    ExitCode::from(EXIT_BAD_SETTINGS)
}

fn failure(error: &std::io::Error) -> ExitCode {
    eprintln!("copperfield: {error}");
    ExitCode::FAILURE
}

/// Logs the version and the settings that matter to a reader of the log.
fn log_start(settings: &Settings, tuning: &Tuning) {
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
        "controller starting"
    );
}

fn init_logging(log: &Log) {
    let filter = Targets::new()
        .with_default(level_from_environment())
        // A client that closes its connection is no error of ours, and a network partition
        // would give one line for each of a thousand workers.
        .with_target("warp", LevelFilter::OFF)
        // Logs each pooled connection twice, which hides all else at debug.
        .with_target("hyper_util", LevelFilter::INFO);
    let lines = log_lines(log).with_filter(filter);
    tracing_subscriber::registry().with(lines).init();
}

fn level_from_environment() -> tracing::Level {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    }
}

/// Lines on standard error, in the format of the settings.
fn log_lines(log: &Log) -> Box<dyn Layer<Registry> + Send + Sync> {
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    match (log.format, log.time) {
        (LogFormat::Text, false) => lines.without_time().boxed(),
        (LogFormat::Text, true) => lines.boxed(),
        (LogFormat::Json, false) => lines.json().flatten_event(true).without_time().boxed(),
        (LogFormat::Json, true) => lines.json().flatten_event(true).boxed(),
    }
}

/// How many bytes connections and requests under way may hold.
fn connection_memory_bytes(limits: &Limits) -> usize {
    if limits.memory_mb == 0.0 {
        return DEFAULT_CONNECTION_MEMORY as usize;
    }
    let part = limits.memory_mb * MIB * CONNECTION_MEMORY_PART;
    part.max(MIN_CONNECTION_MEMORY) as usize
}

/// Serves users, workers and peers until one of the servers or the event loop ends.
async fn run(settings: Settings, tuning: Tuning) -> std::io::Result<()> {
    let limits = &settings.cluster.limits;
    // The rest of the sockets is for the controller's own calls, above all to workers.
    let max_public_connections = limits.max_sockets * 6 / 10;
    let max_peer_connections = limits.max_sockets / 20;
    let meter = Meter::new(connection_memory_bytes(limits));
    // Before anything else: while an earlier process of this member has its addresses, this one
    // does nothing in the member's name. As its successor it may remove its leader key.
    let public_listener = bind(settings.public_addr).await?;
    let peer_listener = bind(settings.peer_bind).await?;
    let network = Arc::new(HttpClient::default());
    let (api, tasks) = Api::start(settings, tuning, network, rand::random());
    let public_api = api.clone();
    let public_server = serve(
        public_listener,
        max_public_connections,
        MAX_BODY,
        meter.clone(),
        move |request| public_api.clone().public(request),
    );
    let peer_server = serve(
        peer_listener,
        max_peer_connections,
        MAX_PEER_BODY,
        meter,
        move |request| api.clone().peer(request),
    );
    // Whichever of these ends, the process is of no use any more.
    tokio::select! {
        result = public_server => result,
        result = peer_server => result,
        _ = tasks.event_loop_ended() => Err(std::io::Error::other("the owner of the state has ended")),
    }
}
