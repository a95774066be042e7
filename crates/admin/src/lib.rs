//! What operators see of a site, and the commands with which they run it.
//!
//! | module | what |
//! | --- | --- |
//! | [`views`] | the JSON of the operators' endpoints, for both sides |
//! | [`client`] | asks any of the controllers |
//! | [`table`] | prints for people |
//! | [`cli`] | the commands and their exit codes |

pub mod cli;
pub mod client;
pub mod table;
pub mod views;
