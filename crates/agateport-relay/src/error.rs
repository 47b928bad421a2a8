//! Why a node can't run.

use std::io;
use thiserror::Error;

/// A node that can't run.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be used.
    #[error("an address can't be used")]
    Address(#[from] io::Error),
    /// The metrics can't be kept.
    #[error("the metrics can't be kept")]
    Metrics(#[from] hdrhistogram::CreationError),
}
