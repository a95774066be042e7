//! The cloud's machine types, rentals and worker list.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::job::Resources;

#[derive(Debug, Clone)]
pub struct MachineType {
    pub name: String,
    pub whole: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct WireMachineTypes {
    flavors: Vec<WireMachineType>,
}

#[derive(Deserialize)]
struct WireMachineType {
    name: String,
    cpus: f64,
    #[serde(default)]
    gpus: Option<f64>,
    memory_gb: f64,
    #[serde(default)]
    local_gb: Option<f64>,
    #[serde(default)]
    pull_gb_per_s: Option<f64>,
    price: f64,
    #[serde(default)]
    market_price: Option<f64>,
    #[serde(default)]
    ready_s: Option<f64>,
    #[serde(default)]
    regions: Option<Vec<String>>,
}

pub fn parse_machine_types(body: &[u8]) -> Result<Vec<MachineType>, serde_json::Error> {
    let wire: WireMachineTypes = serde_json::from_slice(body)?;
    Ok(wire
        .flavors
        .into_iter()
        .map(|t| MachineType {
            whole: Resources::new(t.cpus, t.gpus.unwrap_or(0.0), t.memory_gb),
            cache_gb: t.local_gb.unwrap_or(0.0),
            fetch_gb_per_s: t.pull_gb_per_s.unwrap_or(0.25).max(0.001),
            price: t.price.max(1e-6),
            spot_price: t.market_price.unwrap_or(t.price).max(1e-6),
            boot_s: t.ready_s.unwrap_or(60.0),
            zones: t.regions.unwrap_or_default(),
            name: t.name,
        })
        .collect())
}

#[derive(Debug, Clone, Deserialize)]
pub struct ListedWorker {
    #[serde(rename = "uid")]
    pub name: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "flavor")]
    pub machine_type: String,
    #[serde(rename = "region")]
    pub zone: String,
    #[serde(rename = "preemptibles", default)]
    pub spot: bool,
    pub phase: String,
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

#[derive(Deserialize)]
struct WireList {
    hosts: Vec<ListedWorker>,
    #[serde(default)]
    more: bool,
}

pub fn parse_list(body: &[u8]) -> Result<(Vec<ListedWorker>, bool), serde_json::Error> {
    let list: WireList = serde_json::from_slice(body)?;
    Ok((list.hosts, list.more))
}

pub fn rental_body(request: &str, machine_type: &str, zone: &str, spot: bool, count: u32) -> Value {
    json!({"rental": request, "flavor": machine_type, "region": zone, "preemptibles": spot, "number": count})
}

pub fn parse_scale_out(body: &[u8]) -> Result<Vec<String>, serde_json::Error> {
    #[derive(Deserialize)]
    struct ScaledOut {
        hosts: Vec<String>,
    }
    Ok(serde_json::from_slice::<ScaledOut>(body)?.hosts)
}

pub fn return_body(workers: &[String]) -> Value {
    json!({ "hosts": workers })
}
