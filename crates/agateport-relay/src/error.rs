//! Errors that prevent a node from starting.

use std::io;
use thiserror::Error;

/// An error that prevents a node from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// Binding a listen address failed.
    #[error("failed to bind a listen address")]
    Address(#[from] io::Error),
    /// Creating the histogram of statement durations failed.
    #[error("failed to create the histogram of statement durations")]
    Metrics(#[from] hdrhistogram::CreationError),
}
