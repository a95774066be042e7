//! HTTP in and out.
//!
//! | module | contents |
//! | --- | --- |
//! | [`server`] | serves users, workers and the other controllers |
//! | [`client`] | the pooled client for all that a controller calls |
//! | [`rate_limiter`] | keeps calls under the published limits |

#![warn(missing_docs)]

pub mod client;
pub mod rate_limiter;
pub mod server;
