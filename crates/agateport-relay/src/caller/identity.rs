//! Who the caller of a session is, and what it may use.

use super::{Session, Transaction};
use crate::catalog::Route;
use crate::currency::VALIDITY;
use crate::message::{Answer, Credential, Request, State, Verb};
use crate::protocol::Protocol;
use crate::reply;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use agateport_domain::workspace::{self, KeyDigest, Refusal};
use std::fmt;

/// What a caller presented to identify itself.
pub(super) struct Identity {
    key: KeyDigest,
    /// The same as a label, for deployments without workspaces, whose callers have no keys.
    label: CallerId,
}

impl fmt::Debug for Identity {
    /// Omits the label, which may be a key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Identity")
    }
}

impl Default for Identity {
    fn default() -> Self {
        Self::new(&Credential::new(String::new()))
    }
}

impl Identity {
    pub(super) fn new(credential: &Credential) -> Self {
        Self {
            key: KeyDigest::of(credential.text().as_bytes()),
            label: credential.text().into(),
        }
    }
}

/// What the statements of a session use.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Route of the database.
    pub route: Arc<Route>,
    /// Workspace of the caller; none in a deployment without workspaces, and for a caller of a
    /// public route that is not identified.
    pub workspace: Option<WorkspaceId>,
    /// Name under which slots are shared fairly among callers. Other nodes receive it, so it
    /// is never a key: where there are workspaces, it is that of the caller, or empty.
    pub caller: CallerId,
}

impl<W: Protocol> Session<W> {
    /// Returns the route of the session's database and the workspace of its caller, or the
    /// refusal if it has none.
    pub(super) fn target(&self) -> Result<Target, Box<Answer>> {
        let upstreams = self.runner.upstreams();
        // The configuration that is looked at afterwards may be younger, but not older.
        let age = upstreams.currencies().catalog.age();
        let Some(route) = upstreams.route(&self.database) else {
            return Err(Box::new(reply::no_route(age)));
        };
        match self.identify(&route, age) {
            Ok(workspace) => Ok(Target {
                route,
                caller: self.caller(workspace.as_ref()),
                workspace,
            }),
            Err(refusal) => {
                self.runner.report_unidentified(&self.database, refusal);
                Err(Box::new(reply::unidentified(refusal)))
            }
        }
    }

    fn caller(&self, workspace: Option<&WorkspaceId>) -> CallerId {
        if let Some(workspace) = workspace {
            return workspace.clone();
        }
        if self.runner.upstreams().catalog().workspaces.is_some() {
            return "".into();
        }
        self.identity.label.clone()
    }

    /// Returns the answer to a statement of an open transaction whose caller's key was
    /// withdrawn, or belongs to another workspace now. The transaction is rolled back.
    pub(super) fn refuse_withdrawn(&mut self, request: &Request) -> Option<Answer> {
        let (Transaction::Begun { target, .. } | Transaction::Open { target, .. }) =
            &self.transaction
        else {
            return None;
        };
        if request.verb == Verb::Rollback {
            return None;
        }
        let age = self.runner.upstreams().currencies().catalog.age();
        let refusal = match self.identify(&target.route, age) {
            Ok(workspace) if workspace == target.workspace => return None,
            Ok(_) => Refusal::UnknownKey,
            Err(refusal) => refusal,
        };
        self.runner.report_unidentified(&self.database, refusal);
        self.roll_back();
        if request.verb != Verb::Commit {
            self.transaction = Transaction::Failed;
        }
        let answer = reply::aborted(&refusal.to_string());
        Some(Answer {
            state: State::Failed,
            ..answer
        })
    }

    /// Takes an operation out of the allowance of the caller's workspace: one for a single
    /// statement, and one for a whole transaction.
    ///
    /// # Errors
    ///
    /// The answer if there is none; nothing was run.
    pub(super) async fn take_operation(&self, target: &Target) -> Result<(), Answer> {
        let Some(workspace) = &target.workspace else {
            return Ok(());
        };
        let upstreams = self.runner.upstreams();
        let limits = upstreams.catalog().limits(workspace);
        let taken = upstreams.allowances().take(workspace, limits).await;
        taken.map_err(|refusal| reply::not_allowed(&refusal))
    }

    /// Returns the workspace of the caller under the configuration in force, which was
    /// confirmed `age` ago.
    fn identify(
        &self,
        route: &Route,
        age: Option<Duration>,
    ) -> Result<Option<WorkspaceId>, Refusal> {
        identify(self.runner.upstreams(), route, &self.identity.key, age)
    }
}

/// Returns the workspace that a key identifies on a route under the configuration in force,
/// which was confirmed `age` ago.
///
/// # Errors
///
/// [`Refusal`] if it identifies none.
pub(crate) fn identify<W: Protocol>(
    upstreams: &Upstreams<W>,
    route: &Route,
    key: &KeyDigest,
    age: Option<Duration>,
) -> Result<Option<WorkspaceId>, Refusal> {
    let currency = workspace::Currency {
        age,
        validity: VALIDITY,
        key_validity: upstreams.key_validity(),
    };
    let catalog = upstreams.catalog();
    let directory = catalog.workspaces.as_deref();
    workspace::identify(directory, route.is_public, key, currency)
}
