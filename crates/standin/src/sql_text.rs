//! Inspection of SQL text.

use sqlparser::{
    dialect::PostgreSqlDialect,
    tokenizer::{Token, Tokenizer},
};

use crate::{database::first_word, value_codec::ValueType};

/// Returns whether a statement calls one of the control functions that daemons use on endpoints.
pub(crate) fn is_control_call(sql: &str) -> bool {
    sql.trim().starts_with("SELECT wardtiller_")
}

/// Returns whether SQLite executes the statement, rather than the stand-in itself.
pub(crate) fn runs_in_database(sql: &str) -> bool {
    let without_database =
        ["BEGIN", "START", "COMMIT", "END", "ROLLBACK", "SET", "RESET", "DISCARD", "SHOW", ""];
    !is_control_call(sql)
        && sleep_seconds(sql).is_none()
        && !without_database.contains(&first_word(sql).as_str())
}

/// Returns the duration in seconds if the statement is a call of `pg_sleep`.
pub(crate) fn sleep_seconds(sql: &str) -> Option<f64> {
    let argument = sql.trim().to_lowercase();
    let argument = argument.strip_prefix("select pg_sleep(")?.split(')').next()?.to_owned();
    argument.trim().parse().ok()
}

/// Splits the text of a simple query into its statements.
pub(crate) fn split_statements(text: &str) -> Vec<String> {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        return vec![text.to_owned()];
    };
    tokens
        .split(|token| *token == Token::SemiColon)
        .map(|tokens| tokens.iter().map(Token::to_string).collect::<String>())
        .filter(|statement| !statement.trim().is_empty())
        .collect()
}

/// Removes PostgreSQL casts. Returns the text, and the position and the type OID of each parameter that had a cast.
pub(crate) fn strip_casts(sql: &str) -> (String, Vec<(usize, u32)>) {
    let mut without_casts = String::new();
    let mut casts = Vec::new();
    let mut rest = sql;
    while let Some(at) = rest.find("::") {
        let (before, after) = (&rest[..at], &rest[at + 2..]);
        let end = after.find(|c: char| !c.is_ascii_alphanumeric()).unwrap_or(after.len());
        let digits = before.rfind('$').and_then(|dollar| before[dollar + 1..].parse().ok());
        if let Some(position) = digits {
            casts.push((position, ValueType::from_name(&after[..end]).oid()));
        }
        without_casts.push_str(before);
        rest = &after[end..];
    }
    without_casts.push_str(rest);
    (without_casts, casts)
}
