#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

mod page;
mod record;
pub mod timestamp;

pub use record::{FencedEntry, FencingRecord, PageWrite, StoredPage};
