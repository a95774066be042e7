#![doc = include_str!("../README.md")]

mod assign;
mod holder;
mod keeper;
mod leader;
mod message;

pub use holder::{Holder, Word};
pub use keeper::{Keeper, May, Where};
pub use leader::{Place, Shares};
pub use message::{Change, Grant, Left, Statement};
