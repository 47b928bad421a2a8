//! Callers with open-loop arrivals, and a check of what they were told.
//!
//! Arrivals follow a seeded plan that no answer can hold back; latency counts
//! from when a statement was due.

pub mod check;
pub mod cli;
pub mod compare;
pub mod endpoints;
pub mod error;
pub mod exit_codes;
pub mod history;
pub mod outcome;
pub mod plan;
pub mod profile;
pub mod report;
pub mod run;
pub mod session;
pub mod statistics;
