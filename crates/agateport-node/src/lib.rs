//! The node of agateport: callers in front, upstream servers behind, peers beside.

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
