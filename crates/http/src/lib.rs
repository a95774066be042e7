#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

mod client;
pub mod head;
mod meter;
mod server;

pub use client::{CallError, Pool, PoolConfig, Reply};
pub use meter::{Charge, ClientClass, Meter, REQUEST_BYTES};
pub use server::{ServerConfig, serve};
