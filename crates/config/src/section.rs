//! The shape that every section's config struct has.

use crate::{document::RawSection, problem::ProblemList};

/// One option as the reference page shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionDoc {
    /// The key.
    pub key: &'static str,
    /// The default as it would be written; empty where the option is not set by default.
    pub default: String,
    /// What it does.
    pub meaning: String,
}

/// A config struct that is read from sections of one kind.
pub trait Section: Default {
    /// The first word of the section's header.
    const KIND: &'static str;
    /// What follows the kind in the header, such as `SERVICE/GROUP`; empty for none.
    const NAME_SHAPE: &'static str;
    /// What the section is for.
    const MEANING: &'static str;
    /// Every key that the section takes.
    const KEYS: &'static [&'static str];

    /// Sets one option; `None` when the key is not known.
    fn set(&mut self, key: &str, value: &str) -> Option<Result<(), String>>;
    /// Lists the options with their defaults.
    fn options() -> Vec<OptionDoc>;
}

/// Reads a section into its config struct, noting every mistake.
pub(crate) fn read_section<T: Section>(section: &RawSection, problems: &mut ProblemList<'_>) -> T {
    let mut options = T::default();
    let mut seen: Vec<&str> = Vec::new();
    for entry in &section.entries {
        if seen.contains(&entry.key.as_str()) {
            problems.add(entry.line, &entry.key, "the key stands twice in this section");
            continue;
        }
        seen.push(&entry.key);
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

/// Declares a config struct with one field for each option, its default and its meaning.
macro_rules! section {
    (
        $(#[doc = $outer:literal])*
        $name:ident in $kind:literal named $shape:literal {
            $($(#[doc = $meaning:literal])+ $field:ident: $type:ty = $default:expr,)*
        }
    ) => {
        $(#[doc = $outer])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[doc = $meaning])+ pub $field: $type,)*
        }

        impl Default for $name {
            fn default() -> $name {
                $name { $($field: $default,)* }
            }
        }

        impl crate::section::Section for $name {
            const KIND: &'static str = $kind;
            const NAME_SHAPE: &'static str = $shape;
            const MEANING: &'static str = concat!($($outer),*);
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
                    meaning: concat!($($meaning),+).trim().to_owned(),
                }),*]
            }
        }
    };
}

pub(crate) use section;
