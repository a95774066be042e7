//! The words of the command line are published: renaming a field must not rename a flag.

use clap::{Command, Subcommand};

/// Every subcommand with its arguments as they are typed, positional ones in capitals.
fn words() -> Vec<String> {
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
        words(),
        [
            "nodes --by-holder --address --key-file --json",
            "drain NODE --deadline --yes --address --key-file --json",
            "undrain NODE --address --key-file --json",
            "moves --address --key-file --json",
        ]
    );
}
