//! Puts a signed bundle in force.

use crate::error::Error;
use crate::sign;
use agateport_domain::bundle::rollout::{Outcome, Response, RowVersion, Step};
use agateport_domain::bundle::{Revision, Rollout, Signed, Trust};
use agateport_wire::platform::{
    self, ACTIVE_BUNDLE, Operation, Platform, Row, history_key, object_key,
};
use agateport_wire::signed;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Delay before the row is read again.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Stores a signed bundle and puts it in force.
///
/// At least `threshold` of the operators whose public keys are in `operators`
/// must have signed the bundle. If `operators` is empty, the signatures are not
/// verified here.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read, too few operators have signed,
/// the platform does not respond, or another bundle of the same or a higher
/// version is in force.
pub async fn roll(
    path: &Path,
    platform: SocketAddr,
    operators: &[PathBuf],
    threshold: usize,
) -> Result<(), Error> {
    let signed = sign::load(path)?;
    let revision = if operators.is_empty() {
        sign::revision(&signed)?
    } else {
        let operators = sign::read_operators(operators)?;
        let trust = Trust::new(operators, &[], threshold)?;
        signed.verify(&trust)?.0
    };
    let platform = Platform::new(platform)?;
    match execute(&platform, signed, &revision).await? {
        Outcome::InForce => println!("version {} is in force", revision.version),
        Outcome::AlreadyInForce => println!("version {} was in force already", revision.version),
        Outcome::Superseded(other) => return Err(Error::Superseded(other.version)),
        Outcome::Unreadable => return Err(Error::Unreadable),
        Outcome::Unknown => return Err(Error::Unknown),
    }
    Ok(())
}

async fn execute(
    platform: &Platform,
    signed: Signed,
    revision: &Revision,
) -> Result<Outcome, Error> {
    let mut rollout = Rollout::new(revision.clone());
    let mut step = read(platform, &mut rollout).await?;
    if matches!(
        step,
        Step::Commit(_) | Step::Finish(Outcome::AlreadyInForce)
    ) {
        // The bundle must be stored before the row refers to it. A bundle that
        // is in force already is stored too: it may have an additional signature.
        store(platform, signed, revision).await?;
    }
    loop {
        step = match step {
            Step::Commit(expected) => {
                rollout.record_response(commit(platform, revision, expected).await)
            }
            Step::Finish(outcome) => return Ok(outcome),
            Step::Read => {
                sleep(READ_INTERVAL).await;
                read(platform, &mut rollout).await?
            }
        };
    }
}

async fn read(platform: &Platform, rollout: &mut Rollout) -> Result<Step, Error> {
    match active_row(platform).await {
        Ok(row) => Ok(rollout.record_row(row.map(|(row, revision)| (row.version, revision)))),
        Err(Error::Platform(_)) => Ok(rollout.record_read_failure()),
        Err(error) => Err(error),
    }
}

async fn commit(platform: &Platform, revision: &Revision, expected: RowVersion) -> Response {
    let operation = Operation {
        key: ACTIVE_BUNDLE.to_owned(),
        expected,
        value: revision.to_string(),
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let entry = Operation {
        key: history_key(expected + 1),
        expected: 0,
        value: format!("{revision} {}", now.unwrap_or_default().as_secs()),
    };
    match platform.commit(&[operation, entry]).await {
        Ok(()) => Response::Applied,
        Err(platform::Error::Conflict) => Response::Conflict,
        Err(_) => Response::Lost,
    }
}

/// Returns the row of the bundle in force, and the revision in it.
pub async fn active_row(platform: &Platform) -> Result<Option<(Row, Revision)>, Error> {
    let Some(row) = platform.row(ACTIVE_BUNDLE).await? else {
        return Ok(None);
    };
    let revision = row.value.parse()?;
    Ok(Some((row, revision)))
}

/// Stores the bundle, merged with the signatures of a copy stored before.
async fn store(platform: &Platform, mut signed: Signed, revision: &Revision) -> Result<(), Error> {
    let key = object_key(revision);
    if let Some(bytes) = platform.object(&key).await?
        && let Ok(stored) = signed::decode(&bytes)
    {
        signed.merge(&stored);
        if signed.signatures.len() == stored.signatures.len() {
            return Ok(());
        }
    }
    platform.put_object(&key, signed::encode(&signed)?).await?;
    Ok(())
}
