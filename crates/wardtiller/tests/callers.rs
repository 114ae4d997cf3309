//! What ordinary drivers rely on: log-in, pipelining, cancellation, errors, settings.

mod common;

use common::{SMALL, block_on, column, connect, small_system, start, value};
use tokio_postgres::NoTls;
use wardtiller::local_system::LocalSystemOptions;

#[test]
fn a_user_with_a_verifier_logs_in_by_password_only() {
    let verifier = wire::make_verifier("right horse");
    let text = format!("{SMALL}\n[user desk]\nverifier = {verifier}\nservices = shop\n");
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
        assert_eq!(value(&client, "SELECT 1").await, "1");
        for (user, password) in [("desk", "wrong horse"), ("nobody", "right horse")] {
            let Err(error) = log_in(user, password).await else { panic!("{user} is let in") };
            assert_eq!(error.code().map(|code| code.code()), Some("28P01"), "{user}");
        }
    });
}

#[test]
fn unknown_names_are_refused_with_what_is_known() {
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
        let error = column(&client, "SET wardtiller.read_kind = 'mneu'").await.unwrap_err();
        assert!(format!("{error:?}").contains("known: menu"), "{error:?}");
        let error = column(&client, "SET wardtiller.session = 'nonsense'").await.unwrap_err();
        assert_eq!(error.code().map(|code| code.code()), Some("22023"));
    });
}

#[test]
fn pipelined_requests_get_their_own_answers() {
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
        assert_eq!(value(&client, "SELECT count(*) FROM t").await, "67");
    });
}

#[test]
fn a_running_statement_is_cancelled_here_and_at_another_owner() {
    let text = SMALL.replace("connections = 12", "connections = 12\nowners = 1");
    let system = start(&text, LocalSystemOptions::default().daemons(2));
    for address in system.caller_addresses() {
        block_on(async {
            let client = connect(address, "").await;
            let token = client.cancel_token();
            let running = client.simple_query("SELECT pg_sleep(600)");
            let cancelling = async {
                loop {
                    // The statement may not have reached its server yet; then nothing is cancelled.
                    token.cancel_query(NoTls).await.expect("the request is taken");
                    tokio::task::yield_now().await;
                }
            };
            tokio::select! {
                outcome = running => {
                    let error = outcome.expect_err("it was cancelled");
                    assert_eq!(error.code().map(|code| code.code()), Some("57014"));
                }
                () = cancelling => unreachable!("it never ends by itself"),
            }
        });
    }
}

#[test]
fn an_error_ends_a_transaction_and_nothing_of_it_stays() {
    let system = small_system(1);
    let address = system.caller_addresses()[0];
    block_on(async {
        let client = connect(address, "").await;
        column(&client, "CREATE TABLE t (id INTEGER)").await.unwrap();
        for broken in ["SELECT * FROM nothing", "LISTEN a"] {
            column(&client, "BEGIN").await.unwrap();
            column(&client, "INSERT INTO t VALUES (1)").await.unwrap();
            assert!(column(&client, broken).await.is_err());
            let error = column(&client, "INSERT INTO t VALUES (2)").await.unwrap_err();
            assert_eq!(error.code().map(|code| code.code()), Some("25P02"), "{broken}");
            column(&client, "COMMIT").await.expect("it ends, rolled back");
            assert_eq!(value(&client, "SELECT count(*) FROM t").await, "0", "{broken}");
        }
    });
}

#[test]
fn nothing_of_one_caller_is_seen_by_another() {
    let text = SMALL.replace("connections = 12", "connections = 4\nowners = 1");
    let system = start(&text, LocalSystemOptions::default().daemons(1));
    let address = system.caller_addresses()[0];
    block_on(async {
        let first = connect(address, "").await;
        let second = connect(address, "").await;
        column(&first, "SET search_path = 'mine'").await.unwrap();
        first.batch_execute("CREATE TABLE t (id INTEGER)").await.unwrap();
        let prepared = first.prepare("SELECT id FROM t").await.unwrap();
        assert!(first.query(&prepared, &[]).await.unwrap().is_empty());
        assert!(column(&second, "SHOW wardtiller.session").await.unwrap()[0].eq("w1"));
        let error = second.simple_query("EXECUTE s").await.unwrap_err();
        assert_eq!(error.code().map(|code| code.code()), Some("0A000"));
    });
}
