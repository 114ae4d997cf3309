//! What a session has set and prepared, brought onto whichever connection runs its next statement.
//!
//! Sessions outnumber the connections to a server, so none is tied to one. Values must be exactly the
//! session's own; prepared statements are shared by shape, under numbers of the connection's own, so
//! that the names of two sessions never meet. See `docs/PLATFORM.md`, "Sessions".

use std::collections::{BTreeMap, HashMap};

use model::Name;

use crate::statement::{EndpointText, PreparedShape};

/// Shapes that one connection keeps; beyond, it is reset, so that a server's memory stays bounded.
pub const MAX_PREPARED: usize = 256;

/// The values of a session, by name.
pub type SessionValues = BTreeMap<Name, Name>;

/// What a server's side of a connection holds.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    values: SessionValues,
    prepared: HashMap<PreparedShape, u32>,
    next_number: u32,
}

impl Environment {
    /// Whether the values are exactly these, so that nothing need be sent for them.
    pub fn has_values(&self, wanted: &SessionValues) -> bool {
        self.values == *wanted
    }

    /// Whether the values can become these without a reset.
    pub fn can_become(&self, wanted: &SessionValues) -> bool {
        self.values.keys().all(|name| wanted.contains_key(name))
    }

    /// Returns the number of a shape; `None` if it has not been prepared here.
    pub fn number_of(&self, shape: &PreparedShape) -> Option<u32> {
        self.prepared.get(shape).copied()
    }

    /// Lists what has to be sent before a statement with these values and this shape can run, and
    /// takes it as done: a connection on which part of it fails must be given up.
    pub fn prepare_for(
        &mut self,
        wanted: &SessionValues,
        shape: Option<&PreparedShape>,
    ) -> Vec<EndpointText> {
        let mut commands = Vec::new();
        if !self.can_become(wanted) || self.is_full_for(shape) {
            commands.push(EndpointText::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in wanted {
            if self.values.get(name) != Some(value) {
                commands.push(EndpointText::Set { name: name.clone(), value: value.clone() });
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = shape
            && !self.prepared.contains_key(shape)
        {
            let number = self.next_number;
            self.next_number += 1;
            commands.push(EndpointText::Prepare { number, shape: shape.clone() });
            self.prepared.insert(shape.clone(), number);
        }
        commands
    }

    fn is_full_for(&self, shape: Option<&PreparedShape>) -> bool {
        let is_new = shape.is_some_and(|shape| !self.prepared.contains_key(shape));
        is_new && self.prepared.len() >= MAX_PREPARED
    }
}
