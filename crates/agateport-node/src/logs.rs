//! Logging as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Log filter if the environment variable `AGATEPORT_LOG` is unset or invalid.
const DEFAULT_FILTER: &str = "info";

/// Installs the global log subscriber.
pub fn init() {
    let filter = EnvFilter::try_from_env("AGATEPORT_LOG");
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER)))
        .with_writer(std::io::stderr)
        .init();
}
