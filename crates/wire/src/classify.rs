//! What a statement may do.
//!
//! The rule is to be safe by default: only what is shown to change nothing is a read, and session
//! state that pooled connections can't carry is refused rather than silently lost.

use sqlparser::{
    ast::{
        ContextModifier, Declare, Expr, Reset, Set, Statement, TransactionAccessMode,
        TransactionMode, Value,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
    tokenizer::{Token, Tokenizer},
};

use crate::read_check::{changes_nothing, uses_session_function};

/// The effect of one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Shown to change nothing.
    Read,
    /// May change data.
    Write,
    /// Only concerns the transaction that it stands in, such as a savepoint.
    Neutral,
    /// Begins a transaction.
    Begin {
        /// Whether it declares to change nothing.
        read_only: bool,
    },
    /// Ends a transaction, keeping its changes.
    Commit,
    /// Ends a transaction, dropping its changes.
    Rollback,
    /// Sets a session setting.
    Set {
        /// The setting's name in lower case.
        name: String,
        /// The value as plain text; `None` for the default.
        value: Option<String>,
    },
    /// Resets every session setting.
    ResetAll,
    /// Shows a setting.
    Show {
        /// The setting's name in lower case.
        name: String,
    },
    /// Drops all session state.
    Discard,
    /// No statement at all, as far as can be told.
    Invalid {
        /// What the parser says.
        message: String,
    },
    /// Can't be carried by pooled connections.
    Refused {
        /// What it is, for the message to the caller.
        what: &'static str,
    },
}

/// The effects of a text's statements, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// One effect for each statement; none for an empty text.
    pub effects: Vec<Effect>,
}

impl Classification {
    /// Whether every statement is shown to change nothing.
    pub fn is_read(&self) -> bool {
        !self.effects.is_empty() && self.effects.iter().all(|effect| *effect == Effect::Read)
    }

    /// Whether any statement may change data.
    pub fn may_write(&self) -> bool {
        self.effects.contains(&Effect::Write)
    }

    /// Whether the daemon answers every statement itself.
    pub fn is_local(&self) -> bool {
        !self.effects.is_empty() && self.effects.iter().all(is_local)
    }

    /// Returns what is wrong with the text, if it is no statement.
    pub fn invalid(&self) -> Option<&str> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Invalid { message } => Some(message.as_str()),
            _ => None,
        })
    }

    /// Returns what can't be carried out here, if anything.
    pub fn refused(&self) -> Option<&'static str> {
        let refused = self.effects.iter().find_map(|effect| match effect {
            Effect::Refused { what } => Some(*what),
            _ => None,
        });
        let mixed = self.effects.iter().any(is_local) && !self.is_local();
        refused.or(mixed.then_some("SET, SHOW or DISCARD together with other statements"))
    }
}

fn is_local(effect: &Effect) -> bool {
    match effect {
        Effect::Set { .. } | Effect::ResetAll | Effect::Discard => true,
        Effect::Show { name } => name.starts_with("wardtiller."),
        _ => false,
    }
}

/// Classifies a text. `read_functions` are functions that operators declare to change nothing.
pub fn classify(sql: &str, read_functions: &[&str]) -> Classification {
    let effects = match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) => {
            statements.iter().map(|statement| statement_effect(statement, read_functions)).collect()
        }
        Err(error) => vec![unparsed_effect(sql, &error.to_string())],
    };
    Classification { effects }
}

fn statement_effect(statement: &Statement, read_functions: &[&str]) -> Effect {
    if uses_session_function(statement) {
        return Effect::Refused { what: "a function that changes or reads session state" };
    }
    match statement {
        Statement::Query(_) if changes_nothing(statement, read_functions) => Effect::Read,
        Statement::Explain { analyze: false, options: None, .. } => Effect::Read,
        Statement::ShowVariable { variable } => {
            let parts: Vec<String> = variable.iter().map(|ident| ident.value.clone()).collect();
            Effect::Show { name: parts.join(".").to_lowercase() }
        }
        Statement::StartTransaction { modes, statements, .. } if statements.is_empty() => {
            Effect::Begin { read_only: is_read_only(modes) }
        }
        Statement::Commit { chain: false, .. } => Effect::Commit,
        Statement::Rollback { chain: false, savepoint: None } => Effect::Rollback,
        Statement::Rollback { savepoint: Some(_), .. }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. } => Effect::Neutral,
        Statement::Set(set) => set_effect(set),
        Statement::Reset(reset) => match &reset.reset {
            Reset::ALL => Effect::ResetAll,
            Reset::ConfigurationParameter(name) => {
                Effect::Set { name: name.to_string().to_lowercase(), value: None }
            }
            Reset::SessionAuthorization => Effect::Refused { what: "RESET SESSION AUTHORIZATION" },
        },
        Statement::Discard { .. } => Effect::Discard,
        Statement::CreateTable(table) if table.temporary => {
            Effect::Refused { what: "a temporary table" }
        }
        Statement::CreateView(view) if view.temporary => {
            Effect::Refused { what: "a temporary view" }
        }
        Statement::CreateSequence { temporary: true, .. } => {
            Effect::Refused { what: "a temporary sequence" }
        }
        Statement::Load { .. } | Statement::Use(_) => {
            Effect::Refused { what: "LOAD and USE, which change the connection" }
        }
        Statement::Copy { .. } => Effect::Refused { what: "COPY" },
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            Effect::Refused { what: "LISTEN and UNLISTEN" }
        }
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Effect::Refused {
                what: "PREPARE, EXECUTE and DEALLOCATE as statements (the protocol's own prepared \
                       statements work)",
            }
        }
        Statement::Declare { stmts, .. } if stmts.iter().any(keeps_cursor) => {
            Effect::Refused { what: "a cursor WITH HOLD" }
        }
        Statement::Commit { .. } | Statement::Rollback { .. } => {
            Effect::Refused { what: "COMMIT AND CHAIN and ROLLBACK AND CHAIN" }
        }
        _ => Effect::Write,
    }
}

fn keeps_cursor(declare: &Declare) -> bool {
    declare.hold == Some(true)
}

fn is_read_only(modes: &[TransactionMode]) -> bool {
    modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly))
}

fn set_effect(set: &Set) -> Effect {
    match set {
        Set::SingleAssignment { scope: Some(ContextModifier::Local), .. }
        | Set::SetTimeZone { local: true, .. } => Effect::Neutral,
        Set::SetTransaction { session: false, .. } => Effect::Neutral,
        Set::SingleAssignment { variable, values, .. } => {
            Effect::Set { name: variable.to_string().to_lowercase(), value: plain_values(values) }
        }
        Set::SetTimeZone { value, .. } => {
            Effect::Set { name: "timezone".to_owned(), value: plain_value(value) }
        }
        Set::SetNames { charset_name, .. } => Effect::Set {
            name: "client_encoding".to_owned(),
            value: Some(charset_name.to_string().trim_matches('\'').to_owned()),
        },
        _ => Effect::Refused { what: "this form of SET" },
    }
}

fn plain_values(values: &[Expr]) -> Option<String> {
    let parts: Option<Vec<String>> = values.iter().map(plain_value).collect();
    parts.map(|parts| parts.join(", "))
}

/// Returns a setting's value as text; `None` for `DEFAULT`.
fn plain_value(value: &Expr) -> Option<String> {
    match value {
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text) | Value::DoubleQuotedString(text) => Some(text.clone()),
            other => Some(other.to_string()),
        },
        Expr::Identifier(ident) if ident.value.eq_ignore_ascii_case("default") => None,
        Expr::Identifier(ident) => Some(ident.value.clone()),
        other => Some(other.to_string()),
    }
}

/// Statements that the parser may not know every form of, and that only change data.
const PLAIN_WRITES: [&str; 27] = [
    "INSERT", "UPDATE", "DELETE", "MERGE", "SELECT", "WITH", "CREATE", "ALTER", "DROP", "TRUNCATE",
    "GRANT", "REVOKE", "COMMENT", "VACUUM", "ANALYZE", "REINDEX", "CALL", "DO", "EXPLAIN",
    "REFRESH", "LOCK", "VALUES", "TABLE", "CLUSTER", "REASSIGN", "SECURITY", "NOTIFY",
];

/// First words of statements that may change session state in a form that the parser does not know.
const SESSION_WORDS: [&str; 16] = [
    "LISTEN",
    "UNLISTEN",
    "PREPARE",
    "EXECUTE",
    "DEALLOCATE",
    "DECLARE",
    "FETCH",
    "MOVE",
    "CLOSE",
    "COPY",
    "SET",
    "RESET",
    "DISCARD",
    "BEGIN",
    "START",
    "LOAD",
];

const UNKNOWN_STATEMENT: &str = "a statement that can't be shown to be safe on pooled connections";

/// Judges a text that the parser can't read: by its first word, and only if it is one statement.
fn unparsed_effect(sql: &str, problem: &str) -> Effect {
    let invalid = || Effect::Invalid { message: problem.to_owned() };
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return invalid();
    };
    let mut words = tokens.iter().filter(|token| !matches!(token, Token::Whitespace(_)));
    let first = match words.next() {
        Some(Token::Word(word)) => word.value.to_uppercase(),
        _ => return invalid(),
    };
    let known = PLAIN_WRITES.contains(&first.as_str()) || SESSION_WORDS.contains(&first.as_str());
    if !known {
        return invalid();
    }
    let separators = tokens.iter().filter(|token| **token == Token::SemiColon).count();
    let ends_with_separator = words.next_back() == Some(&Token::SemiColon);
    let single = separators <= usize::from(ends_with_separator);
    let temporary = tokens.iter().any(|token| {
        matches!(token, Token::Word(word) if ["TEMP", "TEMPORARY"]
            .contains(&word.value.to_uppercase().as_str()))
    });
    if single && !temporary && PLAIN_WRITES.contains(&first.as_str()) {
        Effect::Write
    } else {
        Effect::Refused { what: UNKNOWN_STATEMENT }
    }
}
