#![doc = include_str!("../README.md")]

mod page;
mod record;
pub mod timestamp;

pub use record::{FencedEntry, FencingRecord, PageWrite, StoredPage};
