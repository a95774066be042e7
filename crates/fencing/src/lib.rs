#![doc = include_str!("../README.md")]

mod record;
pub mod stamp;

pub use record::{FencingRecord, PageWrite, StoredPage};
