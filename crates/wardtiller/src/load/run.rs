//! Runs a load and verifies its results.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use config::{Configuration, Service};
use eyre::{OptionExt, WrapErr, ensure};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use super::{
    caller::{Caller, LoadContext, MENU_ITEMS},
    faults::{Fault, inject_faults},
    ledger::{Ledger, WriteId},
    mix::Mix,
    report::{LoadReport, Measurements},
};
use crate::local_system::LocalSystem;

/// The options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    mix: Option<Mix>,
    seconds: u64,
    seed: u64,
    callers: usize,
    pace: Duration,
    faults: Vec<Fault>,
}

impl Default for LoadOptions {
    fn default() -> LoadOptions {
        LoadOptions {
            mix: None,
            seconds: 10,
            seed: 1,
            callers: 48,
            pace: Duration::ZERO,
            faults: Vec::new(),
        }
    }
}

impl LoadOptions {
    /// Sets the mix of requests; `None` chooses it by the read kinds of the service.
    pub fn mix(mut self, mix: Option<Mix>) -> LoadOptions {
        self.mix = mix;
        self
    }

    /// Sets the duration of the run in seconds.
    pub fn seconds(mut self, seconds: u64) -> LoadOptions {
        self.seconds = seconds;
        self
    }

    /// Sets the seed of every random choice.
    pub fn seed(mut self, seed: u64) -> LoadOptions {
        self.seed = seed;
        self
    }

    /// Sets the number of concurrent callers.
    pub fn callers(mut self, callers: usize) -> LoadOptions {
        self.callers = callers;
        self
    }

    /// Sets the delay between two requests of one caller.
    pub fn pace(mut self, pace: Duration) -> LoadOptions {
        self.pace = pace;
        self
    }

    /// Sets the faults to inject.
    pub fn faults(mut self, faults: Vec<Fault>) -> LoadOptions {
        self.faults = faults;
        self
    }
}

/// The number of consecutive successful reads from replicas before a run starts. Each read may reach another replica.
const REQUIRED_CONSECUTIVE_READS: usize = 16;

/// How long the new tables may take to appear on the replicas.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(60);

/// The system under load.
pub enum Target<'a> {
    /// A running system, by the caller addresses of its daemons.
    Running(Vec<SocketAddr>),
    /// A local system, which supports fault injection.
    Local(&'a mut LocalSystem),
}

/// Runs a load against the first service of a configuration and verifies the result.
pub fn run_load(
    configuration: &Configuration,
    mut target: Target<'_>,
    options: &LoadOptions,
) -> eyre::Result<LoadReport> {
    let service =
        configuration.services.values().next().ok_or_eyre("the configuration has no service")?;
    let user =
        configuration.users.keys().next().ok_or_eyre("the configuration has no user")?.to_string();
    let targets = match &target {
        Target::Running(targets) => targets.clone(),
        Target::Local(system) => system.caller_addresses(),
    };
    ensure!(!targets.is_empty(), "no caller address of a daemon is given");
    ensure!(
        options.faults.is_empty() || matches!(target, Target::Local(_)),
        "faults need a local system; remove --target"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let run = Run { service, user, targets, options };
    runtime.block_on(run.prepare())?;
    let started_at = Instant::now();
    let context = run.context(started_at);
    let callers: Vec<_> = (0..options.callers)
        .map(|number| runtime.spawn(Caller::new(context.clone(), number, options.seed).run()))
        .collect();
    if let Target::Local(system) = &mut target {
        inject_faults(system, &options.faults, started_at)?;
    }
    runtime.block_on(async {
        for caller in callers {
            caller.await.wrap_err("a caller task failed")?;
        }
        eyre::Ok(())
    })?;
    let seconds = started_at.elapsed().as_secs_f64();
    if let Target::Local(system) = &target {
        system.wait_until_ready()?;
    }
    runtime.block_on(run.verify(&context))?;
    Ok(run.report(&context, seconds))
}

struct Run<'a> {
    service: &'a Service,
    user: String,
    targets: Vec<SocketAddr>,
    options: &'a LoadOptions,
}

impl Run<'_> {
    fn mix(&self) -> Mix {
        let kinds: Vec<&str> = self.service.kinds.keys().map(|kind| &**kind).collect();
        self.options.mix.unwrap_or_else(|| Mix::for_read_kinds(&kinds))
    }

    fn context(&self, started_at: Instant) -> Arc<LoadContext> {
        Arc::new(LoadContext {
            targets: self.targets.clone(),
            service: self.service.name.to_string(),
            groups: self.service.groups.iter().map(|group| group.to_string()).collect(),
            user: self.user.clone(),
            mix: self.mix(),
            deadline: started_at + Duration::from_secs(self.options.seconds),
            pace: self.options.pace,
            ledger: Ledger::default(),
            measurements: Measurements::default(),
            own_reads_checked: AtomicU64::new(0),
            sessions_with_lost_writes: AtomicU64::new(0),
        })
    }

    async fn connect(&self, group: &str) -> eyre::Result<Client> {
        let target = self.targets[0];
        let parameters = format!(
            "host={} port={} user={} dbname={} options='-c wardtiller.group={group}'",
            target.ip(),
            target.port(),
            self.user,
            self.service.name
        );
        let connected = tokio_postgres::connect(&parameters, NoTls).await;
        let (client, connection) =
            connected.wrap_err_with(|| format!("can't connect to {target}"))?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Recreates the tables in every group.
    async fn prepare(&self) -> eyre::Result<()> {
        for group in &self.service.groups {
            let client = self.connect(group).await?;
            for table in ["orders", "holds", "menu"] {
                client.batch_execute(&format!("DROP TABLE IF EXISTS {table}")).await?;
            }
            client.batch_execute("CREATE TABLE orders (caller INTEGER, seq INTEGER)").await?;
            client.batch_execute("CREATE TABLE holds (caller INTEGER, seq INTEGER)").await?;
            client.batch_execute("CREATE INDEX orders_caller ON orders (caller, seq)").await?;
            client.batch_execute("CREATE TABLE menu (id INTEGER PRIMARY KEY, name TEXT)").await?;
            let items: Vec<String> =
                (0..MENU_ITEMS).map(|item| format!("({item}, 'dish {item}')")).collect();
            let sql = format!("INSERT INTO menu VALUES {}", items.join(", "));
            client.batch_execute(&sql).await?;
            // Uses a new session, since the read policy may send all reads of a session that has written to the primary.
            self.wait_for_replicas(&self.connect(group).await?).await?;
        }
        Ok(())
    }

    /// Waits until the replicas serve the new tables to reads that accept staleness.
    async fn wait_for_replicas(&self, client: &Client) -> eyre::Result<()> {
        let kind = self.mix().read_kind();
        let poll = format!("SELECT count(*) FROM menu /* wardtiller.read_kind='{kind}' */");
        let deadline = Instant::now() + PREPARE_TIMEOUT;
        let mut consecutive_reads = 0;
        while consecutive_reads < REQUIRED_CONSECUTIVE_READS {
            ensure!(Instant::now() < deadline, "the replicas did not catch up in time");
            let is_replica_read =
                client.simple_query(&poll).await.is_ok() && served_by_replica(client).await;
            consecutive_reads = if is_replica_read { consecutive_reads + 1 } else { 0 };
            if !is_replica_read {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    /// Compares the contents of each group with the outcomes that the callers recorded.
    async fn verify(&self, context: &LoadContext) -> eyre::Result<()> {
        for group in &self.service.groups {
            let client = self.connect(group).await?;
            let mut row_counts: HashMap<WriteId, (u64, u64)> = HashMap::new();
            for id in read_writes(&client, group, "orders").await? {
                row_counts.entry(id).or_default().0 += 1;
            }
            for id in read_writes(&client, group, "holds").await? {
                row_counts.entry(id).or_default().1 += 1;
            }
            context.ledger.verify_group(group, &row_counts);
        }
        Ok(())
    }

    fn report(&self, context: &LoadContext, seconds: f64) -> LoadReport {
        let gaps = context.ledger.failover_gaps().into_iter();
        LoadReport {
            seconds,
            seed: self.options.seed,
            classes: context.measurements.report(seconds),
            refusals: context.measurements.refusals(),
            replica_share: context.measurements.replica_share(),
            writes: context.ledger.counts(),
            failover_gaps_ms: gaps
                .map(|(group, gap)| (group, u64::try_from(gap.as_millis()).unwrap_or(u64::MAX)))
                .collect(),
            own_reads_checked: context.own_reads_checked.load(Ordering::Relaxed),
            sessions_with_lost_writes: context.sessions_with_lost_writes.load(Ordering::Relaxed),
            violations: context.ledger.violations(),
        }
    }
}

/// Returns whether a replica served the client's last statement.
async fn served_by_replica(client: &Client) -> bool {
    let Ok(messages) = client.simple_query("SHOW wardtiller.served_by").await else { return false };
    messages.iter().any(|message| {
        let SimpleQueryMessage::Row(row) = message else { return false };
        row.get(0).is_some_and(|served| served.ends_with("replica"))
    })
}

async fn read_writes(client: &Client, group: &str, table: &str) -> eyre::Result<Vec<WriteId>> {
    let messages = client.simple_query(&format!("SELECT caller, seq FROM {table}")).await?;
    let mut rows = Vec::new();
    for message in &messages {
        let SimpleQueryMessage::Row(row) = message else { continue };
        rows.push(WriteId {
            group: group.to_owned(),
            caller: row.get(0).unwrap_or_default().parse()?,
            sequence: row.get(1).unwrap_or_default().parse()?,
        });
    }
    Ok(rows)
}
