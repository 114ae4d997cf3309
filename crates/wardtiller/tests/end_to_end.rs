//! Requests through the complete path: caller, daemon, owner and endpoint.

mod common;

use common::{
    SMALL_CONFIGURATION, block_on, connect, query_column, query_value, small_system, start,
};
use wardtiller::local_system::LocalSystemOptions;

#[test]
fn a_session_reads_its_own_writes_on_another_daemon() {
    let system = small_system(2);
    let addresses = system.caller_addresses();
    block_on(async {
        let first = connect(addresses[0], "").await;
        query_column(&first, "CREATE TABLE orders (id INTEGER PRIMARY KEY, what TEXT)")
            .await
            .unwrap();
        query_column(&first, "INSERT INTO orders VALUES (1, 'soup')").await.unwrap();
        let token = query_value(&first, "SHOW wardtiller.session").await;
        assert!(token.starts_with("w1;one@1:"), "{token}");

        let options = format!("options='-c wardtiller.session={token}'");
        let with_token = connect(addresses[1], &options).await;
        assert_eq!(query_value(&with_token, "SELECT what FROM orders WHERE id = 1").await, "soup");

        let without_token = connect(addresses[1], "").await;
        assert_eq!(
            query_value(&without_token, "SELECT what FROM orders WHERE id = 1").await,
            "soup"
        );
    });
}

#[test]
fn prepared_statements_and_transactions_work_with_a_driver() {
    let system = small_system(2);
    let addresses = system.caller_addresses();
    block_on(async {
        let mut client = connect(addresses[0], "").await;
        client.batch_execute("CREATE TABLE t (id INTEGER PRIMARY KEY, v TEXT)").await.unwrap();
        let insert = client.prepare("INSERT INTO t VALUES ($1::int8, $2)").await.unwrap();
        for id in 0..5_i64 {
            assert_eq!(client.execute(&insert, &[&id, &format!("v{id}")]).await.unwrap(), 1);
        }
        let transaction = client.transaction().await.unwrap();
        transaction.execute(&insert, &[&5_i64, &"v5"]).await.unwrap();
        transaction.rollback().await.unwrap();
        let transaction = client.transaction().await.unwrap();
        transaction.execute(&insert, &[&6_i64, &"v6"]).await.unwrap();
        transaction.commit().await.unwrap();
        let rows = client.query("SELECT id, v FROM t ORDER BY id", &[]).await.unwrap();
        let ids: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(ids, [0, 1, 2, 3, 4, 6]);
    });
}

#[test]
fn statements_that_pooled_connections_do_not_support_are_refused() {
    let system = small_system(1);
    let addresses = system.caller_addresses();
    block_on(async {
        let client = connect(addresses[0], "").await;
        let refused = [
            "LISTEN news",
            "CREATE TEMP TABLE t (id INTEGER)",
            "SELECT pg_advisory_lock(1)",
            "COPY t FROM STDIN",
            "SET work_mem = '1MB'",
            "PREPARE p AS SELECT 1",
        ];
        for sql in refused {
            let error = query_column(&client, sql).await.expect_err(sql);
            let code = error.code().map(|code| code.code().to_owned());
            assert_eq!(code.as_deref(), Some("0A000"), "{sql}");
        }
        assert_eq!(query_value(&client, "SELECT 1").await, "1");
    });
}

#[test]
fn few_connections_limit_the_number_of_owners() {
    let text = SMALL_CONFIGURATION.replace("connections = 12", "connections = 4");
    let system = start(&text, LocalSystemOptions::default().daemons(6));
    block_on(async {
        for address in system.caller_addresses() {
            let client = connect(address, "").await;
            assert_eq!(query_value(&client, "SELECT 1").await, "1");
        }
    });
    let owning = system.daemons.iter().flatten();
    let owners = owning.filter(|daemon| daemon.show().groups_to_own == 1).count();
    assert_eq!(owners, 2);
}
