//! The password check, by the library's SCRAM.

use crate::Error;
use agateport_domain::bundle::User;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pgwire::api::auth::sasl::scram::{
    SCRAM_ITERATIONS, ScramSecret, ScramServerAuth, ScramServerAuthWaitingForClientFinal,
    gen_salted_password,
};

/// Name of the mechanism that callers are offered.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Returns the verifier of a password, as a bundle holds it; none if the
/// library can't make one.
#[must_use]
pub fn verifier(password: &str, salt: &[u8]) -> Option<String> {
    let salted = gen_salted_password(password, salt, SCRAM_ITERATIONS);
    let secret =
        ScramSecret::verifier_from_salted_password(salt.to_vec(), salted, SCRAM_ITERATIONS);
    let ScramSecret::Verifier {
        salt,
        iterations,
        stored_key,
        server_key,
    } = secret
    else {
        return None;
    };
    let [salt, stored_key, server_key] =
        [salt, stored_key, server_key].map(|bytes| STANDARD.encode(bytes));
    Some(format!(
        "{MECHANISM}${iterations}:{salt}${stored_key}:{server_key}"
    ))
}

/// A password check that waits for the caller's proof.
#[derive(Debug)]
pub struct Exchange {
    waiting: ScramServerAuthWaitingForClientFinal,
}

impl Exchange {
    /// Answers the caller's first message; returns the server's first.
    ///
    /// # Errors
    ///
    /// [`Error`] if the message or the user's verifier is malformed.
    pub fn start(user: &User, first: &[u8]) -> Result<(Self, String), Error> {
        let malformed = || Error::Postgres("the verifier is malformed".to_owned());
        let verifier = user.verifier().ok_or_else(malformed)?;
        let decode = |text: &str| STANDARD.decode(text).map_err(|_| malformed());
        let secret = ScramSecret::Verifier {
            salt: decode(verifier.salt)?,
            iterations: verifier.iterations,
            stored_key: decode(verifier.stored_key)?,
            server_key: decode(verifier.server_key)?,
        };
        let server = ScramServerAuth::new();
        let (answer, waiting) = server.on_client_first_message_with_secret(first, secret)?;
        Ok((Self { waiting }, answer))
    }

    /// Checks the caller's proof; returns the server's.
    ///
    /// # Errors
    ///
    /// [`Error`] if the proof is wrong.
    pub fn finish(&self, proof: &[u8]) -> Result<String, Error> {
        Ok(self.waiting.on_client_final_message(proof)?)
    }
}
