//! The cloud's machine types, its list of workers, and the bodies of scale-out and scale-in
//! requests.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::job::Resources;

/// The lowest rate with which the time to fetch an image is estimated.
const MIN_FETCH_GB_PER_S: f64 = 0.001;
/// The fetch rate of a machine type for which the cloud states none.
const DEFAULT_FETCH_GB_PER_S: f64 = 0.25;
/// The lowest price of a machine type. Prices are compared by their ratio, so none may be 0.
const MIN_PRICE: f64 = 1e-6;
/// The boot time of a machine type for which the cloud states none.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A machine type that the cloud offers.
#[derive(Debug, Clone)]
pub struct MachineType {
    /// The cloud's name for the machine type.
    pub name: String,
    /// The resources of a worker that runs no tasks.
    pub capacity: Resources,
    /// The size of the image cache in GB.
    pub cache_gb: f64,
    /// The rate at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// The price of a worker that is not a spot worker, in the cloud's currency.
    pub price: f64,
    /// The price of a spot worker, in the cloud's currency.
    pub spot_price: f64,
    /// The time from a scale-out request to the first heartbeat, in seconds.
    pub boot_s: f64,
    /// The zones in which the machine type is offered.
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct WireMachineTypes {
    #[serde(rename = "flavors")]
    machine_types: Vec<WireMachineType>,
}

#[derive(Deserialize)]
struct WireMachineType {
    name: String,
    cpus: f64,
    #[serde(default)]
    gpus: Option<f64>,
    memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    cache_gb: Option<f64>,
    #[serde(rename = "pull_gb_per_s", default)]
    fetch_gb_per_s: Option<f64>,
    price: f64,
    #[serde(rename = "market_price", default)]
    spot_price: Option<f64>,
    #[serde(rename = "ready_s", default)]
    boot_s: Option<f64>,
    #[serde(rename = "regions", default)]
    zones: Option<Vec<String>>,
}

impl From<WireMachineType> for MachineType {
    fn from(wire: WireMachineType) -> Self {
        let fetch_gb_per_s = wire.fetch_gb_per_s.unwrap_or(DEFAULT_FETCH_GB_PER_S);
        Self {
            capacity: Resources::new(wire.cpus, wire.gpus.unwrap_or(0.0), wire.memory_gb),
            cache_gb: wire.cache_gb.unwrap_or(0.0),
            fetch_gb_per_s: fetch_gb_per_s.max(MIN_FETCH_GB_PER_S),
            price: wire.price.max(MIN_PRICE),
            spot_price: wire.spot_price.unwrap_or(wire.price).max(MIN_PRICE),
            boot_s: wire.boot_s.unwrap_or(DEFAULT_BOOT_S),
            zones: wire.zones.unwrap_or_default(),
            name: wire.name,
        }
    }
}

/// Parses the cloud's machine types.
///
/// # Errors
/// Returns an error if the body is not the expected JSON.
pub fn parse_machine_types(body: &[u8]) -> Result<Vec<MachineType>, serde_json::Error> {
    let wire: WireMachineTypes = serde_json::from_slice(body)?;
    Ok(wire.machine_types.into_iter().map(Into::into).collect())
}

/// A worker in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedWorker {
    /// The worker's name.
    #[serde(rename = "uid")]
    pub name: String,
    /// IP address and port. Empty until the cloud has assigned them.
    #[serde(default)]
    pub address: String,
    /// The name of its machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone in which the worker runs.
    #[serde(rename = "region")]
    pub zone: String,
    /// Whether it is a spot worker, which the cloud may reclaim.
    #[serde(rename = "preemptibles", default)]
    pub spot: bool,
    /// The cloud's name of the worker's state.
    pub phase: String,
    /// Time since the worker was provisioned, in seconds.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// One page of the cloud's list of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerPage {
    /// The workers, ordered by name.
    #[serde(rename = "hosts")]
    pub workers: Vec<ListedWorker>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
}

/// Parses a page of the cloud's list of workers.
///
/// # Errors
/// Returns an error if the body is not the expected JSON.
pub fn parse_worker_page(body: &[u8]) -> Result<WorkerPage, serde_json::Error> {
    serde_json::from_slice(body)
}

/// Returns the body of a request for `count` more workers. The cloud executes requests with the same
/// `request_name` only once.
pub fn scale_out_body(
    request_name: &str,
    machine_type: &str,
    zone: &str,
    spot: bool,
    count: u32,
) -> Value {
    json!({
        "rental": request_name,
        "flavor": machine_type,
        "region": zone,
        "preemptibles": spot,
        "number": count,
    })
}

/// Parses the answer to a scale-out request: the names of the workers that the cloud provides.
///
/// # Errors
/// Returns an error if the body is not the expected JSON.
pub fn parse_scale_out(body: &[u8]) -> Result<Vec<String>, serde_json::Error> {
    #[derive(Deserialize)]
    struct WireScaleOut {
        #[serde(rename = "hosts")]
        workers: Vec<String>,
    }
    Ok(serde_json::from_slice::<WireScaleOut>(body)?.workers)
}

/// Returns the body of a request that returns these workers to the cloud.
pub fn scale_in_body(workers: &[String]) -> Value {
    json!({ "hosts": workers })
}
