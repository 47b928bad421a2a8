//! QUIC connections between nodes, with mutual TLS.

use crate::Error;
use crate::link::Remote;
use crate::tls::Identity;
use agateport_domain::id::NodeId;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::server::WebPkiClientVerifier;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// ALPN protocol name in the TLS handshake.
const PROTOCOL: &[u8] = b"agateport/1";

/// Time without packets after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MILLISECONDS: u32 = 3_000;

/// Interval of keep-alive packets.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of streams that a peer may have open at once.
const MAX_STREAMS: u32 = 65_536;

/// The socket of a node for connections with its peers.
#[derive(Clone, Debug)]
pub struct Endpoint {
    endpoint: quinn::Endpoint,
}

/// A connection to one peer.
#[derive(Clone, Debug)]
pub struct Connection {
    connection: quinn::Connection,
}

impl Endpoint {
    /// Binds the socket to `address`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the address cannot be bound or the identity is invalid.
    pub fn bind(address: SocketAddr, identity: Identity) -> Result<Self, Error> {
        let (server, client) = configs(identity)?;
        let mut endpoint = quinn::Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint })
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// [`Error`] if the operating system does not return it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Connects to a peer, whose certificate must be valid for `name`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the peer is unreachable or its certificate is not valid.
    pub async fn connect(&self, name: &str, address: SocketAddr) -> Result<Connection, Error> {
        let unreachable = |source| Error::Unreachable {
            peer: name.to_owned(),
            source,
        };
        let connecting = self
            .endpoint
            .connect(address, name)
            .map_err(|error| unreachable(io::Error::other(error)))?;
        let connection = connecting
            .await
            .map_err(|error| unreachable(error.into()))?;
        Ok(Connection { connection })
    }

    /// Waits for a peer to connect. Returns `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<quinn::Incoming> {
        self.endpoint.accept().await
    }

    /// Closes all connections and waits until the peers are notified.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
        self.endpoint.wait_idle().await;
    }
}

impl Connection {
    /// Completes the handshake of a peer that connected. Returns the name in the
    /// peer's certificate, and the connection.
    ///
    /// # Errors
    ///
    /// [`Error`] if its certificate is not signed by a trusted authority or
    /// contains no node name.
    pub async fn handshake(incoming: quinn::Incoming) -> Result<(NodeId, Self), Error> {
        let connection = incoming.await.map_err(io::Error::from)?;
        let name = node_name(&connection).ok_or(Error::Unnamed(connection.remote_address()))?;
        Ok((name, Self { connection }))
    }

    /// Opens a stream.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the connection is closed.
    pub async fn open(&self) -> Result<Remote, Error> {
        let (send, receive) =
            self.connection
                .open_bi()
                .await
                .map_err(|error| Error::Unreachable {
                    peer: self.connection.remote_address().to_string(),
                    source: error.into(),
                })?;
        Ok(Remote::new(send, receive))
    }

    /// Waits for the peer to open a stream.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is closed.
    pub async fn accept(&self) -> Result<Remote, Error> {
        let (send, receive) = self.connection.accept_bi().await.map_err(io::Error::from)?;
        Ok(Remote::new(send, receive))
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }
}

/// Returns the first DNS name in the peer's certificate.
fn node_name(connection: &quinn::Connection) -> Option<NodeId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let mut names = certificate.valid_dns_names();
    names.next().map(NodeId::from)
}

fn configs(identity: Identity) -> Result<(ServerConfig, ClientConfig), Error> {
    let provider = Arc::new(ring::default_provider());
    let authorities = Arc::new(identity.authorities);
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&authorities), provider.clone())
            .build()
            .map_err(|error| rustls::Error::General(error.to_string()))?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(authorities)
        .with_client_auth_cert(identity.chain, identity.key)?;
    client.alpn_protocols = vec![PROTOCOL.to_vec()];

    let transport = Arc::new(transport());
    let server = QuicServerConfig::try_from(server)
        .map_err(|error| rustls::Error::General(error.to_string()))?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(Arc::clone(&transport));
    let client = QuicClientConfig::try_from(client)
        .map_err(|error| rustls::Error::General(error.to_string()))?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    Ok((server, client))
}

fn transport() -> TransportConfig {
    let idle = IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MILLISECONDS));
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport
}
