//! Startup phase of a caller's connection.

use super::{cancel, login, options, priority, read_index};
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::session;
use agateport_wire::Error;
use agateport_wire::postgres::{self, Backend, Frontend, Phase, Server};
use agateport_wire::stream::Stream;
use futures::{SinkExt, StreamExt};
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::startup::{BackendKeyData, Startup};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// A caller's connection with its codec.
pub type Socket = Framed<Stream, Server>;

/// Parameters of a login.
#[derive(Debug)]
pub struct Login {
    /// Group that the caller connects to: the database in the startup message.
    pub group: GroupId,
    /// User name of the caller, unauthenticated if the bundle has no users.
    pub user: CallerId,
    /// Priority of the session, if specified.
    pub priority: Option<PriorityId>,
    /// Watermark of the group that the caller has seen on other connections.
    pub watermark: Option<Watermark>,
    /// Secret that authorizes cancel requests.
    pub secret: i32,
}

/// Maximum number of concurrent logins.
pub const MAX_LOGINS: usize = 512;

/// Time limit for a login.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the startup phase. Returns `None` if the connection must be closed: the caller
/// is refused, sent only a cancel request or was too slow, or the node drains.
///
/// # Errors
///
/// [`Error`] if the connection fails or a message is malformed.
pub async fn negotiate<P>(node: &Arc<Node<P>>, socket: &mut Socket) -> Result<Option<Login>, Error>
where
    P: Policy + Send + Sync + 'static,
{
    let Ok(_permit) = node.logins.try_acquire() else {
        node.metrics.count("login", "too_many");
        return Ok(None);
    };
    let login = timeout(LOGIN_TIMEOUT, exchange(node, socket));
    match node.leaving.run_until_cancelled(login).await {
        Some(Ok(login)) => login,
        Some(Err(_)) => {
            node.metrics.count("login", "too_slow");
            Ok(None)
        }
        None => Ok(None),
    }
}

async fn exchange<P>(node: &Arc<Node<P>>, socket: &mut Socket) -> Result<Option<Login>, Error>
where
    P: Policy + Send + Sync + 'static,
{
    while let Some(message) = socket.next().await {
        match message? {
            Frontend::SslNegotiation(SslNegotiationMetaMessage::None) => {
                socket.codec_mut().set_phase(Phase::Startup);
            }
            Frontend::SslNegotiation(request) => {
                if !login::negotiate_tls(node, socket, &request).await? {
                    return Ok(None);
                }
            }
            Frontend::Startup(startup) => {
                socket.codec_mut().set_phase(Phase::Ready);
                return log_in(node, socket, &startup).await;
            }
            Frontend::CancelRequest(request) => {
                cancel::forward(node, &request).await;
                return Ok(None);
            }
            _ => return Ok(None),
        }
    }
    Ok(None)
}

async fn log_in<P>(
    node: &Arc<Node<P>>,
    socket: &mut Socket,
    startup: &Startup,
) -> Result<Option<Login>, Error>
where
    P: Policy + Send + Sync + 'static,
{
    let login = match check(node, startup) {
        Ok(login) => login,
        Err(refusal) => {
            socket.send(refusal).await?;
            return Ok(None);
        }
    };
    if let Some(bundle) = node.bundle()
        && !login::authenticate(node, &bundle, socket, startup).await?
    {
        return Ok(None);
    }
    if let Err(refusal) = check_watermark(node, &login).await {
        socket.send(refusal).await?;
        return Ok(None);
    }
    finish_startup(socket, cancel::key_data(node, login.secret)).await?;
    Ok(Some(login))
}

fn check<P>(node: &Node<P>, startup: &Startup) -> Result<Login, Backend>
where
    P: Policy + Send + Sync + 'static,
{
    let Some(bundle) = node.bundle() else {
        let text = "not run: no bundle is in force yet".to_owned();
        return Err(postgres::error("FATAL", "57P03", text));
    };
    let name = startup.parameters.get("database").map(String::as_str);
    let Some(group) = bundle.group(name.unwrap_or_default()) else {
        let text = format!(
            "database {:?} is no group of the bundle",
            name.unwrap_or("")
        );
        return Err(postgres::error("FATAL", "3D000", text));
    };
    let parsed = options::watermark(&startup.parameters);
    let watermark = parsed.map_err(|error| invalid_watermark(&error))?;
    let text = |name| startup.parameters.get(name).map(String::as_str);
    let priority = text(priority::SETTING);
    if let Some(name) = priority.filter(|name| bundle.priority(name).is_none()) {
        let text = priority::unknown(name);
        return Err(postgres::error("FATAL", "22023", text));
    }
    Ok(Login {
        group: group.name.clone(),
        user: text("user").unwrap_or_default().into(),
        priority: priority.map(Into::into),
        watermark,
        secret: rand::random(),
    })
}

async fn check_watermark<P>(node: &Arc<Node<P>>, login: &Login) -> Result<(), Backend>
where
    P: Policy + Send + Sync + 'static,
{
    let (Some(bundle), Some(watermark)) = (node.bundle(), login.watermark) else {
        return Ok(());
    };
    let Some(group) = bundle.group(&login.group) else {
        return Ok(());
    };
    let checked = read_index::check(node, group, watermark).await;
    checked.map_err(|error| invalid_watermark(&error))
}

fn invalid_watermark(error: &session::Error) -> Backend {
    postgres::error("FATAL", "22023", error.to_string())
}

async fn finish_startup(socket: &mut Socket, key: BackendKeyData) -> Result<(), Error> {
    for message in postgres::startup_messages(key) {
        socket.feed(message).await?;
    }
    let ready = postgres::ready_for_query(session::Transaction::Idle);
    socket.send(ready).await
}
