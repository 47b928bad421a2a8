//! A small deployment in one process: the platform, one group of servers, and nodes.

#![expect(
    clippy::unwrap_used,
    reason = "a failure to start the deployment fails the test"
)]

use agateport_domain::bundle::Signed;
use agateport_domain::owner::Rendezvous;
use agateport_node::config::Config;
use agateport_node::node::{Addresses, Node, Running};
use agateport_standin::{group, platform};
use agateport_wire::platform::{Operation, Platform};
use ed25519_dalek::SigningKey;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls};
use tokio_util::sync::CancellationToken;

/// Availability zones, assigned to nodes and servers in round-robin order.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Number of servers in the group.
const SERVERS: usize = 3;

/// Configuration of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Replication lag of the replicas.
    pub lag: Duration,
    /// Acknowledgement rule of the group, as written in the bundle.
    pub acknowledge: &'static str,
    /// Time that a server needs to accept a connection.
    pub connect_cost: Duration,
}

/// A running deployment.
pub struct Deployment {
    pub platform: platform::Running,
    pub servers: Vec<group::Running>,
    pub nodes: Vec<Addresses>,
    plan: Plan,
    /// Token that drains each node, and its task.
    pub tasks: Vec<(CancellationToken, JoinHandle<()>)>,
    pub directory: TempDir,
}

fn hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    digits.collect::<Vec<_>>().concat()
}

/// Returns the key of the operator that all nodes trust.
pub fn operator() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

impl Deployment {
    /// Starts `nodes` nodes with one group of three servers.
    pub async fn start(nodes: usize, lag: Duration) -> Self {
        let plan = Plan {
            nodes,
            zones: 3,
            lag,
            acknowledge: "majority",
            connect_cost: Duration::ZERO,
        };
        Self::launch(plan).await
    }

    /// Starts a deployment with the given configuration.
    pub async fn launch(plan: Plan) -> Self {
        let directory = TempDir::new().unwrap();
        let operator = operator();
        let public = hex(&operator.verifying_key().to_bytes());
        fs::write(directory.path().join("operator.public"), public).unwrap();
        write_certificates(directory.path(), plan.nodes);
        let platform = platform::Running::start(platform::Config {
            address: any_port(),
            admin: any_port(),
        });
        let platform = platform.await.unwrap();
        let servers = start_servers(plan).await;
        publish_bundle(&platform, &servers, plan, &operator).await;
        let mut deployment = Self {
            platform,
            servers,
            nodes: Vec::new(),
            plan,
            tasks: Vec::new(),
            directory,
        };
        deployment.start_nodes(plan.nodes).await;
        deployment
    }

    async fn start_nodes(&mut self, count: usize) {
        let mut vms = Vec::new();
        for index in 0..count {
            let config = self.config(index);
            let zone = config.zone.clone();
            let running = Node::start(config, Rendezvous).await.unwrap();
            let addresses = running.addresses();
            vms.push(serde_json::json!({
                "name": format!("node-{index}"), "zone": &*zone, "address": addresses.peers,
            }));
            self.nodes.push(addresses);
            self.tasks.push(spawn(running));
        }
        let url = format!("http://{}/vms", self.platform.admin);
        let client = reqwest::Client::new();
        client.put(url).json(&vms).send().await.unwrap();
        for node in &self.nodes {
            wait_until_ready(&client, node.admin, count).await;
        }
    }

    /// Returns the settings of a node.
    pub fn config(&self, index: usize) -> Config {
        let directory = self.directory.path().display();
        let text = format!(
            r#"
            name = "node-{index}"
            zone = "{zone}"
            callers = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            admin = "127.0.0.1:0"
            platform = "{platform}"
            operators = ["{directory}/operator.public"]
            [tls]
            authority = "{directory}/authority.pem"
            certificate = "{directory}/node-{index}.pem"
            key = "{directory}/node-{index}.key"
            "#,
            zone = ZONES[index % self.plan.zones],
            platform = self.platform.address,
        );
        toml::from_str(&text).unwrap()
    }

    /// Stops a server without warning. On return it answers nothing any more.
    pub async fn stop_server(&mut self, index: usize) {
        self.servers.remove(index).stop().await;
    }

    /// Connects a caller to a node.
    pub async fn connect(&self, node: usize) -> Client {
        self.try_connect(node).await.unwrap()
    }

    /// Connects a caller to a node and returns the node's refusal as an error.
    pub async fn try_connect(&self, node: usize) -> Result<Client, tokio_postgres::Error> {
        let address = self.nodes[node].callers;
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user("test")
            .dbname("ledger");
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }
}

/// Spawns a node; returns the token that drains it, and its task.
pub fn spawn(running: Running<Rendezvous>) -> (CancellationToken, JoinHandle<()>) {
    let draining = running.draining();
    let task = tokio::spawn(async move { running.run().await.unwrap() });
    (draining, task)
}

async fn start_servers(plan: Plan) -> Vec<group::Running> {
    let mut servers: Vec<group::Running> = Vec::new();
    for index in 0..SERVERS {
        let config = group::Config {
            name: format!("ledger-{index}"),
            follow: servers.first().map(|primary| primary.address),
            connect_cost: plan.connect_cost,
            statement_time: Duration::ZERO,
            lag: plan.lag,
            ..group::Config::default()
        };
        servers.push(group::Running::start(config).await.unwrap());
    }
    servers
}

async fn publish_bundle(
    platform: &platform::Running,
    servers: &[group::Running],
    plan: Plan,
    key: &SigningKey,
) {
    let group = "name = \"ledger\"\n";
    let rule = format!("{group}acknowledge = \"{}\"\n", plan.acknowledge);
    let text = bundle(servers).replacen(group, &rule, 1);
    let signed = Signed::new(text, key);
    put_in_force(platform, &signed, 1, 0).await;
}

/// Stores a signed bundle and points the platform's row at it, if the version of the
/// row is `expected`.
pub async fn put_in_force(
    platform: &platform::Running,
    signed: &Signed,
    version: u64,
    expected: u64,
) {
    let client = Platform::new(platform.address).unwrap();
    let object = format!("bundle/{}", signed.digest());
    let bytes = serde_json::to_vec(signed).unwrap();
    client.put_object(&object, bytes).await.unwrap();
    let operation = Operation {
        key: "bundle".to_owned(),
        expected,
        value: format!("{version}:{}", signed.digest()),
    };
    client.commit(&[operation]).await.unwrap();
}

/// Returns the text of the first bundle.
pub fn bundle(servers: &[group::Running]) -> String {
    let mut text = String::from(
        "version = 1\ndefault_priority = \"counter\"\n\
         [[priority]]\nname = \"counter\"\ntarget = \"5s\"\nworth = 1\n\
         [[read]]\ntable = \"stock\"\nmaximum_staleness = \"10s\"\n\
         [[group]]\nname = \"ledger\"\n",
    );
    for (index, server) in servers.iter().enumerate() {
        let server = format!(
            "[[group.server]]\nname = \"ledger-{index}\"\nzone = \"{}\"\naddress = \"{}\"\n\
             slots = 3\nconnections = 20\n",
            ZONES[index], server.address
        );
        text.push_str(&server);
    }
    text
}

/// Waits until the status of a node shows all members, the bundle and the primary of
/// the group. With more nodes than servers the primary is not checked, since only the
/// owners of servers monitor it.
async fn wait_until_ready(client: &reqwest::Client, admin: SocketAddr, nodes: usize) {
    let url = format!("http://{admin}/status");
    loop {
        let response = client.get(&url).send().await.unwrap();
        let status: serde_json::Value = response.json().await.unwrap();
        let members = status["members"].as_array().map_or(0, Vec::len);
        let is_owner = nodes <= SERVERS;
        let has_primary = !is_owner || status["primaries"]["ledger"].is_string();
        if members == nodes && status["bundle"].is_number() && has_primary {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn write_certificates(directory: &Path, nodes: usize) {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().unwrap();
    let authority = params.self_signed(&key).unwrap();
    fs::write(directory.join("authority.pem"), authority.pem()).unwrap();
    let issuer = Issuer::new(params, key);
    for index in 0..nodes {
        let name = format!("node-{index}");
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.clone()]).unwrap();
        let certificate = params.signed_by(&key, &issuer).unwrap();
        fs::write(directory.join(format!("{name}.pem")), certificate.pem()).unwrap();
        fs::write(directory.join(format!("{name}.key")), key.serialize_pem()).unwrap();
    }
}
