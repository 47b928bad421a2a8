//! Background tasks: polling of the store, membership, failure detection and the
//! handover of primaries.

pub mod basis;
pub mod confirmation;
mod demotion;
mod enrollment;
pub mod follower;
pub mod handover;
pub mod monitor;
pub mod peer;
pub mod poller;
pub mod presence;
pub mod snapshot;
pub mod sources;
mod succession;
pub mod suspicion;
pub mod trigger;
pub mod update;
mod watermark;
