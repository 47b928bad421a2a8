//! The owner's side: runs batches on the upstream servers that it keeps
//! connections of.

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
