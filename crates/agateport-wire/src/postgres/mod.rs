//! The PostgreSQL protocol towards callers and upstreams, by `pgwire`'s codecs.

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

/// Parameter that an upstream reports its log's last entry in, as term/position.
pub const LOG_POSITION: &str = "agateport.log_position";

/// Parameter that a caller is given its watermark in, as term/position.
pub const WATERMARK: &str = "agateport.watermark";
