//! Open-loop load generator with a consistency check.
//!
//! Arrivals follow a seeded plan that does not depend on responses. Latency is
//! measured from the time at which a statement was due, and so includes the time
//! that it waits for a session.

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
