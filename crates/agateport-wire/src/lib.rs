//! The protocols of agateport: frames between nodes, PostgreSQL with callers and
//! upstreams, and HTTP with the platform.

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
