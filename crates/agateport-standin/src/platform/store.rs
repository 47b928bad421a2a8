//! Rows, objects and VMs of the platform, in memory.

use agateport_wire::platform::{Operation, Row, RowVersion, Vm};
use axum::body::Bytes;
use std::collections::BTreeMap;

/// State of the platform.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    vms: Vec<Vm>,
}

impl Store {
    /// Returns a row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Applies all operations and returns true, or applies none and returns false if
    /// a row does not have its expected version.
    pub fn commit(&mut self, operations: Vec<Operation>) -> bool {
        let is_expected =
            |operation: &Operation| self.version(&operation.key) == operation.expected;
        if !operations.iter().all(is_expected) {
            return false;
        }
        for operation in operations {
            let row = Row {
                version: operation.expected + 1,
                value: operation.value,
            };
            self.rows.insert(operation.key, row);
        }
        true
    }

    /// Returns an object.
    pub fn object(&self, key: &str) -> Option<Bytes> {
        self.objects.get(key).cloned()
    }

    /// Sets an object.
    pub fn put_object(&mut self, key: String, bytes: Bytes) {
        self.objects.insert(key, bytes);
    }

    /// Returns the list of VMs.
    pub fn vms(&self) -> Vec<Vm> {
        self.vms.clone()
    }

    /// Sets the list of VMs.
    pub fn put_vms(&mut self, vms: Vec<Vm>) {
        self.vms = vms;
    }

    fn version(&self, key: &str) -> RowVersion {
        self.rows.get(key).map_or(0, |row| row.version)
    }
}
