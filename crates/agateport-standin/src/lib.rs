//! Simulated platform and database servers for tests, benchmarks and demos.

pub mod cli;
pub mod error;
pub mod exit_codes;
pub mod group;
pub mod platform;
