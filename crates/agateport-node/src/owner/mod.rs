//! The owner's side: runs batches on the upstream servers that it keeps
//! connections of.

mod acknowledge;
mod answer;
mod lease;
mod serve;
pub mod server;
pub mod upkeep;

pub use serve::serve;
