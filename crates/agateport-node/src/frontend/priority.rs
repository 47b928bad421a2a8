//! Chooses the priority of a request.

use agateport_domain::bundle::{Bundle, Priority};
use agateport_domain::prelude::*;
use agateport_domain::request::{Reason, Refusal};

/// Startup parameter and setting with the name of a priority.
pub const SETTING: &str = "agateport.priority";

/// Properties of a caller that determine the priority of its requests.
#[derive(Clone, Debug, Default)]
pub struct Context {
    /// User name of the caller.
    pub user: Option<CallerId>,
    /// Priority of the session, from a startup parameter or `SET`.
    pub session: Option<PriorityId>,
    /// Priority of the current request, from a tag in its text.
    pub tag: Option<PriorityId>,
}

impl Context {
    /// Returns the user name, which identifies the caller in fair queueing.
    pub fn caller(&self) -> CallerId {
        self.user.clone().unwrap_or_default()
    }

    /// Chooses the priority from the tag, the session or the bundle's rules, in this
    /// order.
    ///
    /// # Errors
    ///
    /// A refusal if the bundle has no priority of that name.
    pub fn choose<'a>(
        &self,
        bundle: &'a Bundle,
        database: &GroupId,
        tables: &BTreeSet<String>,
    ) -> Result<&'a Priority, Refusal> {
        let named = self.tag.as_ref().or(self.session.as_ref());
        let user = self.user.as_deref().unwrap_or_default();
        let name = match named {
            Some(name) => name,
            None => bundle.classify(user, database, tables),
        };
        let priority = bundle.priority(name).ok_or(Reason::UnknownPriority)?;
        Ok(priority)
    }
}

/// Returns the error message for an unknown priority.
pub fn unknown(name: &str) -> String {
    format!("not run: the priority {name:?} is not in the bundle in force")
}
