//! Values of every supported type through a daemon, in both formats, as drivers choose them.
//!
//! One driver sends small integers as two bytes, another one everything as text; the tests before used one driver's
//! defaults, and the two bytes became text.

mod common;

use common::{block_on, connect, small_system};
use tokio_postgres::{
    Client, SimpleQueryMessage,
    types::{ToSql, Type},
};

/// Writes a parameter as a type that the driver names, in the binary format.
async fn write(client: &Client, id: i64, name: &Type, value: &(dyn ToSql + Sync)) {
    let sql = "INSERT INTO v (id, value) VALUES ($1, $2)";
    let statement = client.prepare_typed(sql, &[Type::INT8, name.clone()]).await.unwrap();
    client.execute(&statement, &[&id, value]).await.unwrap();
}

/// Returns a value as text, in the text format.
async fn as_text(client: &Client, id: i64) -> Option<String> {
    let sql = format!("SELECT value FROM v WHERE id = {id}");
    let messages = client.simple_query(&sql).await.unwrap();
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    row.unwrap().get(0).map(str::to_owned)
}

async fn table(client: &Client, column: &str) {
    client.batch_execute("DROP TABLE IF EXISTS v").await.unwrap();
    let sql = format!("CREATE TABLE v (id int PRIMARY KEY, value {column})");
    client.batch_execute(&sql).await.unwrap();
}

#[test]
fn whole_numbers_of_every_size_are_the_number_that_was_sent() {
    let system = small_system(1);
    block_on(async {
        let client = connect(system.caller_addresses()[0], "").await;
        table(&client, "int").await;
        write(&client, 1, &Type::INT2, &0_i16).await;
        write(&client, 2, &Type::INT4, &-70_000_i32).await;
        write(&client, 3, &Type::INT8, &i64::MAX).await;
        write(&client, 4, &Type::INT2, &None::<i16>).await;
        let rows = client.query("SELECT id, value FROM v ORDER BY id", &[]).await.unwrap();
        let values: Vec<(i64, Option<i64>)> =
            rows.iter().map(|row| (row.get(0), row.get(1))).collect();
        let expected = [(1, Some(0)), (2, Some(-70_000)), (3, Some(i64::MAX)), (4, None)];
        assert_eq!(values, expected);
        assert_eq!(as_text(&client, 2).await.as_deref(), Some("-70000"));
        assert_eq!(as_text(&client, 4).await, None);
    });
}

#[test]
fn other_types_come_back_as_they_were_in_both_formats() {
    let system = small_system(1);
    block_on(async {
        let client = connect(system.caller_addresses()[0], "").await;
        table(&client, "float8").await;
        write(&client, 1, &Type::FLOAT4, &1.5_f32).await;
        write(&client, 2, &Type::FLOAT8, &-0.25_f64).await;
        let row = client.query_one("SELECT value FROM v WHERE id = 1", &[]).await.unwrap();
        assert_eq!(row.get::<_, f64>(0), 1.5);
        assert_eq!(as_text(&client, 2).await.as_deref(), Some("-0.25"));

        table(&client, "text").await;
        write(&client, 1, &Type::TEXT, &"0 ü '").await;
        write(&client, 2, &Type::VARCHAR, &"17").await;
        let row = client.query_one("SELECT value FROM v WHERE id = 1", &[]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), "0 ü '");
        assert_eq!(as_text(&client, 2).await.as_deref(), Some("17"));

        table(&client, "bool").await;
        write(&client, 1, &Type::BOOL, &true).await;
        write(&client, 2, &Type::BOOL, &false).await;
        let rows = client.query("SELECT value FROM v ORDER BY id", &[]).await.unwrap();
        let values: Vec<bool> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(values, [true, false]);
        assert_eq!(as_text(&client, 1).await.as_deref(), Some("t"));

        table(&client, "bytea").await;
        let bytes = vec![0_u8, 1, 0x5c, 255];
        write(&client, 1, &Type::BYTEA, &bytes).await;
        let row = client.query_one("SELECT value FROM v WHERE id = 1", &[]).await.unwrap();
        assert_eq!(row.get::<_, Vec<u8>>(0), bytes);
        assert_eq!(as_text(&client, 1).await.as_deref(), Some("\\x00015cff"));
    });
}

#[test]
fn a_type_that_is_not_supported_is_refused_and_nothing_is_written() {
    let system = small_system(1);
    block_on(async {
        let client = connect(system.caller_addresses()[0], "").await;
        table(&client, "text").await;
        let sql = "INSERT INTO v (id, value) VALUES ($1, $2)";
        let types = [Type::INT8, Type::INT4_ARRAY];
        let statement = client.prepare_typed(sql, &types).await.unwrap();
        let refused = client.execute(&statement, &[&1_i64, &vec![1_i32]]).await.unwrap_err();
        assert_eq!(refused.code().map(|code| code.code()), Some("0A000"), "{refused:?}");
        let rows = client.query("SELECT id FROM v", &[]).await.unwrap();
        assert!(rows.is_empty());
    });
}
