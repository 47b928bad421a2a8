//! The kinds of work that a session does.

use super::{Cause, Place, REMEMBERED, Result, Session, Table};
use crate::outcome::Outcome;
use crate::plan::{Arrival, Kind};
use crate::record::{ItemId, Told};
use tokio_postgres::types::Type;
use tokio_postgres::{Client, Error};

/// Tries of a keyed write whose outcome is unknown.
const KEYED_TRIES: u32 = 4;

/// Inserts into the table with a read rule.
const INSERT_STOCK: &str = "INSERT INTO stock (item, holder) VALUES ($1, 'counter')";

/// Inserts into the table without a read rule.
const INSERT_SALE: &str = "INSERT INTO sale (item, holder) VALUES ($1, 'counter')";

impl Result {
    fn new<T>(result: &std::result::Result<T, Error>) -> Self {
        let reason = result.as_ref().err().map(|error| {
            let report = error.as_db_error();
            report.map_or_else(
                || "connection broken".to_owned(),
                |one| one.message().to_owned(),
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
    /// Does the work of one arrival over the connection that it has.
    pub(super) async fn work(&mut self, arrival: &Arrival) -> Result {
        match arrival.kind {
            Kind::Read => self.read(Table::Sale, arrival.choice).await,
            Kind::BoundedRead => self.read(Table::Stock, arrival.choice).await,
            kind => self.write(kind).await,
        }
    }

    async fn write(&mut self, kind: Kind) -> Result {
        let item = self.fleet.record.next();
        let told = |outcome| Told {
            group: self.group,
            kind,
            outcome,
        };
        // A write that is given up half-way may have run.
        self.fleet.record.tell(item, told(Outcome::Broken));
        let result = match kind {
            Kind::KeyedWrite => self.keyed_write(item).await,
            Kind::Transaction => self.transaction(item).await,
            _ => self.plain_write(item).await,
        };
        let told = Told {
            group: self.group,
            kind,
            outcome: result.outcome,
        };
        self.fleet.record.tell(item, told);
        if result.is_done() {
            self.wrote(Table::Stock, item);
            if kind == Kind::Transaction {
                self.wrote(Table::Sale, item);
            }
        }
        result
    }

    fn wrote(&mut self, table: Table, item: ItemId) {
        let group = self.group;
        self.fleet.remember(Place { group, table }, item);
        self.require(table, item, Cause::Written);
    }

    fn require(&mut self, table: Table, item: ItemId, cause: Cause) {
        self.required.entry((table, item)).or_insert(cause);
        if self.required.len() > 2 * REMEMBERED {
            self.required.pop_first();
        }
    }

    async fn plain_write(&mut self, item: ItemId) -> Result {
        match &self.client {
            Some(client) => Result::new(&insert(client, INSERT_STOCK, item).await),
            None => unreachable(),
        }
    }

    /// Writes with a key; sends it again while the outcome is unknown.
    async fn keyed_write(&mut self, item: ItemId) -> Result {
        let sql = format!(
            "/* key='load-{item}' */ INSERT INTO stock (item, holder) VALUES ({item}, 'counter')"
        );
        let mut last: Option<Result> = None;
        for _ in 0..KEYED_TRIES {
            if !self.reconnect().await {
                break;
            }
            let Some(client) = &self.client else {
                break;
            };
            let result = Result::new(&client.batch_execute(&sql).await);
            let was_uncertain = last.as_ref().is_some_and(|one| one.outcome.is_uncertain());
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
            // "Not run" is said of this try only: an earlier one may have run.
        }
        last.unwrap_or_else(unreachable)
    }

    async fn transaction(&mut self, item: ItemId) -> Result {
        let Some(client) = &self.client else {
            return unreachable();
        };
        let result = run_transaction(client, item).await;
        if result.is_err() && client.batch_execute("ROLLBACK").await.is_err() {
            self.client = None;
        }
        Result::new(&result)
    }

    /// Reads an item that the session must see, or one that it may see.
    async fn read(&mut self, table: Table, choice: u64) -> Result {
        let item = self.choose(table, choice).unwrap_or_default();
        let Some(client) = &self.client else {
            return unreachable();
        };
        let sql = match table {
            Table::Stock => "SELECT item FROM stock WHERE item = $1",
            Table::Sale => "SELECT item FROM sale WHERE item = $1",
        };
        let rows = client.query_typed(sql, &[(&item, Type::INT8)]).await;
        let result = Result::new(&rows);
        match rows {
            Ok(rows) if rows.is_empty() => self.missed(table, item),
            Ok(_) => self.require(table, item, Cause::Read),
            Err(_) => {}
        }
        result
    }

    fn choose(&self, table: Table, choice: u64) -> Option<ItemId> {
        let group = self.group;
        let other = self.fleet.recall(Place { group, table }, choice >> 1);
        if choice & 1 == 0 && other.is_some() {
            return other;
        }
        let mut own = self.required.keys().rev().filter(|(one, _)| *one == table);
        own.next().map(|(_, item)| *item).or(other)
    }

    fn missed(&mut self, table: Table, item: ItemId) {
        let promise = match self.required.get(&(table, item)) {
            Some(Cause::Written) => "read-your-writes",
            Some(Cause::Read) => "monotonic reads",
            None => return,
        };
        let group = &self.fleet.groups[self.group];
        self.fleet
            .break_promise(format!("{promise}: item {item} of {table:?} in {group}"));
    }
}

async fn insert(client: &Client, sql: &str, item: ItemId) -> std::result::Result<(), Error> {
    client.query_typed(sql, &[(&item, Type::INT8)]).await?;
    Ok(())
}

async fn run_transaction(client: &Client, item: ItemId) -> std::result::Result<(), Error> {
    client.batch_execute("BEGIN").await?;
    insert(client, INSERT_STOCK, item).await?;
    insert(client, INSERT_SALE, item).await?;
    client.batch_execute("COMMIT").await
}

fn unreachable() -> Result {
    Result {
        outcome: Outcome::Unreachable,
        reason: Some("no node can be connected to".to_owned()),
    }
}
