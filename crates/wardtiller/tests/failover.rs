//! Failures of servers, the store and daemons, through the whole system.

mod common;

use std::time::Duration;

use common::{
    SMALL, block_on, column, connect, small_system, start, try_connect, value, wait_until,
};
use model::ServerRole;
use standin::ServerFaults;
use tokio_postgres::Client;
use wardtiller::local_system::{LocalSystem, LocalSystemOptions};

async fn make_table(system: &LocalSystem) {
    let client = connect(system.caller_addresses()[0], "").await;
    column(&client, "CREATE TABLE orders (id INTEGER)").await.expect("the table is made");
}

/// Returns the verdict that an error carries, if the daemon sent it.
fn verdict(error: &tokio_postgres::Error) -> Option<String> {
    let detail = error.as_db_error()?.detail()?;
    let verdict = detail.split_whitespace().find_map(|part| part.strip_prefix("verdict="))?;
    Some(verdict.to_owned())
}

/// Writes a row, again and again while the daemon says that it did not run; returns whether it was
/// acknowledged in the end.
async fn write_until_known(client: &mut Client, system: &LocalSystem, id: u32) -> bool {
    loop {
        match column(client, &format!("INSERT INTO orders VALUES ({id})")).await {
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

/// Brings a fault about.
type Break = fn(&mut ServerFaults);

#[test]
fn a_failed_primary_is_replaced_and_no_acknowledged_write_is_lost() {
    let rows: [(&str, Break); 4] = [
        ("crashed", |faults| faults.crashed = true),
        ("paused", |faults| faults.paused = true),
        ("cut off from all", |faults| {
            faults.cut_from = vec![String::new()];
            faults.cut_from_servers = true;
        }),
        ("cut off from its replicas", |faults| faults.cut_from_servers = true),
    ];
    for (name, fault) in rows {
        let system = small_system(2);
        let group = system.group("shop", "one").unwrap();
        let old = group.primary().expect("a primary leads").clone();
        block_on(async {
            make_table(&system).await;
            let mut client = connect(system.caller_addresses()[0], "").await;
            let mut acknowledged = Vec::new();
            for id in 0..20 {
                if write_until_known(&mut client, &system, id).await {
                    acknowledged.push(id.to_string());
                }
            }
            assert_eq!(acknowledged.len(), 20, "{name}: writes before the fault");
            old.change_faults(fault);
            for id in 20..40 {
                if write_until_known(&mut client, &system, id).await {
                    acknowledged.push(id.to_string());
                }
            }
            let kind = "SELECT count(*) FROM orders /* wardtiller.read_kind='menu' */";
            value(&client, kind).await;
            let leader = group.primary().expect("a new primary leads");
            assert_ne!(leader.address(), old.address(), "{name}: somebody else leads");
            let other = connect(system.caller_addresses()[1], "").await;
            let found = column(&other, "SELECT id FROM orders ORDER BY id").await.unwrap();
            for id in &acknowledged {
                let times = found.iter().filter(|found| *found == id).count();
                assert_eq!(times, 1, "{name}: write {id} stands once");
            }
        });
        old.change_faults(|faults| *faults = ServerFaults::default());
        wait_until("the old primary follows", || {
            let (old, new) = (old.status(), group.primary().map(|new| new.status()));
            old.role == ServerRole::Replica
                && new.is_some_and(|new| new.held_position == old.held_position)
        });
    }
}

#[test]
fn some_daemons_reach_an_old_primary_that_believes_it_leads() {
    let system = small_system(2);
    let group = system.group("shop", "one").unwrap();
    let old = group.primary().expect("a primary leads").clone();
    block_on(async {
        make_table(&system).await;
        // The second daemon still reaches it, and its replicas do not.
        old.change_faults(|faults| {
            faults.cut_from = vec!["entry-1".to_owned()];
            faults.cut_from_servers = true;
        });
        let mut acknowledged = Vec::new();
        for (index, address) in system.caller_addresses().into_iter().enumerate() {
            let mut client = connect(address, "").await;
            for id in 0..10 {
                let id = id + 100 * (index as u32 + 1);
                if write_until_known(&mut client, &system, id).await {
                    acknowledged.push(id.to_string());
                }
            }
        }
        assert!(!acknowledged.is_empty());
        let client = connect(system.caller_addresses()[0], "").await;
        let found = column(&client, "SELECT id FROM orders").await.unwrap();
        for id in &acknowledged {
            assert!(found.contains(id), "the acknowledged write {id} is on the new primary");
        }
    });
    wait_until("exactly one server leads", || {
        group.servers.iter().filter(|server| server.status().leads()).count() == 1
    });
}

#[test]
fn nothing_is_promoted_without_the_store_and_the_present_primary_goes_on() {
    let text = SMALL.replace("request_deadline_ms = 8000", "request_deadline_ms = 1500");
    let system = start(&text, LocalSystemOptions::default().daemons(2));
    let group = system.group("shop", "one").unwrap();
    let old = group.primary().expect("a primary leads").clone();
    system.platform.change_faults(|faults| faults.down = true);
    block_on(async {
        make_table(&system).await;
        let client = connect(system.caller_addresses()[0], "").await;
        column(&client, "INSERT INTO orders VALUES (1)").await.expect("the primary goes on");
        old.change_faults(|faults| faults.crashed = true);
        // The first request may have been under way to the crashed server; the second is not.
        let _ = column(&client, "INSERT INTO orders VALUES (2)").await;
        let error = column(&client, "INSERT INTO orders VALUES (3)").await.expect_err("no primary");
        assert_eq!(verdict(&error).as_deref(), Some("not_run"), "{error:?}");
        let kind = "SELECT count(*) FROM orders /* wardtiller.read_kind='menu' */";
        value(&client, kind).await;
    });
    assert!(group.servers.iter().all(|server| server.status().log_term.0 == 1));
    system.platform.change_faults(|faults| faults.down = false);
    wait_until("a new primary leads once the store is back", || {
        group.primary().is_some_and(|primary| primary.address() != old.address())
    });
}

#[test]
fn a_write_that_no_second_server_confirms_is_of_unknown_effect() {
    let text = SMALL
        .replace("acknowledge_timeout_ms = 4000", "acknowledge_timeout_ms = 300")
        .replace("suspect_after_ms = 400", "suspect_after_ms = 60000");
    let system = start(&text, LocalSystemOptions::default().daemons(1));
    let group = system.group("shop", "one").unwrap();
    block_on(async {
        make_table(&system).await;
        for replica in group.servers.iter().filter(|server| !server.status().leads()) {
            replica.set_receive_delay(Duration::from_secs(3_600));
        }
        let client = connect(system.caller_addresses()[0], "").await;
        let error =
            column(&client, "INSERT INTO orders VALUES (1)").await.expect_err("no evidence");
        assert_eq!(verdict(&error).as_deref(), Some("may_have_run"), "{error:?}");
        assert_eq!(error.code().map(|code| code.code()), Some("08007"));
    });
}

#[test]
fn a_session_is_told_that_its_write_did_not_survive() {
    let text = SMALL.replace("[service shop]", "[service shop]\nacknowledge = term");
    let system = start(&text, LocalSystemOptions::default().daemons(1));
    let group = system.group("shop", "one").unwrap();
    let old = group.primary().expect("a primary leads").clone();
    block_on(async {
        make_table(&system).await;
        for replica in group.servers.iter().filter(|server| !server.status().leads()) {
            replica.set_receive_delay(Duration::from_secs(3_600));
        }
        let client = connect(system.caller_addresses()[0], "").await;
        // Term evidence alone acknowledges what only the primary holds, as operators may choose.
        column(&client, "INSERT INTO orders VALUES (1)").await.expect("term evidence is enough");
        let token = value(&client, "SHOW wardtiller.session").await;
        old.change_faults(|faults| faults.crashed = true);
        wait_until("a new primary leads", || {
            group.primary().is_some_and(|primary| primary.address() != old.address())
        });
        let options = format!("options='-c wardtiller.session={token}'");
        let reader = connect(system.caller_addresses()[0], &options).await;
        let error = column(&reader, "SELECT id FROM orders").await.expect_err("the write is lost");
        assert_eq!(error.code().map(|code| code.code()), Some("72000"), "{error:?}");
        let detail = error.as_db_error().and_then(|error| error.detail()).unwrap_or_default();
        assert!(detail.contains("reason=write_lost"), "{detail}");
        column(&reader, "SET wardtiller.session = ''").await.expect("the session begins anew");
        column(&reader, "SELECT 1").await.expect("and can go on");
    });
}

#[test]
fn a_killed_daemon_rolls_its_transactions_back() {
    let mut system = small_system(2);
    let addresses = system.caller_addresses();
    let client = block_on(async {
        make_table(&system).await;
        let client = connect(addresses[0], "").await;
        column(&client, "BEGIN").await.unwrap();
        column(&client, "INSERT INTO orders VALUES (7)").await.unwrap();
        client
    });
    system.kill_daemon(0);
    block_on(async {
        assert!(column(&client, "COMMIT").await.is_err(), "the commit is not acknowledged");
        let other = connect(addresses[1], "").await;
        let found = value(&other, "SELECT count(*) FROM orders").await;
        assert_eq!(found, "0");
    });
}

#[test]
fn a_stopping_daemon_finishes_its_transactions() {
    let mut system = small_system(2);
    let addresses = system.caller_addresses();
    block_on(make_table(&system));
    let (begun, has_begun) = std::sync::mpsc::channel();
    let working = std::thread::spawn(move || {
        block_on(async {
            let client = connect(addresses[0], "").await;
            column(&client, "BEGIN").await.unwrap();
            begun.send(()).unwrap();
            for id in 0..50 {
                column(&client, &format!("INSERT INTO orders VALUES ({id})")).await.unwrap();
            }
            column(&client, "COMMIT").await.unwrap();
        });
    });
    has_begun.recv().unwrap();
    assert!(system.stop_daemon(0), "the daemon finished in time");
    working.join().expect("the transaction was not cut");
    block_on(async {
        let addresses = system.caller_addresses();
        let client = connect(addresses[0], "").await;
        assert_eq!(value(&client, "SELECT count(*) FROM orders").await, "50");
    });
}

#[test]
fn a_stopped_daemon_takes_no_callers() {
    let mut system = small_system(2);
    let addresses = system.caller_addresses();
    system.stop_daemon(0);
    block_on(async {
        assert!(try_connect(addresses[0], "").await.is_err());
        let client = connect(addresses[1], "").await;
        assert_eq!(value(&client, "SELECT 1").await, "1");
    });
}

#[test]
fn a_leaving_primary_is_replaced_without_an_error() {
    let mut system = small_system(2);
    let group = system.group("shop", "one").unwrap().clone();
    let old = group.primary().expect("a primary leads").clone();
    let addresses = system.caller_addresses();
    block_on(make_table(&system));
    system.set_listed_state(old.address(), "leaving");
    block_on(async {
        let client = connect(addresses[0], "").await;
        let mut id = 0;
        while group.primary().is_none_or(|primary| primary.address() == old.address()) {
            column(&client, &format!("INSERT INTO orders VALUES ({id})")).await.expect("no error");
            id += 1;
        }
        column(&client, "INSERT INTO orders VALUES (-1)").await.expect("no error afterwards");
        let found = value(&client, "SELECT count(*) FROM orders").await;
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
