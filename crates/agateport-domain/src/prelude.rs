//! Common types, imported with `use agateport_domain::prelude::*`.

pub use crate::id::{
    BundleVersion, CallerId, DatabaseId, Fence, GroupId, LinkId, NodeId, Position, PriorityId,
    RequestId, ServerId, SessionId, Term, Uptime, WorkspaceId, Zone,
};
pub use crate::session::Watermark;
pub use crate::shard::Sharded;
pub use std::collections::{BTreeMap, BTreeSet};
pub use std::sync::Arc;
pub use std::time::{Duration, Instant, SystemTime};
