//! What is sent before a statement so that it runs among its session's values and names.

use std::collections::{BTreeMap, HashMap};

use model::{Name, StatementClass};
use proptest::prelude::*;
use proxy::{
    serve::replay::{Environment, MAX_PREPARED, SessionValues},
    statement::{EndpointText, PreparedShape},
};

fn values(pairs: &[(&str, &str)]) -> SessionValues {
    pairs.iter().map(|(name, value)| (Name::from(*name), Name::from(*value))).collect()
}

fn shape(text: &str) -> PreparedShape {
    PreparedShape { class: StatementClass::Read, shape: Name::from(text) }
}

fn set(name: &str, value: &str) -> EndpointText {
    EndpointText::Set { name: Name::from(name), value: Name::from(value) }
}

#[test]
fn only_what_is_missing_is_sent() {
    let mut environment = Environment::default();
    let one = values(&[("a", "1")]);
    let two = values(&[("a", "1"), ("b", "2")]);
    let other = values(&[("a", "9")]);
    assert_eq!(environment.prepare_for(&values(&[]), None), []);
    assert_eq!(environment.prepare_for(&one, None), [set("a", "1")]);
    assert_eq!(environment.prepare_for(&one, None), []);
    assert_eq!(environment.prepare_for(&two, None), [set("b", "2")]);
    // A value that the session does not have can only be taken away with all others.
    assert_eq!(environment.prepare_for(&one, None), [EndpointText::Reset, set("a", "1")]);
    assert_eq!(environment.prepare_for(&other, None), [set("a", "9")]);
    assert_eq!(environment.prepare_for(&values(&[]), None), [EndpointText::Reset]);
}

#[test]
fn a_connection_with_too_many_shapes_is_reset() {
    let mut environment = Environment::default();
    for number in 0..MAX_PREPARED {
        let sent = environment.prepare_for(&values(&[]), Some(&shape(&format!("q{number}"))));
        assert!(matches!(sent[..], [EndpointText::Prepare { .. }]));
    }
    let sent = environment.prepare_for(&values(&[]), Some(&shape("one more")));
    assert!(matches!(sent[..], [EndpointText::Reset, EndpointText::Prepare { .. }]));
    assert_eq!(environment.number_of(&shape("q0")), None);
}

/// A server's side of a connection, by what it is sent.
#[derive(Default)]
struct Side {
    values: BTreeMap<Name, Name>,
    prepared: HashMap<u32, PreparedShape>,
}

impl Side {
    fn take(&mut self, text: EndpointText) {
        match text {
            EndpointText::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            EndpointText::Set { name, value } => {
                self.values.insert(name, value);
            }
            EndpointText::Prepare { number, shape } => {
                assert!(self.prepared.insert(number, shape).is_none(), "a number is used once");
            }
            other => panic!("not a part of a session: {other:?}"),
        }
    }
}

proptest! {
    #[test]
    fn whatever_sessions_take_turns_each_finds_its_own(
        turns in prop::collection::vec(
            (prop::collection::btree_map(0_u8..4, 0_u8..3, 0..4), prop::option::of(0_u8..5)),
            1..60,
        )
    ) {
        let mut environment = Environment::default();
        let mut side = Side::default();
        for (session, wanted_shape) in turns {
            let wanted: SessionValues = session
                .iter()
                .map(|(name, value)| (Name::from(name.to_string()), Name::from(value.to_string())))
                .collect();
            let wanted_shape = wanted_shape.map(|number| shape(&number.to_string()));
            for text in environment.prepare_for(&wanted, wanted_shape.as_ref()) {
                side.take(text);
            }
            prop_assert_eq!(&side.values, &wanted);
            if let Some(shape) = wanted_shape {
                let number = environment.number_of(&shape).unwrap();
                prop_assert_eq!(side.prepared.get(&number), Some(&shape));
            }
        }
    }
}
