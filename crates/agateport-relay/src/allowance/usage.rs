//! What this node uses of the allowances, for operators.

use super::{Allowances, Entry, read};
use agateport_domain::allowance::{Account, Demand, Views};
use agateport_domain::prelude::*;
use agateport_domain::report::{Allowance, Listed, MAX_WORKSPACES, Workspace};
use agateport_domain::workspace::Limits;

/// Operations of a workspace that this node has taken.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    recent: Demand,
    total: u64,
}

impl Entry {
    /// Takes an operation, and counts it; returns whether there was one.
    pub(super) fn take(&mut self, views: &Views, now: Uptime) -> bool {
        let is_taken = self.account.take(views, now);
        if is_taken {
            self.usage.recent.record(now);
            self.usage.total += 1;
        }
        is_taken
    }
}

impl Allowances {
    /// Returns the node that the allowances are those of.
    #[must_use]
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the workspaces of the configuration in force, those with the highest use at
    /// this node first.
    #[must_use]
    pub fn usage(&self) -> Listed<Workspace> {
        let now = crate::clock::uptime();
        let configured = read(&self.configured);
        let mut usages = BTreeMap::new();
        self.accounts.for_each(|workspace, entry| {
            usages.insert(workspace.clone(), entry.usage);
        });
        let workspaces = configured.directory.workspaces();
        let mut entries: Vec<_> = workspaces
            .map(|(name, limits)| {
                let usage = usages.get(name).copied().unwrap_or_default();
                (usage, name, limits)
            })
            .collect();
        // The sort is stable, so workspaces of equal use keep the order of their names.
        entries.sort_by(|(left, ..), (right, ..)| {
            let rates = (left.recent.rate(now), right.recent.rate(now));
            rates.1.total_cmp(&rates.0)
        });
        let omitted = entries.len().saturating_sub(MAX_WORKSPACES);
        entries.truncate(MAX_WORKSPACES);
        let listed = entries.into_iter().map(|(usage, name, limits)| Workspace {
            workspace: name.clone(),
            allowance: limits.map(|limits| Allowance {
                rate: limits.rate(),
                burst: limits.burst(),
            }),
            used_per_second: rounded(usage.recent.rate(now)),
            used: usage.total,
            allocators: limits.map_or_else(Vec::new, |limits| self.allocators(name, limits)),
        });
        Listed {
            listed: listed.collect(),
            omitted,
        }
    }

    /// Returns the allocators that this node asks for operations of a workspace, in order.
    fn allocators(&self, workspace: &WorkspaceId, limits: Limits) -> Vec<NodeId> {
        self.inspect(workspace, limits, |account, _, _| {
            account.allocators().to_vec()
        })
    }

    /// Runs `action` on a copy of the account of a workspace, brought up to date; nothing is
    /// kept, also if this node has not used the workspace yet.
    pub(crate) fn inspect<T>(
        &self,
        workspace: &WorkspaceId,
        limits: Limits,
        action: impl FnOnce(&Account, &Views, Uptime) -> T,
    ) -> T {
        let views = read(&self.views);
        let known = self
            .accounts
            .update(workspace, |entry| entry.account.clone());
        let now = crate::clock::uptime();
        let mut account = known.unwrap_or_else(|| {
            let (workspace, zone) = (workspace.clone(), self.zone.clone());
            Account::new(workspace, zone, limits, self.tolerance, &views, now)
        });
        account.update(&views, limits, now);
        action(&account, &views, now)
    }
}

/// Rounds to hundredths, which suffice for operators.
fn rounded(rate: f64) -> f64 {
    (rate * 100.0).round() / 100.0
}
