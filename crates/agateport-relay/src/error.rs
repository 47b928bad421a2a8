//! Errors that keep a node from starting.

use std::io;
use thiserror::Error;

/// An error that keeps a node from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// A listen address can't be bound.
    #[error("a listen address can't be bound")]
    Address(#[from] io::Error),
    /// The histogram of statement durations can't be created.
    #[error("the histogram of statement durations can't be created")]
    Metrics(#[from] hdrhistogram::CreationError),
}
