//! Runtime of a node, independent of protocol and platform.
//!
//! Sessions, servers and groups are generic over small traits: [`protocol::Protocol`]
//! encodes messages, and the traits of [`source`] abstract the platform's services.
//! Decisions are made in `agateport-domain`.

pub mod accept;
pub mod allowance;
pub mod budget;
pub mod buffer;
pub mod caller;
pub mod catalog;
pub mod channel;
pub mod clock;
pub mod connection;
pub mod context;
pub mod control;
pub mod currency;
pub mod departure;
pub mod drain;
pub mod error;
pub mod exchange;
pub mod explain;
pub mod field;
pub mod frames;
pub mod group;
pub mod http;
pub mod intake;
pub mod lease;
pub mod lend;
pub mod link;
pub mod message;
pub mod metrics;
pub mod name;
pub mod node;
pub mod overview;
pub mod ownership;
pub mod pacing;
pub mod pending;
pub mod permit;
pub mod placement;
pub mod priority;
pub mod probe;
pub mod protocol;
pub mod readiness;
pub mod record;
pub mod registry;
pub mod reply;
pub mod report;
pub mod server;
pub mod slot;
pub mod source;
pub mod statement;
pub mod tasks;
pub mod trace;
pub mod transaction;
pub mod upstreams;
pub mod work;
