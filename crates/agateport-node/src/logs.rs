//! Logs as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Level of logs when the environment variable `AGATEPORT_LOG` isn't set.
const DEFAULT_FILTER: &str = "info";

/// Starts logging.
pub fn start() {
    let filter = EnvFilter::try_from_env("AGATEPORT_LOG");
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER)))
        .with_writer(std::io::stderr)
        .init();
}
