//! Errors with which a node ends.

use std::io;
use thiserror::Error;

/// An error that prevents a node from starting, or ends it.
#[derive(Debug, Error)]
pub enum Error {
    /// Binding a listen address failed.
    #[error("failed to bind a listen address")]
    Address(#[from] io::Error),
    /// Creating the histogram of statement durations failed.
    #[error("failed to create the histogram of statement durations")]
    Metrics(#[from] hdrhistogram::CreationError),
    /// A background task panicked; the node has stopped.
    #[error("the background task {0} panicked")]
    Panicked(&'static str),
}
