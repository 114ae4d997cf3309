//! One caller: a session that roams between daemons.

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

/// Requests of a session on one connection before it may roam.
const REQUESTS_BEFORE_ROAMING: u64 = 20;

/// One read in this many is asked which server served it.
const SERVED_BY_SAMPLE_INTERVAL: u64 = 4;

/// A poller polls this often for each write.
const POLLS_PER_WRITE: u64 = 50;

/// How long a caller waits after it could not connect, or was told to come later.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What all callers of a run share.
pub struct LoadContext {
    /// Where daemons take callers.
    pub targets: Vec<SocketAddr>,
    /// The service.
    pub service: String,
    /// The groups.
    pub groups: Vec<String>,
    /// The user to log in as.
    pub user: String,
    /// What callers do.
    pub mix: Mix,
    /// When callers end.
    pub until: Instant,
    /// The time between the requests of one caller.
    pub pace: Duration,
    /// What callers were told.
    pub ledger: Ledger,
    /// What was measured.
    pub measurements: Measurements,
    /// Own reads that were compared.
    pub own_reads_checked: AtomicU64,
    /// Sessions that were told of a lost write.
    pub lost_writes_reported: AtomicU64,
}

/// One caller.
pub struct Caller {
    shared: Arc<LoadContext>,
    number: usize,
    role: Role,
    group: String,
    rng: StdRng,
    client: Option<Client>,
    requests: u64,
    sequence: u64,
    /// The highest of its writes that was acknowledged.
    acknowledged: u64,
    /// Whether a write of unknown effect is newer than that.
    uncertain: bool,
    token: String,
}

/// A request that was not answered well.
struct Failure {
    verdict: Verdict,
    reason: String,
}

impl Caller {
    /// Makes the caller with a number; all its choices follow from the seed and the number.
    pub fn new(shared: Arc<LoadContext>, number: usize, seed: u64) -> Caller {
        let role = shared.mix.role(number);
        let group = shared.groups[number % shared.groups.len()].clone();
        let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number as u64));
        Caller {
            shared,
            number,
            role,
            group,
            rng,
            client: None,
            requests: 0,
            sequence: 0,
            acknowledged: 0,
            uncertain: false,
            token: String::new(),
        }
    }

    /// Runs until the end of the run.
    pub async fn run(mut self) {
        while Instant::now() < self.shared.until {
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
            if self.requests.is_multiple_of(REQUESTS_BEFORE_ROAMING) && self.rng.random_bool(0.5) {
                self.client = None;
            }
            if !self.shared.pace.is_zero() {
                tokio::time::sleep(self.shared.pace).await;
            }
        }
    }

    fn is_connected(&self) -> bool {
        self.client.as_ref().is_some_and(|client| !client.is_closed())
    }

    /// Connects to any daemon, with the session's token or, half of the time, without.
    async fn connect(&mut self) -> bool {
        let target = self.shared.targets[self.rng.random_range(0..self.shared.targets.len())];
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
            self.shared.user,
            self.shared.service,
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
                // A connection that could not be made has run nothing.
                self.shared
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

    /// Runs a request and measures it.
    async fn measured(&self, class: RequestClass, sql: &str) -> Result<Vec<String>, Failure> {
        let began = Instant::now();
        let outcome = self.query(sql).await;
        match &outcome {
            Ok(_) => {
                let elapsed = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.shared.measurements.add_latency(class, elapsed);
            }
            Err(failure) => {
                let verdict = failure.verdict.as_str();
                self.shared.measurements.add_refusal(verdict, &failure.reason);
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
            self.shared.measurements.add_served(kind, by_replica);
        }
    }

    /// Reads with stated staleness; now and then a poller writes too, as a tablet confirms an order.
    async fn poll(&mut self) {
        if self.rng.random_range(0..POLLS_PER_WRITE) == 0 {
            return self.update().await;
        }
        let kind = self.shared.mix.read_kind();
        let item = self.rng.random_range(0..MENU_ITEMS);
        let sql =
            format!("SELECT name FROM menu WHERE id = {item} /* wardtiller.read_kind='{kind}' */");
        if self.measured(RequestClass::StaleRead, &sql).await.is_ok() {
            self.sample_served_by(kind).await;
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn read_fresh(&mut self) {
        let item = self.rng.random_range(0..MENU_ITEMS);
        let sql = format!("SELECT name FROM menu WHERE id = {item}");
        if self.measured(RequestClass::FreshRead, &sql).await.is_ok() {
            self.sample_served_by("fresh").await;
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Writes two rows in one transaction, then reads them back, perhaps through another daemon.
    async fn transact(&mut self) {
        self.sequence += 1;
        let (caller, sequence) = (self.number, self.sequence);
        let began = Instant::now();
        let outcome = self.transaction(caller, sequence).await;
        let elapsed = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
        if outcome.is_ok() {
            self.shared.measurements.add_latency(RequestClass::Transaction, elapsed);
        }
        self.record_outcome(sequence, outcome).await;
        self.read_back().await;
    }

    async fn transaction(&self, caller: usize, sequence: u64) -> Result<(), Failure> {
        // Until its commit is sent, a transaction that fails has not run.
        let not_run = |failure: Failure| Failure { verdict: Verdict::NotRun, ..failure };
        self.query("BEGIN").await.map_err(not_run)?;
        let order = format!("INSERT INTO orders VALUES ({caller}, {sequence})");
        let hold = format!("INSERT INTO holds VALUES ({caller}, {sequence})");
        let inserted = async {
            self.query(&order).await?;
            self.query(&hold).await
        };
        if let Err(failure) = inserted.await {
            // The transaction may be over already; then there is nothing to roll back.
            let _ = self.query("ROLLBACK").await;
            return Err(not_run(failure));
        }
        self.query("COMMIT").await.map(drop)
    }

    /// Writes one row into both tables with one statement each, as one request.
    async fn update(&mut self) {
        self.sequence += 1;
        let (caller, sequence) = (self.number, self.sequence);
        let sql = format!(
            "INSERT INTO orders VALUES ({caller}, {sequence}); \
             INSERT INTO holds VALUES ({caller}, {sequence})"
        );
        let outcome = self.measured(RequestClass::Write, &sql).await.map(drop);
        self.record_outcome(sequence, outcome).await;
        self.read_back().await;
    }

    async fn record_outcome(&mut self, sequence: u64, outcome: Result<(), Failure>) {
        let id = WriteId { group: self.group.clone(), caller: self.number, sequence };
        match outcome {
            Ok(()) => {
                let at = Instant::now();
                self.shared.ledger.record_write(id, WriteOutcome::Acknowledged);
                self.acknowledged = sequence;
                self.uncertain = false;
                if let Ok(token) = self.query("SHOW wardtiller.session").await {
                    self.store_token(token.first().map_or("", String::as_str), at);
                }
            }
            Err(failure) => {
                if self.role == Role::Writer {
                    let verdict = failure.verdict.as_str();
                    self.shared.measurements.add_refusal(verdict, &failure.reason);
                }
                self.uncertain |= failure.verdict != Verdict::NotRun;
                self.shared.ledger.record_write(id, WriteOutcome::Failed(failure.verdict));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn store_token(&mut self, token: &str, at: Instant) {
        token.clone_into(&mut self.token);
        let parsed: Result<session::SessionToken, _> = token.parse();
        let point = parsed.ok().and_then(|token| token.point(&self.group));
        if let Some(point) = point {
            self.shared.ledger.record_term(&self.group, point.term.0, at);
        }
    }

    /// Reads what this session wrote last and compares.
    async fn read_back(&mut self) {
        if self.acknowledged == 0 {
            return;
        }
        let sql =
            format!("SELECT coalesce(max(seq), 0) FROM orders WHERE caller = {}", self.number);
        let found = match self.measured(RequestClass::OwnRead, &sql).await {
            Ok(found) => found,
            Err(failure) if failure.reason == "write_lost" => {
                self.shared.lost_writes_reported.fetch_add(1, Ordering::Relaxed);
                self.token.clear();
                self.client = None;
                return;
            }
            Err(_) => return,
        };
        self.sample_served_by("own").await;
        let found: u64 = found.first().and_then(|found| found.parse().ok()).unwrap_or(0);
        self.shared.own_reads_checked.fetch_add(1, Ordering::Relaxed);
        if found < self.acknowledged {
            let seen = format!(
                "caller {} was acknowledged {} and read {found}",
                self.number, self.acknowledged
            );
            self.shared.ledger.record_violation("a session reads its own writes", seen);
        }
        if found > self.acknowledged && !self.uncertain {
            let seen = format!(
                "caller {} read {found} beyond its last write {}",
                self.number, self.acknowledged
            );
            self.shared.ledger.record_violation("\"not run\" is true", seen);
        }
    }
}

/// Rows in the table that pollers read.
pub const MENU_ITEMS: u32 = 100;

/// Reads the verdict out of an error, as any caller can.
fn read_failure(error: &Error) -> Failure {
    let Some(db) = error.as_db_error() else {
        // The connection broke; what was sent may have run.
        return Failure { verdict: Verdict::MayHaveRun, reason: "connection lost".to_owned() };
    };
    let detail = db.detail().unwrap_or_default();
    let word = |key: &str| {
        let rest = detail.split_whitespace().find_map(|part| part.strip_prefix(key));
        rest.map(str::to_owned)
    };
    let verdict = match word("verdict=").as_deref() {
        Some("not_run") => Verdict::NotRun,
        Some("may_have_run") => Verdict::MayHaveRun,
        Some(_) => Verdict::Ran,
        // An endpoint's own error: the statement was undone as a whole, or the session was closed
        // between requests.
        None => Verdict::NotRun,
    };
    let reason =
        word("reason=").unwrap_or_else(|| format!("{} {}", db.code().code(), db.message()));
    Failure { verdict, reason }
}
