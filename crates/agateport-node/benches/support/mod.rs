//! A deployment in one process. Each part has a runtime of its own, so that its
//! processor time can be measured separately.

use agateport_domain::bundle::Signed;
use agateport_domain::owner::Rendezvous;
use agateport_node::config::Config;
use agateport_node::node::{Addresses, Node};
use agateport_standin::{group, platform};
use agateport_wire::platform::{Operation, Platform};
use ed25519_dalek::SigningKey;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};

/// Threads per runtime.
const THREADS: usize = 2;

/// Zones of the two nodes; the only server is in the first.
const ZONES: [&str; 2] = ["a", "b"];

/// Attempts, 10 ms apart, to find a node ready.
const READY_ATTEMPTS: u32 = 1_000;

/// Name of the group, and prefix of its server's name.
pub const GROUP: &str = "ledger";

/// Two nodes and a group of one server, which the first node owns.
pub struct Deployment {
    /// Address of the server.
    pub server: SocketAddr,
    /// Addresses of the nodes.
    pub nodes: Vec<Addresses>,
    _servers: Vec<group::Running>,
    _platform: platform::Running,
    _directory: TempDir,
    _runtimes: Vec<Runtime>,
}

/// Creates a runtime whose threads are named `name`.
pub fn runtime(name: &str) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all();
    builder.build().expect("failed to build the runtime")
}

/// Returns the processor time of all threads named `name`.
pub fn processor_time(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("failed to read /proc/self/task");
    let times = tasks.flatten().filter_map(|task| {
        let comm = fs::read_to_string(task.path().join("comm")).ok()?;
        if comm.trim() != name {
            return None;
        }
        let schedstat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        schedstat.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(times.sum())
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

impl Deployment {
    /// Starts the stand-ins and the nodes, and waits until the nodes are ready.
    pub fn start() -> Self {
        let directory = TempDir::new().expect("failed to create a temporary directory");
        let operator = SigningKey::from_bytes(&[7; 32]);
        let bytes = operator.verifying_key().to_bytes();
        let digits: Vec<_> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        fs::write(directory.path().join("operator.public"), digits.concat())
            .expect("failed to write the public key");
        write_certificates(directory.path());
        let standins = runtime("standin");
        let (platform, servers) = standins.block_on(start_standins());
        let server = servers[0].address;
        standins.block_on(publish_bundle(&platform, server, &operator));
        let mut runtimes = vec![standins];
        let mut nodes = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let node = runtime(&node_name(index));
            let config = config(directory.path(), index, zone, platform.address);
            let running = node
                .block_on(Node::start(config, Rendezvous))
                .expect("failed to start the node");
            nodes.push(running.addresses());
            node.spawn(running.run());
            runtimes.push(node);
        }
        runtimes[0].block_on(register_nodes(&platform, &nodes));
        Self {
            server,
            nodes,
            _servers: servers,
            _platform: platform,
            _directory: directory,
            _runtimes: runtimes,
        }
    }
}

/// Returns the name of a node, which its threads and its certificate share.
pub fn node_name(index: usize) -> String {
    format!("node-{index}")
}

async fn start_standins() -> (platform::Running, Vec<group::Running>) {
    let platform = platform::Running::start(platform::Config {
        address: any_port(),
        admin: any_port(),
    });
    let server = group::Running::start(group::Config {
        name: format!("{GROUP}-0"),
        connect_cost: Duration::ZERO,
        statement_time: Duration::ZERO,
        connections: 256,
        slots: 256,
        ..group::Config::default()
    });
    let platform = platform
        .await
        .expect("failed to start the platform stand-in");
    (
        platform,
        vec![server.await.expect("failed to start the server stand-in")],
    )
}

async fn publish_bundle(platform: &platform::Running, server: SocketAddr, key: &SigningKey) {
    let text = format!(
        "version = 1\ndefault_priority = \"counter\"\n\
         [[priority]]\nname = \"counter\"\ntarget = \"5s\"\nworth = 1\n\
         [[group]]\nname = \"{GROUP}\"\nacknowledge = \"primary\"\n\
         [[group.server]]\nname = \"{GROUP}-0\"\nzone = \"a\"\naddress = \"{server}\"\n\
         slots = 64\nconnections = 128\n"
    );
    let signed = Signed::new(text, key);
    let client = Platform::new(platform.address).expect("failed to create the platform client");
    let bytes = serde_json::to_vec(&signed).expect("failed to encode the bundle");
    let object = format!("bundle/{}", signed.digest());
    let put = client.put_object(&object, bytes).await;
    put.expect("failed to store the bundle");
    let operation = Operation {
        key: "bundle".to_owned(),
        expected: 0,
        value: format!("1:{}", signed.digest()),
    };
    let committed = client.commit(&[operation]).await;
    committed.expect("failed to commit the row of the bundle");
}

fn config(directory: &Path, index: usize, zone: &str, platform: SocketAddr) -> Config {
    let (directory, name) = (directory.display(), node_name(index));
    let text = format!(
        r#"
        name = "{name}"
        zone = "{zone}"
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        platform = "{platform}"
        operators = ["{directory}/operator.public"]
        [tls]
        authority = "{directory}/authority.pem"
        certificate = "{directory}/{name}.pem"
        key = "{directory}/{name}.key"
        "#
    );
    toml::from_str(&text).expect("invalid settings")
}

async fn register_nodes(platform: &platform::Running, nodes: &[Addresses]) {
    let vms: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(index, addresses)| {
            serde_json::json!({
                "name": node_name(index), "zone": ZONES[index], "address": addresses.peers,
            })
        })
        .collect();
    let url = format!("http://{}/vms", platform.admin);
    let client = reqwest::Client::new();
    let put = client.put(url).json(&vms).send().await;
    put.expect("failed to store the list of VMs");
    for node in nodes {
        wait_until_ready(&client, node.admin).await;
    }
}

async fn wait_until_ready(client: &reqwest::Client, admin: SocketAddr) {
    let url = format!("http://{admin}/status");
    for _ in 0..READY_ATTEMPTS {
        let response = client.get(&url).send().await;
        let response = response.expect("failed to query the node");
        let status: serde_json::Value = response.json().await.expect("malformed status");
        let members = status["members"].as_array().map_or(0, Vec::len);
        // Only the owner of the server monitors it, so the primaries are not
        // checked.
        if members == ZONES.len() && status["bundle"].is_number() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the node at {admin} did not become ready");
}

fn write_certificates(directory: &Path) {
    let mut params = CertificateParams::new(Vec::new()).expect("invalid certificate names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("failed to generate a key");
    let authority = params
        .self_signed(&key)
        .expect("failed to sign the authority certificate");
    fs::write(directory.join("authority.pem"), authority.pem())
        .expect("failed to write a certificate or key");
    let issuer = Issuer::new(params, key);
    for index in 0..ZONES.len() {
        let name = node_name(index);
        let key = KeyPair::generate().expect("failed to generate a key");
        let params = CertificateParams::new(vec![name.clone()]).expect("invalid certificate name");
        let certificate = params
            .signed_by(&key, &issuer)
            .expect("failed to sign the node certificate");
        let path = directory.join(format!("{name}.pem"));
        fs::write(path, certificate.pem()).expect("failed to write a certificate or key");
        let path = directory.join(format!("{name}.key"));
        fs::write(path, key.serialize_pem()).expect("failed to write a certificate or key");
    }
}
