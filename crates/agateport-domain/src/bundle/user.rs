//! The name and password verifier of a user.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Debug, Formatter};

/// Name of the only supported SASL mechanism.
const MECHANISM: &str = "SCRAM-SHA-256";

/// Minimum iteration count for SCRAM-SHA-256 (RFC 7677).
const MIN_ITERATIONS: usize = 4096;

/// A user that may log in, with the verifier of the password.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct User {
    /// Login name.
    pub name: String,
    /// Verifier in the format of PostgreSQL:
    /// `SCRAM-SHA-256$ITERATIONS:SALT$STORED-KEY:SERVER-KEY`, the last three in
    /// base64.
    pub verifier: String,
}

/// The parts of a verifier; the salt and the keys are in base64.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct Verifier<'a> {
    /// Iteration count of the salted password hash.
    pub iterations: usize,
    /// Salt of the password.
    pub salt: &'a str,
    /// SCRAM `StoredKey`: the hash of the client key.
    pub stored_key: &'a str,
    /// SCRAM `ServerKey`, with which the server authenticates itself to the client.
    pub server_key: &'a str,
}

impl User {
    /// Returns the parts of the verifier; none if it is malformed.
    #[must_use]
    pub fn verifier(&self) -> Option<Verifier<'_>> {
        let (mechanism, rest) = self.verifier.split_once('$')?;
        let (parameters, keys) = rest.split_once('$')?;
        let (iterations, salt) = parameters.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        let iterations = iterations.parse().ok()?;
        let is_valid = mechanism == MECHANISM
            && iterations >= MIN_ITERATIONS
            && [salt, stored_key, server_key]
                .iter()
                .all(|part| is_base64(part));
        is_valid.then_some(Verifier {
            iterations,
            salt,
            stored_key,
            server_key,
        })
    }

    /// Returns whether the verifier is well-formed.
    #[must_use]
    pub fn has_verifier(&self) -> bool {
        self.verifier().is_some()
    }
}

fn is_base64(text: &str) -> bool {
    let is_base64_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"+/=".contains(&byte);
    !text.is_empty() && text.len().is_multiple_of(4) && text.bytes().all(is_base64_byte)
}

// The output omits the keys, which must not appear in logs.
impl Debug for User {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("User")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Debug for Verifier<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Verifier").finish_non_exhaustive()
    }
}
