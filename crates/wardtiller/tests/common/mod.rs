//! Helpers for the tests that run a complete system.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio_postgres::{Client, NoTls};
use wardtiller::local_system::{LocalSystem, LocalSystemOptions};

/// A service with one group of three servers, and short failure detection timeouts.
pub(crate) const SMALL_CONFIGURATION: &str = "\
[service shop]
request_deadline_ms = 8000
acknowledge_timeout_ms = 4000

[kind shop/menu]
staleness_ms = 60000

[group shop/one]
primary = a
connections = 12

[server shop/one/a]
address = 127.0.0.1:1
availability_zone = east

[server shop/one/b]
address = 127.0.0.1:2
availability_zone = west

[server shop/one/c]
address = 127.0.0.1:3
availability_zone = north

[user app]

[failover]
heartbeat_ms = 50
status_timeout_ms = 300
suspect_after_ms = 400
takeover_after_ms = 500
";

/// Starts a system with [`SMALL_CONFIGURATION`].
pub(crate) fn small_system(daemons: usize) -> LocalSystem {
    start(SMALL_CONFIGURATION, LocalSystemOptions::default().daemons(daemons))
}

/// Starts a system with short control intervals.
pub(crate) fn start(text: &str, options: LocalSystemOptions) -> LocalSystem {
    let options = options.adjust(|settings| {
        settings.control.gossip_ms = 50;
        settings.control.peer_timeout_ms = 500;
        settings.platform.host_list_ms = 50;
        settings.platform.watch_wait_ms = 2_000;
    });
    LocalSystem::start(text, &options).expect("the system starts")
}

/// Connects to a daemon with additional parameters such as `options='-c …'`.
pub(crate) async fn connect(address: SocketAddr, options: &str) -> Client {
    try_connect(address, options).await.expect("the daemon accepts the caller")
}

/// Connects to a daemon and returns the error if that fails.
pub(crate) async fn try_connect(
    address: SocketAddr,
    options: &str,
) -> Result<Client, tokio_postgres::Error> {
    let parameters =
        format!("host={} port={} user=app dbname=shop {options}", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&parameters, NoTls).await?;
    tokio::spawn(async move {
        // The client's next call returns the connection's error.
        let _ = connection.await;
    });
    Ok(client)
}

/// Runs a simple query and returns its first column.
pub(crate) async fn query_column(
    client: &Client,
    sql: &str,
) -> Result<Vec<String>, tokio_postgres::Error> {
    let messages = client.simple_query(sql).await?;
    let rows = messages.iter().filter_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("").to_owned()),
        _ => None,
    });
    Ok(rows.collect())
}

/// Runs a simple query and returns the first column of its only row.
pub(crate) async fn query_value(client: &Client, sql: &str) -> String {
    let mut values =
        query_column(client, sql).await.unwrap_or_else(|error| panic!("{sql}: {error:?}"));
    assert_eq!(values.len(), 1, "{sql}");
    values.remove(0)
}

/// Waits until a condition is true. Panics after a timeout that no working system reaches.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::yield_now();
    }
}

/// Runs a future on a new runtime, so that the test drops the system outside of any runtime.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts")
        .block_on(future)
}
