//! Tests that renaming a field or variant does not rename a published flag or subcommand: clap
//! derives their names from the source by default.

use clap::{Command, Subcommand};

/// Returns each subcommand with its arguments as they are typed. Positional arguments are in
/// capitals.
fn subcommands_with_arguments() -> Vec<String> {
    let command = copperfield_admin::cli::Command::augment_subcommands(Command::new("copperfield"));
    command
        .get_subcommands()
        .map(|subcommand| {
            let arguments = subcommand.get_arguments().map(|argument| {
                let long = argument.get_long().map(|long| format!("--{long}"));
                long.unwrap_or_else(|| argument.get_id().as_str().to_uppercase())
            });
            let arguments: Vec<String> = arguments.collect();
            format!("{} {}", subcommand.get_name(), arguments.join(" "))
        })
        .collect()
}

#[test]
fn subcommands_and_flags_keep_their_published_names() {
    assert_eq!(
        subcommands_with_arguments(),
        [
            "nodes --by-holder --address --key-file --json",
            "drain NODE --deadline --yes --address --key-file --json",
            "undrain NODE --address --key-file --json",
            "moves --address --key-file --json",
        ]
    );
}
