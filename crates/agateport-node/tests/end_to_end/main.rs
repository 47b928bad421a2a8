//! Tests of several nodes and stand-ins in one process.

mod failover;
mod keys;
mod operation;
mod path;
mod sessions;
mod support;
mod transactions;
mod transcript;
