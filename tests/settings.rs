//! Invalid settings files are rejected with a one-line error that names the field.

use std::path::PathBuf;

use copperfield::settings::{Settings, Tuning};
use serde_json::{Value, json};

/// Writes a settings file to the temporary directory and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("copperfield-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("writable");
    path
}

/// A valid platform settings file, with a field that controllers do not know.
fn valid_settings() -> Value {
    json!({"member": "host-0", "site": "a", "public_addr": "127.0.0.1:8080", "peer_bind": "127.0.0.1:8081",
        "others": [], "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"}, "a_new_field": 1,
        "cluster": {"zones": ["a"], "workers": {"report_s": 2.5, "lease_s": 12.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 32.0},
            "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12}, "cloud": {"rps": 8.0},
            "limits": {"max_sockets": 1500}}})
}

#[test]
fn errors_name_the_invalid_platform_field() {
    let path = write_file("good.json", &valid_settings().to_string());
    Settings::load(&path).expect("unknown fields are ignored");
    for (pointer, value, expected) in [
        ("/public_addr", json!("localhost"), "public_addr"),
        ("/member", Value::Null, "member"),
        (
            "/cluster/workers/lease_s",
            json!(-1),
            "cluster.workers.lease_s",
        ),
        (
            "/cluster/workers/lease_s",
            json!(2.0),
            "cluster.workers.lease_s",
        ),
        (
            "/cluster/state/txn_ops",
            json!("many"),
            "cluster.state.txn_ops",
        ),
        ("/cluster/cloud/rps", json!(0), "cluster.cloud.rps"),
        ("/cluster/zones", json!([]), "cluster.zones"),
    ] {
        let mut invalid = valid_settings();
        *invalid.pointer_mut(pointer).expect("exists") = value;
        let path = write_file("bad.json", &invalid.to_string());
        let error = Settings::load(&path).expect_err(pointer).to_string();
        assert!(error.contains(expected), "{pointer}: {error}");
    }
    let truncated = write_file("broken.json", "{");
    assert!(Settings::load(&truncated).is_err());
    assert!(Settings::load(&std::env::temp_dir().join("copperfield-none.json")).is_err());
}

#[test]
fn operators_settings_are_validated_and_unknown_names_rejected() {
    let tuning = Tuning::load(&write_file(
        "good.hcl",
        "idle_return_s = 60\nauction_cap = 100\n",
    ));
    assert_eq!(tuning.expect("valid").auction_cap, 100);
    for (text, expected) in [
        ("idle_retrun_s = 60", "idle_retrun_s"),
        ("slot_cpus = 0", "slot_cpus"),
        ("auction_cap = \"many\"", "many"),
        (
            "shares = \"some\"",
            "shares: unknown variant `some`, expected `on` or `off`",
        ),
    ] {
        let error = Tuning::load(&write_file("bad.hcl", text))
            .expect_err(text)
            .to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
    let settings =
        Settings::load(&write_file("fits.json", &valid_settings().to_string())).expect("valid");
    let long_lease = Tuning {
        leader_ttl_ms: 20_000,
        ..Tuning::default()
    };
    assert!(
        long_lease
            .check_against(&settings)
            .expect_err("too long")
            .to_string()
            .starts_with("leader_ttl_ms")
    );
}

#[test]
fn blocks_of_operators_settings_are_validated() {
    let text = include_str!("../deploy/defragmentation.hcl");
    let tuning = Tuning::load(&write_file("shipped.hcl", text)).expect("the shipped file is valid");
    assert!(tuning.defragmentation.enabled && tuning.operators.is_none());
    assert!(!Tuning::default().defragmentation.enabled, "off by default");
    let full = r#"
        class "porting" { protected = true }
        class "bake" { movable = false }
        operators { key = "sixteen-or-more-characters" }
        log {
          format = "json"
          time = true
        }"#;
    let tuning = Tuning::load(&write_file("blocks.hcl", full)).expect("valid");
    assert_eq!(tuning.class["bake"].movable, Some(false));
    assert!(
        !format!("{tuning:?}").contains("sixteen"),
        "the key is not printed"
    );
    for (text, expected) in [
        ("defragmentation { enabled = 1 }", "defragmentation.enabled"),
        (
            "defragmentation { most_moves = 0 }",
            "defragmentation.most_moves: found 0, allowed is 1 to 1000",
        ),
        (
            "defragmentation { away_share = 1.5 }",
            "defragmentation.away_share: found 1.5, allowed is 0 to 1",
        ),
        ("defragmentation { lost_works = 1 }", "lost_works"),
        (
            "class \"a\" {\n protected = true\n movable = true\n}",
            "class.a.movable: found true, allowed is only false",
        ),
        ("class \"a\" { movable = \"no\" }", "class.a.movable"),
        (
            "operators { key = \"short\" }",
            "operators.key: found a key of 5 bytes, allowed are 16 or more",
        ),
        ("operators { }", "missing field `key`"),
        ("log { format = \"xml\" }", "log.format"),
    ] {
        let error = Tuning::load(&write_file("bad-block.hcl", text))
            .expect_err(text)
            .to_string();
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "{text}: {error}"
        );
    }
}
