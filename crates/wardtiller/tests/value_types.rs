//! Values of every supported type through a daemon, in the text and the binary format. Guards against decoding a binary
//! parameter, such as a two-byte integer, as text.

mod common;

use std::error::Error;

use bytes::{BufMut, BytesMut};
use common::{block_on, connect, small_system};
use tokio_postgres::{
    Client, SimpleQueryMessage,
    types::{FromSql, IsNull, ToSql, Type, to_sql_checked},
};

/// The bytes of a value in the binary format, for any type.
#[derive(Debug, PartialEq)]
struct Raw(Vec<u8>);

impl ToSql for Raw {
    fn to_sql(&self, _: &Type, out: &mut BytesMut) -> Result<IsNull, Box<dyn Error + Sync + Send>> {
        out.put_slice(&self.0);
        Ok(IsNull::No)
    }

    fn accepts(_: &Type) -> bool {
        true
    }

    to_sql_checked!();
}

impl FromSql<'_> for Raw {
    fn from_sql(_: &Type, raw: &[u8]) -> Result<Raw, Box<dyn Error + Sync + Send>> {
        Ok(Raw(raw.to_vec()))
    }

    fn accepts(_: &Type) -> bool {
        true
    }
}

/// Inserts a value as a binary parameter of this type.
async fn insert(client: &Client, id: i64, name: &Type, value: &(dyn ToSql + Sync)) {
    let sql = "INSERT INTO v (id, value) VALUES ($1, $2)";
    let statement = client.prepare_typed(sql, &[Type::INT8, name.clone()]).await.unwrap();
    client.execute(&statement, &[&id, value]).await.unwrap();
}

/// Reads a value in the text format.
async fn read_text(client: &Client, id: i64) -> Option<String> {
    let sql = format!("SELECT value FROM v WHERE id = {id}");
    let messages = client.simple_query(&sql).await.unwrap();
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    row.unwrap().get(0).map(str::to_owned)
}

async fn create_table(client: &Client, column: &str) {
    client.batch_execute("DROP TABLE IF EXISTS v").await.unwrap();
    let sql = format!("CREATE TABLE v (id int PRIMARY KEY, value {column})");
    client.batch_execute(&sql).await.unwrap();
}

#[test]
fn integers_of_every_size_round_trip() {
    let system = small_system(1);
    block_on(async {
        let client = connect(system.caller_addresses()[0], "").await;
        create_table(&client, "int").await;
        insert(&client, 1, &Type::INT2, &0_i16).await;
        insert(&client, 2, &Type::INT4, &-70_000_i32).await;
        insert(&client, 3, &Type::INT8, &i64::MAX).await;
        insert(&client, 4, &Type::INT2, &None::<i16>).await;
        let rows = client.query("SELECT id, value FROM v ORDER BY id", &[]).await.unwrap();
        let values: Vec<(i64, Option<i64>)> =
            rows.iter().map(|row| (row.get(0), row.get(1))).collect();
        let expected = [(1, Some(0)), (2, Some(-70_000)), (3, Some(i64::MAX)), (4, None)];
        assert_eq!(values, expected);
        assert_eq!(read_text(&client, 2).await.as_deref(), Some("-70000"));
        assert_eq!(read_text(&client, 4).await, None);
    });
}

#[test]
fn other_types_round_trip_in_both_formats() {
    let system = small_system(1);
    block_on(async {
        let client = connect(system.caller_addresses()[0], "").await;
        create_table(&client, "float8").await;
        insert(&client, 1, &Type::FLOAT4, &1.5_f32).await;
        insert(&client, 2, &Type::FLOAT8, &-0.25_f64).await;
        let row = client.query_one("SELECT value FROM v WHERE id = 1", &[]).await.unwrap();
        assert_eq!(row.get::<_, f64>(0), 1.5);
        assert_eq!(read_text(&client, 2).await.as_deref(), Some("-0.25"));

        create_table(&client, "text").await;
        insert(&client, 1, &Type::TEXT, &"0 ü '").await;
        insert(&client, 2, &Type::VARCHAR, &"17").await;
        let row = client.query_one("SELECT value FROM v WHERE id = 1", &[]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), "0 ü '");
        assert_eq!(read_text(&client, 2).await.as_deref(), Some("17"));

        create_table(&client, "bool").await;
        insert(&client, 1, &Type::BOOL, &true).await;
        insert(&client, 2, &Type::BOOL, &false).await;
        let rows = client.query("SELECT value FROM v ORDER BY id", &[]).await.unwrap();
        let values: Vec<bool> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(values, [true, false]);
        assert_eq!(read_text(&client, 1).await.as_deref(), Some("t"));

        create_table(&client, "bytea").await;
        let bytes = vec![0_u8, 1, 0x5c, 255];
        insert(&client, 1, &Type::BYTEA, &bytes).await;
        let row = client.query_one("SELECT value FROM v WHERE id = 1", &[]).await.unwrap();
        assert_eq!(row.get::<_, Vec<u8>>(0), bytes);
        assert_eq!(read_text(&client, 1).await.as_deref(), Some("\\x00015cff"));
    });
}

/// The expected bytes follow the binary formats of PostgreSQL.
#[test]
fn structured_types_have_the_same_bytes_and_text_as_in_postgresql() {
    let microseconds = |since_2000: i64| since_2000.to_be_bytes().to_vec();
    let numeric: [i16; 6] = [2, 0, 0, 2, 12, 5_000];
    let numeric = numeric.iter().flat_map(|part| part.to_be_bytes()).collect();
    let uuid: Vec<u8> = (0..16).collect();
    let cases = [
        ("numeric", Type::NUMERIC, numeric, "12.5"),
        (
            "timestamp",
            Type::TIMESTAMP,
            microseconds(86_400_000_000 + 250_000),
            "2000-01-02 00:00:00.250",
        ),
        ("timestamptz", Type::TIMESTAMPTZ, microseconds(3_600_000_000), "2000-01-01 01:00:00+00"),
        ("uuid", Type::UUID, uuid, "00010203-0405-0607-0809-0a0b0c0d0e0f"),
    ];
    let system = small_system(1);
    block_on(async {
        let client = connect(system.caller_addresses()[0], "").await;
        for (column, name, bytes, text) in cases {
            create_table(&client, column).await;
            insert(&client, 1, &name, &Raw(bytes.clone())).await;
            assert_eq!(read_text(&client, 1).await.as_deref(), Some(text), "{column}");
            // A literal is sent as text for every column type.
            let literal = format!("INSERT INTO v (id, value) VALUES (2, '{text}')");
            client.batch_execute(&literal).await.unwrap();
            let rows = client.query("SELECT value FROM v ORDER BY id", &[]).await.unwrap();
            assert_eq!(rows[0].columns()[0].type_(), &name, "{column}");
            let [sent, literal]: [Raw; 2] = [rows[0].get(0), rows[1].get(0)];
            assert_eq!(sent, literal, "{column}");
            if column != "numeric" {
                assert_eq!(sent, Raw(bytes), "{column}");
            }
        }
    });
}

#[test]
fn an_unsupported_type_is_refused_and_nothing_is_written() {
    let system = small_system(1);
    block_on(async {
        let client = connect(system.caller_addresses()[0], "").await;
        create_table(&client, "text").await;
        let sql = "INSERT INTO v (id, value) VALUES ($1, $2)";
        let types = [Type::INT8, Type::INT4_ARRAY];
        let statement = client.prepare_typed(sql, &types).await.unwrap();
        let refused = client.execute(&statement, &[&1_i64, &vec![1_i32]]).await.unwrap_err();
        assert_eq!(refused.code().map(|code| code.code()), Some("0A000"), "{refused:?}");
        let rows = client.query("SELECT id FROM v", &[]).await.unwrap();
        assert!(rows.is_empty());
    });
}
