//! Chooses the servers that may run a query.

use super::query::Query;
use crate::node::Node;
use agateport_domain::bundle;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::Requirement;
use agateport_domain::session::{self, Candidate, Choice, Report};

/// Maximum number of replicas to try before the primary.
const REPLICA_ATTEMPTS: usize = 2;

/// Maximum time to wait for a replica to reach the watermark.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(15);

/// Returns the candidate servers in order of preference, with the requirement that each
/// must meet.
pub fn servers<'a, P>(
    node: &Node<P>,
    bundle: &bundle::Bundle,
    group: &'a bundle::Group,
    watermark: Option<Watermark>,
    query: &Query,
) -> Vec<(&'a bundle::Server, Requirement)>
where
    P: Policy + Send + Sync + 'static,
{
    let primary = node
        .groups
        .update(&group.name, |state| state.primary().cloned())
        .flatten();
    let mut candidates = Vec::new();
    let staleness = bundle.maximum_staleness(&query.statement.tables);
    if let (true, Some(maximum_staleness)) = (query.is_read(), staleness) {
        let replicas = replicas(node, group, primary.as_ref());
        let choices = session::choose(&replicas, watermark, maximum_staleness, CATCH_UP_LIMIT);
        let chosen = choices.into_iter().take(REPLICA_ATTEMPTS);
        candidates.extend(chosen.filter_map(|choice: Choice| {
            let server = group
                .servers
                .iter()
                .find(|server| server.name == choice.server)?;
            let requirement = Requirement::Replica {
                watermark,
                maximum_staleness,
                maximum_wait: choice.maximum_wait,
            };
            Some((server, requirement))
        }));
    }
    let mut primaries: Vec<_> = group.servers.iter().collect();
    primaries.sort_by_key(|server| Some(&server.name) != primary.as_ref());
    let requirement = Requirement::Primary { watermark };
    candidates.extend(primaries.into_iter().map(|server| (server, requirement)));
    candidates
}

fn replicas<P>(node: &Node<P>, group: &bundle::Group, primary: Option<&ServerId>) -> Vec<Candidate>
where
    P: Policy + Send + Sync + 'static,
{
    let others = group
        .servers
        .iter()
        .filter(|server| Some(&server.name) != primary);
    let candidates = others.map(|server| {
        let status = node
            .groups
            .update(&group.name, |state| state.status(&server.name));
        let report = status.flatten().map(|(status, sent_at)| Report {
            last: status.last,
            age: status.age.map(|age| age + sent_at.elapsed()),
        });
        Candidate {
            server: server.name.clone(),
            report,
            is_same_zone: server.zone == node.config.zone,
            load: node.frontend.load(&server.name),
        }
    });
    candidates.collect()
}
