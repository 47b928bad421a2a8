//! Sessions of clients over the PostgreSQL protocol.

mod execute;
mod extended;

use super::command::Command;
use super::server::Server;
use crate::error::Error;
use agateport_domain::session::Watermark;
use agateport_wire::postgres::{self, Backend, Frontend, LOG_POSITION, Phase, control};
use execute::Executor;
use extended::Handler;
use futures::{SinkExt, StreamExt};
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{BackendKeyData, ParameterStatus, SecretKey};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::codec::Framed;
use tokio_util::task::TaskTracker;

type Socket = Framed<TcpStream, postgres::Server>;

/// Accepts connections until the task is aborted. `tracker` counts the sessions.
///
/// # Errors
///
/// [`Error`] if the listener fails.
pub async fn serve(
    listener: TcpListener,
    server: Arc<Server>,
    tracker: TaskTracker,
) -> Result<(), Error> {
    // Dropping the set aborts all sessions when the server stops. A session that is running
    // at that moment ends at its next wait.
    let mut sessions = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await?;
        while sessions.try_join_next().is_some() {}
        let server = Arc::clone(&server);
        sessions.spawn(tracker.track_future(async move {
            if let Err(error) = Session::run(stream, server).await {
                tracing::debug!(%error, "connection failed");
            }
        }));
    }
}

struct Session {
    socket: Socket,
    server: Arc<Server>,
    is_control: bool,
    reported: Option<Watermark>,
    extended: Handler,
    executor: Executor,
}

impl Session {
    async fn run(stream: TcpStream, server: Arc<Server>) -> Result<(), agateport_wire::Error> {
        stream.set_nodelay(true)?;
        let mut socket = Framed::new(stream, postgres::Server::default());
        server.wait_while_hung().await;
        let Some(user) = negotiate(&mut socket).await? else {
            return Ok(());
        };
        let is_control = user == control::USER;
        let connections = Arc::clone(server.connections());
        let permit = connections.try_acquire_owned().ok();
        if permit.is_none() && !is_control {
            let text = "sorry, too many clients already".to_owned();
            return socket.send(postgres::error("FATAL", "53300", text)).await;
        }
        // Control connections do not count towards the limit.
        let _permit = permit.filter(|_| !is_control);
        if !is_control {
            sleep(server.config().connect_cost).await;
        }
        let executor = Executor::new(Arc::clone(&server))
            .map_err(|error| agateport_wire::Error::Postgres(error.to_string()))?;
        let mut session = Self {
            socket,
            server,
            is_control,
            reported: None,
            extended: Handler::default(),
            executor,
        };
        session.send_startup_messages().await?;
        session.serve().await
    }

    async fn send_startup_messages(&mut self) -> Result<(), agateport_wire::Error> {
        let key = BackendKeyData::new(1, SecretKey::I32(0));
        for message in postgres::startup_messages(key) {
            self.socket.feed(message).await?;
        }
        self.send_ready().await
    }

    async fn serve(&mut self) -> Result<(), agateport_wire::Error> {
        while let Some(message) = self.socket.next().await {
            self.server.wait_while_hung().await;
            if self.is_control && self.server.fault().isolated {
                return Ok(());
            }
            match message? {
                Frontend::Terminate(_) => return Ok(()),
                Frontend::Query(query) => {
                    self.handle_query(&query.query).await?;
                    self.send_ready().await?;
                }
                Frontend::Sync(_) => {
                    self.extended.recover();
                    self.send_ready().await?;
                }
                Frontend::Flush(_) => SinkExt::<Backend>::flush(&mut self.socket).await?,
                message => {
                    let answers = self.extended.handle(message, &mut self.executor).await;
                    for answer in answers {
                        self.socket.feed(answer).await?;
                    }
                }
            }
        }
        Ok(())
    }

    async fn handle_query(&mut self, sql: &str) -> Result<(), agateport_wire::Error> {
        let statements = super::command::split(sql);
        if statements.is_empty() {
            let empty = pgwire::messages::response::EmptyQueryResponse::new();
            self.socket.feed(Backend::EmptyQueryResponse(empty)).await?;
        }
        for statement in statements {
            match self.executor.run(&statement, Vec::new()).await {
                Ok(result) => {
                    if Command::parse(&statement) == Command::Discard {
                        self.extended = Handler::default();
                    }
                    for answer in result.messages(None) {
                        self.socket.feed(answer).await?;
                    }
                }
                Err(failure) => {
                    self.socket.feed(failure.into_response()).await?;
                    break;
                }
            }
        }
        Ok(())
    }

    /// Sends the log position, if it has changed, and `ReadyForQuery`.
    async fn send_ready(&mut self) -> Result<(), agateport_wire::Error> {
        // A server that hangs after executing a statement does not send the answer.
        self.server.wait_while_hung().await;
        let watermark = self.executor.take_watermark();
        if self.reported != Some(watermark) {
            let status = ParameterStatus::new(LOG_POSITION.to_owned(), watermark.to_string());
            self.socket.feed(Backend::ParameterStatus(status)).await?;
            self.reported = Some(watermark);
        }
        let ready = postgres::ready_for_query(self.executor.transaction());
        self.socket.send(ready).await
    }
}

/// Handles the startup of a connection and returns the user name, or `None` if the
/// client closes the connection or sends a cancel request.
async fn negotiate(socket: &mut Socket) -> Result<Option<String>, agateport_wire::Error> {
    while let Some(message) = socket.next().await {
        match message? {
            Frontend::SslNegotiation(SslNegotiationMetaMessage::None) => {
                socket.codec_mut().set_phase(Phase::Startup);
            }
            Frontend::SslNegotiation(_) => {
                socket
                    .send(Backend::SslResponse(SslResponse::Refuse))
                    .await?;
            }
            Frontend::Startup(startup) => {
                socket.codec_mut().set_phase(Phase::Ready);
                let user = startup.parameters.get("user").cloned();
                return Ok(Some(user.unwrap_or_default()));
            }
            _ => return Ok(None),
        }
    }
    Ok(None)
}
