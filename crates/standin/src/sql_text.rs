//! What the stand-in itself has to know of a statement's text.

use sqlparser::{
    dialect::PostgreSqlDialect,
    tokenizer::{Token, Tokenizer},
};

use crate::{database::first_word, value_codec::ValueType};

/// Whether a daemon asks for something that only endpoints made for it answer.
pub(crate) fn is_control(sql: &str) -> bool {
    sql.trim().starts_with("SELECT wardtiller_")
}

/// Whether SQLite is to see the statement, rather than the stand-in itself.
pub(crate) fn is_plain(sql: &str) -> bool {
    let own =
        ["BEGIN", "START", "COMMIT", "END", "ROLLBACK", "SET", "RESET", "DISCARD", "SHOW", ""];
    !is_control(sql) && sleep_seconds(sql).is_none() && !own.contains(&first_word(sql).as_str())
}

/// Returns how long a statement that only sleeps does so.
pub(crate) fn sleep_seconds(sql: &str) -> Option<f64> {
    let argument = sql.trim().to_lowercase();
    let argument = argument.strip_prefix("select pg_sleep(")?.split(')').next()?.to_owned();
    argument.trim().parse().ok()
}

/// Splits the text of a simple query at the semicolons that end statements.
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

/// Takes PostgreSQL's casts off parameters, returning the types that they name.
pub(crate) fn strip_casts(sql: &str) -> (String, Vec<(usize, u32)>) {
    let mut plain = String::new();
    let mut casts = Vec::new();
    let mut rest = sql;
    while let Some(at) = rest.find("::") {
        let (before, after) = (&rest[..at], &rest[at + 2..]);
        let end = after.find(|c: char| !c.is_ascii_alphanumeric()).unwrap_or(after.len());
        let digits = before.rfind('$').and_then(|dollar| before[dollar + 1..].parse().ok());
        if let Some(place) = digits {
            casts.push((place, ValueType::from_name(&after[..end]).oid()));
        }
        plain.push_str(before);
        rest = &after[end..];
    }
    plain.push_str(rest);
    (plain, casts)
}
