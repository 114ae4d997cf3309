//! A simulated caller: a session that reconnects to random daemons.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use model::Verdict;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

use super::{
    ledger::{Ledger, WriteId, WriteOutcome},
    mix::{Mix, Role},
    report::{Measurements, RequestClass},
};

/// Number of requests after which a session may reconnect to another daemon.
const REQUESTS_BEFORE_RECONNECT: u64 = 20;

/// On average, one in this many reads is followed by a query for the server that served it.
const SERVED_BY_SAMPLE_INTERVAL: u64 = 4;

/// The average number of a poller's requests for each write.
const POLLS_PER_WRITE: u64 = 50;

/// The delay after a failed connection attempt or request.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The parameters and results that all callers of a run share.
pub struct LoadContext {
    /// The caller addresses of the daemons.
    pub targets: Vec<SocketAddr>,
    /// The name of the service.
    pub service: String,
    /// The groups of the service.
    pub groups: Vec<String>,
    /// The user to log in as.
    pub user: String,
    /// The mix of requests.
    pub mix: Mix,
    /// The end of the run.
    pub deadline: Instant,
    /// The delay between two requests of one caller.
    pub pace: Duration,
    /// The outcomes of the writes.
    pub ledger: Ledger,
    /// The measurements.
    pub measurements: Measurements,
    /// The number of own reads that were compared with the session's writes.
    pub own_reads_checked: AtomicU64,
    /// The number of sessions that got a `write_lost` error.
    pub sessions_with_lost_writes: AtomicU64,
}

/// A simulated caller.
pub struct Caller {
    context: Arc<LoadContext>,
    number: usize,
    role: Role,
    group: String,
    rng: StdRng,
    client: Option<Client>,
    requests: u64,
    sequence: u64,
    /// The sequence number of the last acknowledged write.
    acknowledged: u64,
    /// Whether a write with an unknown effect is newer than `acknowledged`.
    has_uncertain_write: bool,
    token: String,
}

/// A failed request.
struct Failure {
    verdict: Verdict,
    reason: String,
}

impl Caller {
    /// Creates a caller. The seed and the number determine all of its random choices.
    pub fn new(context: Arc<LoadContext>, number: usize, seed: u64) -> Caller {
        let role = context.mix.role(number);
        let group = context.groups[number % context.groups.len()].clone();
        let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number as u64));
        Caller {
            context,
            number,
            role,
            group,
            rng,
            client: None,
            requests: 0,
            sequence: 0,
            acknowledged: 0,
            has_uncertain_write: false,
            token: String::new(),
        }
    }

    /// Sends requests until the end of the run.
    pub async fn run(mut self) {
        while Instant::now() < self.context.deadline {
            if !self.is_connected() && !self.connect().await {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.role {
                Role::Poller => self.poll().await,
                Role::Reader => self.read_fresh().await,
                Role::Writer => self.transact().await,
                Role::Updater => self.update().await,
            }
            self.requests += 1;
            if self.requests.is_multiple_of(REQUESTS_BEFORE_RECONNECT) && self.rng.random_bool(0.5)
            {
                self.client = None;
            }
            if !self.context.pace.is_zero() {
                tokio::time::sleep(self.context.pace).await;
            }
        }
    }

    fn is_connected(&self) -> bool {
        self.client.as_ref().is_some_and(|client| !client.is_closed())
    }

    /// Connects to a random daemon, half of the time with the session token.
    async fn connect(&mut self) -> bool {
        let target = self.context.targets[self.rng.random_range(0..self.context.targets.len())];
        let send_token = !self.token.is_empty() && self.rng.random_bool(0.5);
        let token = if send_token {
            format!(" -c wardtiller.session={}", self.token)
        } else {
            String::new()
        };
        let parameters = format!(
            "host={} port={} user={} dbname={} connect_timeout=3 options='-c wardtiller.group={}{token}'",
            target.ip(),
            target.port(),
            self.context.user,
            self.context.service,
            self.group,
        );
        match tokio_postgres::connect(&parameters, NoTls).await {
            Ok((client, connection)) => {
                tokio::spawn(connection);
                self.client = Some(client);
                true
            }
            Err(error) => {
                let failure = read_failure(&error);
                // No request was sent on the failed connection.
                self.context
                    .measurements
                    .add_refusal("not_run", &format!("connect {}", failure.reason));
                false
            }
        }
    }

    async fn query(&self, sql: &str) -> Result<Vec<String>, Failure> {
        let Some(client) = &self.client else {
            return Err(Failure { verdict: Verdict::NotRun, reason: "not connected".to_owned() });
        };
        let messages = client.simple_query(sql).await.map_err(|error| read_failure(&error))?;
        let rows = messages.iter().filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
            _ => None,
        });
        Ok(rows.collect())
    }

    /// Runs a request and records its latency or its refusal.
    async fn run_measured(&self, class: RequestClass, sql: &str) -> Result<Vec<String>, Failure> {
        let started_at = Instant::now();
        let outcome = self.query(sql).await;
        match &outcome {
            Ok(_) => {
                let elapsed = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.context.measurements.add_latency(class, elapsed);
            }
            Err(failure) => {
                let verdict = failure.verdict.as_str();
                self.context.measurements.add_refusal(verdict, &failure.reason);
            }
        }
        outcome
    }

    async fn sample_served_by(&mut self, kind: &str) {
        if self.rng.random_range(0..SERVED_BY_SAMPLE_INTERVAL) != 0 {
            return;
        }
        if let Ok(served) = self.query("SHOW wardtiller.served_by").await {
            let by_replica = served.first().is_some_and(|served| served.ends_with("replica"));
            self.context.measurements.add_sampled_read(kind, by_replica);
        }
    }

    /// Sends a read that accepts staleness, or occasionally a write.
    async fn poll(&mut self) {
        if self.rng.random_range(0..POLLS_PER_WRITE) == 0 {
            return self.update().await;
        }
        let kind = self.context.mix.read_kind();
        let item = self.rng.random_range(0..MENU_ITEMS);
        let sql =
            format!("SELECT name FROM menu WHERE id = {item} /* wardtiller.read_kind='{kind}' */");
        if self.run_measured(RequestClass::StaleRead, &sql).await.is_ok() {
            self.sample_served_by(kind).await;
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn read_fresh(&mut self) {
        let item = self.rng.random_range(0..MENU_ITEMS);
        let sql = format!("SELECT name FROM menu WHERE id = {item}");
        if self.run_measured(RequestClass::FreshRead, &sql).await.is_ok() {
            self.sample_served_by("fresh").await;
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Writes two rows in one transaction, then reads its own writes.
    async fn transact(&mut self) {
        self.sequence += 1;
        let (caller, sequence) = (self.number, self.sequence);
        let started_at = Instant::now();
        let outcome = self.transaction(caller, sequence).await;
        let elapsed = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        if outcome.is_ok() {
            self.context.measurements.add_latency(RequestClass::Transaction, elapsed);
        }
        self.record_outcome(sequence, outcome).await;
        self.read_back().await;
    }

    async fn transaction(&self, caller: usize, sequence: u64) -> Result<(), Failure> {
        // A transaction that fails before its commit is sent has not run.
        let not_run = |failure: Failure| Failure { verdict: Verdict::NotRun, ..failure };
        self.query("BEGIN").await.map_err(not_run)?;
        let order = format!("INSERT INTO orders VALUES ({caller}, {sequence})");
        let hold = format!("INSERT INTO holds VALUES ({caller}, {sequence})");
        let inserted = async {
            self.query(&order).await?;
            self.query(&hold).await
        };
        if let Err(failure) = inserted.await {
            // The rollback fails if the transaction has already ended.
            let _ = self.query("ROLLBACK").await;
            return Err(not_run(failure));
        }
        self.query("COMMIT").await.map(drop)
    }

    /// Writes one row into each of the two tables in a single request, then reads its own writes.
    async fn update(&mut self) {
        self.sequence += 1;
        let (caller, sequence) = (self.number, self.sequence);
        let sql = format!(
            "INSERT INTO orders VALUES ({caller}, {sequence}); \
             INSERT INTO holds VALUES ({caller}, {sequence})"
        );
        let outcome = self.run_measured(RequestClass::Write, &sql).await.map(drop);
        self.record_outcome(sequence, outcome).await;
        self.read_back().await;
    }

    async fn record_outcome(&mut self, sequence: u64, outcome: Result<(), Failure>) {
        let id = WriteId { group: self.group.clone(), caller: self.number, sequence };
        match outcome {
            Ok(()) => {
                let at = Instant::now();
                self.context.ledger.record_write(id, WriteOutcome::Acknowledged);
                self.acknowledged = sequence;
                self.has_uncertain_write = false;
                if let Ok(token) = self.query("SHOW wardtiller.session").await {
                    self.store_token(token.first().map_or("", String::as_str), at);
                }
            }
            Err(failure) => {
                if self.role == Role::Writer {
                    let verdict = failure.verdict.as_str();
                    self.context.measurements.add_refusal(verdict, &failure.reason);
                }
                self.has_uncertain_write |= failure.verdict != Verdict::NotRun;
                self.context.ledger.record_write(id, WriteOutcome::Failed(failure.verdict));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn store_token(&mut self, token: &str, at: Instant) {
        token.clone_into(&mut self.token);
        let parsed: Result<session::SessionToken, _> = token.parse();
        let point = parsed.ok().and_then(|token| token.point(&self.group));
        if let Some(point) = point {
            self.context.ledger.record_term(&self.group, point.term.0, at);
        }
    }

    /// Reads the last write of this session back and records a violation if the result doesn't match.
    async fn read_back(&mut self) {
        if self.acknowledged == 0 {
            return;
        }
        let sql =
            format!("SELECT coalesce(max(seq), 0) FROM orders WHERE caller = {}", self.number);
        let rows = match self.run_measured(RequestClass::OwnRead, &sql).await {
            Ok(rows) => rows,
            Err(failure) if failure.reason == "write_lost" => {
                self.context.sessions_with_lost_writes.fetch_add(1, Ordering::Relaxed);
                self.token.clear();
                self.client = None;
                return;
            }
            Err(_) => return,
        };
        self.sample_served_by("own").await;
        let found: u64 = rows.first().and_then(|row| row.parse().ok()).unwrap_or(0);
        self.context.own_reads_checked.fetch_add(1, Ordering::Relaxed);
        if found < self.acknowledged {
            let observation = format!(
                "caller {} was acknowledged {} and read {found}",
                self.number, self.acknowledged
            );
            self.context.ledger.record_violation("a session reads its own writes", observation);
        }
        if found > self.acknowledged && !self.has_uncertain_write {
            let observation = format!(
                "caller {} read {found} beyond its last write {}",
                self.number, self.acknowledged
            );
            self.context.ledger.record_violation("\"not run\" is true", observation);
        }
    }
}

/// Rows in the table that the read-only requests query.
pub const MENU_ITEMS: u32 = 100;

/// Parses the verdict and the reason in an error.
fn read_failure(error: &Error) -> Failure {
    let Some(db) = error.as_db_error() else {
        // The connection broke, so the request may have run.
        return Failure { verdict: Verdict::MayHaveRun, reason: "connection lost".to_owned() };
    };
    let detail = db.detail().unwrap_or_default();
    let field = |key: &str| {
        let rest = detail.split_whitespace().find_map(|part| part.strip_prefix(key));
        rest.map(str::to_owned)
    };
    let verdict = match field("verdict=").as_deref() {
        Some("not_run") => Verdict::NotRun,
        Some("may_have_run") => Verdict::MayHaveRun,
        Some(_) => Verdict::Ran,
        // The error is the endpoint's own: the statement was rolled back completely, or the session was closed between
        // requests.
        None => Verdict::NotRun,
    };
    let reason =
        field("reason=").unwrap_or_else(|| format!("{} {}", db.code().code(), db.message()));
    Failure { verdict, reason }
}
