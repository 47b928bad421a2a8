//! Ends a caller's request without an answer of an upstream: with a refusal, an error
//! or an answer of the frontend itself.

use super::Caller;
use crate::frontend::local::{self, Answer};
use crate::frontend::query::Query;
use agateport_domain::owner::Policy;
use agateport_domain::request::Refusal;
use agateport_domain::session::Transaction;
use agateport_wire::Error;
use agateport_wire::postgres::{self, Backend};
use futures::SinkExt;

impl<P: Policy + Send + Sync + 'static> Caller<P> {
    pub(super) async fn refuse(&mut self, query: &Query, refusal: &Refusal) -> Result<(), Error> {
        self.node.metrics.count("refused", refusal.reason.name());
        self.fail(query, postgres::refusal(refusal)).await
    }

    pub(super) async fn report_unknown(&mut self, query: &Query) -> Result<(), Error> {
        self.node.metrics.count("unknown", "answer_lost");
        self.set_transaction(Transaction::Idle);
        self.fail(query, postgres::unknown_outcome()).await
    }

    pub(super) async fn report_cancelled(&mut self, query: &Query) -> Result<(), Error> {
        self.node.metrics.count("cancel", "caller");
        if self.transaction != Transaction::Idle {
            return self.abort(query).await;
        }
        if !query.is_read() {
            return self.report_unknown(query).await;
        }
        let text = "canceling statement due to user request".to_owned();
        self.fail(query, postgres::error("ERROR", "57014", text))
            .await
    }

    /// Ends a transaction whose upstream is lost. The upstream rolls it back, unless the
    /// statement that was sent may have ended it; then the outcome is unknown.
    pub(super) async fn abort(&mut self, query: &Query) -> Result<(), Error> {
        let is_pipeline = self.transaction == Transaction::Idle;
        if is_pipeline || query.statement.may_end_transaction() {
            return self.report_unknown(query).await;
        }
        self.node.metrics.count("ended", "upstream_lost");
        self.set_transaction(Transaction::Failed);
        let text = "the upstream was lost, and the transaction is rolled back".to_owned();
        self.fail(query, postgres::error("ERROR", "08006", text))
            .await
    }

    pub(super) fn set_transaction(&mut self, transaction: Transaction) {
        self.transaction = transaction;
        self.session(|session| {
            session.set_transaction(transaction);
            session.settings_mut().end_transaction(false);
        });
    }

    /// Answers a query without an upstream.
    pub(super) async fn reply(&mut self, query: &Query, answer: &Answer) -> Result<(), Error> {
        for message in local::messages(query, answer) {
            self.socket.feed(message).await?;
        }
        self.end(query).await
    }

    /// Ends a request with an error, which also fails an open transaction.
    pub(super) async fn fail(&mut self, query: &Query, error: Backend) -> Result<(), Error> {
        self.socket.feed(error).await?;
        self.link = None;
        if self.transaction == Transaction::Open {
            self.set_transaction(Transaction::Failed);
        }
        if query.batch.flush.is_some() {
            self.pipeline.skip();
        }
        self.end(query).await
    }

    async fn end(&mut self, query: &Query) -> Result<(), Error> {
        if query.batch.flush.is_some() {
            return SinkExt::<Backend>::flush(&mut self.socket).await;
        }
        self.socket
            .send(postgres::ready_for_query(self.transaction))
            .await
    }
}
