//! The operators' JSON and tables as an earlier build wrote them, kept as files under
//! `tests/pinned`. The files are never made anew: a difference is a change of the interface.

use std::path::PathBuf;

use copperfield_admin::table;
use copperfield_admin::views::{ConfirmationRequired, DrainRequest, Moves, Node, Nodes};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn pinned(file: &str) -> String {
    let path = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned")).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn check_text(file: &str, made: &str) {
    assert_eq!(pinned(file), made, "{file}");
}

fn read<T: DeserializeOwned>(file: &str) -> T {
    serde_json::from_str(&pinned(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// Reads a file and writes it back, to the same bytes.
fn check<T: Serialize + DeserializeOwned>(file: &str) {
    let value: T = read(file);
    let again = serde_json::to_string_pretty(&value).expect("plain data");
    check_text(file, &format!("{again}\n"));
}

#[test]
fn bodies_are_read_and_written_back() {
    check::<Nodes>("nodes.json");
    check::<Nodes>("nodes_none.json");
    check::<DrainRequest>("drain.json");
    check::<DrainRequest>("drain_default.json");
    check::<ConfirmationRequired>("confirm.json");
    check::<Moves>("moves.json");
    check::<Moves>("moves_none.json");
}

#[test]
fn what_is_left_out_has_its_default() {
    let empty: DrainRequest = read("drain_empty.json");
    let again = serde_json::to_string_pretty(&empty).expect("plain data");
    check_text("drain_default.json", &format!("{again}\n"));
}

#[test]
fn what_is_wrong_is_refused() {
    let unknown = serde_json::from_str::<DrainRequest>(&pinned("drain_unknown.json"));
    let unknown = unknown.expect_err("an unknown name").to_string();
    check_text("drain_unknown.txt", &format!("{unknown}\n"));
    let state = serde_json::from_str::<Node>(&pinned("node_unknown.json"));
    let state = state.expect_err("an unknown state").to_string();
    check_text("node_unknown.txt", &format!("{state}\n"));
}

#[test]
fn tables_for_people_stay() {
    let nodes = read::<Nodes>("nodes.json").nodes;
    check_text("nodes.txt", &format!("{}\n", table::nodes(&nodes)));
    check_text(
        "by_holder.txt",
        &format!("{}\n", table::by_shard_owner(&nodes)),
    );
    check_text("nodes_none.txt", &format!("{}\n", table::nodes(&[])));
    for (from, to) in [
        ("moves.json", "moves.txt"),
        ("moves_none.json", "moves_none.txt"),
    ] {
        check_text(to, &format!("{}\n", table::moves(&read(from))));
    }
}
