//! An operator's command to drain one node.

use super::{Signed, Trust};
use crate::id::NodeId;
use ed25519_dalek::SigningKey;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Time for which a command is valid, and the largest tolerated clock skew.
const VALIDITY: Duration = Duration::from_mins(1);

/// Reason why a drain command is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text is not a drain command.
    #[error("the text is not a drain command")]
    Malformed,
    /// The command is for another node.
    #[error("the drain command is for the node {0}")]
    OtherNode(String),
    /// The command was issued more than `VALIDITY` in the past or in the future, or
    /// before the node started.
    #[error("the drain command was not issued within the last minute and since the node started")]
    OutsideValidity,
    /// No trusted operator signed the command.
    #[error("no known operator signed the drain command")]
    NotSigned,
}

/// A command to a node to finish its running requests and exit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drain {
    /// Node to drain.
    pub node: NodeId,
    /// Time at which the operator issued the command.
    pub issued: SystemTime,
}

impl Drain {
    /// Encodes and signs the command.
    #[must_use]
    pub fn sign(&self, key: &SigningKey) -> Signed {
        let issued = self.issued.duration_since(UNIX_EPOCH).unwrap_or_default();
        Signed::new(format!("drain {} {}", self.node, issued.as_millis()), key)
    }

    /// Checks a command received by the node `name`, which started at `started`;
    /// returns the name of the operator.
    ///
    /// # Errors
    ///
    /// An [`enum@Error`] if the command is not signed by a trusted operator, not
    /// for this node, or not valid at `now`.
    pub fn check(
        signed: &Signed,
        trust: &Trust,
        name: &NodeId,
        started: SystemTime,
        now: SystemTime,
    ) -> Result<String, Error> {
        let operator = signed.signers(trust).pop_first().ok_or(Error::NotSigned)?;
        let drain = Self::parse(&signed.text).ok_or(Error::Malformed)?;
        if drain.node != *name {
            return Err(Error::OtherNode(drain.node.to_string()));
        }
        let is_within_validity = drain.issued >= started
            && drain.issued + VALIDITY >= now
            && drain.issued <= now + VALIDITY;
        if !is_within_validity {
            return Err(Error::OutsideValidity);
        }
        Ok(operator)
    }

    fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let ("drain", Some(node), Some(issued), None) =
            (words.next()?, words.next(), words.next(), words.next())
        else {
            return None;
        };
        let issued = Duration::from_millis(issued.parse().ok()?);
        Some(Self {
            node: node.into(),
            issued: UNIX_EPOCH.checked_add(issued)?,
        })
    }
}
