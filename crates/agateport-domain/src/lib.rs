//! The decisions of agateport, apart from all input and output.
//!
//! Each folder is one aggregate with its own rules and its own error. Time
//! comes in as an [`std::time::Instant`] and randomness as a seeded generator,
//! so that every decision can be replayed. Nothing here knows how a message is
//! encoded.

pub mod admission;
pub mod bundle;
pub mod group;
pub mod id;
pub mod membership;
pub mod owner;
pub mod platform;
pub mod prelude;
pub mod request;
pub mod session;
pub mod shard;
