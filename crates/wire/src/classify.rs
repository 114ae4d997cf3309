//! Classifies statements by their effect.
//!
//! Only a provably read-only statement counts as a read, and a statement that needs session state
//! beyond the replayed settings is refused, since pooling would silently lose that state.

use sqlparser::{
    ast::{
        ContextModifier, Declare, Expr, Reset, Set, Statement, TransactionAccessMode,
        TransactionMode, Value,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
    tokenizer::{Token, Tokenizer},
};

use crate::read_check::{is_read_only, uses_session_function};

/// The effect of one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Provably read-only.
    Read,
    /// May change data.
    Write,
    /// Affects only the current transaction, such as a savepoint.
    Neutral,
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
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
    /// Discards all session state.
    Discard,
    /// Not a valid statement.
    Invalid {
        /// The parser's error.
        message: String,
    },
    /// Not supported on pooled connections.
    Unsupported {
        /// The unsupported feature, for the message to the caller.
        feature: &'static str,
    },
}

/// The effects of a text's statements, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// One effect per statement; empty for an empty text.
    pub effects: Vec<Effect>,
}

impl Classification {
    /// Whether every statement is provably read-only.
    pub fn is_read(&self) -> bool {
        !self.effects.is_empty() && self.effects.iter().all(|effect| *effect == Effect::Read)
    }

    /// Whether any statement may change data.
    pub fn may_write(&self) -> bool {
        self.effects.contains(&Effect::Write)
    }

    /// Whether the daemon itself answers every statement.
    pub fn is_local(&self) -> bool {
        !self.effects.is_empty() && self.effects.iter().all(is_local)
    }

    /// Returns the parser's error if the text is not valid.
    pub fn parse_error(&self) -> Option<&str> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Invalid { message } => Some(message.as_str()),
            _ => None,
        })
    }

    /// Returns the first unsupported feature, including a mix of local and other statements.
    pub fn unsupported_feature(&self) -> Option<&'static str> {
        let unsupported = self.effects.iter().find_map(|effect| match effect {
            Effect::Unsupported { feature } => Some(*feature),
            _ => None,
        });
        let is_mixed = self.effects.iter().any(is_local) && !self.is_local();
        unsupported.or(is_mixed.then_some("SET, SHOW or DISCARD together with other statements"))
    }
}

fn is_local(effect: &Effect) -> bool {
    match effect {
        Effect::Set { .. } | Effect::ResetAll | Effect::Discard => true,
        Effect::Show { name } => name.starts_with("wardtiller."),
        _ => false,
    }
}

/// Classifies a text. `read_functions` are additional functions that operators declare read-only.
pub fn classify(sql: &str, read_functions: &[&str]) -> Classification {
    let effects = match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) => {
            statements.iter().map(|statement| statement_effect(statement, read_functions)).collect()
        }
        Err(error) => vec![effect_by_keyword(sql, &error.to_string())],
    };
    Classification { effects }
}

fn statement_effect(statement: &Statement, read_functions: &[&str]) -> Effect {
    if uses_session_function(statement) {
        return Effect::Unsupported { feature: "a function that changes or reads session state" };
    }
    match statement {
        Statement::Query(_) if is_read_only(statement, read_functions) => Effect::Read,
        Statement::Explain { analyze: false, options: None, .. } => Effect::Read,
        Statement::ShowVariable { variable } => {
            let parts: Vec<String> = variable.iter().map(|ident| ident.value.clone()).collect();
            Effect::Show { name: parts.join(".").to_lowercase() }
        }
        Statement::StartTransaction { modes, statements, .. } if statements.is_empty() => {
            Effect::Begin { read_only: has_read_only_mode(modes) }
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
            Reset::SessionAuthorization => {
                Effect::Unsupported { feature: "RESET SESSION AUTHORIZATION" }
            }
        },
        Statement::Discard { .. } => Effect::Discard,
        Statement::CreateTable(table) if table.temporary => {
            Effect::Unsupported { feature: "a temporary table" }
        }
        Statement::CreateView(view) if view.temporary => {
            Effect::Unsupported { feature: "a temporary view" }
        }
        Statement::CreateSequence { temporary: true, .. } => {
            Effect::Unsupported { feature: "a temporary sequence" }
        }
        Statement::Load { .. } | Statement::Use(_) => {
            Effect::Unsupported { feature: "LOAD and USE, which change the connection" }
        }
        Statement::Copy { .. } => Effect::Unsupported { feature: "COPY" },
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            Effect::Unsupported { feature: "LISTEN and UNLISTEN" }
        }
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            Effect::Unsupported {
                feature: "PREPARE, EXECUTE and DEALLOCATE as statements (the protocol's own \
                          prepared statements work)",
            }
        }
        Statement::Declare { stmts, .. } if stmts.iter().any(is_with_hold) => {
            Effect::Unsupported { feature: "a cursor WITH HOLD" }
        }
        Statement::Commit { .. } | Statement::Rollback { .. } => {
            Effect::Unsupported { feature: "COMMIT AND CHAIN and ROLLBACK AND CHAIN" }
        }
        _ => Effect::Write,
    }
}

fn is_with_hold(declare: &Declare) -> bool {
    declare.hold == Some(true)
}

fn has_read_only_mode(modes: &[TransactionMode]) -> bool {
    modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly))
}

fn set_effect(set: &Set) -> Effect {
    match set {
        Set::SingleAssignment { scope: Some(ContextModifier::Local), .. }
        | Set::SetTimeZone { local: true, .. } => Effect::Neutral,
        Set::SetTransaction { session: false, .. } => Effect::Neutral,
        Set::SingleAssignment { variable, values, .. } => Effect::Set {
            name: variable.to_string().to_lowercase(),
            value: setting_text_of_list(values),
        },
        Set::SetTimeZone { value, .. } => {
            Effect::Set { name: "timezone".to_owned(), value: setting_text(value) }
        }
        Set::SetNames { charset_name, .. } => Effect::Set {
            name: "client_encoding".to_owned(),
            value: Some(charset_name.to_string().trim_matches('\'').to_owned()),
        },
        _ => Effect::Unsupported { feature: "this form of SET" },
    }
}

fn setting_text_of_list(values: &[Expr]) -> Option<String> {
    let parts: Option<Vec<String>> = values.iter().map(setting_text).collect();
    parts.map(|parts| parts.join(", "))
}

/// Returns a setting's value as text; `None` for `DEFAULT`.
fn setting_text(value: &Expr) -> Option<String> {
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

/// First keywords of statements that have no effect on session state, unless they create a temporary object.
const WRITE_KEYWORDS: [&str; 27] = [
    "INSERT", "UPDATE", "DELETE", "MERGE", "SELECT", "WITH", "CREATE", "ALTER", "DROP", "TRUNCATE",
    "GRANT", "REVOKE", "COMMENT", "VACUUM", "ANALYZE", "REINDEX", "CALL", "DO", "EXPLAIN",
    "REFRESH", "LOCK", "VALUES", "TABLE", "CLUSTER", "REASSIGN", "SECURITY", "NOTIFY",
];

/// First keywords of statements that may change session state.
const SESSION_KEYWORDS: [&str; 16] = [
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

/// Classifies a text that the parser rejects by its first keyword.
///
/// The parser does not know every form of every statement. A single statement with a write keyword
/// counts as a write, any other text with a known keyword is refused, and the rest is invalid.
fn effect_by_keyword(sql: &str, parse_error: &str) -> Effect {
    let invalid = || Effect::Invalid { message: parse_error.to_owned() };
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return invalid();
    };
    let mut words = tokens.iter().filter(|token| !matches!(token, Token::Whitespace(_)));
    let first = match words.next() {
        Some(Token::Word(word)) => word.value.to_uppercase(),
        _ => return invalid(),
    };
    let is_keyword =
        WRITE_KEYWORDS.contains(&first.as_str()) || SESSION_KEYWORDS.contains(&first.as_str());
    if !is_keyword {
        return invalid();
    }
    let separators = tokens.iter().filter(|token| **token == Token::SemiColon).count();
    let ends_with_separator = words.next_back() == Some(&Token::SemiColon);
    let is_single = separators <= usize::from(ends_with_separator);
    let is_temporary = tokens.iter().any(|token| {
        matches!(token, Token::Word(word) if ["TEMP", "TEMPORARY"]
            .contains(&word.value.to_uppercase().as_str()))
    });
    if is_single && !is_temporary && WRITE_KEYWORDS.contains(&first.as_str()) {
        Effect::Write
    } else {
        Effect::Unsupported { feature: UNKNOWN_STATEMENT }
    }
}
