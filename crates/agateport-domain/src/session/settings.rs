//! The settings of a session, independent of any upstream connection.

use crate::request::setting::Setting;
use std::collections::BTreeMap;

/// The settings that a caller has set: by name, the statement that sets each.
///
/// Settings made inside a transaction take effect only when it commits.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    current: BTreeMap<String, String>,
    pending: Option<BTreeMap<String, String>>,
}

impl Settings {
    /// Records a setting that an upstream has accepted.
    pub fn apply(&mut self, setting: &Setting, is_inside_transaction: bool) {
        let settings = if is_inside_transaction {
            self.pending.get_or_insert_with(|| self.current.clone())
        } else {
            &mut self.current
        };
        match setting {
            Setting::Set { name, sql, .. } => drop(settings.insert(name.clone(), sql.clone())),
            Setting::Reset { name } => drop(settings.remove(name)),
            Setting::ResetAll => settings.clear(),
            Setting::Show { .. } => {}
        }
    }

    /// Commits or discards the pending settings at the end of a transaction.
    pub fn end_transaction(&mut self, is_committed: bool) {
        if let (Some(pending), true) = (self.pending.take(), is_committed) {
            self.current = pending;
        }
    }

    /// Returns the statements that apply the settings to a connection.
    #[must_use]
    pub fn statements(&self) -> Vec<String> {
        self.current.values().cloned().collect()
    }
}
