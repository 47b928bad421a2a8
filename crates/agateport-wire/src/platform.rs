//! The platform's table service, object store and list of VMs, over HTTP.

use agateport_domain::bundle::Revision;
use agateport_domain::platform::Limiter;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after which an answer of the platform is given up.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the row that tells the revision of the bundle in force.
pub const ACTIVE_BUNDLE: &str = "bundle";

/// Returns the key of the row that keeps what the row in force held at one of
/// its versions.
#[must_use]
pub fn history_key(version: RowVersion) -> String {
    format!("bundle-history/{version}")
}

/// Returns the key of the object that holds a signed bundle.
#[must_use]
pub fn object_key(revision: &Revision) -> String {
    format!("bundle/{}", revision.digest)
}

/// Version of a row; zero stands for a row that isn't there.
pub type RowVersion = u64;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Version, one higher at each change.
    pub version: RowVersion,
    /// Value as text.
    pub value: String,
}

/// One change of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operation {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have.
    pub expected: RowVersion,
    /// Value to set.
    pub value: String,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address of its node for peers.
    pub address: SocketAddr,
    /// Whether it is leaving.
    #[serde(default)]
    pub is_leaving: bool,
}

/// An answer that the platform did not give.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer came, so a change may have taken effect or not.
    #[error("the platform gave no answer")]
    NoAnswer(#[from] reqwest::Error),
    /// A row had another version than the one expected.
    #[error("a row has changed")]
    Conflict,
    /// The request wasn't sent, so it has no effect.
    #[error("the platform was not asked")]
    NotSent(#[from] agateport_domain::platform::Error),
    /// The platform answered that it can't.
    #[error("the platform answered with status {0}")]
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
    /// [`Error`] if the HTTP library can't start.
    pub fn new(address: SocketAddr) -> Result<Self, Error> {
        let random = Pcg64Mcg::from_rng(&mut rand::rng());
        let client = Client::builder().timeout(TIMEOUT).no_proxy().build()?;
        Ok(Self {
            base: format!("http://{address}"),
            client,
            limiter: Arc::new(Mutex::new(Limiter::new(random, Instant::now()))),
        })
    }

    /// Reads a row; none if it isn't there.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform doesn't answer.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, Error> {
        let response = self.get(&format!("table/{key}")).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(checked(response)?.json().await?))
    }

    /// Changes all rows, or none if a version isn't the one expected.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if a row has changed; any other error leaves it open
    /// whether the change took effect.
    pub async fn commit(&self, operations: &[Operation]) -> Result<(), Error> {
        let url = format!("{}/transaction", self.base);
        let request = self.client.post(url).json(operations);
        checked(self.send(request).await?)?;
        Ok(())
    }

    /// Reads an object; none if it isn't there.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform doesn't answer.
    pub async fn object(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let response = self.get(&format!("object/{key}")).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(checked(response)?.bytes().await?.to_vec()))
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform doesn't answer.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let url = format!("{}/object/{key}", self.base);
        let request = self.client.put(url).body(bytes);
        checked(self.send(request).await?)?;
        Ok(())
    }

    /// Reads the list of VMs, which lags behind.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform doesn't answer.
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        Ok(checked(self.get("vms").await?)?.json().await?)
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

fn checked(response: Response) -> Result<Response, Error> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::CONFLICT => Err(Error::Conflict),
        status => Err(Error::Status(status)),
    }
}
