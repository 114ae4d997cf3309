//! What the tests of whole systems share.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio_postgres::{Client, NoTls};
use wardtiller::local_system::{LocalSystem, LocalSystemOptions};

/// A service with one group of three servers, small enough to follow.
pub(crate) const SMALL: &str = "\
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

/// Starts the small system with a number of daemons.
pub(crate) fn small_system(daemons: usize) -> LocalSystem {
    start(SMALL, LocalSystemOptions::default().daemons(daemons))
}

/// Starts a system.
pub(crate) fn start(text: &str, options: LocalSystemOptions) -> LocalSystem {
    let quick = options.adjust(|settings| {
        settings.control.gossip_ms = 50;
        settings.control.peer_timeout_ms = 500;
        settings.platform.host_list_ms = 50;
        settings.platform.watch_wait_ms = 2_000;
    });
    LocalSystem::start(text, &quick).expect("the system starts")
}

/// Connects a driver; `options` are further parameters such as `options='-c …'`.
pub(crate) async fn connect(address: SocketAddr, options: &str) -> Client {
    try_connect(address, options).await.expect("the daemon takes the caller")
}

/// Connects a driver, or tells why not.
pub(crate) async fn try_connect(
    address: SocketAddr,
    options: &str,
) -> Result<Client, tokio_postgres::Error> {
    let parameters =
        format!("host={} port={} user=app dbname=shop {options}", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&parameters, NoTls).await?;
    tokio::spawn(async move {
        // The end of the connection shows in the client's next call.
        let _ = connection.await;
    });
    Ok(client)
}

/// Runs one simple query and returns its first column.
pub(crate) async fn column(
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

/// Returns the first column of a query's only row.
pub(crate) async fn value(client: &Client, sql: &str) -> String {
    let mut found = column(client, sql).await.unwrap_or_else(|error| panic!("{sql}: {error:?}"));
    assert_eq!(found.len(), 1, "{sql}");
    found.remove(0)
}

/// Waits for a condition that must come true, however long that takes.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < until, "never came true: {what}");
        std::thread::yield_now();
    }
}

/// Runs a test on a runtime of its own, so that the system itself is never dropped inside one.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("threads are at hand")
        .block_on(future)
}
