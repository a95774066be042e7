#![doc = include_str!("../README.md")]

mod record;
pub mod stamp;

pub use record::{PageWrite, Silence, StoredPage};
