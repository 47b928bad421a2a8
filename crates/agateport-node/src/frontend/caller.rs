//! Serves one caller from its first message to its last.

mod ending;

use super::local::Answer;
use super::own::{self, Reply};
use super::pipeline::Pipeline;
use super::priority::Asked;
use super::route::{self, Ask, Attempt, Begun, Start};
use super::startup::{self, Socket};
use super::state::Load;
use super::work::Work;
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::key::{self, Use};
use agateport_domain::request::statement::{Control, Kind};
use agateport_domain::request::{Completion, Reason, Request};
use agateport_domain::session::{Session, Transaction};
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::{Exchange, Link};
use agateport_wire::postgres::{self, Backend, Frontend, Server, WATERMARK};
use agateport_wire::secure::Stream;
use futures::{SinkExt, StreamExt};
use pgwire::messages::startup::ParameterStatus;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Serves one caller until it goes or the node ends.
pub async fn serve<P>(node: Arc<Node<P>>, stream: TcpStream)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = node.stopping.clone();
    tokio::select! {
        result = converse(node, stream) => if let Err(error) = result {
            tracing::debug!(%error, "a caller's connection ended");
        },
        () = stopping.cancelled() => {}
    }
}

async fn converse<P>(node: Arc<Node<P>>, stream: TcpStream) -> Result<(), Error>
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
        asked: Asked {
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

/// One caller's connection.
pub struct Caller<P: Policy + Send + Sync + 'static> {
    pub(super) node: Arc<Node<P>>,
    socket: Socket,
    id: SessionId,
    secret: i32,
    cancel: Arc<Notify>,
    pub(super) group: GroupId,
    asked: Asked,
    pipeline: Pipeline,
    transaction: Transaction,
    /// Link of the open transaction; a failed transaction has none if its
    /// upstream is lost.
    link: Option<Link>,
}

/// An answer on its way to the caller.
struct Carriage {
    link: Link,
    request: Request,
    work: Work,
    first: Option<Frame>,
    key: Option<Use>,
    is_inside_transaction: bool,
    _load: Option<Load>,
}

impl Carriage {
    async fn next(&mut self) -> Result<Frame, Error> {
        match self.first.take() {
            Some(frame) => Ok(frame),
            None => self.link.receive().await,
        }
    }

    /// Drops all but the batch.
    fn into_work(self) -> Work {
        self.work
    }
}

impl<P: Policy + Send + Sync + 'static> Caller<P> {
    async fn run(&mut self) -> Result<(), Error> {
        loop {
            let limit = self.node.config.idle_in_transaction;
            let message = tokio::select! {
                // What the caller has sent already goes first.
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
            if let Some(work) = self.pipeline.push(message) {
                self.work(work).await?;
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.link.is_none()
    }

    /// Runs `action` on the caller's session.
    pub(super) fn session<R>(&self, action: impl FnOnce(&mut Session) -> R) -> Option<R> {
        self.node.sessions.update(&self.id, action)
    }

    async fn work(&mut self, work: Work) -> Result<(), Error> {
        if work.statement.kind == Kind::Copy {
            let text = "COPY is not supported; not run".to_owned();
            return self
                .fail(&work, postgres::error("ERROR", "0A000", text))
                .await;
        }
        if self.link.is_none() && self.transaction == Transaction::Failed {
            return self.after_loss(work).await;
        }
        if let Some(setting) = own::setting(&work) {
            let reply = own::answer(self, &work, &setting).await;
            return match reply {
                Reply::Answer(answer) => self.reply(&work, &answer).await,
                Reply::Error(error) => self.fail(&work, error).await,
                Reply::Priority(priority) => {
                    self.asked.session = priority;
                    self.reply(&work, &Answer::Command("SET")).await
                }
                Reply::Resolve(name) => self.begin(work, Some(Use::Resolve(name))).await,
            };
        }
        if self.link.is_none() && work.is_empty() {
            return self.socket.send(postgres::ready(Transaction::Idle)).await;
        }
        let key = self.session(|session| work.key(session.key())).flatten();
        if let Some(Use::Record(key)) = &key {
            let may_run = work.may_have_key() && self.link.is_none() && key::is_valid(&key.name);
            if !may_run {
                return self.refuse(&work, &Reason::KeyMisplaced.into()).await;
            }
        }
        match self.link.take() {
            Some(link) => self.go_on(link, work).await,
            None => self.begin(work, key).await,
        }
    }

    /// Answers in a transaction whose upstream is lost, until its rollback.
    async fn after_loss(&mut self, work: Work) -> Result<(), Error> {
        if work.ends_transaction() {
            self.set_transaction(Transaction::Idle);
        }
        if work.ends_transaction() || work.only_describes_end() {
            return self.reply(&work, &Answer::Command("ROLLBACK")).await;
        }
        if work.is_empty() {
            return self.socket.send(postgres::ready(self.transaction)).await;
        }
        let text = "the transaction is aborted; not run until ROLLBACK";
        let error = postgres::error("ERROR", "25P02", text.to_owned());
        self.fail(&work, error).await
    }

    async fn begin(&mut self, mut work: Work, key: Option<Use>) -> Result<(), Error> {
        let needs = self.session(|session| {
            let settings = session.settings().statements();
            if let Some(Use::Record(key)) = &key {
                session.use_key(key.name.clone());
            }
            (session.floor(&self.group), settings)
        });
        let (floor, settings) = needs.ok_or(Error::Ended)?;
        work.batch.settings = settings;
        self.asked.tag.clone_from(&work.statement.priority);
        let ask = Ask {
            group: &self.group,
            asked: &self.asked,
            floor,
            work: &work,
            key: key.clone(),
        };
        let started = tokio::select! {
            start = route::begin(&self.node, ask) => Some(start),
            // To drop the link makes the owner cancel at the upstream.
            () = self.cancel.notified() => None,
        };
        let Some(start) = started else {
            return self.cancelled(&work).await;
        };
        let Start {
            attempt,
            request,
            read_index,
            load,
        } = start;
        if let Some(place) = read_index {
            self.session(|session| session.observe(&self.group, place));
        }
        match attempt {
            Attempt::Begun(Begun { link, first }) => {
                let carriage = Carriage {
                    link,
                    request,
                    work,
                    first: Some(first),
                    key,
                    is_inside_transaction: false,
                    _load: load,
                };
                self.carry(carriage).await
            }
            Attempt::Refused(refusal) if request.is_not_run() => self.refuse(&work, &refusal).await,
            Attempt::Refused(_) | Attempt::Unknown => self.unknown(&work).await,
        }
    }

    async fn go_on(&mut self, mut link: Link, work: Work) -> Result<(), Error> {
        let mut request = Request::new(false);
        // A new request may always be sent.
        let _ = request.send();
        if link.send(Frame::Batch(work.batch.clone())).await.is_err() {
            return self.lose(&work).await;
        }
        let carriage = Carriage {
            link,
            request,
            work,
            first: None,
            key: None,
            is_inside_transaction: true,
            _load: None,
        };
        self.carry(carriage).await
    }

    async fn carry(&mut self, mut carriage: Carriage) -> Result<(), Error> {
        loop {
            let frame = tokio::select! {
                frame = carriage.next() => frame,
                // To drop the link makes the owner cancel at the upstream.
                () = self.cancel.notified() => {
                    let work = carriage.into_work();
                    return self.cancelled(&work).await;
                }
            };
            match frame {
                Ok(Frame::Answer(part)) => {
                    let part = carriage.work.complete(part)?;
                    self.socket.feed(part).await?;
                }
                Ok(Frame::Finished(completion)) => {
                    carriage.request.answer();
                    return self.finish(carriage, completion).await;
                }
                Ok(Frame::Settled(outcome)) => {
                    let answer = own::outcome(outcome);
                    return self.reply(&carriage.work, &answer).await;
                }
                Ok(_) | Err(_) => {
                    carriage.request.lose();
                    if carriage.is_inside_transaction {
                        return self.lose(&carriage.work).await;
                    }
                    return self.unknown(&carriage.work).await;
                }
            }
        }
    }

    async fn finish(&mut self, carriage: Carriage, completion: Completion) -> Result<(), Error> {
        let work = carriage.work;
        if work.batch.flush.is_some() {
            return self.pause(carriage.link, completion).await;
        }
        let before = self.transaction;
        self.transaction = completion.transaction;
        let raised = self.session(|session| {
            session.set_transaction(completion.transaction);
            note_settings(session, &work, before, completion);
            if carriage.key.is_some() {
                session.finish_key();
            }
            let before = session.watermark(&self.group);
            if let Some(seen) = completion.seen {
                session.observe(&self.group, seen);
            }
            let after = session.watermark(&self.group);
            after.filter(|_| before != after)
        });
        if completion.transaction != Transaction::Idle {
            self.link = Some(carriage.link);
        }
        if work.statement.discards() && !completion.is_failed {
            self.pipeline.forget();
        }
        if let Some(watermark) = raised.flatten() {
            let status = ParameterStatus::new(WATERMARK.to_owned(), watermark.to_string());
            self.socket.feed(Backend::ParameterStatus(status)).await?;
        }
        let ready = postgres::ready(completion.transaction);
        self.socket.send(ready).await
    }

    /// Goes on after a part of a pipeline, whose end is still to come.
    async fn pause(&mut self, link: Link, completion: Completion) -> Result<(), Error> {
        self.link = Some(link);
        if completion.is_failed {
            self.pipeline.skip();
        }
        SinkExt::<Backend>::flush(&mut self.socket).await
    }
}

/// Keeps what a batch did to the settings.
fn note_settings(session: &mut Session, work: &Work, before: Transaction, after: Completion) {
    let is_inside = after.transaction != Transaction::Idle;
    if !after.is_failed {
        for setting in &work.statement.settings {
            session.settings_mut().apply(setting, is_inside);
        }
    }
    if !is_inside {
        let commits = work.statement.controls.contains(&Control::Commit);
        let is_committed = commits && before == Transaction::Open && !after.is_failed;
        session.settings_mut().end(is_committed);
    }
}

impl<P: Policy + Send + Sync + 'static> Drop for Caller<P> {
    fn drop(&mut self) {
        self.node.sessions.remove(&self.id);
        self.node.frontend.cancels.remove(&self.secret);
    }
}
