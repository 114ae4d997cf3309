//! A service of three servers with a replicated log, and the interface that orders promotions.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, json::Json, record::Record, store::Store};

pub const SERVICE: &str = "bidledger1";
const SLOTS: u32 = 3;
const MAX_CONNECTIONS: u32 = 23;
const WORK: Duration = Duration::from_millis(4);
const PROMOTE: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub id: String,
    thing: String,
    data: String,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    paused_for: u64,
    /// Receives nothing from its primary.
    pub is_deaf: bool,
    pub is_down: bool,
    pub is_draining: bool,
    down_since: Option<Instant>,
    connections: HashMap<u64, TcpStream>,
    busy: u32,
}

/// The log of a server when its promotion took effect.
pub struct Promotion {
    pub at_ms: u64,
    pub server: String,
    pub term: u64,
    pub held: HashSet<String>,
}

#[derive(Default)]
pub struct State {
    pub servers: Vec<Server>,
    term_starts: BTreeMap<u64, u64>,
    pub promotions: Vec<Promotion>,
    pub sync_replicas: usize,
    /// How long the interface for orders takes for a call that arrives now, where it is slow.
    pub slow_orders: Option<Duration>,
    next_connection: u64,
    promoted_at: Option<Instant>,
    pub commits: Vec<Commit>,
}

/// A write that a server committed.
pub struct Commit {
    pub at_ms: u64,
    pub server: String,
    pub id: String,
    pub term: u64,
    /// Whether a promotion for a later term had taken effect.
    pub is_superseded: bool,
}

#[derive(Clone)]
pub struct Group {
    pub state: Arc<(Mutex<State>, Condvar)>,
    pub orders_address: SocketAddr,
    pub record: Record,
}

impl State {
    pub fn server(&mut self, id: &str) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.id == id)
    }

    pub fn primary(&self) -> Option<&Server> {
        let leading = self.servers.iter().filter(|server| server.is_primary && !server.is_down);
        leading.max_by_key(|server| server.term)
    }

    /// Copies the primary's log to the replicas that receive it.
    fn replicate(&mut self) {
        let Some(leader) = self.primary() else { return };
        let (id, term, log) = (leader.id.clone(), leader.term, leader.log.clone());
        // A former primary goes on until a second after it can reach the new one, or until it is told to step down.
        let is_former_due =
            self.promoted_at.is_some_and(|at| at.elapsed() > Duration::from_secs(1));
        for server in &mut self.servers {
            let is_former = server.is_primary && server.term < term && !is_former_due;
            if server.id == id || server.is_down || server.is_deaf || is_former {
                continue;
            }
            if server.term > term || server.paused_for > 0 {
                continue;
            }
            server.is_primary = false;
            server.term = term;
            if server.log.len() != log.len() || server.log.last() != log.last() {
                let same = server.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
                server.log.truncate(same);
                server.log.extend_from_slice(&log[same..]);
            }
        }
    }

    fn promote(&mut self, id: &str, at_ms: u64) -> Option<u64> {
        let term = self.servers.iter().map(|server| server.term).max()? + 1;
        let server = self.server(id).filter(|server| !server.is_down)?;
        server.is_primary = true;
        server.term = term;
        server.paused_for = 0;
        let held = server.log.iter().map(|entry| entry.id.clone()).collect();
        let length = server.log.len() as u64;
        self.term_starts.insert(term, length);
        self.promoted_at = Some(Instant::now());
        for server in self.servers.iter_mut().filter(|server| !server.is_down) {
            server.paused_for = 0;
        }
        self.promotions.push(Promotion { at_ms, server: id.to_owned(), term, held });
        Some(term)
    }

    fn holds(&self, server: &Server, term: u64, number: u64) -> bool {
        let mut later = self.term_starts.iter();
        server.term >= term
            && number <= server.log.len() as u64
            && later
                .all(|(began, start)| *began <= term || *began > server.term || number <= *start)
    }
}

impl Group {
    pub fn start(sync_replicas: usize, store: &Store, record: &Record) -> Group {
        let orders = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State { sync_replicas, ..State::default() };
        let group = Group {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            orders_address: orders.local_addr().unwrap(),
            record: record.clone(),
        };
        for (index, zone) in ["holyoke-hall", "nashua-hall", "augusta-hall"].iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let server = Server {
                id: format!("i-{}", index + 1),
                address: listener.local_addr().unwrap(),
                zone: (*zone).to_owned(),
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                paused_for: 0,
                is_deaf: false,
                is_down: false,
                is_draining: false,
                down_since: None,
                connections: HashMap::new(),
                busy: 0,
            };
            group.state.0.lock().unwrap().servers.push(server);
            let accepting = group.clone();
            thread::spawn(move || accepting.accept(index, &listener));
        }
        let ordering = group.clone();
        http::serve(orders, Arc::new(move |request| ordering.on_order(request)));
        let replicating = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                replicating.state.0.lock().unwrap().replicate();
                replicating.state.1.notify_all();
            }
        });
        let (telling, store) = (group.clone(), store.clone());
        thread::spawn(move || telling.keep_entries(&store));
        group
    }

    /// Keeps the servers' entries in the store. An entry goes after three heartbeats of silence.
    fn keep_entries(&self, store: &Store) {
        let mut told: HashMap<String, String> = HashMap::new();
        loop {
            let wanted: HashMap<String, String> = {
                let state = self.state.0.lock().unwrap();
                let is_told = |server: &&Server| {
                    server.down_since.is_none_or(|since| since.elapsed() < HEARTBEAT * 3)
                };
                let entry = |server: &Server| {
                    if server.is_down {
                        if let Some(last) = told.get(&server.id) {
                            return (server.id.clone(), last.clone());
                        }
                    }
                    let state = if server.is_draining { "draining" } else { "ready" };
                    let role = if server.is_primary { "primary" } else { "replica" };
                    let text = format!(
                        "{{\"backend\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                         \"slots\":{SLOTS},\"state\":\"{state}\",\"cold_left_ms\":0,\"db_role\":\"{role}\",\"seq\":1}}",
                        server.address, server.zone
                    );
                    (server.id.clone(), text)
                };
                state.servers.iter().filter(is_told).map(entry).collect()
            };
            for (id, text) in &wanted {
                if told.get(id) != Some(text) {
                    store.put(&format!("servers/{id}"), text);
                }
            }
            for id in told.keys().filter(|id| !wanted.contains_key(*id)) {
                store.remove(&format!("servers/{id}"));
            }
            told = wanted;
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Crashes a server: its connections are reset, and its port refuses until it is back.
    pub fn crash(&self, id: &str) {
        let mut state = self.state.0.lock().unwrap();
        let server = state.server(id).unwrap();
        server.is_down = true;
        server.down_since = Some(Instant::now());
        for (_, stream) in server.connections.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Brings a crashed server back with its log, as a replica if another was promoted.
    pub fn restart(&self, id: &str) {
        let mut state = self.state.0.lock().unwrap();
        let server = state.server(id).unwrap();
        server.is_down = false;
        server.down_since = None;
        server.paused_for = 0;
    }

    /// Ends a drained server. A new one at its address takes its log.
    pub fn replace(&self, id: &str, new_id: &str) {
        let mut state = self.state.0.lock().unwrap();
        let server = state.server(id).unwrap();
        for (_, stream) in server.connections.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        server.id = new_id.to_owned();
        server.is_draining = false;
        server.paused_for = 0;
    }

    fn on_order(&self, request: &http::Request) -> (u16, String) {
        if request.method != "POST" || request.path != "/promote" {
            return (404, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let id = body.get("id").text().to_owned();
        let slow = self.state.0.lock().unwrap().slow_orders;
        if let Some(slow) = slow {
            self.record.line(&format!(
                "platform: slow, takes {} ms for an order for {id} of {}",
                slow.as_millis(),
                request.header("duty-holder")
            ));
            thread::sleep(slow);
        }
        let state = self.state.0.lock().unwrap();
        let (status, outcome) = match state.servers.iter().find(|server| server.id == id) {
            None => (409, "not running"),
            Some(server) if server.is_down => (409, "not running"),
            Some(_) if state.primary().is_some_and(|primary| primary.id == id) => {
                (200, "leads already")
            }
            Some(_) => (200, "promoted 300 ms later"),
        };
        self.record.line(&format!(
            "platform: order holder={} token={} server={id} -> {status} {outcome}",
            request.header("duty-holder"),
            request.header("fence-token")
        ));
        drop(state);
        if outcome.starts_with("promoted") {
            let group = self.clone();
            thread::spawn(move || {
                thread::sleep(PROMOTE);
                let at_ms = group.record.now_ms();
                let promoted = group.state.0.lock().unwrap().promote(&id, at_ms);
                if let Some(term) = promoted {
                    group.record.line(&format!("server {id}: leads term {term}"));
                }
                group.state.1.notify_all();
            });
        }
        (status, "{}".to_owned())
    }

    fn accept(&self, index: usize, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let group = self.clone();
            thread::spawn(move || {
                let number = {
                    let mut state = group.state.0.lock().unwrap();
                    state.next_connection += 1;
                    let number = state.next_connection;
                    let server = &mut state.servers[index];
                    if server.is_down {
                        return;
                    }
                    let Ok(copy) = stream.try_clone() else { return };
                    server.connections.insert(number, copy);
                    number
                };
                let _ = group.serve(index, number, stream);
                group.state.0.lock().unwrap().servers[index].connections.remove(&number);
            });
        }
    }

    fn serve(&self, index: usize, number: u64, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let Some(line) = next_line(&mut reader)? else { return Ok(()) };
        let fields: Vec<&str> = line.split(' ').collect();
        let greeting = {
            let state = self.state.0.lock().unwrap();
            let server = &state.servers[index];
            let is_other = fields.get(3).is_some_and(|id| *id != server.id);
            if fields.first() != Some(&"STARTUP") || fields.get(1) != Some(&SERVICE) || is_other {
                format!("ERROR WRONGNODE {}\r\n", server.id)
            } else if server.connections.len() as u32 > MAX_CONNECTIONS {
                "ERROR CONNLIMIT full\r\n".to_owned()
            } else {
                format!("READY I {}.{}\r\n", server.term, server.log.len())
            }
        };
        writer.write_all(greeting.as_bytes())?;
        if greeting.starts_with("ERROR") {
            return Ok(());
        }
        let mut session = Session::default();
        while let Some(line) = next_line(&mut reader)? {
            let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
            let Some((id, text)) = rest.split_once(' ') else { return Ok(()) };
            let Some(result) = self.run(index, number, &mut session, id, text) else {
                return Ok(());
            };
            let mut out = String::new();
            match result {
                Ok((rows, proof)) => {
                    rows.iter().for_each(|row| out.push_str(&format!("DATAROW {row}\r\n")));
                    out.push_str(&format!("COMPLETE {proof}\r\n"));
                }
                Err(code) => {
                    session.has_failed |= session.transaction.is_some();
                    out.push_str(&format!("ERROR {code} by the server\r\n"));
                }
            }
            let letter = match (&session.transaction, session.has_failed) {
                (None, _) => "I",
                (Some(_), false) => "T",
                (Some(_), true) => "E",
            };
            let (term, length) = {
                let state = self.state.0.lock().unwrap();
                (state.servers[index].term, state.servers[index].log.len())
            };
            out.push_str(&format!("READY {letter} {term}.{length}\r\n"));
            writer.write_all(out.as_bytes())?;
        }
        Ok(())
    }

    /// Runs a statement; `None` if the server crashed meanwhile.
    fn run(
        &self,
        index: usize,
        number: u64,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<Result<(Vec<String>, String), &'static str>> {
        let (min_point, text) = match text.strip_prefix("SYNCAFTER ") {
            Some(rest) => {
                let (point, text) = rest.split_once(' ')?;
                let (term, number) = point.split_once('.')?;
                (Some((term.parse().ok()?, number.parse().ok()?)), text)
            }
            None => (None, text),
        };
        let fields: Vec<&str> = text.split(' ').collect();
        let done = |rows: Vec<String>| Some(Ok((rows, "-".to_owned())));
        let proof = format!("{id}.proof");
        let takes_slot = matches!(fields[0], "READ" | "WRITE" | "COMMIT" | "EXECUTE" | "STATUS");
        if takes_slot {
            let mut state = self.state.0.lock().unwrap();
            while state.servers[index].busy >= SLOTS {
                state = self.state.1.wait_timeout(state, Duration::from_millis(2)).unwrap().0;
            }
            state.servers[index].busy += 1;
            drop(state);
            thread::sleep(if fields[0] == "STATUS" { Duration::from_millis(1) } else { WORK });
            self.state.0.lock().unwrap().servers[index].busy -= 1;
        }
        let mut state = self.state.0.lock().unwrap();
        if !state.servers[index].connections.contains_key(&number) {
            return None;
        }
        let server = &state.servers[index];
        if min_point.is_some_and(|(term, number)| !state.holds(server, term, number)) {
            return Some(Err("LAGGING"));
        }
        if session.has_failed && !matches!(fields[0], "ROLLBACK" | "COMMIT") {
            return Some(Err("MALFORMED"));
        }
        let server = &mut state.servers[index];
        match fields[0] {
            "STATUS" => return done(vec![status(server)]),
            "PAUSE" => {
                let term: u64 = fields.get(1)?.parse().ok()?;
                if term <= server.term {
                    return Some(Err("MALFORMED"));
                }
                if !server.is_primary {
                    server.paused_for = term;
                }
                return done(vec![status(server)]);
            }
            "RESUME" => {
                server.paused_for = 0;
                return done(Vec::new());
            }
            "STEPDOWN" => {
                if server.term < fields.get(1)?.parse().ok()? {
                    server.is_primary = false;
                }
                return done(vec![status(server)]);
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                return done(Vec::new());
            }
            "SET" => {
                session.values.insert((*fields.get(1)?).to_owned(), fields[2..].join(" "));
                return done(Vec::new());
            }
            "PREPARE" => {
                session.prepared.insert((*fields.get(1)?).to_owned(), fields[2..].join(" "));
                return done(Vec::new());
            }
            "DEALLOC" => {
                session.prepared.remove(*fields.get(1)?);
                return done(Vec::new());
            }
            "ROLLBACK" => {
                session.transaction = None;
                session.has_failed = false;
                return done(Vec::new());
            }
            "BEGIN" => {
                if fields.get(1) != Some(&"READ") && !server.is_primary {
                    return Some(Err("READONLY"));
                }
                session.transaction = Some(Vec::new());
                return done(Vec::new());
            }
            _ => {}
        }
        let is_commit = fields[0] == "COMMIT";
        if is_commit && session.has_failed {
            session.transaction = None;
            session.has_failed = false;
            return Some(Err("ABORTED"));
        }
        let (writes, key) = match fields[0] {
            "EXECUTE" => match session.prepared.get(*fields.get(1)?) {
                Some(shape) => (shape.starts_with("WRITE"), 2),
                None => return Some(Err("NOSUCHSTMT")),
            },
            verb => (verb == "WRITE", 1),
        };
        let is_writing_commit =
            is_commit && session.transaction.as_ref().is_some_and(|writes| !writes.is_empty());
        if (writes || is_writing_commit) && !server.is_primary {
            return Some(Err("READONLY"));
        }
        let thing = fields.get(key).copied().unwrap_or("").to_owned();
        let data = fields.get(key + 1..).unwrap_or(&[]).join(" ");
        let entry = Entry { term: server.term, id: id.to_owned(), thing: thing.clone(), data };
        let entries = match (&mut session.transaction, is_commit) {
            (_, true) => session.transaction.take().unwrap_or_default(),
            (Some(open), false) if writes => {
                open.push(entry);
                return Some(Ok((Vec::new(), proof)));
            }
            (None, false) if writes => vec![entry],
            _ => {
                let found = server.log.iter().rev().find(|entry| entry.thing == thing);
                let rows = found.map(|entry| entry.data.clone()).into_iter().collect();
                return Some(Ok((rows, proof)));
            }
        };
        for entry in entries {
            let server = &mut state.servers[index];
            let (name, term) = (server.id.clone(), server.term);
            server.log.push(entry.clone());
            let is_superseded = state.servers.iter().any(|it| it.is_primary && it.term > term);
            let at_ms = self.record.now_ms();
            self.record.line(&format!("server {name}: commits {} in term {term}", entry.id));
            let commit = Commit { at_ms, server: name, id: entry.id.clone(), term, is_superseded };
            state.commits.push(commit);
        }
        // Answered as soon as so many replicas have received it.
        let last = state.servers[index].log.last().cloned();
        while let Some(last) = &last {
            let others = state.servers.iter().enumerate().filter(|(at, _)| *at != index);
            let received = others
                .filter(|(_, other)| other.log.iter().rev().take(200).any(|entry| entry == last));
            if received.count() >= state.sync_replicas {
                break;
            }
            if !state.servers[index].connections.contains_key(&number) {
                return None;
            }
            if !state.servers[index].log.contains(last) {
                return None;
            }
            state = self.state.1.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
        }
        Some(Ok((Vec::new(), proof)))
    }
}

#[derive(Default)]
struct Session {
    values: HashMap<String, String>,
    prepared: HashMap<String, String>,
    transaction: Option<Vec<Entry>>,
    has_failed: bool,
}

fn status(server: &Server) -> String {
    format!(
        "{} {} {}.{} {} 0 {} {}",
        if server.is_primary { "primary" } else { "replica" },
        server.term,
        server.term,
        server.log.len(),
        server.paused_for,
        server.busy,
        server.connections.len()
    )
}

pub fn next_line(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Ok(None),
        _ => Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned())),
    }
}
