//! TLS negotiation and authentication of callers.

use super::startup::Socket;
use crate::node::Node;
use agateport_domain::bundle::{Bundle, User};
use agateport_wire::Error;
use agateport_wire::postgres::scram::{Exchange, MECHANISM};
use agateport_wire::postgres::{self, Backend, Frontend};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily, Startup};

/// Answers an encryption request. Returns false if the connection must be closed.
///
/// # Errors
///
/// [`Error`] if the connection fails.
pub async fn negotiate_tls<P>(
    node: &Node<P>,
    socket: &mut Socket,
    request: &SslNegotiationMetaMessage,
) -> Result<bool, Error> {
    let is_tls = matches!(request, SslNegotiationMetaMessage::PostgresSsl(_));
    let (true, Some(acceptor)) = (is_tls, &node.acceptor) else {
        socket
            .send(Backend::SslResponse(SslResponse::Refuse))
            .await?;
        return Ok(true);
    };
    if socket.get_ref().is_encrypted() || !socket.read_buffer().is_empty() {
        // Plain text received ahead of the handshake may have been injected by a
        // third party.
        return Ok(false);
    }
    socket
        .send(Backend::SslResponse(SslResponse::Accept))
        .await?;
    socket.get_mut().start_tls(acceptor).await?;
    Ok(true)
}

/// Checks the password of a caller against the users of the bundle. Returns false if
/// the caller is refused. A bundle without users accepts every caller.
///
/// # Errors
///
/// [`Error`] if the connection fails or the caller sends an unexpected message.
pub async fn authenticate<P>(
    node: &Node<P>,
    bundle: &Bundle,
    socket: &mut Socket,
    startup: &Startup,
) -> Result<bool, Error> {
    if bundle.users.is_empty() {
        return Ok(true);
    }
    if node.acceptor.is_some() && !socket.get_ref().is_encrypted() {
        node.metrics.count("login", "not_encrypted");
        return refuse(socket, "the connection must be encrypted").await;
    }
    let name = startup.parameters.get("user").map(String::as_str);
    let user = bundle.users.iter().find(|user| Some(&*user.name) == name);
    // An unknown user goes through the same exchange as a known one.
    let decoy = decoy();
    let is_authenticated = check(socket, user.unwrap_or(&decoy)).await;
    match is_authenticated {
        Ok(true) if user.is_some() => Ok(true),
        Err(error) if !matches!(error, Error::Postgres(_)) => Err(error),
        _ => {
            node.metrics.count("login", "wrong_password");
            refuse(socket, "the password or the user is wrong").await
        }
    }
}

async fn check(socket: &mut Socket, user: &User) -> Result<bool, Error> {
    let offer = Authentication::SASL(vec![MECHANISM.to_owned()]);
    socket.send(Backend::Authentication(offer)).await?;
    let first = password(socket).await?.into_sasl_initial_response()?;
    let first = first.data.unwrap_or_default();
    let (exchange, challenge) = Exchange::start(user, &first)?;
    let challenge = Authentication::SASLContinue(Bytes::from(challenge));
    socket.send(Backend::Authentication(challenge)).await?;
    let proof = password(socket).await?.into_sasl_response()?;
    let answer = exchange.finish(&proof.data)?;
    let answer = Authentication::SASLFinal(Bytes::from(answer));
    socket.feed(Backend::Authentication(answer)).await?;
    Ok(true)
}

async fn password(socket: &mut Socket) -> Result<PasswordMessageFamily, Error> {
    match socket.next().await.unwrap_or(Err(Error::Ended))? {
        Frontend::PasswordMessageFamily(message) => Ok(message),
        _ => Err(Error::Ended),
    }
}

async fn refuse(socket: &mut Socket, text: &str) -> Result<bool, Error> {
    let refusal = postgres::error("FATAL", "28P01", format!("not run: {text}"));
    socket.send(refusal).await?;
    Ok(false)
}

/// Returns a user without a valid password, for the exchange with an unknown user.
fn decoy() -> User {
    const KEY: &str = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";
    User {
        name: String::new(),
        verifier: format!("SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==${KEY}:{KEY}"),
    }
}
