//! The HTTP server and the HTTP client of a controller.
//!
//! | module | contents |
//! | --- | --- |
//! | [`server`] | servers for users, workers and the other controllers |
//! | [`client`] | client with a connection pool for all calls of a controller |
//! | [`rate_limiter`] | rate limits for calls to services with published limits |

#![warn(missing_docs)]

pub mod client;
pub mod rate_limiter;
pub mod server;
