#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

pub mod cli;
pub mod client;
pub mod table;
pub mod views;
