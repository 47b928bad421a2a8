//! How a caller's request ends other than by an upstream's answer.

use super::Caller;
use crate::frontend::local::{self, Answer};
use crate::frontend::work::Work;
use agateport_domain::owner::Policy;
use agateport_domain::request::Refusal;
use agateport_domain::session::Transaction;
use agateport_wire::Error;
use agateport_wire::postgres::{self, Backend};
use futures::SinkExt;

impl<P: Policy + Send + Sync + 'static> Caller<P> {
    pub(super) async fn refuse(&mut self, work: &Work, refusal: &Refusal) -> Result<(), Error> {
        self.node.metrics.count("refused", refusal.reason.name());
        self.fail(work, postgres::refusal(refusal)).await
    }

    pub(super) async fn unknown(&mut self, work: &Work) -> Result<(), Error> {
        self.node.metrics.count("unknown", "answer_lost");
        self.set_transaction(Transaction::Idle);
        self.fail(work, postgres::unknown()).await
    }

    pub(super) async fn cancelled(&mut self, work: &Work) -> Result<(), Error> {
        self.node.metrics.count("cancel", "caller");
        if self.transaction != Transaction::Idle {
            return self.lose(work).await;
        }
        if !work.is_read() {
            return self.unknown(work).await;
        }
        let text = "canceling statement due to user request".to_owned();
        self.fail(work, postgres::error("ERROR", "57014", text))
            .await
    }

    /// Ends a transaction whose upstream is lost: it is rolled back, unless what
    /// was sent may have ended it.
    pub(super) async fn lose(&mut self, work: &Work) -> Result<(), Error> {
        let is_pipeline = self.transaction == Transaction::Idle;
        if is_pipeline || work.statement.may_end_transaction() {
            return self.unknown(work).await;
        }
        self.node.metrics.count("ended", "upstream_lost");
        self.set_transaction(Transaction::Failed);
        let text = "the upstream was lost, and the transaction is rolled back".to_owned();
        self.fail(work, postgres::error("ERROR", "08006", text))
            .await
    }

    pub(super) fn set_transaction(&mut self, transaction: Transaction) {
        self.transaction = transaction;
        self.session(|session| {
            session.set_transaction(transaction);
            session.settings_mut().end(false);
        });
    }

    /// Sends an answer of the frontend's own.
    pub(super) async fn reply(&mut self, work: &Work, answer: &Answer) -> Result<(), Error> {
        for message in local::messages(work, answer) {
            self.socket.feed(message).await?;
        }
        self.end(work).await
    }

    /// Ends a request with an error, and with it an open transaction.
    pub(super) async fn fail(&mut self, work: &Work, error: Backend) -> Result<(), Error> {
        self.socket.feed(error).await?;
        self.link = None;
        if self.transaction == Transaction::Open {
            self.set_transaction(Transaction::Failed);
        }
        if work.batch.flush.is_some() {
            self.pipeline.skip();
        }
        self.end(work).await
    }

    async fn end(&mut self, work: &Work) -> Result<(), Error> {
        if work.batch.flush.is_some() {
            return SinkExt::<Backend>::flush(&mut self.socket).await;
        }
        self.socket.send(postgres::ready(self.transaction)).await
    }
}
