//! Parses an INI document into sections and entries with their line numbers.

use ini_core::{Item, Parser};

use crate::problem::ProblemList;

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RawEntry {
    pub(crate) line: u32,
    pub(crate) key: String,
    pub(crate) value: String,
}

/// A section, with its header split into kind and name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RawSection {
    pub(crate) line: u32,
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) entries: Vec<RawEntry>,
}

/// Parses a document; lines that can't be parsed are added to `problems` and skipped.
pub(crate) fn read_document(text: &str, problems: &mut ProblemList<'_>) -> Vec<RawSection> {
    let mut sections: Vec<RawSection> = Vec::new();
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        let Some(item) = parser.next() else { break };
        match item {
            Item::Section(header) => sections.push(read_header(header, line)),
            Item::Property(key, value) => {
                read_property(key, value, line, sections.last_mut(), problems);
            }
            Item::Error(found) => problems.add(
                line,
                found,
                "a section's header ends with `]` and nothing may follow it",
            ),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    sections
}

fn read_header(header: &str, line: u32) -> RawSection {
    let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
    RawSection { line, kind: kind.to_owned(), name: name.trim().to_owned(), entries: Vec::new() }
}

fn read_property(
    key: &str,
    value: Option<&str>,
    line: u32,
    section: Option<&mut RawSection>,
    problems: &mut ProblemList<'_>,
) {
    if key.is_empty() && value.is_none() {
        return;
    }
    if key.starts_with('#') {
        problems.add_with(
            line,
            key,
            "not a comment",
            Some("comments begin with `;` at the start of a line".to_owned()),
        );
        return;
    }
    let Some(value) = value else {
        problems.add_with(
            line,
            key,
            "a key without a value",
            Some(format!("write `{key} = …`, with nothing after the `=` to leave the key unset")),
        );
        return;
    };
    let Some(section) = section else {
        problems.add(line, key, "the key comes before the first section");
        return;
    };
    section.entries.push(RawEntry { line, key: key.to_owned(), value: value.to_owned() });
}
