//! Tables for people. Scripts use `--json`.

use std::collections::BTreeMap;

use comfy_table::{Table, presets};

use crate::views::{Move, Moves, Node, NodeState, Share};

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}

fn share(s: Share) -> String {
    format!("{}/{}", trim(s.used), trim(s.all))
}

/// One digit, and none where it would be 0.
fn trim(x: f64) -> String {
    let text = format!("{x:.1}");
    text.strip_suffix(".0").map_or(text.clone(), str::to_string)
}

fn seconds(s: Option<f64>) -> String {
    s.map_or("-".into(), |s| format!("{s:.0} s"))
}

pub fn nodes(all: &[Node]) -> String {
    let mut t = table(&[
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
    ]);
    for n in all {
        let state = format!("{:?}", n.state).to_lowercase();
        t.add_row([
            n.name.clone(),
            n.machine_type.clone(),
            n.zone.clone(),
            state,
            n.tasks.to_string(),
            n.protected.to_string(),
            n.leaving.to_string(),
            share(n.cpus),
            share(n.gpus),
            share(n.memory_gb),
            seconds(n.heard_s),
            seconds(n.deadline_s),
            n.controller.clone().unwrap_or("-".into()),
        ]);
    }
    t.trim_fmt()
}

/// Which controller speaks with how many nodes, and how many of them are well.
pub fn by_shard_owner(all: &[Node]) -> String {
    let mut shard_owners: BTreeMap<&str, [u32; 3]> = BTreeMap::new();
    for n in all {
        let with = n.controller.as_deref().unwrap_or("-");
        let [nodes, ready, tasks] = shard_owners.entry(with).or_default();
        *nodes += 1;
        *ready += u32::from(n.state == NodeState::Ready);
        *tasks += n.tasks;
    }
    let mut t = table(&["CONTROLLER", "NODES", "READY", "TASKS"]);
    for (with, [nodes, ready, tasks]) in shard_owners {
        t.add_row([
            with.to_string(),
            nodes.to_string(),
            ready.to_string(),
            tasks.to_string(),
        ]);
    }
    t.trim_fmt()
}

pub fn moves(all: &Moves) -> String {
    let mut text = String::new();
    if !all.enabled {
        text += "Work is moved for drains only: defragmentation.enabled is false.\n";
    }
    let mut t = table(&["TASK", "FROM", "TO", "FOR", "STATE", "AGE"]);
    let row = |m: &Move| {
        [
            m.task.clone(),
            m.from.clone(),
            m.to.clone(),
            m.purpose.clone(),
            m.state.clone(),
            seconds(Some(m.age_s)),
        ]
    };
    t.add_rows(all.live.iter().chain(&all.recent).map(row));
    text += &t.trim_fmt();
    if !all.waiting.is_empty() {
        let mut t = table(&[
            "WAITS FOR WHOLE MACHINES",
            "TASKS",
            "WAITED",
            "WHY NOTHING MOVES",
        ]);
        t.add_rows(all.waiting.iter().map(|w| {
            [
                w.job.clone(),
                w.tasks.to_string(),
                seconds(Some(w.waited_s)),
                w.reason.clone(),
            ]
        }));
        text += "\n\n";
        text += &t.trim_fmt();
    }
    text
}
