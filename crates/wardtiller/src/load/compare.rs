//! Compares access through a daemon with a direct connection, in a single interleaved run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use eyre::WrapErr;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio_postgres::{Client, NoTls};

/// The highest latency that a histogram can record, in microseconds; longer ones are counted as this value.
const MAX_LATENCY_US: u64 = 10_000_000;

/// A path to the data, either through a daemon or direct.
#[derive(Clone, Debug)]
pub struct AccessPath {
    /// The name in the report.
    pub name: &'static str,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// Connection parameters in addition to the address.
    pub parameters: String,
}

/// The measurements of one access path.
#[derive(Clone, Debug, Serialize)]
pub struct AccessPathReport {
    /// The name of the path.
    pub name: &'static str,
    /// Statements per second during the slices of this path.
    pub per_second: f64,
    /// The median latency in microseconds.
    pub p50_us: u64,
    /// The 99th percentile of the latency in microseconds.
    pub p99_us: u64,
}

/// Runs the statement over the paths in turn, in slices of equal length and with the same number of callers.
pub fn compare_access_paths(
    paths: &[AccessPath],
    statement: &str,
    callers: usize,
    slices: usize,
    slice: Duration,
) -> eyre::Result<Vec<AccessPathReport>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut clients: Vec<Vec<Client>> = Vec::new();
    for path in paths {
        clients.push(runtime.block_on(connect_all(path, callers))?);
    }
    let mut histograms: Vec<Histogram<u64>> = Vec::new();
    for _ in paths {
        histograms.push(Histogram::new_with_max(MAX_LATENCY_US, 3)?);
    }
    let mut elapsed_s = vec![0.0; paths.len()];
    for _ in 0..slices {
        for (index, clients) in clients.iter().enumerate() {
            let started_at = Instant::now();
            let latencies = runtime.block_on(run_until(clients, statement, started_at + slice))?;
            elapsed_s[index] += started_at.elapsed().as_secs_f64();
            for latency in latencies {
                histograms[index].saturating_record(latency);
            }
        }
    }
    let reports = paths.iter().zip(&histograms).zip(&elapsed_s);
    Ok(reports
        .map(|((path, histogram), seconds)| AccessPathReport {
            name: path.name,
            per_second: histogram.len() as f64 / seconds,
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
        })
        .collect())
}

async fn connect_all(path: &AccessPath, callers: usize) -> eyre::Result<Vec<Client>> {
    let mut clients = Vec::new();
    let (ip, port) = (path.address.ip(), path.address.port());
    for _ in 0..callers {
        let parameters = format!("host={ip} port={port} {}", path.parameters);
        let connected = tokio_postgres::connect(&parameters, NoTls).await;
        let (client, connection) = connected.wrap_err_with(|| path.name.to_owned())?;
        tokio::spawn(connection);
        clients.push(client);
    }
    Ok(clients)
}

/// Runs the statement on every client until the deadline, one request at a time per client, and returns the latencies
/// in microseconds.
async fn run_until(
    clients: &[Client],
    statement: &str,
    deadline: Instant,
) -> eyre::Result<Vec<u64>> {
    let tasks = clients.iter().map(|client| async move {
        let mut latencies = Vec::new();
        while Instant::now() < deadline {
            let started_at = Instant::now();
            client.simple_query(statement).await?;
            latencies.push(u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX));
        }
        eyre::Ok(latencies)
    });
    let all = futures::future::try_join_all(tasks).await?;
    Ok(all.into_iter().flatten().collect())
}
