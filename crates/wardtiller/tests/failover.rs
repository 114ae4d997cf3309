//! Failures of servers, the store and daemons in a complete system.

mod common;

use std::time::Duration;

use common::{
    SMALL_CONFIGURATION, block_on, connect, query_column, query_value, small_system, start,
    try_connect, wait_until,
};
use model::ServerRole;
use standin::ServerFaults;
use tokio_postgres::Client;
use wardtiller::local_system::{LocalSystem, LocalSystemOptions};

async fn create_table(system: &LocalSystem) {
    let client = connect(system.caller_addresses()[0], "").await;
    query_column(&client, "CREATE TABLE orders (id INTEGER)").await.expect("the table is created");
}

/// Returns the verdict in an error from the daemon, or `None` for other errors.
fn verdict(error: &tokio_postgres::Error) -> Option<String> {
    let detail = error.as_db_error()?.detail()?;
    let verdict = detail.split_whitespace().find_map(|part| part.strip_prefix("verdict="))?;
    Some(verdict.to_owned())
}

/// Writes a row and retries while the verdict is "not run". Returns whether the write was acknowledged.
async fn write_with_retries(client: &mut Client, system: &LocalSystem, id: u32) -> bool {
    loop {
        match query_column(client, &format!("INSERT INTO orders VALUES ({id})")).await {
            Ok(_) => return true,
            Err(error) => match verdict(&error).as_deref() {
                Some("not_run") => {}
                Some(_) => return false,
                None => {
                    *client = connect(system.caller_addresses()[0], "").await;
                    return false;
                }
            },
        }
    }
}

/// Sets a fault on a server.
type InjectFault = fn(&mut ServerFaults);

#[test]
fn a_failed_primary_is_replaced_and_no_acknowledged_write_is_lost() {
    let rows: [(&str, InjectFault); 4] = [
        ("crashed", |faults| faults.crashed = true),
        ("paused", |faults| faults.paused = true),
        ("cut off from all", |faults| {
            faults.unreachable_from = vec![String::new()];
            faults.replication_disconnected = true;
        }),
        ("cut off from its replicas", |faults| faults.replication_disconnected = true),
    ];
    for (name, fault) in rows {
        let system = small_system(2);
        let group = system.group("shop", "one").unwrap();
        let old = group.primary().expect("a primary leads").clone();
        block_on(async {
            create_table(&system).await;
            let mut client = connect(system.caller_addresses()[0], "").await;
            let mut acknowledged = Vec::new();
            for id in 0..20 {
                if write_with_retries(&mut client, &system, id).await {
                    acknowledged.push(id.to_string());
                }
            }
            assert_eq!(acknowledged.len(), 20, "{name}: writes before the fault");
            old.change_faults(fault);
            for id in 20..40 {
                if write_with_retries(&mut client, &system, id).await {
                    acknowledged.push(id.to_string());
                }
            }
            let kind = "SELECT count(*) FROM orders /* wardtiller.read_kind='menu' */";
            query_value(&client, kind).await;
            let leader = group.primary().expect("a new primary leads");
            assert_ne!(leader.address(), old.address(), "{name}: another server leads");
            let other = connect(system.caller_addresses()[1], "").await;
            let found = query_column(&other, "SELECT id FROM orders ORDER BY id").await.unwrap();
            for id in &acknowledged {
                let times = found.iter().filter(|found| *found == id).count();
                assert_eq!(times, 1, "{name}: write {id} exists once");
            }
        });
        old.change_faults(|faults| *faults = ServerFaults::default());
        wait_until("the old primary is a replica", || {
            let (old, new) = (old.status(), group.primary().map(|new| new.status()));
            old.role == ServerRole::Replica
                && new.is_some_and(|new| new.held_position == old.held_position)
        });
    }
}

#[test]
fn a_partially_reachable_old_primary_loses_no_acknowledged_write() {
    let system = small_system(2);
    let group = system.group("shop", "one").unwrap();
    let old = group.primary().expect("a primary leads").clone();
    block_on(async {
        create_table(&system).await;
        // The second daemon still reaches the old primary; the replicas don't.
        old.change_faults(|faults| {
            faults.unreachable_from = vec!["entry-1".to_owned()];
            faults.replication_disconnected = true;
        });
        let mut acknowledged = Vec::new();
        for (index, address) in system.caller_addresses().into_iter().enumerate() {
            let mut client = connect(address, "").await;
            for id in 0..10 {
                let id = id + 100 * (index as u32 + 1);
                if write_with_retries(&mut client, &system, id).await {
                    acknowledged.push(id.to_string());
                }
            }
        }
        assert!(!acknowledged.is_empty());
        let client = connect(system.caller_addresses()[0], "").await;
        let found = query_column(&client, "SELECT id FROM orders").await.unwrap();
        for id in &acknowledged {
            assert!(found.contains(id), "the acknowledged write {id} is on the new primary");
        }
    });
    wait_until("exactly one server leads", || {
        group.servers.iter().filter(|server| server.status().leads()).count() == 1
    });
}

#[test]
fn without_the_store_no_replica_is_promoted_and_the_primary_keeps_serving() {
    let text =
        SMALL_CONFIGURATION.replace("request_deadline_ms = 8000", "request_deadline_ms = 1500");
    let system = start(&text, LocalSystemOptions::default().daemons(2));
    let group = system.group("shop", "one").unwrap();
    let old = group.primary().expect("a primary leads").clone();
    system.platform.change_faults(|faults| faults.down = true);
    block_on(async {
        create_table(&system).await;
        let client = connect(system.caller_addresses()[0], "").await;
        query_column(&client, "INSERT INTO orders VALUES (1)")
            .await
            .expect("the primary keeps serving");
        old.change_faults(|faults| faults.crashed = true);
        // The first request may still be sent to the crashed server; the second one isn't.
        let _ = query_column(&client, "INSERT INTO orders VALUES (2)").await;
        let error =
            query_column(&client, "INSERT INTO orders VALUES (3)").await.expect_err("no primary");
        assert_eq!(verdict(&error).as_deref(), Some("not_run"), "{error:?}");
        let kind = "SELECT count(*) FROM orders /* wardtiller.read_kind='menu' */";
        query_value(&client, kind).await;
    });
    assert!(group.servers.iter().all(|server| server.status().log_term.0 == 1));
    system.platform.change_faults(|faults| faults.down = false);
    wait_until("a new primary leads once the store is back", || {
        group.primary().is_some_and(|primary| primary.address() != old.address())
    });
}

#[test]
fn a_write_without_replica_confirmation_may_have_run() {
    let text = SMALL_CONFIGURATION
        .replace("acknowledge_timeout_ms = 4000", "acknowledge_timeout_ms = 300")
        .replace("suspect_after_ms = 400", "suspect_after_ms = 60000");
    let system = start(&text, LocalSystemOptions::default().daemons(1));
    let group = system.group("shop", "one").unwrap();
    block_on(async {
        create_table(&system).await;
        for replica in group.servers.iter().filter(|server| !server.status().leads()) {
            replica.set_receive_delay(Duration::from_secs(3_600));
        }
        let client = connect(system.caller_addresses()[0], "").await;
        let error =
            query_column(&client, "INSERT INTO orders VALUES (1)").await.expect_err("no evidence");
        assert_eq!(verdict(&error).as_deref(), Some("may_have_run"), "{error:?}");
        assert_eq!(error.code().map(|code| code.code()), Some("08007"));
    });
}

#[test]
fn a_session_gets_an_error_when_its_write_was_lost_in_a_failover() {
    let text = SMALL_CONFIGURATION.replace("[service shop]", "[service shop]\nacknowledge = term");
    let system = start(&text, LocalSystemOptions::default().daemons(1));
    let group = system.group("shop", "one").unwrap();
    let old = group.primary().expect("a primary leads").clone();
    block_on(async {
        create_table(&system).await;
        for replica in group.servers.iter().filter(|server| !server.status().leads()) {
            replica.set_receive_delay(Duration::from_secs(3_600));
        }
        let client = connect(system.caller_addresses()[0], "").await;
        // With `acknowledge = term`, a write that only the primary holds is acknowledged.
        query_column(&client, "INSERT INTO orders VALUES (1)")
            .await
            .expect("term evidence is enough");
        let token = query_value(&client, "SHOW wardtiller.session").await;
        old.change_faults(|faults| faults.crashed = true);
        wait_until("a new primary leads", || {
            group.primary().is_some_and(|primary| primary.address() != old.address())
        });
        let options = format!("options='-c wardtiller.session={token}'");
        let reader = connect(system.caller_addresses()[0], &options).await;
        let error =
            query_column(&reader, "SELECT id FROM orders").await.expect_err("the write is lost");
        assert_eq!(error.code().map(|code| code.code()), Some("72000"), "{error:?}");
        let detail = error.as_db_error().and_then(|error| error.detail()).unwrap_or_default();
        assert!(detail.contains("reason=write_lost"), "{detail}");
        query_column(&reader, "SET wardtiller.session = ''").await.expect("the session is reset");
        query_column(&reader, "SELECT 1").await.expect("the session works again");
    });
}

#[test]
fn a_killed_daemon_rolls_its_transactions_back() {
    let mut system = small_system(2);
    let addresses = system.caller_addresses();
    let client = block_on(async {
        create_table(&system).await;
        let client = connect(addresses[0], "").await;
        query_column(&client, "BEGIN").await.unwrap();
        query_column(&client, "INSERT INTO orders VALUES (7)").await.unwrap();
        client
    });
    system.kill_daemon(0);
    block_on(async {
        assert!(query_column(&client, "COMMIT").await.is_err(), "the commit is not acknowledged");
        let other = connect(addresses[1], "").await;
        let found = query_value(&other, "SELECT count(*) FROM orders").await;
        assert_eq!(found, "0");
    });
}

#[test]
fn a_stopping_daemon_finishes_its_transactions() {
    let mut system = small_system(2);
    let addresses = system.caller_addresses();
    block_on(create_table(&system));
    let (begun, has_begun) = std::sync::mpsc::channel();
    let working = std::thread::spawn(move || {
        block_on(async {
            let client = connect(addresses[0], "").await;
            query_column(&client, "BEGIN").await.unwrap();
            begun.send(()).unwrap();
            for id in 0..50 {
                query_column(&client, &format!("INSERT INTO orders VALUES ({id})")).await.unwrap();
            }
            query_column(&client, "COMMIT").await.unwrap();
        });
    });
    has_begun.recv().unwrap();
    assert!(system.stop_daemon(0), "the daemon finished in time");
    working.join().expect("the transaction completed");
    block_on(async {
        let addresses = system.caller_addresses();
        let client = connect(addresses[0], "").await;
        assert_eq!(query_value(&client, "SELECT count(*) FROM orders").await, "50");
    });
}

#[test]
fn a_stopped_daemon_accepts_no_callers() {
    let mut system = small_system(2);
    let addresses = system.caller_addresses();
    system.stop_daemon(0);
    block_on(async {
        assert!(try_connect(addresses[0], "").await.is_err());
        let client = connect(addresses[1], "").await;
        assert_eq!(query_value(&client, "SELECT 1").await, "1");
    });
}

#[test]
fn a_leaving_primary_is_replaced_without_an_error() {
    let mut system = small_system(2);
    let group = system.group("shop", "one").unwrap().clone();
    let old = group.primary().expect("a primary leads").clone();
    let addresses = system.caller_addresses();
    block_on(create_table(&system));
    system.set_host_state(old.address(), "leaving");
    block_on(async {
        let client = connect(addresses[0], "").await;
        let mut id = 0;
        while group.primary().is_none_or(|primary| primary.address() == old.address()) {
            query_column(&client, &format!("INSERT INTO orders VALUES ({id})"))
                .await
                .expect("no error");
            id += 1;
        }
        query_column(&client, "INSERT INTO orders VALUES (-1)").await.expect("no error afterwards");
        let found = query_value(&client, "SELECT count(*) FROM orders").await;
        assert_eq!(found, (id + 1).to_string());
    });
    wait_until("the leaving server gets no new work", || {
        let report = system.daemon(0).unwrap().show();
        report.groups[0]
            .servers
            .iter()
            .any(|server| server.address == old.address().to_string() && !server.gets_work)
    });
}
