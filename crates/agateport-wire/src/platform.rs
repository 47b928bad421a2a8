//! Client of the platform's table service, object store and list of VMs, over HTTP.

use agateport_domain::bundle::Revision;
use agateport_domain::platform::Limiter;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of a request to the platform.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the row that contains the revision of the bundle in force.
pub const ACTIVE_BUNDLE: &str = "bundle";

/// Returns the key of the row that records the bundle put in force by one version
/// of the [`ACTIVE_BUNDLE`] row.
#[must_use]
pub fn history_key(version: RowVersion) -> String {
    format!("bundle-history/{version}")
}

/// Returns the key of the object that contains a signed bundle.
#[must_use]
pub fn object_key(revision: &Revision) -> String {
    format!("bundle/{}", revision.digest)
}

/// Version of a row; zero means that the row does not exist.
pub type RowVersion = u64;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Version, incremented at each change.
    pub version: RowVersion,
    /// Value of the row.
    pub value: String,
}

/// Change of one row, as part of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operation {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have for the transaction to commit.
    pub expected: RowVersion,
    /// New value of the row.
    pub value: String,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address at which its node accepts connections of peers.
    pub address: SocketAddr,
    /// Whether the VM is about to be removed.
    #[serde(default)]
    pub is_leaving: bool,
}

/// An error of a request to the platform.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No valid response was received, so a change may have been applied or not.
    #[error("no response from the platform")]
    NoAnswer(#[from] reqwest::Error),
    /// A row does not have the expected version.
    #[error("version conflict: a row was changed concurrently")]
    Conflict,
    /// The request was not sent, so it has no effect.
    #[error("the request was not sent to the platform")]
    NotSent(#[from] agateport_domain::platform::Error),
    /// The platform responded with an error status.
    #[error("the platform responded with status {0}")]
    Status(StatusCode),
}

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    base: String,
    client: Client,
    limiter: Arc<Mutex<Limiter>>,
}

impl Platform {
    /// Creates a client of the platform at `address`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the HTTP client cannot be created.
    pub fn new(address: SocketAddr) -> Result<Self, Error> {
        let random = Pcg64Mcg::from_rng(&mut rand::rng());
        let client = Client::builder().timeout(TIMEOUT).no_proxy().build()?;
        Ok(Self {
            base: format!("http://{address}"),
            client,
            limiter: Arc::new(Mutex::new(Limiter::new(random, Instant::now()))),
        })
    }

    /// Reads a row. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Error`] if the request fails.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, Error> {
        let response = self.get(&format!("table/{}", encode(key))).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(check_status(response)?.json().await?))
    }

    /// Applies all operations, or none if a row does not have its expected version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if a row has another version. After any error but this
    /// and [`Error::NotSent`], the operations may have been applied or not.
    pub async fn commit(&self, operations: &[Operation]) -> Result<(), Error> {
        let url = format!("{}/transaction", self.base);
        let request = self.client.post(url).json(operations);
        check_status(self.send(request).await?)?;
        Ok(())
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Error`] if the request fails.
    pub async fn object(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let response = self.get(&format!("object/{}", encode(key))).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(check_status(response)?.bytes().await?.to_vec()))
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// [`Error`] if the request fails.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let url = format!("{}/object/{}", self.base, encode(key));
        let request = self.client.put(url).body(bytes);
        check_status(self.send(request).await?)?;
        Ok(())
    }

    /// Reads the list of VMs, which may be out of date.
    ///
    /// # Errors
    ///
    /// [`Error`] if the request fails.
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        Ok(check_status(self.get("vms").await?)?.json().await?)
    }

    async fn get(&self, path: &str) -> Result<Response, Error> {
        let url = format!("{}/{path}", self.base);
        self.send(self.client.get(url)).await
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, Error> {
        self.limiter().admit(Instant::now())?;
        let result = request.send().await;
        let is_answered = result
            .as_ref()
            .is_ok_and(|response| !response.status().is_server_error());
        let mut limiter = self.limiter();
        if is_answered {
            limiter.record_success();
        } else {
            limiter.record_failure(Instant::now());
        }
        Ok(result?)
    }

    fn limiter(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn check_status(response: Response) -> Result<Response, Error> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::CONFLICT => Err(Error::Conflict),
        status => Err(Error::Status(status)),
    }
}

/// Encodes a key as a part of a path. Keys hold names of groups, which may be any text.
fn encode(key: &str) -> String {
    let mut path = String::new();
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                path.push(char::from(byte));
            }
            // Writing to a string cannot fail.
            _ => drop(write!(path, "%{byte:02X}")),
        }
    }
    path
}
