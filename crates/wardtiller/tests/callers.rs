//! Features that PostgreSQL drivers rely on: authentication, pipelining, cancellation, errors and settings.

mod common;

use common::{
    SMALL_CONFIGURATION, block_on, connect, query_column, query_value, small_system, start,
};
use tokio_postgres::NoTls;
use wardtiller::local_system::LocalSystemOptions;

#[test]
fn a_user_with_a_verifier_needs_its_password_to_log_in() {
    let verifier = wire::make_verifier("right horse");
    let text =
        format!("{SMALL_CONFIGURATION}\n[user desk]\nverifier = {verifier}\nservices = shop\n");
    let system = start(&text, LocalSystemOptions::default().daemons(1));
    let address = system.caller_addresses()[0];
    block_on(async {
        let log_in = async |user: &str, password: &str| {
            let parameters = format!(
                "host={} port={} user={user} dbname=shop password='{password}'",
                address.ip(),
                address.port()
            );
            let connected = tokio_postgres::connect(&parameters, NoTls).await;
            connected.map(|(client, connection)| {
                tokio::spawn(connection);
                client
            })
        };
        let client = log_in("desk", "right horse").await.expect("the password is right");
        assert_eq!(query_value(&client, "SELECT 1").await, "1");
        for (user, password) in [("desk", "wrong horse"), ("nobody", "right horse")] {
            let Err(error) = log_in(user, password).await else {
                panic!("{user} logged in with {password}")
            };
            assert_eq!(error.code().map(|code| code.code()), Some("28P01"), "{user}");
        }
    });
}

#[test]
fn errors_for_unknown_names_list_the_known_names() {
    let system = small_system(1);
    let address = system.caller_addresses()[0];
    block_on(async {
        let parameters =
            format!("host={} port={} user=app dbname=shpo", address.ip(), address.port());
        let Err(error) = tokio_postgres::connect(&parameters, NoTls).await else {
            panic!("there is no such service");
        };
        assert!(format!("{error:?}").contains("known here: shop"), "{error:?}");
        let client = connect(address, "").await;
        let error = query_column(&client, "SET wardtiller.read_kind = 'mneu'").await.unwrap_err();
        assert!(format!("{error:?}").contains("known: menu"), "{error:?}");
        let error = query_column(&client, "SET wardtiller.session = 'nonsense'").await.unwrap_err();
        assert_eq!(error.code().map(|code| code.code()), Some("22023"));
    });
}

#[test]
fn pipelined_requests_get_their_own_responses() {
    let system = small_system(2);
    let address = system.caller_addresses()[1];
    block_on(async {
        let client = connect(address, "").await;
        client.batch_execute("CREATE TABLE t (id INTEGER)").await.unwrap();
        let insert = client.prepare("INSERT INTO t VALUES ($1::int8)").await.unwrap();
        let select = client.prepare("SELECT $1::int8").await.unwrap();
        let requests = (0..200_i64).map(|id| {
            let (client, insert, select) = (&client, &insert, &select);
            async move {
                if id % 3 == 0 {
                    assert_eq!(client.execute(insert, &[&id]).await.unwrap(), 1);
                } else {
                    let row = client.query_one(select, &[&id]).await.unwrap();
                    assert_eq!(row.get::<_, String>(0), id.to_string());
                }
            }
        });
        futures::future::join_all(requests).await;
        assert_eq!(query_value(&client, "SELECT count(*) FROM t").await, "67");
    });
}

#[test]
fn a_running_statement_is_cancelled_on_a_local_and_on_a_remote_owner() {
    let text = SMALL_CONFIGURATION.replace("connections = 12", "connections = 12\nowners = 1");
    let system = start(&text, LocalSystemOptions::default().daemons(2));
    for address in system.caller_addresses() {
        block_on(async {
            let client = connect(address, "").await;
            let token = client.cancel_token();
            let running = client.simple_query("SELECT pg_sleep(600)");
            let cancelling = async {
                loop {
                    // The request has no effect until the statement has reached its server.
                    token.cancel_query(NoTls).await.expect("the cancel request is accepted");
                    tokio::task::yield_now().await;
                }
            };
            tokio::select! {
                outcome = running => {
                    let error = outcome.expect_err("the statement was cancelled");
                    assert_eq!(error.code().map(|code| code.code()), Some("57014"));
                }
                () = cancelling => unreachable!("the loop never ends"),
            }
        });
    }
}

#[test]
fn an_error_aborts_the_transaction_and_rolls_it_back() {
    let system = small_system(1);
    let address = system.caller_addresses()[0];
    block_on(async {
        let client = connect(address, "").await;
        query_column(&client, "CREATE TABLE t (id INTEGER)").await.unwrap();
        for broken in ["SELECT * FROM nothing", "LISTEN a"] {
            query_column(&client, "BEGIN").await.unwrap();
            query_column(&client, "INSERT INTO t VALUES (1)").await.unwrap();
            assert!(query_column(&client, broken).await.is_err());
            let error = query_column(&client, "INSERT INTO t VALUES (2)").await.unwrap_err();
            assert_eq!(error.code().map(|code| code.code()), Some("25P02"), "{broken}");
            query_column(&client, "COMMIT").await.expect("the transaction ends and is rolled back");
            assert_eq!(query_value(&client, "SELECT count(*) FROM t").await, "0", "{broken}");
        }
    });
}

#[test]
fn session_state_is_isolated_between_callers() {
    let text = SMALL_CONFIGURATION.replace("connections = 12", "connections = 4\nowners = 1");
    let system = start(&text, LocalSystemOptions::default().daemons(1));
    let address = system.caller_addresses()[0];
    block_on(async {
        let first = connect(address, "").await;
        let second = connect(address, "").await;
        query_column(&first, "SET search_path = 'mine'").await.unwrap();
        first.batch_execute("CREATE TABLE t (id INTEGER)").await.unwrap();
        let prepared = first.prepare("SELECT id FROM t").await.unwrap();
        assert!(first.query(&prepared, &[]).await.unwrap().is_empty());
        assert!(query_column(&second, "SHOW wardtiller.session").await.unwrap()[0].eq("w1"));
        let error = second.simple_query("EXECUTE s").await.unwrap_err();
        assert_eq!(error.code().map(|code| code.code()), Some("0A000"));
    });
}
