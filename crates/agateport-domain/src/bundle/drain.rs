//! An operator's order to one node.

use super::{Signed, Trust};
use crate::id::NodeId;
use ed25519_dalek::SigningKey;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Time that an order holds, and that clocks may differ by.
const VALIDITY: Duration = Duration::from_mins(1);

/// Why an order isn't carried out.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text isn't an order.
    #[error("the text is no order")]
    Malformed,
    /// It is for another node.
    #[error("the order is for {0}")]
    OtherNode(String),
    /// It was issued too long ago, before the node started, or in the future.
    #[error("the order was not issued in the last minute since the node started")]
    OutsideValidity,
    /// No known operator signed it.
    #[error("no known operator signed the order")]
    NotSigned,
}

/// An order to a node to finish what it does and end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drain {
    /// Node that is to end.
    pub node: NodeId,
    /// When the order was given.
    pub issued: SystemTime,
}

impl Drain {
    /// Signs the order.
    #[must_use]
    pub fn sign(&self, key: &SigningKey) -> Signed {
        let issued = self.issued.duration_since(UNIX_EPOCH).unwrap_or_default();
        Signed::new(format!("drain {} {}", self.node, issued.as_millis()), key)
    }

    /// Checks an order to the node `name` that started at `started`; returns
    /// the operator.
    ///
    /// # Errors
    ///
    /// An [`enum@Error`] if it isn't for this node, now, and by a known operator.
    pub fn check(
        signed: &Signed,
        trust: &Trust,
        name: &NodeId,
        started: SystemTime,
        now: SystemTime,
    ) -> Result<String, Error> {
        let operator = signed.signers(trust).pop_first().ok_or(Error::NotSigned)?;
        let order = Self::parse(&signed.text).ok_or(Error::Malformed)?;
        if order.node != *name {
            return Err(Error::OtherNode(order.node.to_string()));
        }
        let is_within_validity = order.issued >= started
            && order.issued + VALIDITY >= now
            && order.issued <= now + VALIDITY;
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
