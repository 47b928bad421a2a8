//! The node's runtime over any protocol and platform.
//!
//! Sessions, servers and groups are generic over small traits: [`dialect::Dialect`]
//! encodes messages, and the traits of [`source`] stand for what a platform
//! offers. What is decided comes from `agateport-domain`.

pub mod caller;
pub mod catalog;
pub mod clock;
pub mod control;
pub mod dialect;
pub mod error;
pub mod group;
pub mod link;
pub mod message;
pub mod metrics;
pub mod node;
pub mod priority;
pub mod record;
pub mod registry;
pub mod server;
pub mod source;
pub mod statement;
pub mod upstreams;
