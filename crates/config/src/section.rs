//! The trait of config structs, and the macro that declares them.

use crate::{document::RawSection, problem::ProblemList};

/// An option as shown on the reference page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionDoc {
    /// The key.
    pub key: &'static str,
    /// The default in the syntax of the file; empty if the option is unset by default.
    pub default: String,
    /// What the option does.
    pub description: String,
}

/// A config struct, which holds the options of one kind of section.
pub trait Section: Default {
    /// The first word of the section's header.
    const KIND: &'static str;
    /// The form of the name after the kind, such as `SERVICE/GROUP`; empty if the section has no name.
    const NAME_PATTERN: &'static str;
    /// What the section is for.
    const DESCRIPTION: &'static str;
    /// Every key that is allowed in the section.
    const KEYS: &'static [&'static str];

    /// Parses and sets one option.
    ///
    /// Returns `None` if the key is unknown, and a message if the value is invalid.
    fn set(&mut self, key: &str, value: &str) -> Option<Result<(), String>>;
    /// Describes every option with its default.
    fn options() -> Vec<OptionDoc>;
}

/// Reads a section into its config struct and adds every mistake to `problems`.
pub(crate) fn read_section<T: Section>(section: &RawSection, problems: &mut ProblemList<'_>) -> T {
    let mut options = T::default();
    let mut seen_keys: Vec<&str> = Vec::new();
    for entry in &section.entries {
        if seen_keys.contains(&entry.key.as_str()) {
            problems.add(entry.line, &entry.key, "duplicate key in this section");
            continue;
        }
        seen_keys.push(&entry.key);
        match options.set(&entry.key, &entry.value) {
            Some(Ok(())) => {}
            Some(Err(message)) => problems.add(entry.line, &entry.key, message),
            None => problems.add_with(
                entry.line,
                &entry.key,
                format!("unknown key in [{}]", T::KIND),
                crate::problem::suggest(&entry.key, T::KEYS.iter().copied()),
            ),
        }
    }
    options
}

/// Declares a config struct with one field per option, with its default and description.
///
/// The doc comments are printed into `docs/CONFIGURATION.md`, and the names of fields are the keys.
macro_rules! section {
    (
        $(#[doc = $outer:literal])*
        $name:ident in $kind:literal named $pattern:literal {
            $($(#[doc = $description:literal])+ $field:ident: $type:ty = $default:expr,)*
        }
    ) => {
        $(#[doc = $outer])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[doc = $description])+ pub $field: $type,)*
        }

        impl Default for $name {
            fn default() -> $name {
                $name { $($field: $default,)* }
            }
        }

        impl crate::section::Section for $name {
            const KIND: &'static str = $kind;
            const NAME_PATTERN: &'static str = $pattern;
            const DESCRIPTION: &'static str = concat!($($outer),*);
            const KEYS: &'static [&'static str] = &[$(stringify!($field)),*];

            fn set(&mut self, key: &str, value: &str) -> Option<Result<(), String>> {
                match key {
                    $(stringify!($field) => {
                        let parsed = <$type as crate::option_value::OptionValue>::parse(value);
                        Some(parsed.map(|parsed| self.$field = parsed))
                    })*
                    _ => None,
                }
            }

            fn options() -> Vec<crate::section::OptionDoc> {
                let defaults = $name::default();
                vec![$(crate::section::OptionDoc {
                    key: stringify!($field),
                    default: crate::option_value::OptionValue::render(&defaults.$field),
                    description: concat!($($description),+).trim().to_owned(),
                }),*]
            }
        }
    };
}

pub(crate) use section;
