//! The `copperfield` binary: runs one controller process, checks settings, or runs an operator's
//! command.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand};
use copperfield::api::Api;
use copperfield::protocol::{MAX_BODY_BYTES, MAX_PEER_BODY_BYTES};
use copperfield::settings::{
    LeaderTtlTooLong, Limits, Log, LogFormat, Settings, SettingsError, Tuning, default_tuning_path,
};
use copperfield::transport::client::HttpClient;
use copperfield::transport::server::{bind, serve};
use copperfield_http::MemoryBudget;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

const MIB: f64 = 1024.0 * 1024.0;
/// The share of the process's memory limit that connections and requests in progress may use. The
/// rest is for the program and for the core's state.
const CONNECTION_MEMORY_SHARE: f64 = 0.25;
/// The memory for connections is not reduced below this, however low the memory limit is.
const MIN_CONNECTION_MEMORY: f64 = 4.0 * MIB;
/// The memory for connections if the platform sets no memory limit.
const DEFAULT_CONNECTION_MEMORY: f64 = 64.0 * MIB;

/// The exit code if the settings are missing or invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// A cluster scheduler for small sites.
///
/// Runs a controller with the settings in FILE. The operators' settings are
/// read from a file of the same name with the extension .hcl, if it exists.
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
    /// Check the settings without starting a controller.
    Check(SettingsFiles),
    #[command(flatten)]
    Admin(copperfield_admin::cli::Command),
}

#[derive(clap::Args)]
struct SettingsFiles {
    /// The platform's settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' settings (HCL); by default the file beside the platform's
    /// settings with the extension .hcl.
    #[arg(long, value_name = "FILE", requires = "config")]
    tuning: Option<PathBuf>,
}

/// Why the settings cannot be used.
#[derive(Debug, Error)]
enum LoadError {
    #[error("--config FILE is missing")]
    ConfigMissing,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Each file is valid by itself, but the files contradict each other.
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
        None => run_controller(&cli.serve),
        Some(Action::Check(files)) => check(&files),
        Some(Action::Admin(command)) => run_admin_command(command),
    }
}

/// Checks the settings without starting a controller.
fn check(files: &SettingsFiles) -> ExitCode {
    match files.load() {
        Ok(_) => {
            println!("settings are good");
            ExitCode::SUCCESS
        }
        Err(error) => report_invalid_settings(&error),
    }
}

/// Runs an operator's command.
fn run_admin_command(command: copperfield_admin::cli::Command) -> ExitCode {
    match runtime() {
        Ok(runtime) => ExitCode::from(runtime.block_on(command.run())),
        Err(error) => report_failure(&error),
    }
}

/// Runs a controller until one of its servers or its event loop ends.
fn run_controller(files: &SettingsFiles) -> ExitCode {
    let (settings, tuning) = match files.load() {
        Ok(loaded) => loaded,
        Err(error) => return report_invalid_settings(&error),
    };
    init_logging(&tuning.log);
    log_startup(&settings, &tuning);
    match runtime().and_then(|runtime| runtime.block_on(run(settings, tuning))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(&error),
    }
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Prints the error on one line and returns the exit code.
fn report_invalid_settings(error: &LoadError) -> ExitCode {
    eprintln!("copperfield: {}", error.to_string().replace('\n', " "));
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

/// Prints the error and returns the exit code.
fn report_failure(error: &std::io::Error) -> ExitCode {
    eprintln!("copperfield: {error}");
    ExitCode::FAILURE
}

/// Logs the version and the main settings.
fn log_startup(settings: &Settings, tuning: &Tuning) {
    let on_or_off = |enabled: bool| if enabled { "on" } else { "off" };
    tracing::info!(
        version = env!("CARGO_PKG_VERSION"),
        member = settings.member,
        site = settings.site,
        public = %settings.public_addr,
        peers = %settings.peer_bind,
        state = %settings.external.state,
        cloud = %settings.external.cloud,
        defragmentation = on_or_off(tuning.defragmentation.enabled),
        operators = on_or_off(tuning.operators.is_some()),
        "controller starting"
    );
}

fn init_logging(log: &Log) {
    let filter = Targets::new()
        .with_default(level_from_environment())
        // warp logs each connection that a client closes. That is not an error of the server, and a
        // network partition would produce a line for each worker.
        .with_target("warp", LevelFilter::OFF)
        // At debug level, hyper_util logs each pooled connection twice, which hides other lines.
        .with_target("hyper_util", LevelFilter::INFO);
    let layer = log_layer(log).with_filter(filter);
    tracing_subscriber::registry().with(layer).init();
}

fn level_from_environment() -> tracing::Level {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    }
}

/// Creates a layer that writes log lines to standard error in the configured format.
fn log_layer(log: &Log) -> Box<dyn Layer<Registry> + Send + Sync> {
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    match (log.format, log.time) {
        (LogFormat::Text, false) => layer.without_time().boxed(),
        (LogFormat::Text, true) => layer.boxed(),
        (LogFormat::Json, false) => layer.json().flatten_event(true).without_time().boxed(),
        (LogFormat::Json, true) => layer.json().flatten_event(true).boxed(),
    }
}

/// The number of bytes that connections and requests in progress may use.
fn connection_memory_bytes(limits: &Limits) -> usize {
    if limits.memory_mb == 0.0 {
        return DEFAULT_CONNECTION_MEMORY as usize;
    }
    let share = limits.memory_mb * MIB * CONNECTION_MEMORY_SHARE;
    share.max(MIN_CONNECTION_MEMORY) as usize
}

/// Serves users, workers and peers until one of the servers or the event loop ends.
async fn run(settings: Settings, tuning: Tuning) -> std::io::Result<()> {
    let limits = &settings.cluster.limits;
    // The remaining sockets are for the controller's own requests, most of which go to workers.
    let max_public_connections = limits.max_sockets * 6 / 10;
    let max_peer_connections = limits.max_sockets / 20;
    let memory_budget = MemoryBudget::new(connection_memory_bytes(limits));
    // The addresses are bound first, so that this process does nothing while an earlier process of
    // the same member still runs. After binding, it may remove a leader key of the earlier process.
    let public_listener = bind(settings.public_addr).await?;
    let peer_listener = bind(settings.peer_bind).await?;
    let network = Arc::new(HttpClient::default());
    let (api, tasks) = Api::start(settings, tuning, network, rand::random());
    let public_api = api.clone();
    let public_server = serve(
        public_listener,
        max_public_connections,
        MAX_BODY_BYTES,
        memory_budget.clone(),
        move |request| public_api.clone().public(request),
    );
    let peer_server = serve(
        peer_listener,
        max_peer_connections,
        MAX_PEER_BODY_BYTES,
        memory_budget,
        move |request| api.clone().peer(request),
    );
    // The process cannot continue without any one of these.
    tokio::select! {
        result = public_server => result,
        result = peer_server => result,
        _ = tasks.event_loop_ended() => Err(std::io::Error::other("the event loop has ended")),
    }
}
