//! Compares the way through a daemon with a direct connection, in one interleaved run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use eyre::WrapErr;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio_postgres::{Client, NoTls};

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;

/// One way of reaching the data.
#[derive(Clone, Debug)]
pub struct AccessPath {
    /// Its name in the report.
    pub name: &'static str,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Parameters beside the address.
    pub parameters: String,
}

/// What was measured of one way.
#[derive(Clone, Debug, Serialize)]
pub struct AccessPathReport {
    /// Its name.
    pub name: &'static str,
    /// Statements each second, in the slices that it had.
    pub per_second: f64,
    /// The median latency.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
}

/// Drives the ways in turn, in slices of equal length, with the same callers and statement.
pub fn compare_access_paths(
    ways: &[AccessPath],
    statement: &str,
    callers: usize,
    slices: usize,
    slice: Duration,
) -> eyre::Result<Vec<AccessPathReport>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut clients: Vec<Vec<Client>> = Vec::new();
    for way in ways {
        clients.push(runtime.block_on(connect_all(way, callers))?);
    }
    let mut histograms: Vec<Histogram<u64>> = Vec::new();
    for _ in ways {
        histograms.push(Histogram::new_with_max(MAX_LATENCY_US, 3)?);
    }
    let mut counted = vec![0.0; ways.len()];
    for _ in 0..slices {
        for (index, clients) in clients.iter().enumerate() {
            let began = Instant::now();
            let latencies = runtime.block_on(drive(clients, statement, began + slice))?;
            counted[index] += began.elapsed().as_secs_f64();
            for latency in latencies {
                histograms[index].saturating_record(latency);
            }
        }
    }
    let reports = ways.iter().zip(&histograms).zip(&counted);
    Ok(reports
        .map(|((way, histogram), seconds)| AccessPathReport {
            name: way.name,
            per_second: histogram.len() as f64 / seconds,
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
        })
        .collect())
}

async fn connect_all(way: &AccessPath, callers: usize) -> eyre::Result<Vec<Client>> {
    let mut clients = Vec::new();
    let (ip, port) = (way.address.ip(), way.address.port());
    for _ in 0..callers {
        let parameters = format!("host={ip} port={port} {}", way.parameters);
        let connected = tokio_postgres::connect(&parameters, NoTls).await;
        let (client, connection) = connected.wrap_err_with(|| way.name.to_owned())?;
        tokio::spawn(connection);
        clients.push(client);
    }
    Ok(clients)
}

/// Runs the statement on every client until the time is over, one request at a time on each.
async fn drive(clients: &[Client], statement: &str, until: Instant) -> eyre::Result<Vec<u64>> {
    let driving = clients.iter().map(|client| async move {
        let mut latencies = Vec::new();
        while Instant::now() < until {
            let began = Instant::now();
            client.simple_query(statement).await?;
            latencies.push(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX));
        }
        eyre::Ok(latencies)
    });
    let all = futures::future::try_join_all(driving).await?;
    Ok(all.into_iter().flatten().collect())
}
