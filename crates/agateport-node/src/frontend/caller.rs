//! Serves one caller's connection.

mod ending;

use super::local::Answer;
use super::pipeline::Pipeline;
use super::priority::Context;
use super::query::Query;
use super::route::{self, Attempt, Job, Outcome, Response};
use super::settings::{self, Reply};
use super::startup::{self, Socket};
use super::state::Load;
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::key::{self, Operation};
use agateport_domain::request::statement::{Control, Kind};
use agateport_domain::request::{Completion, Reason, Request};
use agateport_domain::session::{Session, Transaction};
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::{Exchange, Link};
use agateport_wire::postgres::{self, Backend, Frontend, Server, WATERMARK};
use agateport_wire::stream::Stream;
use futures::{SinkExt, StreamExt};
use pgwire::messages::startup::ParameterStatus;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Serves one caller until it disconnects or the node stops.
pub async fn serve<P>(node: Arc<Node<P>>, stream: TcpStream)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = node.stopping.clone();
    tokio::select! {
        result = handle(node, stream) => if let Err(error) = result {
            tracing::debug!(%error, "the connection of a caller failed");
        },
        () = stopping.cancelled() => {}
    }
}

async fn handle<P>(node: Arc<Node<P>>, stream: TcpStream) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    stream.set_nodelay(true)?;
    let mut socket = Framed::new(Stream::Plain(stream), Server::default());
    let Some(login) = startup::negotiate(&node, &mut socket).await? else {
        return Ok(());
    };
    let mut session = Session::new(Instant::now());
    if let Some(watermark) = login.watermark {
        session.observe(&login.group, watermark);
    }
    let id = node.next_id();
    node.sessions.insert(id, session);
    let cancel = Arc::new(Notify::new());
    node.frontend
        .cancels
        .insert(login.secret, Arc::clone(&cancel));
    let mut caller = Caller {
        node,
        socket,
        id,
        secret: login.secret,
        cancel,
        group: login.group,
        context: Context {
            user: Some(login.user),
            session: login.priority,
            tag: None,
        },
        pipeline: Pipeline::default(),
        transaction: Transaction::Idle,
        link: None,
    };
    caller.run().await
}

/// The connection and the state of one caller.
pub struct Caller<P: Policy + Send + Sync + 'static> {
    pub(super) node: Arc<Node<P>>,
    socket: Socket,
    id: SessionId,
    secret: i32,
    cancel: Arc<Notify>,
    pub(super) group: GroupId,
    context: Context,
    pipeline: Pipeline,
    transaction: Transaction,
    /// Link to the owner while a transaction or pipeline is open; `None` for a failed
    /// transaction whose upstream is lost.
    link: Option<Link>,
}

/// The transfer of an answer from an owner to the caller.
struct Transfer {
    link: Link,
    request: Request,
    query: Query,
    first: Option<Frame>,
    key: Option<Operation>,
    is_inside_transaction: bool,
    _load: Option<Load>,
}

impl Transfer {
    async fn next(&mut self) -> Result<Frame, Error> {
        match self.first.take() {
            Some(frame) => Ok(frame),
            None => self.link.receive().await,
        }
    }

    /// Drops everything but the query, including the link to the owner.
    fn into_query(self) -> Query {
        self.query
    }
}

impl<P: Policy + Send + Sync + 'static> Caller<P> {
    async fn run(&mut self) -> Result<(), Error> {
        loop {
            let limit = self.node.config.idle_in_transaction;
            let message = tokio::select! {
                // Messages that have already arrived take precedence over draining and the
                // idle limit.
                biased;
                message = self.socket.next() => message,
                () = self.node.leaving.cancelled(), if self.is_idle() => {
                    let text = "not run: the node is leaving".to_owned();
                    return self.socket.send(postgres::error("FATAL", "57P01", text)).await;
                }
                () = sleep(limit), if self.link.is_some() => {
                    self.node.metrics.count("ended", "idle_in_transaction");
                    let text = "the transaction was idle for too long".to_owned();
                    return self.socket.send(postgres::error("FATAL", "25P03", text)).await;
                }
            };
            let Some(message) = message else {
                return Ok(());
            };
            let message = message?;
            if matches!(message, Frontend::Terminate(_)) {
                return Ok(());
            }
            if let Some(query) = self.pipeline.push(message) {
                self.dispatch(query).await?;
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.link.is_none()
    }

    /// Runs `action` on the caller's session, if it exists.
    pub(super) fn session<R>(&self, action: impl FnOnce(&mut Session) -> R) -> Option<R> {
        self.node.sessions.update(&self.id, action)
    }

    async fn dispatch(&mut self, query: Query) -> Result<(), Error> {
        if query.statement.kind == Kind::Copy {
            let text = "COPY is not supported; not run".to_owned();
            return self
                .fail(&query, postgres::error("ERROR", "0A000", text))
                .await;
        }
        if self.link.is_none() && self.transaction == Transaction::Failed {
            return self.answer_aborted(query).await;
        }
        if let Some(setting) = settings::requested(&query) {
            let reply = settings::answer(self, &query, &setting).await;
            return match reply {
                Reply::Answer(answer) => self.reply(&query, &answer).await,
                Reply::Error(error) => self.fail(&query, error).await,
                Reply::Priority(priority) => {
                    self.context.session = priority;
                    self.reply(&query, &Answer::Command("SET")).await
                }
                Reply::Resolve(name) => self.execute(query, Some(Operation::Resolve(name))).await,
            };
        }
        if self.link.is_none() && query.is_empty() {
            return self
                .socket
                .send(postgres::ready_for_query(Transaction::Idle))
                .await;
        }
        let key = self.session(|session| query.key(session.key())).flatten();
        if let Some(Operation::Record(key)) = &key {
            let may_run = query.may_have_key() && self.link.is_none() && key::is_valid(&key.name);
            if !may_run {
                return self.refuse(&query, &Reason::KeyMisplaced.into()).await;
            }
        }
        match self.link.take() {
            Some(link) => self.execute_in_transaction(link, query).await,
            None => self.execute(query, key).await,
        }
    }

    /// Answers a query in a transaction whose upstream is lost. Only the end of the
    /// transaction succeeds.
    async fn answer_aborted(&mut self, query: Query) -> Result<(), Error> {
        if query.ends_transaction() {
            self.set_transaction(Transaction::Idle);
        }
        if query.ends_transaction() || query.only_describes_end() {
            return self.reply(&query, &Answer::Command("ROLLBACK")).await;
        }
        if query.is_empty() {
            return self
                .socket
                .send(postgres::ready_for_query(self.transaction))
                .await;
        }
        let text = "the transaction is aborted; not run until ROLLBACK";
        let error = postgres::error("ERROR", "25P02", text.to_owned());
        self.fail(&query, error).await
    }

    async fn execute(&mut self, mut query: Query, key: Option<Operation>) -> Result<(), Error> {
        let state = self.session(|session| {
            let settings = session.settings().statements();
            if let Some(Operation::Record(key)) = &key {
                session.use_key(key.name.clone());
            }
            (session.floor(&self.group), settings)
        });
        let (floor, settings) = state.ok_or(Error::Ended)?;
        query.batch.settings = settings;
        self.context.tag.clone_from(&query.statement.priority);
        let job = Job {
            group: &self.group,
            context: &self.context,
            floor,
            query: &query,
            key: key.clone(),
        };
        let outcome = tokio::select! {
            outcome = route::execute(&self.node, job) => Some(outcome),
            // Dropping the link makes the owner cancel the statement at the upstream.
            () = self.cancel.notified() => None,
        };
        let Some(outcome) = outcome else {
            return self.report_cancelled(&query).await;
        };
        let Outcome {
            attempt,
            request,
            read_index,
            load,
        } = outcome;
        if let Some(watermark) = read_index {
            self.session(|session| session.observe(&self.group, watermark));
        }
        match attempt {
            Attempt::Started(Response { link, first }) => {
                let transfer = Transfer {
                    link,
                    request,
                    query,
                    first: Some(first),
                    key,
                    is_inside_transaction: false,
                    _load: load,
                };
                self.transfer(transfer).await
            }
            Attempt::Refused(refusal) if request.is_not_run() => {
                self.refuse(&query, &refusal).await
            }
            Attempt::Refused(_) | Attempt::Unknown => self.report_unknown(&query).await,
        }
    }

    async fn execute_in_transaction(&mut self, mut link: Link, query: Query) -> Result<(), Error> {
        let mut request = Request::new(false);
        // A new request can always be sent.
        let _ = request.mark_sent();
        if link.send(Frame::Batch(query.batch.clone())).await.is_err() {
            return self.abort(&query).await;
        }
        let transfer = Transfer {
            link,
            request,
            query,
            first: None,
            key: None,
            is_inside_transaction: true,
            _load: None,
        };
        self.transfer(transfer).await
    }

    async fn transfer(&mut self, mut transfer: Transfer) -> Result<(), Error> {
        loop {
            let frame = tokio::select! {
                frame = transfer.next() => frame,
                // Dropping the link makes the owner cancel the statement at the upstream.
                () = self.cancel.notified() => {
                    let query = transfer.into_query();
                    return self.report_cancelled(&query).await;
                }
            };
            match frame {
                Ok(Frame::Answer(part)) => {
                    let part = transfer.query.complete(part)?;
                    self.socket.feed(part).await?;
                }
                Ok(Frame::Finished(completion)) => {
                    transfer.request.mark_answered();
                    return self.finish(transfer, completion).await;
                }
                Ok(Frame::Settled(outcome)) => {
                    let answer = settings::outcome(outcome);
                    return self.reply(&transfer.query, &answer).await;
                }
                Ok(_) | Err(_) => {
                    transfer.request.mark_unknown();
                    if transfer.is_inside_transaction {
                        return self.abort(&transfer.query).await;
                    }
                    return self.report_unknown(&transfer.query).await;
                }
            }
        }
    }

    async fn finish(&mut self, transfer: Transfer, completion: Completion) -> Result<(), Error> {
        let query = transfer.query;
        if query.batch.flush.is_some() {
            return self.finish_part(transfer.link, completion).await;
        }
        let previous = self.transaction;
        self.transaction = completion.transaction;
        let raised = self.session(|session| {
            session.set_transaction(completion.transaction);
            record_settings(session, &query, previous, completion);
            if transfer.key.is_some() {
                session.finish_key();
            }
            let before = session.watermark(&self.group);
            if let Some(watermark) = completion.watermark {
                session.observe(&self.group, watermark);
            }
            let after = session.watermark(&self.group);
            after.filter(|_| before != after)
        });
        if completion.transaction != Transaction::Idle {
            self.link = Some(transfer.link);
        }
        if query.statement.discards_session() && !completion.is_failed {
            self.pipeline.clear_statements();
        }
        if let Some(watermark) = raised.flatten() {
            let status = ParameterStatus::new(WATERMARK.to_owned(), watermark.to_string());
            self.socket.feed(Backend::ParameterStatus(status)).await?;
        }
        let ready = postgres::ready_for_query(completion.transaction);
        self.socket.send(ready).await
    }

    /// Finishes the part of a pipeline before a flush. The rest follows on the same link.
    async fn finish_part(&mut self, link: Link, completion: Completion) -> Result<(), Error> {
        self.link = Some(link);
        if completion.is_failed {
            self.pipeline.skip();
        }
        SinkExt::<Backend>::flush(&mut self.socket).await
    }
}

/// Applies a query's changes of settings to the session.
fn record_settings(session: &mut Session, query: &Query, before: Transaction, after: Completion) {
    let is_inside = after.transaction != Transaction::Idle;
    if !after.is_failed {
        for setting in &query.statement.settings {
            session.settings_mut().apply(setting, is_inside);
        }
    }
    if !is_inside {
        let commits = query.statement.controls.contains(&Control::Commit);
        let is_committed = commits && before == Transaction::Open && !after.is_failed;
        session.settings_mut().end_transaction(is_committed);
    }
}

impl<P: Policy + Send + Sync + 'static> Drop for Caller<P> {
    fn drop(&mut self) {
        self.node.sessions.remove(&self.id);
        self.node.frontend.cancels.remove(&self.secret);
    }
}
