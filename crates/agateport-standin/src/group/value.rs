//! Conversion of values between SQLite and the PostgreSQL protocol.

use pgwire::api::Type;
use rusqlite::ToSql;
use rusqlite::types::{ToSqlOutput, ValueRef};
use serde::{Deserialize, Serialize};

/// Format code of the binary format.
const BINARY: i16 = 1;

/// A value of a parameter or column.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    /// SQL NULL.
    Null,
    /// An integer, or a boolean as zero or one.
    Integer(i64),
    /// A floating-point number.
    Real(f64),
    /// A string.
    Text(String),
    /// A byte string.
    Blob(Vec<u8>),
}

impl From<ValueRef<'_>> for Value {
    fn from(value: ValueRef<'_>) -> Self {
        match value {
            ValueRef::Null => Self::Null,
            ValueRef::Integer(number) => Self::Integer(number),
            ValueRef::Real(number) => Self::Real(number),
            ValueRef::Text(text) => Self::Text(String::from_utf8_lossy(text).into_owned()),
            ValueRef::Blob(bytes) => Self::Blob(bytes.to_vec()),
        }
    }
}

impl ToSql for Value {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        let value = match self {
            Self::Null => ValueRef::Null,
            Self::Integer(number) => ValueRef::Integer(*number),
            Self::Real(number) => ValueRef::Real(*number),
            Self::Text(text) => ValueRef::Text(text.as_bytes()),
            Self::Blob(bytes) => ValueRef::Blob(bytes),
        };
        Ok(ToSqlOutput::Borrowed(value))
    }
}

impl Value {
    /// Decodes a parameter of type `oid`. Returns `None` if the bytes are malformed for
    /// the type.
    pub fn decode(bytes: Option<&[u8]>, oid: u32, format: i16) -> Option<Self> {
        let Some(bytes) = bytes else {
            return Some(Self::Null);
        };
        let kind = Type::from_oid(oid).unwrap_or(Type::TEXT);
        if format == BINARY {
            return decode_binary(bytes, &kind);
        }
        let text = std::str::from_utf8(bytes).ok()?;
        Some(match kind {
            Type::INT2 | Type::INT4 | Type::INT8 => Self::Integer(text.parse().ok()?),
            Type::FLOAT4 | Type::FLOAT8 => Self::Real(text.parse().ok()?),
            Type::BOOL => Self::Integer(i64::from(matches!(text, "t" | "true" | "1"))),
            _ => Self::Text(text.to_owned()),
        })
    }

    /// Encodes the value for a column of type `kind`. Returns `None` for NULL.
    pub fn encode(&self, kind: &Type, format: i16) -> Option<Vec<u8>> {
        if format == BINARY {
            return self.encode_binary(kind);
        }
        Some(match self {
            Self::Null => return None,
            Self::Integer(number) if *kind == Type::BOOL => {
                if *number == 0 { "f" } else { "t" }.into()
            }
            Self::Integer(number) => number.to_string().into_bytes(),
            Self::Real(number) => number.to_string().into_bytes(),
            Self::Text(text) => text.clone().into_bytes(),
            Self::Blob(bytes) => bytes
                .iter()
                .fold(String::from("\\x"), |hex, byte| format!("{hex}{byte:02x}"))
                .into_bytes(),
        })
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a floating-point column has no more precision"
    )]
    fn encode_binary(&self, kind: &Type) -> Option<Vec<u8>> {
        Some(match self {
            Self::Null => return None,
            Self::Integer(number) if *kind == Type::BOOL => vec![u8::from(*number != 0)],
            Self::Integer(number) if *kind == Type::FLOAT8 => {
                (*number as f64).to_be_bytes().to_vec()
            }
            Self::Integer(number) if *kind == Type::TEXT => number.to_string().into_bytes(),
            Self::Integer(number) => number.to_be_bytes().to_vec(),
            Self::Real(number) => number.to_be_bytes().to_vec(),
            Self::Text(text) => text.clone().into_bytes(),
            Self::Blob(bytes) => bytes.clone(),
        })
    }

    /// Returns the type of a column that has no declared type and has this value in its
    /// first row.
    pub fn kind(&self) -> Type {
        match self {
            Self::Integer(_) => Type::INT8,
            Self::Real(_) => Type::FLOAT8,
            Self::Blob(_) => Type::BYTEA,
            Self::Null | Self::Text(_) => Type::TEXT,
        }
    }
}

fn decode_binary(bytes: &[u8], kind: &Type) -> Option<Value> {
    Some(match *kind {
        Type::BOOL => Value::Integer(i64::from(*bytes.first()?)),
        Type::INT2 => Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::INT4 => Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::INT8 => Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        Type::FLOAT4 => Value::Real(f32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::FLOAT8 => Value::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
        Type::BYTEA => Value::Blob(bytes.to_vec()),
        _ => Value::Text(std::str::from_utf8(bytes).ok()?.to_owned()),
    })
}

/// Returns the PostgreSQL type for a column's declared type, or `None` if no type
/// corresponds to it.
pub fn declared_type(declared: &str) -> Option<Type> {
    let declared = declared.to_uppercase();
    let kinds = [
        ("INT", Type::INT8),
        ("BOOL", Type::BOOL),
        ("CHAR", Type::TEXT),
        ("TEXT", Type::TEXT),
        ("REAL", Type::FLOAT8),
        ("DOUBLE", Type::FLOAT8),
        ("FLOAT", Type::FLOAT8),
        ("BLOB", Type::BYTEA),
        ("BYTEA", Type::BYTEA),
    ];
    let mut kinds = kinds.into_iter();
    kinds.find_map(|(part, kind)| declared.contains(part).then_some(kind))
}
