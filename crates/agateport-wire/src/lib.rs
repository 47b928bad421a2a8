//! The encodings of agateport: frames between nodes, the PostgreSQL protocol
//! towards callers and upstreams, and HTTP towards the platform.

pub mod error;
pub mod frame;
pub mod link;
pub mod peer;
pub mod platform;
pub mod postgres;
pub mod signed;
pub mod stream;
pub mod tls;

pub use error::Error;
pub use frame::Frame;
