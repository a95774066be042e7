//! Stand-ins for everything outside the controllers, written from the
//! published protocols. The tests run whole controllers against them in
//! simulated time; `examples/site.rs` serves them on loopback.

pub mod crew;
pub mod history;
pub mod site;
pub mod state;
