//! The owner's side: runs batches on the upstream servers that it keeps
//! connections of.

mod acknowledge;
mod answer;
mod key;
mod locate;
mod need;
mod permit;
mod serve;
pub mod server;
mod settle;
pub mod upkeep;

pub use locate::locate;
pub use serve::serve;
