#![doc = include_str!("../README.md")]

pub mod assign;
mod holder;
mod leader;
mod message;

pub use holder::{Holder, Word};
pub use leader::{Place, Shares};
pub use message::{Change, Grant, Left, Statement};
