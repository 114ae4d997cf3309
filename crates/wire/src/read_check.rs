//! Checks whether a statement is provably read-only.

use std::ops::ControlFlow;

use sqlparser::ast::{Expr, Query, Select, Statement, TableFactor, Visit, Visitor};

/// Functions that change no data and depend on no session state other than the replayed settings.
///
/// A query that calls any other function counts as a write and runs on the primary. Operators extend
/// the list with `read_functions`.
const READ_FUNCTIONS: [&str; 92] = [
    "abs",
    "age",
    "array_agg",
    "array_length",
    "array_to_string",
    "avg",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "ceil",
    "ceiling",
    "char_length",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "cume_dist",
    "current_database",
    "current_date",
    "current_schema",
    "current_time",
    "current_timestamp",
    "current_user",
    "date_part",
    "date_trunc",
    "dense_rank",
    "encode",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "generate_series",
    "greatest",
    "group_concat",
    "initcap",
    "json_agg",
    "json_array_length",
    "json_build_object",
    "json_extract_path_text",
    "jsonb_agg",
    "jsonb_array_length",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "localtime",
    "localtimestamp",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "ntile",
    "nullif",
    "octet_length",
    "overlay",
    "percent_rank",
    "position",
    "power",
    "rank",
    "regexp_matches",
    "regexp_replace",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "unnest",
    "upper",
];

/// Functions that read or change the state of one connection.
const SESSION_FUNCTIONS: [&str; 9] = [
    "currval",
    "lastval",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "set_config",
];

/// Whether a statement is provably read-only.
pub(crate) fn is_read_only(statement: &Statement, read_functions: &[&str]) -> bool {
    let mut visitor = ReadVisitor { read_functions, statements: 0 };
    statement.visit(&mut visitor).is_continue()
}

/// Whether a statement calls one of [`SESSION_FUNCTIONS`].
pub(crate) fn uses_session_function(statement: &Statement) -> bool {
    statement.visit(&mut SessionVisitor).is_break()
}

/// Stops at the first part of a statement that is not provably read-only.
struct ReadVisitor<'a> {
    read_functions: &'a [&'a str],
    statements: usize,
}

impl Visitor for ReadVisitor<'_> {
    type Break = ();

    fn pre_visit_statement(&mut self, _: &Statement) -> ControlFlow<()> {
        // The only nested statements are data-modifying common table expressions.
        self.statements += 1;
        if self.statements > 1 { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if query.locks.is_empty() { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_none() { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        match table {
            TableFactor::Table { name, args: Some(_), .. } => {
                self.check_function(&name.to_string())
            }
            TableFactor::Function { name, .. } => self.check_function(&name.to_string()),
            TableFactor::TableFunction { .. } => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => self.check_function(&function.name.to_string()),
            _ => ControlFlow::Continue(()),
        }
    }
}

impl ReadVisitor<'_> {
    fn check_function(&self, name: &str) -> ControlFlow<()> {
        let name = normalize_function_name(name);
        let is_read_function = READ_FUNCTIONS.contains(&name.as_str())
            || self.read_functions.iter().any(|known| known.eq_ignore_ascii_case(&name));
        if is_read_function { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
    }
}

/// Stops at the first call of a session function.
struct SessionVisitor;

impl Visitor for SessionVisitor {
    type Break = ();

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        match table {
            TableFactor::Table { name, args: Some(_), .. } => {
                check_session_function(&name.to_string())
            }
            TableFactor::Function { name, .. } => check_session_function(&name.to_string()),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => check_session_function(&function.name.to_string()),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn check_session_function(name: &str) -> ControlFlow<()> {
    let name = normalize_function_name(name);
    if SESSION_FUNCTIONS.contains(&name.as_str()) {
        ControlFlow::Break(())
    } else {
        ControlFlow::Continue(())
    }
}

fn normalize_function_name(name: &str) -> String {
    let name = name.to_lowercase();
    name.strip_prefix("pg_catalog.").unwrap_or(&name).to_owned()
}
