//! Tests of several nodes and stand-ins in one process.

mod failover;
mod operation;
mod path;
mod security;
mod support;
