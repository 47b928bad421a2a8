//! The tasks beside the request path: what the store says, who leads, and what
//! to do about a primary that is lost.

pub mod confirmation;
pub mod handover;
pub mod monitor;
pub mod peer;
pub mod poller;
pub mod presence;
mod succession;
pub mod suspicion;
pub mod trigger;
