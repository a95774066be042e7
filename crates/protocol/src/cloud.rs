//! The cloud's machine types, its list of workers, and requests to scale out and in.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::job::Resources;

/// Time to fetch images is never estimated with a rate below this.
const MIN_FETCH_GB_PER_S: f64 = 0.001;
/// Assumed where the cloud states no rate.
const DEFAULT_FETCH_GB_PER_S: f64 = 0.25;
/// Prices are compared by ratio, so none is 0.
const MIN_PRICE: f64 = 1e-6;
/// Assumed where the cloud does not state how long a worker takes to boot.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A machine type that the cloud offers.
#[derive(Debug, Clone)]
pub struct MachineType {
    /// The cloud's name for it.
    pub name: String,
    /// The resources of a worker on which nothing runs.
    pub capacity: Resources,
    /// Room for images in GB.
    pub cache_gb: f64,
    /// How fast images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of running one, in the cloud's currency.
    pub price: f64,
    /// Price of running one as a spot worker, in the cloud's currency.
    pub spot_price: f64,
    /// From a scale-out request to the first heartbeat, in seconds.
    pub boot_s: f64,
    /// The zones it is offered in.
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

/// Reads the cloud's machine types.
///
/// # Errors
/// Not the JSON that is expected.
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
    /// IP address and port; empty until the worker has one.
    #[serde(default)]
    pub address: String,
    /// The name of its machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone it is in.
    #[serde(rename = "region")]
    pub zone: String,
    /// Whether the cloud may reclaim it.
    #[serde(rename = "preemptibles", default)]
    pub spot: bool,
    /// The cloud's name of the worker's state.
    pub phase: String,
    /// Seconds since it was provisioned.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// One page of the cloud's list of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerPage {
    /// In the order of their names.
    #[serde(rename = "hosts")]
    pub workers: Vec<ListedWorker>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
}

/// Reads a page of the cloud's list of workers.
///
/// # Errors
/// Not the JSON that is expected.
pub fn parse_list(body: &[u8]) -> Result<WorkerPage, serde_json::Error> {
    serde_json::from_slice(body)
}

/// The request for `count` more workers. The cloud executes it once for each name of a `request`.
pub fn scale_out_body(
    request: &str,
    machine_type: &str,
    zone: &str,
    spot: bool,
    count: u32,
) -> Value {
    json!({
        "rental": request,
        "flavor": machine_type,
        "region": zone,
        "preemptibles": spot,
        "number": count,
    })
}

/// Reads the names of the workers that the cloud provides for a scale-out request.
///
/// # Errors
/// Not the JSON that is expected.
pub fn parse_scale_out(body: &[u8]) -> Result<Vec<String>, serde_json::Error> {
    #[derive(Deserialize)]
    struct ScaledOut {
        #[serde(rename = "hosts")]
        workers: Vec<String>,
    }
    Ok(serde_json::from_slice::<ScaledOut>(body)?.workers)
}

/// The request to return these workers to the cloud.
pub fn scale_in_body(workers: &[String]) -> Value {
    json!({ "hosts": workers })
}
