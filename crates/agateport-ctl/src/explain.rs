//! Shows where a node would send a request, and why, without sending it.

use crate::error::Error;
use crate::status::TIMEOUT;
use agateport_domain::explanation::{Allowance, Explanation, Question, Server};
use agateport_domain::workspace::KeyDigest;
use serde::Serialize;
use std::fmt::Write;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// Path that stands for standard input.
const STDIN: &str = "-";

/// Answer of a node, as printed.
#[derive(Debug, Serialize)]
struct Line {
    address: SocketAddr,
    /// Answer of the node, or `None` if it did not respond.
    explanation: Option<Explanation>,
}

/// Asks a node at its metrics address what would happen to a request, and prints its answer.
/// The key is read from `key`, and only its digest is sent.
///
/// # Errors
///
/// Returns [`Error`] if the key cannot be read, or if the node does not respond.
pub async fn explain(
    address: SocketAddr,
    question: Question,
    key: Option<&Path>,
    json: bool,
) -> Result<(), Error> {
    let key = key.map(read_key).transpose()?;
    let question = Question { key, ..question };
    let explanation = fetch(address, &question).await.ok();
    let line = Line {
        address,
        explanation,
    };
    if json {
        println!("{}", serde_json::to_string(&line).unwrap_or_default());
    } else {
        print!("{}", text(&line));
    }
    match line.explanation {
        Some(_) => Ok(()),
        None => Err(Error::Behind(1)),
    }
}

/// Returns the digest of the key in a file, or on standard input, without its line end.
fn read_key(path: &Path) -> Result<KeyDigest, Error> {
    let mut key = Vec::new();
    if path == Path::new(STDIN) {
        std::io::stdin().read_to_end(&mut key)
    } else {
        std::fs::File::open(path).and_then(|mut file| file.read_to_end(&mut key))
    }
    .map_err(Error::file(path))?;
    Ok(KeyDigest::of(key.trim_ascii_end()))
}

async fn fetch(address: SocketAddr, question: &Question) -> Result<Explanation, reqwest::Error> {
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()?;
    let request = client.post(format!("http://{address}/explain"));
    let response = request.json(question).send().await?;
    response.error_for_status()?.json().await
}

/// Returns the text of an answer. Writing to a string never fails.
fn text(line: &Line) -> String {
    let Some(answer) = &line.explanation else {
        return format!("{} gives no answer\n", line.address);
    };
    let mut text = format!(
        "node {}, configuration {}",
        answer.node, answer.configuration
    );
    if let Some(age) = answer.configuration_age_ms {
        let _ = write!(text, ", confirmed {age} ms ago");
    }
    text.push('\n');
    if let Some(route) = &answer.route {
        let reads = if route.is_primary_only {
            "reads at the primary".to_owned()
        } else {
            format!("reads up to {} ms old", route.max_age_ms)
        };
        let _ = writeln!(
            text,
            "route to {}: {reads}, target {} ms, priority {}",
            route.group, route.target_ms, route.priority
        );
    }
    if let Some(allowance) = &answer.allowance {
        let workspace = answer.workspace.as_deref().unwrap_or("none");
        let _ = writeln!(text, "workspace {workspace}: {}", decision(allowance));
    }
    if let Some(floor) = answer.floor {
        let _ = writeln!(text, "required watermark {floor}");
    }
    for entry in &answer.servers {
        let _ = writeln!(text, "  {}", server(entry));
    }
    let _ = writeln!(text, "{}", outcome(answer));
    text
}

fn decision(allowance: &Allowance) -> String {
    match allowance {
        Allowance::NotLimited => "not limited".to_owned(),
        Allowance::Allowed => "an operation is available".to_owned(),
        Allowance::Asked { allocator } => format!("allocator {allocator} decides"),
        Allowance::Refused => "refused by its allowance".to_owned(),
    }
}

fn server(entry: &Server) -> String {
    let mut text = format!("{} in {}: {}", entry.server, entry.zone, entry.reason);
    let _ = write!(text, " (load {}, limit {}", entry.load, entry.limit);
    if let Some(cost) = entry.cost {
        let _ = write!(text, ", cost {cost}");
    }
    if let Some(watermark) = entry.watermark {
        let _ = write!(text, ", at {watermark}");
    }
    if let Some(lease) = entry.lease_ms {
        let _ = write!(text, ", primary with a lease of {lease} ms");
    }
    text.push(')');
    text
}

fn outcome(answer: &Explanation) -> String {
    if let Some(refusal) = &answer.refusal {
        return format!("refused: {} {}", refusal.code, refusal.text);
    }
    let Some(target) = &answer.target else {
        return "not sent".to_owned();
    };
    match answer.wait_ms {
        Some(wait) => format!("sent to {target}, after {wait} ms or more"),
        None => format!("sent to {target}; its owner knows the wait"),
    }
}
