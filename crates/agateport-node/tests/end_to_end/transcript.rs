//! Transcripts of statements and their results.

use tokio_postgres::SimpleQueryMessage;

/// Runs a simple query and returns the query, its rows, and its command tags or error
/// as text.
pub async fn transcript(client: &tokio_postgres::Client, sql: &str) -> String {
    let mut lines = vec![format!("> {sql}")];
    match client.simple_query(sql).await {
        Ok(messages) => lines.extend(messages.iter().filter_map(line)),
        Err(error) => {
            let report = error
                .as_db_error()
                .map(|report| format!("{} {}", report.code().code(), report.message()));
            lines.push(report.unwrap_or_else(|| error.to_string()));
        }
    }
    lines.join("\n") + "\n"
}

fn line(message: &SimpleQueryMessage) -> Option<String> {
    match message {
        SimpleQueryMessage::Row(row) => {
            let cells = (0..row.len()).map(|index| row.get(index).unwrap_or("null"));
            Some(cells.collect::<Vec<_>>().join(" | "))
        }
        SimpleQueryMessage::CommandComplete(count) => Some(format!("({count})")),
        _ => None,
    }
}

/// Runs several simple queries in order and returns their transcripts.
pub async fn transcripts(client: &tokio_postgres::Client, texts: &[&str]) -> String {
    let mut all = String::new();
    for text in texts {
        all.push_str(&transcript(client, text).await);
    }
    all
}
