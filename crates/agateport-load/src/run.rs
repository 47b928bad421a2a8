//! Runs the callers, then checks what they were told.

use crate::caller::{self, Caller};
use crate::check;
use crate::cli::Config;
use crate::error::Error;
use crate::report::Report;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Instant;

/// Runs the callers, then checks what they were told.
///
/// # Errors
///
/// [`Error`] if no node can be used, or a promise was broken.
pub async fn run(config: Config) -> Result<(), Error> {
    prepare(&config).await?;
    let end = Instant::now() + config.time;
    let callers = (0..config.callers).map(|number| {
        let random = Pcg64Mcg::seed_from_u64(config.seed.wrapping_add(number.into()));
        tokio::spawn(Caller::new(&config, number, random).run(end))
    });
    let mut report = Report::new();
    let mut told = BTreeMap::new();
    for caller in futures::future::join_all(callers).await {
        let (rows, part) = caller.expect("a caller doesn't panic");
        told.extend(rows);
        report.add(part);
    }
    check::check(&config, &told, &mut report).await?;
    report.print(config.json);
    match report.broken() {
        0 => Ok(()),
        broken => Err(Error::Broken(broken)),
    }
}

async fn prepare(config: &Config) -> Result<(), Error> {
    let address = config.nodes[0];
    let failed = |source| Error::Node { address, source };
    let client = caller::connect(address, &config.group)
        .await
        .map_err(failed)?;
    let table = "CREATE TABLE IF NOT EXISTS stock (id BIGINT PRIMARY KEY, holder TEXT)";
    client.batch_execute(table).await.map_err(failed)
}
