#![doc = include_str!("../README.md")]

mod client;
mod head;
mod meter;
mod server;

pub use client::{Failure, Pool, Reply};
pub use meter::{Charge, Meter, Standing};
pub use server::{Rules, serve};
