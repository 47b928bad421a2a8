//! Errors of bundles.

use super::{Diagnostic, Revision};
use thiserror::Error;

/// A bundle that is invalid or may not be put in force.
#[derive(Debug, miette::Diagnostic, Error)]
pub enum Error {
    /// The text is not a valid bundle; each diagnostic points at a span of it.
    #[error("the bundle has {} error(s)", diagnostics.len())]
    Invalid {
        /// TOML text of the bundle.
        #[source_code]
        text: String,
        /// All errors found, in the order of the text.
        #[related]
        diagnostics: Vec<Diagnostic>,
    },
    /// Too few trusted operators have signed.
    #[error("{valid} valid operator signature(s), but {threshold} needed")]
    NotSigned {
        /// Number of operators whose signatures are valid.
        valid: usize,
        /// Number of signatures that the settings require.
        threshold: usize,
    },
    /// Another bundle of the same version is in force.
    #[error("{in_force} is in force, and {offered} is another bundle of the same version")]
    Conflict {
        /// Revision in force.
        in_force: Revision,
        /// Revision that was rejected.
        offered: Revision,
    },
    /// The settings require no signature, or more than there are operators.
    #[error("the signature threshold {threshold} is not between 1 and {operators} operator(s)")]
    Threshold {
        /// Number of signatures that the settings require.
        threshold: usize,
        /// Number of operators whose keys are not revoked.
        operators: usize,
    },
    /// A text is not a revision.
    #[error("{0:?} is not a revision of the form VERSION:DIGEST")]
    Revision(String),
}
