#![doc = include_str!("../README.md")]

mod client;
mod head;
mod meter;
mod server;

pub use client::{Failure, Pool, Reply};
pub use meter::{Charge, ClientClass, Meter};
pub use server::{Rules, serve};
