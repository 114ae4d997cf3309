//! Clients that write through the daemons and remember what they were told.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{group::read_answer, record::Record};

/// A client closes its session if the daemon does not answer for so long.
const PATIENCE: Duration = Duration::from_millis(4_000);

/// A request that a client was told has succeeded.
#[derive(Clone)]
pub struct Served {
    pub id: String,
    pub daemon: String,
    /// When its first byte was sent.
    pub sent: Instant,
    /// When its client was told.
    pub told: Instant,
}

#[derive(Clone)]
pub struct Clients {
    pub acknowledged: Arc<Mutex<Vec<Served>>>,
    pub reads: Arc<Mutex<Vec<Served>>>,
    pub outcomes: Arc<Mutex<HashMap<String, u64>>>,
    /// When each request was sent, and whether it was served.
    sent: Arc<Mutex<Vec<(Instant, bool)>>>,
    next: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    record: Record,
}

impl Clients {
    pub fn new(record: Record) -> Clients {
        Clients {
            acknowledged: Arc::default(),
            reads: Arc::default(),
            outcomes: Arc::default(),
            sent: Arc::default(),
            next: Arc::default(),
            is_over: Arc::default(),
            record,
        }
    }

    /// Starts clients that write through one daemon, each in a session of its own, with a pause after each answer.
    pub fn start(&self, count: usize, daemon: &str, front: u16, database: &str, pause: Duration) {
        self.start_with("WRITE", count, daemon, front, database, pause);
    }

    /// Starts clients that read.
    pub fn start_readers(
        &self,
        count: usize,
        daemon: &str,
        front: u16,
        database: &str,
        pause: Duration,
    ) {
        self.start_with("READ", count, daemon, front, database, pause);
    }

    fn start_with(
        &self,
        verb: &'static str,
        count: usize,
        daemon: &str,
        front: u16,
        database: &str,
        pause: Duration,
    ) {
        for _ in 0..count {
            let (clients, daemon, database) =
                (self.clone(), daemon.to_owned(), database.to_owned());
            std::thread::spawn(move || {
                while !clients.is_over.load(Ordering::SeqCst) {
                    let _ = clients.session(verb, &daemon, front, &database, pause);
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    }

    /// Returns how many requests were sent in a span of time, and how many of them were served.
    pub fn served_between(&self, from: Instant, to: Instant) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let within: Vec<_> = sent.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        (within.len(), within.iter().filter(|(_, is_served)| *is_served).count())
    }

    pub fn finish(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    fn session(
        &self,
        verb: &str,
        daemon: &str,
        front: u16,
        database: &str,
        pause: Duration,
    ) -> std::io::Result<()> {
        let stream = TcpStream::connect(("127.0.0.1", front))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        writer.write_all(format!("STARTUP {database} u1\r\n").as_bytes())?;
        if read_answer(&mut reader).is_none() {
            return Ok(());
        }
        while !self.is_over.load(Ordering::SeqCst) {
            let number = self.next.fetch_add(1, Ordering::SeqCst) + 1;
            let id = format!("{}{number:06}", &verb[..1].to_lowercase());
            let began = Instant::now();
            let index = {
                let mut sent = self.sent.lock().unwrap();
                sent.push((began, false));
                sent.len() - 1
            };
            self.record.line(&format!("client sends {id} through {daemon}"));
            let data = if verb == "WRITE" { format!(" v{number}") } else { String::new() };
            let text = format!("QUERY {id} {verb} thing{}{data}\r\n", number % 50);
            writer.write_all(text.as_bytes())?;
            let answer = read_answer(&mut reader);
            let took = began.elapsed().as_millis();
            let outcome = match &answer {
                None => "no answer".to_owned(),
                Some(lines) => lines
                    .iter()
                    .find_map(|line| match line.split(' ').collect::<Vec<_>>()[..] {
                        ["COMPLETE", ..] => Some("COMPLETE".to_owned()),
                        ["ERROR", code, ..] => Some(code.to_owned()),
                        _ => None,
                    })
                    .unwrap_or_default(),
            };
            self.record
                .line(&format!("client is told {id}: {outcome} after {took} ms through {daemon}"));
            *self.outcomes.lock().unwrap().entry(outcome.clone()).or_default() += 1;
            if outcome == "COMPLETE" {
                self.sent.lock().unwrap()[index].1 = true;
                let told =
                    Served { id, daemon: daemon.to_owned(), sent: began, told: Instant::now() };
                let list = if verb == "WRITE" { &self.acknowledged } else { &self.reads };
                list.lock().unwrap().push(told);
            }
            if answer.is_none() {
                return Ok(());
            }
            std::thread::sleep(if outcome == "COMPLETE" {
                pause
            } else {
                pause.max(Duration::from_millis(50))
            });
        }
        writer.write_all(b"TERMINATE\r\n")
    }
}
