//! Finds all errors in a bundle in one pass.

use super::span::{self, Step};
use super::{Bundle, Diagnostic, Group, Priority, Read, Server, User, Write};
use serde::de::DeserializeOwned;
use serde::de::IntoDeserializer;
use std::collections::BTreeSet;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Highest sum of the minimum shares, in percent.
const MAX_SHARE_SUM: u32 = 100;

/// Returns the errors in a text that cannot be parsed as a bundle.
///
/// Each group, priority, read, user and write is parsed separately, so that one
/// error does not hide the others.
pub fn schema(text: &str, error: &toml::de::Error) -> Vec<Diagnostic> {
    let (table, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let mut diagnostics: Vec<_> = errors.iter().map(Diagnostic::from_toml_error).collect();
        diagnostics.sort_by_key(|diagnostic| diagnostic.span.offset());
        return diagnostics;
    }
    let table = table.get_ref();
    let mut diagnostics = Vec::new();
    check_tables::<Group>(table, "group", &mut diagnostics);
    check_tables::<Priority>(table, "priority", &mut diagnostics);
    check_tables::<Read>(table, "read", &mut diagnostics);
    check_tables::<User>(table, "user", &mut diagnostics);
    check_tables::<Write>(table, "write", &mut diagnostics);
    let first = Diagnostic::from_toml_error(error);
    if !diagnostics.contains(&first) {
        diagnostics.push(first);
    }
    diagnostics.sort_by_key(|diagnostic| diagnostic.span.offset());
    diagnostics
}

/// Parses each table of the array `name` separately and adds the errors.
fn check_tables<T: DeserializeOwned>(
    table: &DeTable<'_>,
    name: &str,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let Some(elements) = table.get(name).and_then(|value| value.get_ref().as_array()) else {
        return;
    };
    for element in elements {
        if let Err(error) = deserialize::<T>(element) {
            diagnostics.push(Diagnostic::from_toml_error(&error));
        }
    }
}

fn deserialize<T: DeserializeOwned>(value: &Spanned<DeValue<'_>>) -> Result<T, toml::de::Error> {
    T::deserialize(value.clone().into_deserializer())
}

/// Returns the errors in a bundle that can be parsed but contradicts itself.
pub fn rules(bundle: &Bundle, text: &str) -> Vec<Diagnostic> {
    let Ok(table) = DeTable::parse(text) else {
        return Vec::new();
    };
    let mut check = Check {
        table,
        diagnostics: Vec::new(),
    };
    check.top_level(bundle);
    check.priorities(bundle);
    check.names(
        "read",
        "table",
        bundle.reads.iter().map(|read| &*read.table),
    );
    check.names(
        "write",
        "table",
        bundle.writes.iter().map(|write| &*write.table),
    );
    check.names("user", "name", bundle.users.iter().map(|user| &*user.name));
    check.users(bundle);
    check.names(
        "group",
        "name",
        bundle.groups.iter().map(|group| &*group.name),
    );
    check.groups(bundle);
    check
        .diagnostics
        .sort_by_key(|diagnostic| diagnostic.span.offset());
    check.diagnostics
}

struct Check<'i> {
    table: Spanned<DeTable<'i>>,
    diagnostics: Vec<Diagnostic>,
}

impl Check<'_> {
    fn report(&mut self, message: impl Into<String>, steps: &[Step<'_>]) {
        let span = span::find(&self.table, steps);
        self.diagnostics.push(Diagnostic::new(message, span));
    }

    fn top_level(&mut self, bundle: &Bundle) {
        if bundle.version == 0 {
            self.report(
                "the version is 0; versions start at 1",
                &[Step::Key("version")],
            );
        }
        if bundle.limits.queue == 0 {
            let steps = [Step::Key("limits"), Step::Key("queue")];
            self.report("the queue limit is 0, so no request could wait", &steps);
        }
        if bundle.priority(&bundle.default_priority).is_none() {
            let message = format!("the priority {} is not declared", bundle.default_priority);
            self.report(message, &[Step::Key("default_priority")]);
        }
        if bundle.groups.is_empty() {
            self.report("no group is declared", &[]);
        }
        for (index, selector) in bundle.ranks.iter().enumerate() {
            if bundle.priority(&selector.priority).is_none() {
                let message = format!("the priority {} is not declared", selector.priority);
                let steps = [Step::Key("rank"), Step::Index(index), Step::Key("priority")];
                self.report(message, &steps);
            }
        }
    }

    /// Reports names that are empty or occur more than once.
    fn names<'a>(&mut self, list: &str, key: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let steps = [Step::Key(list), Step::Index(index), Step::Key(key)];
            if name.is_empty() {
                self.report(format!("the {key} is empty"), &steps);
            }
            if !seen.insert(name) {
                self.report(format!("the {list} {name} is declared twice"), &steps);
            }
        }
    }

    fn priorities(&mut self, bundle: &Bundle) {
        let names = bundle.priorities.iter().map(|priority| &*priority.name);
        self.names("priority", "name", names);
        let mut sum: u32 = 0;
        for (index, priority) in bundle.priorities.iter().enumerate() {
            let at = |key| [Step::Key("priority"), Step::Index(index), Step::Key(key)];
            if priority.target.is_zero() {
                self.report("the target is 0, so no request can meet it", &at("target"));
            }
            if priority.worth == 0 {
                self.report("the worth is 0; it must be at least 1", &at("worth"));
            }
            sum = sum.saturating_add(priority.minimum_share);
            if sum > MAX_SHARE_SUM {
                let message = format!(
                    "the minimum shares up to here add up to {sum}%, more than {MAX_SHARE_SUM}%"
                );
                self.report(message, &at("minimum_share"));
            }
        }
    }

    fn users(&mut self, bundle: &Bundle) {
        for (index, user) in bundle.users.iter().enumerate() {
            if !user.has_verifier() {
                let steps = [Step::Key("user"), Step::Index(index), Step::Key("name")];
                // The span is that of the name, so that no report shows the keys.
                let message = "the verifier of this user is not of the form \
                    SCRAM-SHA-256$ITERATIONS:SALT$STORED-KEY:SERVER-KEY";
                self.report(message, &steps);
            }
        }
    }

    fn groups(&mut self, bundle: &Bundle) {
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, group) in bundle.groups.iter().enumerate() {
            if group.servers.is_empty() {
                let steps = [Step::Key("group"), Step::Index(index)];
                self.report(format!("the group {} has no server", group.name), &steps);
            }
            for (server_index, server) in group.servers.iter().enumerate() {
                let at = |key| {
                    [
                        Step::Key("group"),
                        Step::Index(index),
                        Step::Key("server"),
                        Step::Index(server_index),
                        Step::Key(key),
                    ]
                };
                if !names.insert(&server.name) {
                    let message = format!("the server {} is declared twice", server.name);
                    self.report(message, &at("name"));
                }
                if !addresses.insert(server.address) {
                    let message = format!("the address {} is used twice", server.address);
                    self.report(message, &at("address"));
                }
                self.server(server, at);
            }
        }
    }

    fn server<'a>(&mut self, server: &Server, at: impl Fn(&'a str) -> [Step<'a>; 5]) {
        if server.name.is_empty() {
            self.report("the name is empty", &at("name"));
        }
        if server.slots == 0 {
            self.report("a server needs at least one slot", &at("slots"));
        }
        if server.connections == 0 {
            self.report("a server needs at least one connection", &at("connections"));
        }
        if server.slots > server.connections {
            let message = format!(
                "{} slots cannot be used with only {} connections",
                server.slots, server.connections
            );
            self.report(message, &at("slots"));
        }
    }
}
