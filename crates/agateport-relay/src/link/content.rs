//! What is set and prepared on a connection, and how that is changed for a session.

use super::Setup;
use super::names::Names;
use crate::field::{Text, Word};
use crate::message::{Command, State, Values};
use agateport_domain::prelude::*;

/// Maximum size in bytes of what is remembered of an unused connection. A node has many,
/// and what a session set or prepared stays on them after it has ended.
pub const MAX_IDLE_BYTES: usize = 64 << 10;

/// What is set and prepared on a connection.
#[derive(Debug, Default)]
pub struct Content {
    /// Values that are set, by name; none if the server rejected the last one, and may have
    /// an earlier one.
    values: BTreeMap<Word, Option<Text>>,
    /// Names of the statements that are prepared.
    names: Names,
    /// Transaction state after the last answer.
    state: State,
    /// Whether more may be set or prepared than is recorded here.
    is_incomplete: bool,
}

impl Content {
    /// Returns the commands that change the content to what `setup` needs.
    #[must_use]
    pub fn alignment(&self, setup: &Setup<'_>) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(values) = setup.values else {
            return commands;
        };
        let is_reset = self.needs_reset(setup, values);
        if is_reset {
            commands.push(Command::Reset);
        }
        for (name, value) in values {
            if is_reset || self.value(name) != Some(value) {
                let (name, value) = (name.clone(), value.clone());
                commands.push(Command::Set { name, value });
            }
        }
        if let Some(prepared) = &setup.prepared
            && (is_reset || self.names.get(prepared).is_none())
        {
            commands.push(Command::Prepare {
                name: self.names.next(),
                prepared: prepared.clone(),
            });
        }
        commands
    }

    fn value(&self, name: &Word) -> Option<&Text> {
        self.values.get(name)?.as_ref()
    }

    /// Returns whether the connection must be reset, which drops its values and its
    /// prepared statements. A value is only removed in this way.
    fn needs_reset(&self, setup: &Setup<'_>, values: &Values) -> bool {
        let has_extra = self.values.keys().any(|name| !values.contains_key(name));
        let prepared = setup.prepared.as_ref();
        let has_extra = has_extra || self.is_incomplete;
        has_extra || prepared.is_some_and(|prepared| !self.names.has_room(prepared, self.state))
    }

    /// Sets the name under which a command executes the prepared statement of `setup`.
    #[must_use]
    pub fn bind(&self, setup: &Setup<'_>, mut command: Command) -> Command {
        if let Command::Execute { name, .. } = &mut command {
            let prepared = setup.prepared.as_ref();
            let bound = prepared.and_then(|prepared| self.names.get(prepared));
            // No statement is prepared under this word, so the server would run nothing.
            *name = bound.unwrap_or_else(Word::absent);
        }
        command
    }

    /// Returns the names of the statements that are prepared.
    #[must_use]
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Returns the transaction state after the last answer.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Marks all prepared statements as missing. The server may still have some of them, so
    /// the connection is reset before its next use.
    pub fn forget_prepared(&mut self) {
        self.names.clear();
        self.is_incomplete = true;
    }

    /// Forgets the content if it is too large for an unused connection, which is then reset
    /// before its next use by a session.
    pub fn shed(&mut self) {
        let (_, prepared) = self.names.size();
        let values = self.values.iter();
        let values: usize = values
            .map(|(name, value)| name.len() + value.as_ref().map_or(0, |value| value.len()))
            .sum();
        if prepared + values > MAX_IDLE_BYTES {
            self.values.clear();
            self.names.clear();
            self.is_incomplete = true;
        }
    }

    /// Records the effect of a command, which the server accepted if `is_done`, and the
    /// transaction state after it.
    pub fn record(&mut self, command: &Command, is_done: bool, state: State) {
        self.state = state;
        match command {
            Command::Reset if is_done => {
                self.values.clear();
                self.names.clear();
                self.is_incomplete = false;
            }
            Command::Set { name, value } => {
                let value = is_done.then(|| value.clone());
                self.values.insert(name.clone(), value);
            }
            Command::Prepare { prepared, .. } => self.names.record(prepared.clone(), is_done),
            _ => {}
        }
    }
}
