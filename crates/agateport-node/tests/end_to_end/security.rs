//! Authentication of callers and peers, and messages from unauthenticated clients.

#![expect(
    clippy::unwrap_used,
    reason = "a failed request to the deployment fails the test"
)]

use crate::support::{Deployment, bundle, operator, put_in_force, spawn};
use agateport_domain::bundle::Signed;
use agateport_domain::owner::Rendezvous;
use agateport_node::config::CallerTls;
use agateport_node::node::Node;
use agateport_wire::peer::Endpoint;
use agateport_wire::postgres::scram;
use agateport_wire::tls::Identity;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_postgres::config::SslMode;
use tokio_postgres::{Config, NoTls};
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

/// The `SSLRequest` message of the PostgreSQL protocol.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// Starts a node whose bundle has one user, with TLS for callers if `has_tls`.
async fn start(has_tls: bool) -> Deployment {
    let mut deployment = Deployment::start(1, Duration::ZERO).await;
    if has_tls {
        let mut config = deployment.config(0);
        config.caller_tls = Some(CallerTls {
            certificate: config.tls.certificate.clone(),
            key: config.tls.key.clone(),
        });
        let running = Node::start(config, Rendezvous).await.unwrap();
        deployment.nodes[0] = running.addresses();
        deployment.tasks[0] = spawn(running);
    }
    let verifier = scram::verifier("secret", b"0123456789abcdef").unwrap();
    let user = format!("[[user]]\nname = \"counter\"\nverifier = \"{verifier}\"\n");
    let text = bundle(&deployment.servers).replace("version = 1\n", "version = 2\n") + &user;
    let signed = Signed::new(text, &operator());
    put_in_force(&deployment.platform, &signed, 2, 1).await;
    let url = format!("http://{}/status", deployment.nodes[0].admin);
    loop {
        let status: serde_json::Value = reqwest::get(&url).await.unwrap().json().await.unwrap();
        if status["bundle"] == 2 && status["primaries"]["ledger"].is_string() {
            return deployment;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

fn login(user: &str, password: &str) -> Config {
    let mut config = Config::new();
    config
        .user(user)
        .password(password)
        .dbname("ledger")
        .ssl_mode(SslMode::Disable);
    config
}

/// Logs in over a connection and runs a statement. Returns `served` or the error.
async fn outcome<S>(stream: S, config: Config) -> String
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Send + Unpin + 'static,
{
    let error = match config.connect_raw(stream, NoTls).await {
        Ok((client, connection)) => {
            tokio::spawn(connection);
            match client.simple_query("SELECT 1").await {
                Ok(_) => return "served".to_owned(),
                Err(error) => error,
            }
        }
        Err(error) => error,
    };
    let report = error.as_db_error();
    report.map_or(error.to_string(), |report| {
        format!("{} {}", report.code().code(), report.message())
    })
}

async fn plain(deployment: &Deployment) -> TcpStream {
    TcpStream::connect(deployment.nodes[0].callers)
        .await
        .unwrap()
}

async fn encrypted(deployment: &Deployment) -> TlsStream<TcpStream> {
    let mut stream = plain(deployment).await;
    stream.write_all(&SSL_REQUEST).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'S');
    let files = deployment.config(0).tls;
    let identity = Identity::load(&files.authority, &files.certificate, &files.key).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(identity.authorities)
        .with_no_client_auth();
    let name = "node-0".try_into().unwrap();
    let connector = TlsConnector::from(Arc::new(config));
    connector.connect(name, stream).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn passwords_are_checked() {
    let deployment = start(false).await;
    let mut outcomes = Vec::new();
    for (user, password) in [
        ("counter", "secret"),
        ("counter", "wrong"),
        ("eve", "secret"),
    ] {
        let stream = plain(&deployment).await;
        outcomes.push((user, password, outcome(stream, login(user, password)).await));
    }
    insta::assert_debug_snapshot!(outcomes);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn passwords_require_tls_where_it_is_configured() {
    let deployment = start(true).await;
    let over_tls = outcome(encrypted(&deployment).await, login("counter", "secret")).await;
    let in_plain_text = outcome(plain(&deployment).await, login("counter", "secret")).await;
    // Plain text sent together with the SSLRequest must end the connection.
    let mut stream = plain(&deployment).await;
    let mut bytes = SSL_REQUEST.to_vec();
    bytes.extend_from_slice(&[0, 0, 0, 9, 0, 3, 0, 0, 0]);
    stream.write_all(&bytes).await.unwrap();
    let mut injected = Vec::new();
    let ended = timeout(Duration::from_secs(5), stream.read_to_end(&mut injected)).await;
    insta::assert_debug_snapshot!((over_tls, in_plain_text, ended.is_ok(), injected));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_startup_messages_end_the_connection() {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let mut stream = plain(&deployment).await;
    let mut bytes = vec![0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0];
    bytes.resize(64 * 1024, b'a');
    // The node may close the connection before all bytes are written.
    let _ = stream.write_all(&bytes).await;
    let mut answer = Vec::new();
    let ended = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    assert!(ended.is_ok(), "the node waits for the rest of the message");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_certificates_must_match_node_names() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let other = Deployment::start(1, Duration::ZERO).await;
    let dial = async |trusted: &Deployment, own: &Deployment, name: &str| {
        let authority = trusted.config(0).tls.authority;
        let files = own.config(0).tls;
        let identity = Identity::load(&authority, &files.certificate, &files.key).unwrap();
        let endpoint = Endpoint::bind((Ipv4Addr::LOCALHOST, 0).into(), identity).unwrap();
        let connection = endpoint.connect(name, deployment.nodes[1].peers).await;
        let Ok(connection) = connection else {
            return "rejected by the dialing endpoint";
        };
        match connection.open().await {
            Ok(mut stream) => {
                use agateport_wire::frame::Frame;
                use agateport_wire::link::Exchange;
                let sent = stream.send(Frame::Revision(None)).await;
                match (sent, stream.receive().await) {
                    (Ok(()), Ok(_)) => "served",
                    _ => "rejected by the node",
                }
            }
            Err(_) => "rejected by the node",
        }
    };
    let outcomes = [
        ("a peer", dial(&deployment, &deployment, "node-1").await),
        (
            "with a wrong name",
            dial(&deployment, &deployment, "node-0").await,
        ),
        (
            "with another authority",
            dial(&other, &deployment, "node-1").await,
        ),
        (
            "with a certificate of another authority",
            dial(&deployment, &other, "node-1").await,
        ),
    ];
    insta::assert_debug_snapshot!(outcomes);
}
