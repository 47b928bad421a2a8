//! The PostgreSQL protocol with callers and upstreams, based on `pgwire`.

mod codec;
pub mod control;
mod convert;
pub mod scram;
mod upstream;

pub use codec::{Client, Phase, Server};
pub use convert::{
    encode, error, is_last_answer, is_read_only, ready_for_query, refusal, sqlstate,
    startup_messages, transaction, unknown_outcome,
};
pub use pgwire::messages::{PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend};
pub use upstream::Upstream;

/// Parameter in which an upstream reports the last entry of its log, as
/// term/position.
pub const LOG_POSITION: &str = "agateport.log_position";

/// Parameter in which a caller receives its watermark, as term/position.
pub const WATERMARK: &str = "agateport.watermark";
