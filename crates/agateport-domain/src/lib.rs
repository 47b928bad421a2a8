//! The decision logic of agateport, free of input and output.
//!
//! Each folder is one aggregate with its own rules and its own error. Time is
//! passed in as an [`std::time::Instant`] and randomness as a seeded generator,
//! so every decision can be replayed. Nothing in this crate depends on how a
//! message is encoded.

pub mod admission;
pub mod allowance;
pub mod bundle;
pub mod drain;
pub mod explanation;
pub mod group;
pub mod id;
pub mod intake;
pub mod membership;
pub mod owner;
pub mod pace;
pub mod platform;
pub mod prelude;
pub mod report;
pub mod request;
pub mod session;
pub mod shard;
pub mod tree;
pub mod workspace;
