//! HTTP in and out: the servers for users, workers and peers, the pooled
//! client, and the rate budgets that keep us under the published limits.

pub mod client;
pub mod rate_limiter;
pub mod server;
