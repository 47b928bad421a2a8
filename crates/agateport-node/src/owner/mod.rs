//! The part of a node that runs batches on the upstream servers that it owns.

mod acknowledge;
mod answer;
mod durability;
mod key;
mod permit;
mod report;
mod requirement;
mod serve;
pub mod server;
pub mod share;

pub use report::report_status;
pub use serve::serve;
