//! Tests of several nodes and stand-ins in one process.

mod path;
mod support;
