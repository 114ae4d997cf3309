//! The commands sent before a statement to restore the values and prepared statements of its session.

use std::collections::{BTreeMap, HashMap};

use model::{Name, StatementClass};
use proptest::prelude::*;
use proxy::{
    serve::replay::{Environment, MAX_PREPARED, SessionValues},
    statement::{EndpointOperation, PreparedStatement},
};

fn values(pairs: &[(&str, &str)]) -> SessionValues {
    pairs.iter().map(|(name, value)| (Name::from(*name), Name::from(*value))).collect()
}

fn statement(text: &str) -> PreparedStatement {
    PreparedStatement { class: StatementClass::Read, text: Name::from(text) }
}

fn set(name: &str, value: &str) -> EndpointOperation {
    EndpointOperation::Set { name: Name::from(name), value: Name::from(value) }
}

#[test]
fn only_missing_values_are_sent() {
    let mut environment = Environment::default();
    let one = values(&[("a", "1")]);
    let two = values(&[("a", "1"), ("b", "2")]);
    let other = values(&[("a", "9")]);
    assert_eq!(environment.prepare_for(&values(&[]), None), []);
    assert_eq!(environment.prepare_for(&one, None), [set("a", "1")]);
    assert_eq!(environment.prepare_for(&one, None), []);
    assert_eq!(environment.prepare_for(&two, None), [set("b", "2")]);
    // A single value can't be unset, so the connection is reset.
    assert_eq!(environment.prepare_for(&one, None), [EndpointOperation::Reset, set("a", "1")]);
    assert_eq!(environment.prepare_for(&other, None), [set("a", "9")]);
    assert_eq!(environment.prepare_for(&values(&[]), None), [EndpointOperation::Reset]);
}

#[test]
fn a_connection_with_too_many_prepared_statements_is_reset() {
    let mut environment = Environment::default();
    for number in 0..MAX_PREPARED {
        let sent = environment.prepare_for(&values(&[]), Some(&statement(&format!("q{number}"))));
        assert!(matches!(sent[..], [EndpointOperation::Prepare { .. }]));
    }
    let sent = environment.prepare_for(&values(&[]), Some(&statement("one more")));
    assert!(matches!(sent[..], [EndpointOperation::Reset, EndpointOperation::Prepare { .. }]));
    assert_eq!(environment.number_of(&statement("q0")), None);
}

/// Model of the state that a server holds for a connection.
#[derive(Default)]
struct ServerSide {
    values: BTreeMap<Name, Name>,
    prepared: HashMap<u32, PreparedStatement>,
}

impl ServerSide {
    fn apply(&mut self, operation: EndpointOperation) {
        match operation {
            EndpointOperation::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            EndpointOperation::Set { name, value } => {
                self.values.insert(name, value);
            }
            EndpointOperation::Prepare { number, statement } => {
                assert!(
                    self.prepared.insert(number, statement).is_none(),
                    "number {number} was reused"
                );
            }
            other => panic!("unexpected command: {other:?}"),
        }
    }
}

proptest! {
    #[test]
    fn sessions_on_a_shared_connection_see_only_their_own_state(
        statements in prop::collection::vec(
            (prop::collection::btree_map(0_u8..4, 0_u8..3, 0..4), prop::option::of(0_u8..5)),
            1..60,
        )
    ) {
        let mut environment = Environment::default();
        let mut server = ServerSide::default();
        for (session, wanted_statement) in statements {
            let wanted: SessionValues = session
                .iter()
                .map(|(name, value)| (Name::from(name.to_string()), Name::from(value.to_string())))
                .collect();
            let wanted_statement = wanted_statement.map(|number| statement(&number.to_string()));
            for operation in environment.prepare_for(&wanted, wanted_statement.as_ref()) {
                server.apply(operation);
            }
            prop_assert_eq!(&server.values, &wanted);
            if let Some(statement) = wanted_statement {
                let number = environment.number_of(&statement).unwrap();
                prop_assert_eq!(server.prepared.get(&number), Some(&statement));
            }
        }
    }
}
