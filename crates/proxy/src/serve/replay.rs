//! Replays the values and prepared statements of a session on the connection that runs its next statement.
//!
//! Sessions outnumber the connections to a server, so no session is bound to one. The values on a connection
//! must match the session exactly. Prepared statements are shared by class and text, and numbered per connection, so
//! that names of different sessions can't collide. See `docs/PLATFORM.md`, "Sessions".

use std::collections::{BTreeMap, HashMap};

use model::Name;

use crate::statement::{EndpointOperation, PreparedStatement};

/// Maximum number of statements prepared on one connection. The connection is reset before a further one is prepared,
/// to bound the memory use of the server.
pub const MAX_PREPARED: usize = 256;

/// The values of a session, by name.
pub type SessionValues = BTreeMap<Name, Name>;

/// The session state that a server holds for a connection.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    values: SessionValues,
    prepared: HashMap<PreparedStatement, u32>,
    next_number: u32,
}

impl Environment {
    /// Whether the values match exactly, so that nothing needs to be sent for them.
    pub fn has_values(&self, wanted: &SessionValues) -> bool {
        self.values == *wanted
    }

    /// Whether the values can be changed to the wanted ones without a reset.
    pub fn can_become(&self, wanted: &SessionValues) -> bool {
        self.values.keys().all(|name| wanted.contains_key(name))
    }

    /// Returns the number of a prepared statement; `None` if it is not prepared on this connection.
    pub fn number_of(&self, statement: &PreparedStatement) -> Option<u32> {
        self.prepared.get(statement).copied()
    }

    /// Returns the commands to send before a statement that needs these values and this prepared statement, and records
    /// them as applied. The connection must be closed if any of them fails.
    pub fn prepare_for(
        &mut self,
        wanted: &SessionValues,
        statement: Option<&PreparedStatement>,
    ) -> Vec<EndpointOperation> {
        let mut commands = Vec::new();
        if !self.can_become(wanted) || self.is_full_for(statement) {
            commands.push(EndpointOperation::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in wanted {
            if self.values.get(name) != Some(value) {
                commands.push(EndpointOperation::Set { name: name.clone(), value: value.clone() });
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(statement) = statement
            && !self.prepared.contains_key(statement)
        {
            let number = self.next_number;
            self.next_number += 1;
            commands.push(EndpointOperation::Prepare { number, statement: statement.clone() });
            self.prepared.insert(statement.clone(), number);
        }
        commands
    }

    fn is_full_for(&self, statement: Option<&PreparedStatement>) -> bool {
        let is_new = statement.is_some_and(|statement| !self.prepared.contains_key(statement));
        is_new && self.prepared.len() >= MAX_PREPARED
    }
}
