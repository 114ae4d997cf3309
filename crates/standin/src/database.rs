//! An in-memory SQLite database that answers in PostgreSQL's terms.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::{Connection, Statement, backup::Backup, types::ValueRef};

/// PostgreSQL's numbers for the types that are used.
const INT8_OID: u32 = 20;
const TEXT_OID: u32 = 25;
const FLOAT8_OID: u32 = 701;

/// A parameter of a statement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Parameter {
    Null,
    Integer(i64),
    Float(f64),
    Text(String),
}

impl rusqlite::ToSql for Parameter {
    fn to_sql(&self) -> rusqlite::Result<rusqlite::types::ToSqlOutput<'_>> {
        match self {
            Parameter::Null => rusqlite::types::Null.to_sql(),
            Parameter::Integer(number) => number.to_sql(),
            Parameter::Float(number) => number.to_sql(),
            Parameter::Text(text) => text.to_sql(),
        }
    }
}

/// What a statement returned.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) description: Option<RowDescription>,
    pub(crate) rows: Vec<DataRow>,
    pub(crate) tag: String,
}

/// A database.
#[derive(Debug)]
pub(crate) struct Database {
    connection: Connection,
}

impl Database {
    pub(crate) fn new() -> Database {
        let connection = Connection::open_in_memory().expect("memory is at hand");
        connection.set_prepared_statement_cache_capacity(512);
        Database { connection }
    }

    pub(crate) fn copy(&self) -> Database {
        let mut copy = Database::new();
        let backup =
            Backup::new(&self.connection, &mut copy.connection).expect("both databases are open");
        backup
            .run_to_completion(i32::MAX, std::time::Duration::ZERO, None)
            .expect("nobody else uses the databases");
        drop(backup);
        copy
    }

    /// Describes the columns that a statement returns and the number of its parameters.
    pub(crate) fn describe(&self, sql: &str) -> Result<(usize, Option<RowDescription>), String> {
        let statement = self.connection.prepare(sql).map_err(|error| error.to_string())?;
        let description = describe_columns(&statement, &[]);
        Ok((statement.parameter_count(), description))
    }

    /// Runs a statement. `formats` are the formats that the columns are wanted in.
    pub(crate) fn run(
        &self,
        sql: &str,
        parameters: &[Parameter],
        formats: &[i16],
    ) -> Result<Outcome, String> {
        let mut statement =
            self.connection.prepare_cached(sql).map_err(|error| error.to_string())?;
        for index in 1..=statement.parameter_count() {
            let place = statement
                .parameter_name(index)
                .and_then(|name| name[1..].parse::<usize>().ok())
                .unwrap_or(index);
            let parameter = parameters.get(place.wrapping_sub(1)).unwrap_or(&Parameter::Null);
            statement.raw_bind_parameter(index, parameter).map_err(|error| error.to_string())?;
        }
        let description = describe_columns(&statement, formats);
        let types: Vec<(u32, i16)> = description
            .iter()
            .flat_map(|description| &description.fields)
            .map(|field| (field.type_id, field.format_code))
            .collect();
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next().map_err(|error| error.to_string())? {
            let mut data = BytesMut::new();
            for (column, (type_id, format)) in types.iter().enumerate() {
                let value = row.get_ref(column).map_err(|error| error.to_string())?;
                encode_value(value, *type_id, *format, &mut data);
            }
            rows.push(DataRow::new(data, types.len() as i16));
        }
        drop(cursor);
        drop(statement);
        let tag = command_tag(sql, rows.len(), self.connection.changes());
        Ok(Outcome { description, rows, tag })
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

/// Returns the first word of a statement in capitals, behind any comments.
pub(crate) fn first_word(sql: &str) -> String {
    let mut rest = sql.trim_start();
    while let Some((_, behind)) = rest.strip_prefix("/*").and_then(|rest| rest.split_once("*/")) {
        rest = behind.trim_start();
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
            let type_id = type_of(column.decl_type(), column.name());
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

/// Guesses a column's type, since SQLite only knows it for each value.
fn type_of(declared: Option<&str>, name: &str) -> u32 {
    let numeric = ["count(", "sum(", "max(", "min(", "coalesce(", "total("];
    match declared.map(str::to_uppercase).as_deref() {
        Some(declared) if declared.contains("INT") => INT8_OID,
        Some("REAL" | "DOUBLE" | "FLOAT") => FLOAT8_OID,
        None if numeric.iter().any(|prefix| name.to_lowercase().starts_with(prefix)) => INT8_OID,
        None if name.bytes().all(|byte| byte.is_ascii_digit()) => INT8_OID,
        _ => TEXT_OID,
    }
}

fn encode_value(value: ValueRef<'_>, type_id: u32, format: i16, data: &mut BytesMut) {
    if value == ValueRef::Null {
        data.put_i32(-1);
        return;
    }
    if format == 1 && type_id == INT8_OID {
        data.put_i32(8);
        data.put_i64(value.as_i64().unwrap_or_default());
        return;
    }
    if format == 1 && type_id == FLOAT8_OID {
        data.put_i32(8);
        data.put_f64(value.as_f64().unwrap_or_default());
        return;
    }
    let text = match value {
        ValueRef::Integer(number) => number.to_string().into_bytes(),
        ValueRef::Real(number) => number.to_string().into_bytes(),
        ValueRef::Text(bytes) | ValueRef::Blob(bytes) => bytes.to_vec(),
        ValueRef::Null => Vec::new(),
    };
    data.put_i32(text.len() as i32);
    data.put_slice(&text);
}
