//! Conversion of values between the text and binary formats of PostgreSQL and the storage of SQLite.
//!
//! The driver chooses the format and the type of each parameter. An unsupported type, or a stored value that doesn't
//! match the type of its column, is an error.

use std::error::Error;

use bytes::{BufMut, BytesMut};
use chrono::{DateTime, NaiveDateTime, Utc};
use postgres_types::{FromSql, IsNull, ToSql, Type};
use rusqlite::types::ValueRef;
use rust_decimal::Decimal;
use uuid::Uuid;

use crate::database::Parameter;

/// The format of timestamps in the storage and in text.
const TIMESTAMP_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.f";
/// The suffix of a timestamp with time zone, which is stored in UTC.
const UTC_SUFFIX: &str = "+00";
/// The format code of the binary format in the protocol.
const BINARY: i16 = 1;

/// The error of a value conversion.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CodecError {
    /// The type with this OID is not supported.
    UnknownType(u32),
    /// The parameter is not a valid value of this type.
    Invalid(&'static str),
    /// The stored value doesn't match this type of its column.
    Mismatch(&'static str),
}

impl CodecError {
    /// Returns the SQLSTATE code.
    pub(crate) fn sqlstate(&self) -> &'static str {
        match self {
            CodecError::UnknownType(_) => "0A000",
            CodecError::Invalid(_) => "22P02",
            CodecError::Mismatch(_) => "42804",
        }
    }
}

impl std::fmt::Display for CodecError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CodecError::UnknownType(oid) => {
                write!(f, "the stand-in does not support the type with the number {oid}")
            }
            CodecError::Invalid(name) => write!(f, "a parameter can't be read as {name}"),
            CodecError::Mismatch(name) => {
                write!(f, "a stored value is no {name}; the stand-in does not convert it")
            }
        }
    }
}

/// A supported PostgreSQL type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ValueType {
    Bool,
    Bytea,
    Int2,
    Int4,
    Int8,
    Float4,
    Float8,
    Text,
    Numeric,
    Timestamp,
    TimestampTz,
    Uuid,
}

impl ValueType {
    /// Returns the type with an OID.
    pub(crate) fn from_oid(oid: u32) -> Result<ValueType, CodecError> {
        Ok(match Type::from_oid(oid) {
            Some(Type::BOOL) => ValueType::Bool,
            Some(Type::BYTEA) => ValueType::Bytea,
            Some(Type::INT2) => ValueType::Int2,
            Some(Type::INT4) => ValueType::Int4,
            Some(Type::INT8) => ValueType::Int8,
            Some(Type::FLOAT4) => ValueType::Float4,
            Some(Type::FLOAT8) => ValueType::Float8,
            Some(Type::TEXT | Type::VARCHAR | Type::BPCHAR | Type::NAME | Type::UNKNOWN) => {
                ValueType::Text
            }
            Some(Type::NUMERIC) => ValueType::Numeric,
            Some(Type::TIMESTAMP) => ValueType::Timestamp,
            Some(Type::TIMESTAMPTZ) => ValueType::TimestampTz,
            Some(Type::UUID) => ValueType::Uuid,
            _ => return Err(CodecError::UnknownType(oid)),
        })
    }

    /// Returns the type by its name in a column declaration or a cast. All integer types map to `Int8`, since SQLite
    /// stores them alike. Unknown types map to `Text`.
    pub(crate) fn from_name(name: &str) -> ValueType {
        let name = name.to_lowercase();
        let name = name.split('(').next().unwrap_or_default().trim();
        match name {
            "int" | "integer" | "int2" | "int4" | "int8" | "smallint" | "bigint" => ValueType::Int8,
            "bool" | "boolean" => ValueType::Bool,
            "bytea" | "blob" => ValueType::Bytea,
            "real" | "float" | "float4" | "float8" | "double" | "double precision" => {
                ValueType::Float8
            }
            "numeric" | "decimal" => ValueType::Numeric,
            "timestamp" | "timestamp without time zone" => ValueType::Timestamp,
            "timestamptz" | "timestamp with time zone" => ValueType::TimestampTz,
            "uuid" => ValueType::Uuid,
            _ => ValueType::Text,
        }
    }

    /// Returns the OID of the type.
    pub(crate) fn oid(self) -> u32 {
        self.wire_type().oid()
    }

    fn wire_type(self) -> Type {
        match self {
            ValueType::Bool => Type::BOOL,
            ValueType::Bytea => Type::BYTEA,
            ValueType::Int2 => Type::INT2,
            ValueType::Int4 => Type::INT4,
            ValueType::Int8 => Type::INT8,
            ValueType::Float4 => Type::FLOAT4,
            ValueType::Float8 => Type::FLOAT8,
            ValueType::Text => Type::TEXT,
            ValueType::Numeric => Type::NUMERIC,
            ValueType::Timestamp => Type::TIMESTAMP,
            ValueType::TimestampTz => Type::TIMESTAMPTZ,
            ValueType::Uuid => Type::UUID,
        }
    }

    fn name(self) -> &'static str {
        match self {
            ValueType::Bool => "a truth value",
            ValueType::Bytea => "bytes",
            ValueType::Int2 => "a whole number of two bytes",
            ValueType::Int4 => "a whole number of four bytes",
            ValueType::Int8 => "a whole number",
            ValueType::Float4 | ValueType::Float8 => "a floating-point number",
            ValueType::Text => "text",
            ValueType::Numeric => "a decimal number",
            ValueType::Timestamp | ValueType::TimestampTz => "a timestamp",
            ValueType::Uuid => "a UUID",
        }
    }

    /// Decodes a parameter.
    pub(crate) fn decode(self, value: &[u8], format: i16) -> Result<Parameter, CodecError> {
        let parameter = match format {
            BINARY => self.decode_binary(value),
            _ => std::str::from_utf8(value).ok().and_then(|text| self.decode_text(text)),
        };
        parameter.ok_or(CodecError::Invalid(self.name()))
    }

    fn decode_binary(self, value: &[u8]) -> Option<Parameter> {
        Some(match self {
            ValueType::Bool => Parameter::Integer(i64::from(self.read::<bool>(value)?)),
            ValueType::Bytea => Parameter::Bytes(value.to_vec()),
            ValueType::Int2 => Parameter::Integer(i64::from(self.read::<i16>(value)?)),
            ValueType::Int4 => Parameter::Integer(i64::from(self.read::<i32>(value)?)),
            ValueType::Int8 => Parameter::Integer(self.read(value)?),
            ValueType::Float4 => Parameter::Float(f64::from(self.read::<f32>(value)?)),
            ValueType::Float8 => Parameter::Float(self.read(value)?),
            ValueType::Text => Parameter::Text(self.read(value)?),
            ValueType::Numeric => Parameter::Text(self.read::<Decimal>(value)?.to_string()),
            ValueType::Timestamp => timestamp_parameter(self.read(value)?),
            ValueType::TimestampTz => timestamp_tz_parameter(self.read(value)?),
            ValueType::Uuid => Parameter::Text(self.read::<Uuid>(value)?.to_string()),
        })
    }

    fn read<'a, T: FromSql<'a>>(self, value: &'a [u8]) -> Option<T> {
        T::from_sql(&self.wire_type(), value).ok()
    }

    fn decode_text(self, text: &str) -> Option<Parameter> {
        Some(match self {
            ValueType::Bool => Parameter::Integer(i64::from(parse_bool(text)?)),
            ValueType::Bytea => Parameter::Bytes(from_hex(text.strip_prefix("\\x")?)?),
            ValueType::Int2 => Parameter::Integer(i64::from(text.parse::<i16>().ok()?)),
            ValueType::Int4 => Parameter::Integer(i64::from(text.parse::<i32>().ok()?)),
            ValueType::Int8 => Parameter::Integer(text.parse().ok()?),
            ValueType::Float4 | ValueType::Float8 => Parameter::Float(text.parse().ok()?),
            ValueType::Text => Parameter::Text(text.to_owned()),
            ValueType::Numeric => Parameter::Text(text.parse::<Decimal>().ok()?.to_string()),
            ValueType::Timestamp => timestamp_parameter(parse_timestamp(text)?),
            ValueType::TimestampTz => timestamp_tz_parameter(parse_timestamp_tz(text)?),
            ValueType::Uuid => Parameter::Text(Uuid::parse_str(text).ok()?.to_string()),
        })
    }

    /// Appends the length and the encoding of a stored value.
    pub(crate) fn encode(
        self,
        value: ValueRef<'_>,
        format: i16,
        data: &mut BytesMut,
    ) -> Result<(), CodecError> {
        if value == ValueRef::Null {
            data.put_i32(-1);
            return Ok(());
        }
        let mut encoded = BytesMut::new();
        let result = match format {
            BINARY => self.encode_binary(value, &mut encoded),
            _ => self.encode_text(value, &mut encoded),
        };
        result.ok_or(CodecError::Mismatch(self.name()))?;
        data.put_i32(encoded.len() as i32);
        data.put_slice(&encoded);
        Ok(())
    }

    fn encode_binary(self, value: ValueRef<'_>, data: &mut BytesMut) -> Option<()> {
        match self {
            ValueType::Bool => self.write(&(value.as_i64().ok()? != 0), data),
            ValueType::Bytea => self.write(&as_bytes(value)?, data),
            ValueType::Int2 => self.write(&i16::try_from(value.as_i64().ok()?).ok()?, data),
            ValueType::Int4 => self.write(&i32::try_from(value.as_i64().ok()?).ok()?, data),
            ValueType::Int8 => self.write(&value.as_i64().ok()?, data),
            ValueType::Float4 => self.write(&(as_float(value)? as f32), data),
            ValueType::Float8 => self.write(&as_float(value)?, data),
            ValueType::Text => self.write(&as_text(value)?, data),
            ValueType::Numeric => self.write(&as_text(value)?.parse::<Decimal>().ok()?, data),
            ValueType::Timestamp => self.write(&parse_timestamp(&as_text(value)?)?, data),
            ValueType::TimestampTz => self.write(&parse_timestamp_tz(&as_text(value)?)?, data),
            ValueType::Uuid => self.write(&Uuid::parse_str(&as_text(value)?).ok()?, data),
        }
    }

    fn write(self, value: &impl ToSql, data: &mut BytesMut) -> Option<()> {
        let written: Result<IsNull, Box<dyn Error + Sync + Send>> =
            value.to_sql(&self.wire_type(), data);
        written.ok().map(|_| ())
    }

    fn encode_text(self, value: ValueRef<'_>, data: &mut BytesMut) -> Option<()> {
        let text = match self {
            ValueType::Bool => if value.as_i64().ok()? != 0 { "t" } else { "f" }.to_owned(),
            ValueType::Bytea => to_hex(as_bytes(value)?),
            ValueType::Int2 | ValueType::Int4 | ValueType::Int8 => value.as_i64().ok()?.to_string(),
            ValueType::Float4 | ValueType::Float8 => as_float(value)?.to_string(),
            ValueType::Text | ValueType::Numeric => as_text(value)?,
            ValueType::Timestamp | ValueType::TimestampTz | ValueType::Uuid => as_text(value)?,
        };
        data.put_slice(text.as_bytes());
        Some(())
    }
}

fn as_bytes(value: ValueRef<'_>) -> Option<&[u8]> {
    match value {
        ValueRef::Text(bytes) | ValueRef::Blob(bytes) => Some(bytes),
        _ => None,
    }
}

fn as_float(value: ValueRef<'_>) -> Option<f64> {
    match value {
        ValueRef::Integer(number) => Some(number as f64),
        ValueRef::Real(number) => Some(number),
        _ => None,
    }
}

/// Returns the value as text. Accepts numbers, since a column with an unknown type is of type `Text`.
fn as_text(value: ValueRef<'_>) -> Option<String> {
    match value {
        ValueRef::Integer(number) => Some(number.to_string()),
        ValueRef::Real(number) => Some(number.to_string()),
        ValueRef::Text(bytes) => std::str::from_utf8(bytes).ok().map(str::to_owned),
        ValueRef::Blob(_) | ValueRef::Null => None,
    }
}

fn parse_bool(text: &str) -> Option<bool> {
    match text.to_lowercase().as_str() {
        "t" | "true" | "y" | "yes" | "on" | "1" => Some(true),
        "f" | "false" | "n" | "no" | "off" | "0" => Some(false),
        _ => None,
    }
}

fn timestamp_parameter(at: NaiveDateTime) -> Parameter {
    Parameter::Text(at.format(TIMESTAMP_FORMAT).to_string())
}

fn timestamp_tz_parameter(at: DateTime<Utc>) -> Parameter {
    Parameter::Text(format!("{}{UTC_SUFFIX}", at.format(TIMESTAMP_FORMAT)))
}

fn parse_timestamp(text: &str) -> Option<NaiveDateTime> {
    NaiveDateTime::parse_from_str(&text.replace('T', " "), TIMESTAMP_FORMAT).ok()
}

fn parse_timestamp_tz(text: &str) -> Option<DateTime<Utc>> {
    let text = text.replace('T', " ").replace('Z', "+00");
    let parsed = DateTime::parse_from_str(&text, "%Y-%m-%d %H:%M:%S%.f%#z").ok()?;
    Some(parsed.with_timezone(&Utc))
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).ok().filter(|pair| pair.len() == 2)?;
        u8::from_str_radix(pair, 16).ok()
    };
    digits.map(byte).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("\\x{digits}")
}
