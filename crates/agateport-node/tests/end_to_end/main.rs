//! Tests of several nodes and stand-ins in one process.

mod failover;
mod path;
mod support;
