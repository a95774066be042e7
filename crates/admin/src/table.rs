//! Formats answers as tables for people. Scripts should use `--json`.

use std::collections::BTreeMap;

use comfy_table::{Table, presets};

use crate::views::{Move, Moves, Node, NodeState, ResourceUsage, WaitingJob};

/// Shown in place of an unknown value.
const UNKNOWN: &str = "-";

const NODE_HEADER: [&str; 13] = [
    "NODE",
    "TYPE",
    "ZONE",
    "STATE",
    "TASKS",
    "PROTECTED",
    "LEAVING",
    "CPUS",
    "GPUS",
    "MEMORY GB",
    "HEARD",
    "DEADLINE",
    "WITH",
];
const SHARD_OWNER_HEADER: [&str; 4] = ["CONTROLLER", "NODES", "READY", "TASKS"];
const MOVE_HEADER: [&str; 6] = ["TASK", "FROM", "TO", "FOR", "STATE", "AGE"];
const WAITING_HEADER: [&str; 4] = [
    "WAITS FOR WHOLE MACHINES",
    "TASKS",
    "WAITED",
    "WHY NOTHING MOVES",
];

/// Returns a table with one row for each node.
pub fn nodes(nodes: &[Node]) -> String {
    let mut table = new_table(&NODE_HEADER);
    table.add_rows(nodes.iter().map(node_row));
    table.trim_fmt()
}

/// Returns a table with one row for each controller: the number of nodes whose heartbeats it
/// answers, how many of them are ready, and the number of their tasks.
pub fn by_shard_owner(nodes: &[Node]) -> String {
    let mut totals_by_owner: BTreeMap<&str, ShardTotals> = BTreeMap::new();
    for node in nodes {
        let controller = node.controller.as_deref().unwrap_or(UNKNOWN);
        totals_by_owner.entry(controller).or_default().add(node);
    }
    let mut table = new_table(&SHARD_OWNER_HEADER);
    for (controller, totals) in totals_by_owner {
        table.add_row([
            controller.to_string(),
            totals.nodes.to_string(),
            totals.ready.to_string(),
            totals.tasks.to_string(),
        ]);
    }
    table.trim_fmt()
}

/// Returns a table with one row for each migration, and below it a table with one row for each job
/// that waits for whole workers.
pub fn moves(moves: &Moves) -> String {
    let mut text = String::new();
    if !moves.enabled {
        text += "Work is moved for drains only: defragmentation.enabled is false.\n";
    }
    let mut table = new_table(&MOVE_HEADER);
    table.add_rows(moves.live.iter().chain(&moves.recent).map(move_row));
    text += &table.trim_fmt();
    if !moves.waiting.is_empty() {
        let mut table = new_table(&WAITING_HEADER);
        table.add_rows(moves.waiting.iter().map(waiting_row));
        text += "\n\n";
        text += &table.trim_fmt();
    }
    text
}

#[derive(Default)]
struct ShardTotals {
    nodes: u32,
    ready: u32,
    tasks: u32,
}

impl ShardTotals {
    fn add(&mut self, node: &Node) {
        self.nodes += 1;
        self.ready += u32::from(node.state == NodeState::Ready);
        self.tasks += node.tasks;
    }
}

fn node_row(node: &Node) -> [String; 13] {
    [
        node.name.clone(),
        node.machine_type.clone(),
        node.zone.clone(),
        node.state.name().to_string(),
        node.tasks.to_string(),
        node.protected.to_string(),
        node.leaving.to_string(),
        usage(node.cpus),
        usage(node.gpus),
        usage(node.memory_gb),
        seconds(node.heard_s),
        seconds(node.deadline_s),
        node.controller.clone().unwrap_or(UNKNOWN.into()),
    ]
}

fn move_row(migration: &Move) -> [String; 6] {
    [
        migration.task.clone(),
        migration.from.clone(),
        migration.to.clone(),
        migration.purpose.clone(),
        migration.state.clone(),
        seconds(Some(migration.age_s)),
    ]
}

fn waiting_row(waiting: &WaitingJob) -> [String; 4] {
    [
        waiting.job.clone(),
        waiting.tasks.to_string(),
        seconds(Some(waiting.waited_s)),
        waiting.reason.clone(),
    ]
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}

fn usage(usage: ResourceUsage) -> String {
    format!("{}/{}", decimal(usage.used), decimal(usage.capacity))
}

/// Formats a number with one decimal place, or with none if that digit would be 0.
fn decimal(value: f64) -> String {
    let text = format!("{value:.1}");
    text.strip_suffix(".0").map_or(text.clone(), str::to_string)
}

fn seconds(seconds: Option<f64>) -> String {
    seconds.map_or(UNKNOWN.into(), |seconds| format!("{seconds:.0} s"))
}
