//! Chooses the priority of a request.

use agateport_domain::bundle::{Bundle, Priority};
use agateport_domain::prelude::*;
use agateport_domain::request::{Reason, Refusal};

/// Startup option and setting that name a priority.
pub const SETTING: &str = "agateport.priority";

/// What a caller's session tells of the priority of its requests.
#[derive(Clone, Debug, Default)]
pub struct Context {
    /// User of the caller.
    pub user: Option<CallerId>,
    /// Priority of the session, by a startup option or `SET`.
    pub session: Option<PriorityId>,
    /// Priority of the one request, by a tag in its text.
    pub tag: Option<PriorityId>,
}

impl Context {
    /// Returns the user, for fairness among callers.
    pub fn caller(&self) -> CallerId {
        self.user.clone().unwrap_or_default()
    }

    /// Chooses the priority: by the tag, the session, or the bundle's rules.
    ///
    /// # Errors
    ///
    /// A refusal if the bundle doesn't know the priority.
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
            None => bundle.rank(user, database, tables),
        };
        let priority = bundle.priority(name).ok_or(Reason::UnknownPriority)?;
        Ok(priority)
    }
}

/// Says that a priority isn't known.
pub fn unknown(name: &str) -> String {
    format!("not run: the priority {name:?} is not in the bundle in force")
}
