//! Stand-ins for everything outside the controllers, written from the
//! published protocols. The tests run whole controllers against them in
//! simulated time; `loopback` serves them to real processes.

pub mod cluster;
pub mod core_harness;
pub mod history;
pub mod loopback;
pub mod service_levels;
pub mod state_service;
