//! An in-memory SQLite database with results in the formats of PostgreSQL.

use bytes::BytesMut;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::{Connection, Statement, backup::Backup};

use crate::{
    server_core::ServerError,
    value_codec::{CodecError, ValueType},
};

/// A statement parameter.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Parameter {
    Null,
    Integer(i64),
    Float(f64),
    Text(String),
    Bytes(Vec<u8>),
}

impl rusqlite::ToSql for Parameter {
    fn to_sql(&self) -> rusqlite::Result<rusqlite::types::ToSqlOutput<'_>> {
        match self {
            Parameter::Null => rusqlite::types::Null.to_sql(),
            Parameter::Integer(number) => number.to_sql(),
            Parameter::Float(number) => number.to_sql(),
            Parameter::Text(text) => text.to_sql(),
            Parameter::Bytes(bytes) => bytes.to_sql(),
        }
    }
}

/// The result of a statement.
#[derive(Debug, Default)]
pub(crate) struct StatementResult {
    pub(crate) description: Option<RowDescription>,
    pub(crate) rows: Vec<DataRow>,
    pub(crate) tag: String,
}

/// An in-memory database.
#[derive(Debug)]
pub(crate) struct Database {
    connection: Connection,
}

impl Database {
    pub(crate) fn new() -> Database {
        let connection = Connection::open_in_memory().expect("an in-memory database opens");
        connection.set_prepared_statement_cache_capacity(512);
        Database { connection }
    }

    pub(crate) fn copy(&self) -> Database {
        let mut copy = Database::new();
        let backup =
            Backup::new(&self.connection, &mut copy.connection).expect("both databases are open");
        backup
            .run_to_completion(i32::MAX, std::time::Duration::ZERO, None)
            .expect("no other connection uses the databases");
        drop(backup);
        copy
    }

    /// Returns the number of parameters and the result columns of a statement.
    pub(crate) fn describe(&self, sql: &str) -> Result<(usize, Option<RowDescription>), String> {
        let statement = self.connection.prepare(sql).map_err(|error| error.to_string())?;
        let description = describe_columns(&statement, &[]);
        Ok((statement.parameter_count(), description))
    }

    /// Runs a statement. `formats` are the requested formats of the result columns.
    pub(crate) fn run_statement(
        &self,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<StatementResult, ServerError> {
        let mut statement = self.connection.prepare_cached(sql).map_err(syntax_error)?;
        for index in 1..=statement.parameter_count() {
            let position = statement
                .parameter_name(index)
                .and_then(|name| name[1..].parse::<usize>().ok())
                .unwrap_or(index);
            let parameter = parameters.get(position.wrapping_sub(1)).unwrap_or(&Parameter::Null);
            statement.raw_bind_parameter(index, parameter).map_err(syntax_error)?;
        }
        let description = describe_columns(&statement, formats);
        let fields = description.iter().flat_map(|description| &description.fields);
        let types =
            fields.map(|field| Ok((ValueType::from_oid(field.type_id)?, field.format_code)));
        let types = types.collect::<Result<Vec<_>, CodecError>>()?;
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next().map_err(syntax_error)? {
            let mut data = BytesMut::new();
            for (column, (value_type, format)) in types.iter().enumerate() {
                let value = row.get_ref(column).map_err(syntax_error)?;
                value_type.encode(value, *format, &mut data)?;
            }
            rows.push(DataRow::new(data, types.len() as i16));
        }
        drop(cursor);
        drop(statement);
        if matches!(first_word(sql).as_str(), "CREATE" | "DROP" | "ALTER") {
            // Cached statements keep the column types from before the schema change.
            self.connection.flush_prepared_statement_cache();
        }
        let tag = command_tag(sql, rows.len(), self.connection.changes());
        Ok(StatementResult { description, rows, tag })
    }

    pub(crate) fn begin(&self) {
        self.connection.execute_batch("BEGIN").expect("no transaction is open");
    }

    pub(crate) fn commit(&self) -> Result<(), String> {
        self.connection.execute_batch("COMMIT").map_err(|error| error.to_string())
    }

    pub(crate) fn rollback(&self) {
        if !self.connection.is_autocommit() {
            self.connection.execute_batch("ROLLBACK").expect("a transaction is open");
        }
    }
}

fn syntax_error(error: rusqlite::Error) -> ServerError {
    ServerError::new("42601", error.to_string())
}

/// Returns the first word of a statement in upper case, after any leading comments.
pub(crate) fn first_word(sql: &str) -> String {
    let mut rest = sql.trim_start();
    while let Some((_, after_comment)) =
        rest.strip_prefix("/*").and_then(|rest| rest.split_once("*/"))
    {
        rest = after_comment.trim_start();
    }
    let word = rest.split(|c: char| !c.is_ascii_alphabetic()).next();
    word.unwrap_or_default().to_uppercase()
}

fn command_tag(sql: &str, rows: usize, changes: u64) -> String {
    match first_word(sql).as_str() {
        "INSERT" => format!("INSERT 0 {changes}"),
        "UPDATE" => format!("UPDATE {changes}"),
        "DELETE" => format!("DELETE {changes}"),
        "CREATE" => "CREATE TABLE".to_owned(),
        "DROP" => "DROP TABLE".to_owned(),
        _ => format!("SELECT {rows}"),
    }
}

fn describe_columns(statement: &Statement<'_>, formats: &[i16]) -> Option<RowDescription> {
    if statement.column_count() == 0 {
        return None;
    }
    let fields = statement
        .columns()
        .enumerate()
        .map(|(index, column)| {
            let type_id = column_type(column.decl_type(), column.name()).oid();
            let format = match formats {
                [] => 0,
                [all] => *all,
                each => each.get(index).copied().unwrap_or(0),
            };
            FieldDescription::new(column.name().to_owned(), 0, 0, type_id, -1, -1, format)
        })
        .collect();
    Some(RowDescription::new(fields))
}

/// Returns the declared type of a column. For an expression, derives the type from the column name, since SQLite has
/// types only for values.
fn column_type(declared: Option<&str>, name: &str) -> ValueType {
    let numeric = ["count(", "sum(", "max(", "min(", "coalesce(", "total("];
    match declared {
        Some(declared) => ValueType::from_name(declared),
        None if numeric.iter().any(|prefix| name.to_lowercase().starts_with(prefix)) => {
            ValueType::Int8
        }
        None if name.bytes().all(|byte| byte.is_ascii_digit()) => ValueType::Int8,
        None => ValueType::Text,
    }
}
