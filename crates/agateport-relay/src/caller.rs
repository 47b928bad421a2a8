//! A caller's session, from opening to closing.

mod ending;
mod identity;
mod keeping;

use crate::clock::uptime;
use crate::connection::Connection;
use crate::context::Context;
use crate::departure::Departure;
use crate::drain::Drain;
use crate::field::Word;
use crate::message::{Access, Answer, Code, Message, Outcome, Request, State, Verb};
use crate::protocol::Protocol;
use crate::reply;
use crate::statement::Runner;
use crate::transaction::Pinned;
use crate::work::Work;
use agateport_domain::prelude::*;
pub(crate) use identity::identify;
use identity::{Identity, Target};
use std::io;
use tokio::sync::watch;

/// Maximum time that opening a session waits for the first configuration after the
/// node's start; callers give up after two seconds.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Timeout of a rollback in the background.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Transaction of a session.
#[derive(Debug)]
enum Transaction<W: Protocol> {
    /// No transaction is open.
    None,
    /// The caller began a transaction, which is not yet open at a server.
    Begun {
        is_read_only: bool,
        target: Target,
        /// When BEGIN was received, on the clock of leases.
        arrived: Uptime,
        /// The same, on the clock of timeouts.
        started: Instant,
    },
    /// The transaction is open at a server.
    Open {
        pinned: Box<Pinned<W>>,
        target: Target,
        /// When BEGIN was received, on the clock of leases.
        arrived: Uptime,
    },
    /// The transaction was rolled back; the caller has yet to end it.
    Failed,
}

/// Event that a session waits for.
enum Event {
    Message(Message),
    /// The transaction exceeded the idle timeout.
    IdleTimeout,
    /// The caller closed the connection or sent a malformed message.
    End,
    /// The node closes the session, which waits for no answer.
    Close,
}

/// A caller's session.
#[derive(Debug)]
pub struct Session<W: Protocol> {
    /// Number of the session, unique on this node.
    id: SessionId,
    connection: Connection<W>,
    runner: Runner<W>,
    database: DatabaseId,
    identity: Identity,
    context: Context,
    /// Watermark of the session's last acknowledged write; none before the first.
    last_write: Option<Watermark>,
    transaction: Transaction<W>,
    shutdown: watch::Receiver<bool>,
    drain: Drain,
    /// Whether the caller has yet to send its first statement.
    is_new: bool,
}

impl<W: Protocol> Session<W> {
    /// Creates the session of a caller that has just connected.
    #[must_use]
    pub fn new(
        connection: Connection<W>,
        runner: Runner<W>,
        shutdown: watch::Receiver<bool>,
        drain: Drain,
    ) -> Self {
        let context = Context::new(runner.upstreams().context_usage().clone());
        Self {
            id: runner.upstreams().trace().next_session(),
            connection,
            runner,
            database: "".into(),
            identity: Identity::default(),
            context,
            last_write: None,
            transaction: Transaction::None,
            shutdown,
            drain,
            is_new: true,
        }
    }

    /// Serves the caller until the session ends.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks.
    pub async fn run(mut self) -> io::Result<()> {
        let cut = self.drain.cut.clone();
        let message = tokio::select! {
            biased;
            message = self.connection.message() => message?,
            () = cut.cancelled() => return Ok(()),
        };
        let Some(Message::Open {
            database,
            credential,
        }) = message
        else {
            return Ok(());
        };
        self.database = database.into();
        self.identity = Identity::new(&credential);
        drop(credential);
        if !self.accept().await? {
            return Ok(());
        }
        let served = self.serve().await;
        self.roll_back();
        served
    }

    /// Accepts the session if its database has a route, and returns whether it has one.
    async fn accept(&mut self) -> io::Result<bool> {
        let upstreams = self.runner.upstreams().clone();
        let cut = self.drain.cut.clone();
        tokio::select! {
            biased;
            () = upstreams.wait_configured(CONFIGURATION_TIMEOUT) => {}
            () = cut.cancelled() => {}
        }
        if let Err(refusal) = self.target() {
            self.runner.report_refusal(&self.database, &refusal);
            W::encode_outcome(&refusal.outcome, &mut self.connection.output);
            self.connection.flush().await?;
            self.connection.close().await?;
            return Ok(false);
        }
        self.runner.metrics().count("session", "opened");
        W::encode_ready(State::Idle, None, &mut self.connection.output);
        self.connection.flush().await?;
        Ok(true)
    }

    async fn serve(&mut self) -> io::Result<()> {
        loop {
            let request = match self.next_event().await? {
                Event::Message(Message::Query(request)) => request,
                Event::IdleTimeout => {
                    self.runner.metrics().count("transaction", "idle");
                    self.roll_back();
                    self.transaction = Transaction::Failed;
                    continue;
                }
                Event::Close => return self.close().await,
                Event::Message(_) | Event::End => return Ok(()),
            };
            self.is_new = false;
            let started = Instant::now();
            let mut answer = self.answer(&request).await;
            answer.state = self.state();
            self.runner
                .report(&self.database, &request, &answer, started);
            self.connection.answer(answer).await?;
        }
    }

    /// Runs a statement and returns its answer.
    async fn handle(&mut self, request: &Request) -> Answer {
        if let Transaction::Failed = self.transaction {
            return self.handle_failed(request);
        }
        if let Some(refusal) = self.refuse_withdrawn(request) {
            return refusal;
        }
        match &request.verb {
            Verb::Set { name, value } => {
                let kept = self.context.set(name, value);
                self.answer_kept(kept)
            }
            Verb::Prepare { name, prepared } => self.prepare(request, name, prepared),
            Verb::Deallocate { name } if self.context.deallocate(name) => self.done(),
            Verb::Deallocate { .. } => reply::unprepared(self.state()),
            Verb::Begin { is_read_only } => self.begin(*is_read_only),
            Verb::Rollback => {
                self.roll_back();
                self.done()
            }
            Verb::Commit => self.commit(request).await,
            Verb::Read => self.run_statement(request, Access::Read).await,
            Verb::Write => self.run_statement(request, Access::Write).await,
            Verb::Execute { .. } => match self.context.prepared(request) {
                Some(prepared) => self.run_statement(request, prepared.access).await,
                None => reply::unprepared(self.state()),
            },
            Verb::Malformed(reason) => malformed(reason, self.state()),
        }
    }

    /// Handles a statement in a failed transaction: only its end is accepted.
    fn handle_failed(&mut self, request: &Request) -> Answer {
        match request.verb {
            Verb::Rollback => {
                self.transaction = Transaction::None;
                self.done()
            }
            Verb::Commit => {
                self.transaction = Transaction::None;
                reply::aborted("the transaction had failed")
            }
            _ => malformed("the transaction has failed", State::Failed),
        }
    }

    fn begin(&mut self, is_read_only: bool) -> Answer {
        if !matches!(self.transaction, Transaction::None) {
            return malformed("a transaction is open", self.state());
        }
        let target = match self.target() {
            Ok(target) => target,
            Err(refusal) => return *refusal,
        };
        self.transaction = Transaction::Begun {
            is_read_only,
            target,
            arrived: uptime(),
            started: Instant::now(),
        };
        self.done()
    }

    async fn run_statement(&mut self, request: &Request, access: Access) -> Answer {
        if let Transaction::None = self.transaction {
            return self.run_single(request, access).await;
        }
        if let Err(answer) = self.open(request).await {
            return answer;
        }
        // The transaction counts as failed unless its connection survives the statement.
        let Transaction::Open {
            pinned,
            target,
            arrived,
        } = std::mem::replace(&mut self.transaction, Transaction::Failed)
        else {
            return malformed("no transaction is open", State::Failed);
        };
        let work = self.work(&request.id, &target, arrived, Instant::now());
        let (pinned, answer) = self
            .runner
            .run_in_transaction(*pinned, &work, request, access)
            .await;
        let Some(pinned) = pinned else {
            return answer;
        };
        let pinned = Box::new(pinned);
        self.transaction = Transaction::Open {
            pinned,
            target,
            arrived,
        };
        if answer.state == State::Failed {
            self.roll_back();
            self.transaction = Transaction::Failed;
        }
        answer
    }

    async fn run_single(&mut self, request: &Request, access: Access) -> Answer {
        let target = match self.target() {
            Ok(target) => target,
            Err(refusal) => return *refusal,
        };
        if let Err(refusal) = self.take_operation(&target).await {
            return refusal;
        }
        let work = self.work(&request.id, &target, uptime(), Instant::now());
        let answer = self.runner.run_single(&work, request, access).await;
        if access == Access::Write {
            self.record_write(&answer);
        }
        answer
    }

    /// Opens the caller's transaction at a server if it is not open there yet.
    async fn open(&mut self, request: &Request) -> Result<(), Answer> {
        let Transaction::Begun {
            is_read_only,
            target,
            arrived,
            started,
        } = &self.transaction
        else {
            return Ok(());
        };
        let (target, arrived) = (target.clone(), *arrived);
        // The time limits exclude the caller's pause between BEGIN and the first
        // statement.
        let started = (*started).max(Instant::now());
        if let Err(refusal) = self.take_operation(&target).await {
            self.transaction = Transaction::Failed;
            return Err(refusal);
        }
        let work = self.work(&request.id, &target, arrived, started);
        let opened = self.runner.begin(&work, *is_read_only).await;
        match opened {
            Ok(pinned) => {
                let pinned = Box::new(pinned);
                self.transaction = Transaction::Open {
                    pinned,
                    target,
                    arrived,
                };
                Ok(())
            }
            Err(answer) => {
                self.transaction = Transaction::Failed;
                Err(answer)
            }
        }
    }

    async fn commit(&mut self, request: &Request) -> Answer {
        if let Transaction::None = self.transaction {
            return malformed("no transaction is open", State::Idle);
        }
        if let Err(answer) = self.open(request).await {
            self.transaction = Transaction::None;
            return answer;
        }
        let transaction = std::mem::replace(&mut self.transaction, Transaction::None);
        let Transaction::Open {
            pinned,
            target,
            arrived,
        } = transaction
        else {
            return malformed("no transaction is open", State::Idle);
        };
        let work = self.work(&request.id, &target, arrived, Instant::now());
        let answer = self.runner.commit(*pinned, &work, request).await;
        self.record_write(&answer);
        answer
    }

    /// Rolls an open transaction back in the background.
    fn roll_back(&mut self) {
        let transaction = std::mem::replace(&mut self.transaction, Transaction::None);
        let Transaction::Open { pinned, .. } = transaction else {
            return;
        };
        let runner = self.runner.clone();
        tokio::spawn(async move { runner.rollback(*pinned, ROLLBACK_TIMEOUT).await });
    }

    fn work<'a>(
        &'a self,
        id: &'a Word,
        target: &'a Target,
        arrived: Uptime,
        started: Instant,
    ) -> Work<'a> {
        Work {
            id,
            session: self.id,
            route: &target.route,
            caller: &target.caller,
            workspace: target.workspace.as_ref(),
            context: &self.context,
            last_write: self.last_write,
            arrived,
            started,
            departure: self.departure(),
        }
    }

    /// Returns the watch of the caller's connection.
    fn departure(&self) -> Departure<'_> {
        let is_watched = self.runner.upstreams().dequeues_disconnected();
        Departure::new(is_watched.then(|| self.connection.stream()))
    }

    /// Records the watermark of a successful write or commit, for later reads of the
    /// session.
    fn record_write(&mut self, answer: &Answer) {
        if matches!(answer.outcome, Outcome::Done(_)) {
            self.last_write = self.last_write.max(answer.watermark);
        }
    }

    fn state(&self) -> State {
        match self.transaction {
            Transaction::None => State::Idle,
            Transaction::Begun { .. } | Transaction::Open { .. } => State::Open,
            Transaction::Failed => State::Failed,
        }
    }

    fn done(&self) -> Answer {
        Answer::local(Outcome::Done(None), self.state())
    }
}

fn malformed(text: &str, state: State) -> Answer {
    Answer::local(Outcome::error(Code::Malformed, text), state)
}
