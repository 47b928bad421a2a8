//! SCRAM authentication of callers, based on `pgwire`.

use crate::Error;
use agateport_domain::bundle::User;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pgwire::api::auth::sasl::scram::{
    SCRAM_ITERATIONS, ScramSecret, ScramServerAuth, ScramServerAuthWaitingForClientFinal,
    gen_salted_password,
};

/// Name of the SASL mechanism that is offered to callers.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Returns the verifier of a password in the format of a bundle, or `None` if the
/// library returns another kind of secret.
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

/// A SCRAM exchange that waits for the client's final message.
#[derive(Debug)]
pub struct Exchange {
    waiting: ScramServerAuthWaitingForClientFinal,
}

impl Exchange {
    /// Starts the exchange with the client's first message and returns the server's
    /// first message.
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

    /// Verifies the client's final message and returns the server's final message.
    ///
    /// # Errors
    ///
    /// [`Error`] if the message is malformed or its proof is wrong.
    pub fn finish(&self, proof: &[u8]) -> Result<String, Error> {
        Ok(self.waiting.on_client_final_message(proof)?)
    }
}
