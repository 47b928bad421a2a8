//! End-to-end tests of several nodes with stand-ins of the platform and the upstream
//! servers, in one process.

mod failover;
mod keys;
mod metrics;
mod operation;
mod path;
mod platform;
mod report;
mod security;
mod sessions;
mod support;
mod transactions;
mod transcript;
