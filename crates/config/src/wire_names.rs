//! The names of zones, classes and server kinds that messages contain.

use basaltgw::api::{ClassId, Role, ZoneId};

/// The names of classes, zones and server kinds in messages, in the order of the settings' lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WireNames {
    pub(crate) classes: Vec<String>,
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    /// The index of the kind whose servers are parent caches.
    pub(crate) parent_kind: Option<usize>,
    /// The index of the kind whose servers are the origin.
    pub(crate) origin_kind: Option<usize>,
}

impl WireNames {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        index_of(&self.classes, name).map(ClassId)
    }

    /// The zone of that name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        index_of(&self.zones, name).map(ZoneId)
    }

    /// The zone at an index of the list `settings.areas`.
    pub fn zone_by_index(&self, index: usize) -> Option<ZoneId> {
        (index < self.zones.len()).then_some(ZoneId(index))
    }

    /// The role of the servers of a kind, by the kind's name.
    pub fn role(&self, kind: &str) -> Option<Role> {
        self.role_by_index(index_of(&self.kinds, kind)?)
    }

    /// The role of the servers of a kind, by the kind's index in the list `settings.kinds`.
    pub fn role_by_index(&self, index: usize) -> Option<Role> {
        (index < self.kinds.len()).then_some(match Some(index) {
            kind if kind == self.parent_kind => Role::Parent,
            kind if kind == self.origin_kind => Role::Origin,
            _ => Role::Edge,
        })
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}
