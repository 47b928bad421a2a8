//! Chooses the servers that may run a batch.

use super::pipeline::Work;
use crate::node::Node;
use agateport_domain::bundle;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::Need;
use agateport_domain::request::statement::Kind;

/// Replicas that are asked before the primary.
const REPLICA_TRIES: usize = 2;

/// Returns the servers to ask, the best first, with what each must be.
pub fn servers<'a, P>(
    node: &Node<P>,
    bundle: &bundle::Bundle,
    group: &'a bundle::Group,
    watermark: Option<Watermark>,
    work: &Work,
) -> Vec<(&'a bundle::Server, Need)>
where
    P: Policy + Send + Sync + 'static,
{
    let primary = node
        .groups
        .update(&group.name, |known| known.primary().cloned())
        .flatten();
    let is_primary = |server: &&bundle::Server| Some(&server.name) == primary.as_ref();
    let mut candidates = Vec::new();
    if let (Kind::Read, Some(maximum_staleness)) =
        (work.kind, bundle.maximum_staleness(&work.tables))
    {
        let need = Need::Replica {
            watermark,
            maximum_staleness,
        };
        let mut replicas: Vec<_> = group
            .servers
            .iter()
            .filter(|one| !is_primary(one))
            .collect();
        replicas.sort_by_key(|server| server.zone != node.config.zone);
        candidates.extend(
            replicas
                .into_iter()
                .take(REPLICA_TRIES)
                .map(|one| (one, need)),
        );
    }
    let mut primaries: Vec<_> = group.servers.iter().collect();
    primaries.sort_by_key(|server| !is_primary(server));
    candidates.extend(primaries.into_iter().map(|server| (server, Need::Primary)));
    candidates
}
