//! The node of agateport: accepts callers, exchanges requests with peer nodes and
//! runs them on upstream servers.

pub mod cli;
pub mod config;
pub mod control;
pub mod drain;
pub mod error;
pub mod exit_codes;
pub mod frontend;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod peers;
