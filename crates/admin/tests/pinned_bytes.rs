//! Tests that the operators' JSON and tables are the same as those of an earlier build, which are
//! kept in `tests/pinned`. The files are never regenerated, because a difference is a change of the
//! interface.

use std::path::PathBuf;

use copperfield_admin::table;
use copperfield_admin::views::{ConfirmationRequired, DrainRequest, Moves, Node, Nodes};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn pinned(file: &str) -> String {
    let path = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned")).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn assert_text(file: &str, actual: &str) {
    assert_eq!(pinned(file), actual, "{file}");
}

fn read<T: DeserializeOwned>(file: &str) -> T {
    serde_json::from_str(&pinned(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// Asserts that the contents of a file parse and serialize to the same bytes.
fn assert_round_trip<T: Serialize + DeserializeOwned>(file: &str) {
    let value: T = read(file);
    let serialized = serde_json::to_string_pretty(&value).expect("plain data");
    assert_text(file, &format!("{serialized}\n"));
}

#[test]
fn bodies_round_trip_unchanged() {
    assert_round_trip::<Nodes>("nodes.json");
    assert_round_trip::<Nodes>("nodes_none.json");
    assert_round_trip::<DrainRequest>("drain.json");
    assert_round_trip::<DrainRequest>("drain_default.json");
    assert_round_trip::<ConfirmationRequired>("confirm.json");
    assert_round_trip::<Moves>("moves.json");
    assert_round_trip::<Moves>("moves_none.json");
}

#[test]
fn omitted_fields_have_their_defaults() {
    let empty: DrainRequest = read("drain_empty.json");
    let serialized = serde_json::to_string_pretty(&empty).expect("plain data");
    assert_text("drain_default.json", &format!("{serialized}\n"));
}

#[test]
fn unknown_names_are_refused_with_the_published_text() {
    let drain = serde_json::from_str::<DrainRequest>(&pinned("drain_unknown.json"));
    let error = drain.expect_err("an unknown field").to_string();
    assert_text("drain_unknown.txt", &format!("{error}\n"));
    let node = serde_json::from_str::<Node>(&pinned("node_unknown.json"));
    let error = node.expect_err("an unknown state").to_string();
    assert_text("node_unknown.txt", &format!("{error}\n"));
}

#[test]
fn tables_are_unchanged() {
    let nodes = read::<Nodes>("nodes.json").nodes;
    assert_text("nodes.txt", &format!("{}\n", table::nodes(&nodes)));
    assert_text(
        "by_holder.txt",
        &format!("{}\n", table::by_shard_owner(&nodes)),
    );
    assert_text("nodes_none.txt", &format!("{}\n", table::nodes(&[])));
    for (json_file, table_file) in [
        ("moves.json", "moves.txt"),
        ("moves_none.json", "moves_none.txt"),
    ] {
        assert_text(table_file, &format!("{}\n", table::moves(&read(json_file))));
    }
}
