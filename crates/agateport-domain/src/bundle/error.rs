//! What can be wrong with a bundle.

use super::{Diagnostic, Revision};
use thiserror::Error;

/// A text that isn't a bundle, or one that may not be put in force.
#[derive(Debug, miette::Diagnostic, Error)]
pub enum Error {
    /// The text isn't a valid bundle; each fault points at its place.
    #[error("the bundle has {} fault(s)", diagnostics.len())]
    Invalid {
        /// Text of the bundle.
        #[source_code]
        text: String,
        /// All that is wrong with it, in the order of the text.
        #[related]
        diagnostics: Vec<Diagnostic>,
    },
    /// Too few of the known operators signed.
    #[error("{valid} of the {threshold} operators' signatures that are needed are valid")]
    NotSigned {
        /// Number of operators whose signatures are valid.
        valid: usize,
        /// Number that the settings ask for.
        threshold: usize,
    },
    /// Another bundle of the same version is in force.
    #[error("{in_force} is in force, and {offered} is another bundle of the same version")]
    Conflict {
        /// What is in force.
        in_force: Revision,
        /// What was offered.
        offered: Revision,
    },
    /// The settings ask for a number of signatures that can't be reached.
    #[error("{threshold} signatures can't be had from {operators} operator(s)")]
    Threshold {
        /// Number that the settings ask for.
        threshold: usize,
        /// Number of operators whose keys aren't revoked.
        operators: usize,
    },
    /// A text isn't a revision.
    #[error("{0:?} is not a revision of the form VERSION:DIGEST")]
    Revision(String),
}
