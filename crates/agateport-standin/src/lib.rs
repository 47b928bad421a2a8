//! Small stand-ins for the platform and for a database group's servers.

pub mod cli;
pub mod error;
pub mod exit_codes;
pub mod group;
pub mod platform;
