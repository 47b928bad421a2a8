//! Notices that a caller closes its connection while its statement waits.

use tokio::io::Interest;
use tokio::net::TcpStream;

/// Notices that a caller closes its connection while its statement waits.
#[derive(Clone, Copy, Debug)]
pub struct Departure<'a> {
    /// Connection of the caller; none if the node does not watch it.
    stream: Option<&'a TcpStream>,
}

impl<'a> Departure<'a> {
    /// Creates the watch of a caller's connection, which sees nothing without one.
    #[must_use]
    pub fn new(stream: Option<&'a TcpStream>) -> Self {
        Self { stream }
    }

    /// Waits until the caller has closed its connection or the sending half of it.
    ///
    /// This reads nothing, so that what the caller has sent ahead stays in the system's
    /// buffer, and its close is still seen.
    pub async fn wait(&self) {
        if let Some(stream) = self.stream {
            // A connection is never registered for priority data, so this interest is met
            // only by the end of the input.
            match stream.ready(Interest::PRIORITY).await {
                Ok(ready) if !ready.is_read_closed() => {}
                Ok(_) | Err(_) => return,
            }
        }
        std::future::pending::<()>().await;
    }
}
