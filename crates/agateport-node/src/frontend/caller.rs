//! Serves one caller from its first message to its last.

use super::pipeline::{Pipeline, Work};
use super::priority::Asked;
use super::route::{self, Attempt, Begun};
use super::startup::{self, Socket};
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::statement::Kind;
use agateport_domain::request::{Completion, Refusal};
use agateport_domain::session::{Session, Transaction};
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::{Exchange, Link};
use agateport_wire::postgres::{self, Backend, Frontend, Server, WATERMARK};
use agateport_wire::secure::Stream;
use futures::{SinkExt, StreamExt};
use pgwire::messages::startup::ParameterStatus;
use tokio::net::TcpStream;
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
    let mut session = Session::default();
    if let Some(watermark) = login.watermark {
        session.observe(&login.group, watermark);
    }
    let id = node.next_id();
    node.sessions.insert(id, session);
    let mut caller = Caller {
        node,
        socket,
        id,
        group: login.group,
        asked: Asked {
            user: Some(login.user),
            session: login.priority,
            tag: None,
        },
        pipeline: Pipeline::default(),
        link: None,
    };
    caller.run().await
}

/// One caller's connection.
struct Caller<P: Policy + Send + Sync + 'static> {
    node: Arc<Node<P>>,
    socket: Socket,
    id: SessionId,
    group: GroupId,
    asked: Asked,
    pipeline: Pipeline,
    /// Link of the open transaction.
    link: Option<Link>,
}

impl<P: Policy + Send + Sync + 'static> Caller<P> {
    async fn run(&mut self) -> Result<(), Error> {
        loop {
            let message = tokio::select! {
                // What the caller has sent already goes first.
                biased;
                message = self.socket.next() => message,
                () = self.node.leaving.cancelled(), if self.is_idle() => {
                    let text = "not run: the node is leaving".to_owned();
                    return self.socket.send(postgres::error("FATAL", "57P01", text)).await;
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

    async fn work(&mut self, work: Work) -> Result<(), Error> {
        if work.kind == Kind::Copy {
            let text = "COPY is not supported; not run".to_owned();
            return self.fail(postgres::error("ERROR", "0A000", text)).await;
        }
        match self.link.take() {
            Some(link) => self.go_on(link, work).await,
            None => self.begin(work).await,
        }
    }

    async fn begin(&mut self, work: Work) -> Result<(), Error> {
        let watermark = self
            .node
            .sessions
            .update(&self.id, |session| session.watermark(&self.group))
            .flatten();
        self.asked.tag.clone_from(&work.priority);
        match route::begin(&self.node, &self.group, &self.asked, watermark, &work).await {
            Attempt::Begun(Begun { link, first }) => self.carry(link, work, Some(first)).await,
            Attempt::Refused(refusal) => self.refuse(&refusal).await,
            Attempt::Unknown => self.unknown().await,
        }
    }

    async fn go_on(&mut self, mut link: Link, work: Work) -> Result<(), Error> {
        if link.send(Frame::Batch(work.batch.clone())).await.is_err() {
            return self.unknown().await;
        }
        self.carry(link, work, None).await
    }

    async fn carry(
        &mut self,
        mut link: Link,
        mut work: Work,
        mut first: Option<Frame>,
    ) -> Result<(), Error> {
        loop {
            let frame = match first.take() {
                Some(frame) => Ok(frame),
                None => link.receive().await,
            };
            match frame {
                Ok(Frame::Answer(part)) => {
                    let part = work.complete(part)?;
                    self.socket.feed(part).await?;
                }
                Ok(Frame::Finished(completion)) => {
                    if completion.transaction != Transaction::Idle {
                        self.link = Some(link);
                    }
                    return self.finish(completion).await;
                }
                Ok(Frame::Refused(refusal)) => return self.refuse(&refusal).await,
                Ok(_) | Err(_) => return self.unknown().await,
            }
        }
    }

    async fn finish(&mut self, completion: Completion) -> Result<(), Error> {
        let raised = self.node.sessions.update(&self.id, |session| {
            session.set_transaction(completion.transaction);
            let before = session.watermark(&self.group);
            if let Some(seen) = completion.seen {
                session.observe(&self.group, seen);
            }
            let after = session.watermark(&self.group);
            after.filter(|_| before != after)
        });
        if let Some(watermark) = raised.flatten() {
            let status = ParameterStatus::new(WATERMARK.to_owned(), watermark.to_string());
            self.socket.feed(Backend::ParameterStatus(status)).await?;
        }
        let ready = postgres::ready(completion.transaction);
        self.socket.send(ready).await
    }

    async fn refuse(&mut self, refusal: &Refusal) -> Result<(), Error> {
        self.node.metrics.count("refused", refusal.reason.name());
        self.fail(postgres::refusal(refusal)).await
    }

    async fn unknown(&mut self) -> Result<(), Error> {
        self.node.metrics.count("unknown", "answer_lost");
        self.fail(postgres::unknown()).await
    }

    /// Ends a request with an error; no transaction is open after it.
    async fn fail(&mut self, error: Backend) -> Result<(), Error> {
        self.socket.feed(error).await?;
        let transaction = match self.link {
            Some(_) => Transaction::Failed,
            None => Transaction::Idle,
        };
        self.socket.send(postgres::ready(transaction)).await
    }
}

impl<P: Policy + Send + Sync + 'static> Drop for Caller<P> {
    fn drop(&mut self) {
        self.node.sessions.remove(&self.id);
    }
}
