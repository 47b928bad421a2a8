//! Values and prepared statements that a session keeps.

use super::{Session, Transaction};
use crate::context;
use crate::field::Word;
use crate::message::{Answer, Prepared, Request, State};
use crate::protocol::Protocol;
use crate::reply;

impl<W: Protocol> Session<W> {
    /// Keeps a prepared statement.
    pub(super) fn prepare(
        &mut self,
        request: &Request,
        name: &Word,
        prepared: &Prepared,
    ) -> Answer {
        let kept = self.context.prepare(name, prepared);
        if kept.is_ok() {
            let trace = self.runner.upstreams().trace();
            trace.record_definition(self.id, &self.database, request);
        }
        self.answer_kept(kept)
    }

    /// Answers a request to keep a value or prepared statement.
    pub(super) fn answer_kept(&mut self, kept: Result<(), context::Error>) -> Answer {
        let Err(error) = kept else {
            return self.done();
        };
        self.runner.metrics().count("context_limit", error.name());
        if error.is_temporary() && self.state() == State::Open {
            // The answer promises that nothing of the transaction is kept.
            self.roll_back();
            self.transaction = Transaction::Failed;
        }
        reply::unkept(error, self.state())
    }
}
