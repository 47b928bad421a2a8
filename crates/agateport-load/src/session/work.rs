//! Statements and transactions that a session executes.

use super::{Completion, Guarantee, MAX_RECENT, Session, Table, TableKey};
use crate::history::{ItemId, Write};
use crate::outcome::Outcome;
use crate::plan::{Arrival, Kind};
use tokio_postgres::types::Type;
use tokio_postgres::{Client, Error};

/// Maximum number of attempts of a keyed write whose outcome is unknown.
const MAX_KEYED_ATTEMPTS: u32 = 4;

/// Insert into the table with a read rule.
const INSERT_STOCK: &str = "INSERT INTO stock (item, holder) VALUES ($1, 'counter')";

/// Insert into the table without a read rule.
const INSERT_SALE: &str = "INSERT INTO sale (item, holder) VALUES ($1, 'counter')";

impl Completion {
    fn new<T>(result: &Result<T, Error>) -> Self {
        let reason = result.as_ref().err().map(|error| {
            let report = error.as_db_error();
            report.map_or_else(
                || "connection broken".to_owned(),
                |report| report.message().to_owned(),
            )
        });
        Self {
            outcome: result.into(),
            reason,
        }
    }

    fn is_done(&self) -> bool {
        self.outcome == Outcome::Done
    }
}

impl Session {
    /// Executes one arrival over the current connection.
    pub(super) async fn work(&mut self, arrival: &Arrival) -> Completion {
        match arrival.kind {
            Kind::Read => self.read(Table::Sale, arrival.choice).await,
            Kind::BoundedRead => self.read(Table::Stock, arrival.choice).await,
            kind => self.write(kind).await,
        }
    }

    async fn write(&mut self, kind: Kind) -> Completion {
        let item = self.context.history.next_item();
        let write = |outcome| Write {
            group: self.group,
            kind,
            outcome,
        };
        // Recorded before the write is sent: a timeout drops this future, and the
        // write may have run.
        self.context.history.record(item, write(Outcome::Broken));
        let result = match kind {
            Kind::KeyedWrite => self.keyed_write(item).await,
            Kind::Transaction => self.transaction(item).await,
            _ => self.plain_write(item).await,
        };
        let write = Write {
            group: self.group,
            kind,
            outcome: result.outcome,
        };
        self.context.history.record(item, write);
        if result.is_done() {
            self.record_write(Table::Stock, item);
            if kind == Kind::Transaction {
                self.record_write(Table::Sale, item);
            }
        }
        result
    }

    fn record_write(&mut self, table: Table, item: ItemId) {
        let group = self.group;
        self.context.add_recent(TableKey { group, table }, item);
        self.require(table, item, Guarantee::ReadYourWrites);
    }

    fn require(&mut self, table: Table, item: ItemId, guarantee: Guarantee) {
        self.required.entry((table, item)).or_insert(guarantee);
        if self.required.len() > 2 * MAX_RECENT {
            self.required.pop_first();
        }
    }

    async fn plain_write(&mut self, item: ItemId) -> Completion {
        match &self.client {
            Some(client) => Completion::new(&insert(client, INSERT_STOCK, item).await),
            None => unreachable(),
        }
    }

    /// Writes with an idempotency key, and retries while the outcome is unknown.
    async fn keyed_write(&mut self, item: ItemId) -> Completion {
        let sql = format!(
            "/* key='load-{item}' */ INSERT INTO stock (item, holder) VALUES ({item}, 'counter')"
        );
        let mut last: Option<Completion> = None;
        for _ in 0..MAX_KEYED_ATTEMPTS {
            if !self.reconnect().await {
                break;
            }
            let Some(client) = &self.client else {
                break;
            };
            let result = Completion::new(&client.batch_execute(&sql).await);
            let was_uncertain = last
                .as_ref()
                .is_some_and(|completion| completion.outcome.is_uncertain());
            if result.outcome.is_uncertain() {
                if client.is_closed() {
                    self.client = None;
                }
                last = Some(result);
                continue;
            }
            if result.is_done() || !was_uncertain {
                return result;
            }
            // "Not run" holds for this attempt only: an earlier one may have run.
        }
        last.unwrap_or_else(unreachable)
    }

    async fn transaction(&mut self, item: ItemId) -> Completion {
        let Some(client) = &self.client else {
            return unreachable();
        };
        let result = run_transaction(client, item).await;
        if result.is_err() && client.batch_execute("ROLLBACK").await.is_err() {
            self.client = None;
        }
        Completion::new(&result)
    }

    /// Reads an item that the session is guaranteed to see, or another recent one.
    async fn read(&mut self, table: Table, choice: u64) -> Completion {
        let item = self.choose_item(table, choice).unwrap_or_default();
        let Some(client) = &self.client else {
            return unreachable();
        };
        let sql = match table {
            Table::Stock => "SELECT item FROM stock WHERE item = $1",
            Table::Sale => "SELECT item FROM sale WHERE item = $1",
        };
        let rows = client.query_typed(sql, &[(&item, Type::INT8)]).await;
        let result = Completion::new(&rows);
        match rows {
            Ok(rows) if rows.is_empty() => self.record_missing(table, item),
            Ok(_) => self.require(table, item, Guarantee::MonotonicReads),
            Err(_) => {}
        }
        result
    }

    fn choose_item(&self, table: Table, choice: u64) -> Option<ItemId> {
        let group = self.group;
        let recent = self
            .context
            .choose_recent(TableKey { group, table }, choice >> 1);
        if choice & 1 == 0 && recent.is_some() {
            return recent;
        }
        let mut required = self
            .required
            .keys()
            .rev()
            .filter(|(other, _)| *other == table);
        required.next().map(|(_, item)| *item).or(recent)
    }

    fn record_missing(&mut self, table: Table, item: ItemId) {
        let guarantee = match self.required.get(&(table, item)) {
            Some(Guarantee::ReadYourWrites) => "read-your-writes",
            Some(Guarantee::MonotonicReads) => "monotonic reads",
            None => return,
        };
        let group = &self.context.groups[self.group];
        self.context
            .record_violation(format!("{guarantee}: item {item} of {table:?} in {group}"));
    }
}

async fn insert(client: &Client, sql: &str, item: ItemId) -> Result<(), Error> {
    client.query_typed(sql, &[(&item, Type::INT8)]).await?;
    Ok(())
}

async fn run_transaction(client: &Client, item: ItemId) -> Result<(), Error> {
    client.batch_execute("BEGIN").await?;
    insert(client, INSERT_STOCK, item).await?;
    insert(client, INSERT_SALE, item).await?;
    client.batch_execute("COMMIT").await
}

fn unreachable() -> Completion {
    Completion {
        outcome: Outcome::Unreachable,
        reason: Some("no node can be connected to".to_owned()),
    }
}
