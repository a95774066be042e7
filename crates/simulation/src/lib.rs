//! Fakes of everything outside the controllers, written from the published protocols.
//!
//! Tests run whole controllers against [`cluster`] and [`state_service`] in simulated time, or the
//! core alone in a [`core_harness`]. [`loopback`] serves the fakes to real processes. [`history`]
//! and [`service_levels`] evaluate a run afterwards.

pub mod cluster;
pub mod core_harness;
pub mod history;
pub mod loopback;
pub mod service_levels;
pub mod state_service;
