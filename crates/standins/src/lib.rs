//! Stand-ins for everything outside the controllers, written from the
//! published protocols. The tests run whole controllers against them in
//! simulated time; `loopback` serves them to real processes.

pub mod crew;
pub mod history;
pub mod loopback;
pub mod served;
pub mod site;
pub mod state;
