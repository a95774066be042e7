#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

mod client;
pub mod head;
mod memory_budget;
mod server;

pub use client::{CallError, Pool, PoolConfig, Reply};
pub use memory_budget::{ClientClass, MemoryBudget, REQUEST_BYTES, Reservation};
pub use server::{ServerConfig, serve};
