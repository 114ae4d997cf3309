//! Clients: each keeps a session with one daemon and sends single statements, one after the other.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{group::next_line, record::Record};

/// A statement of a client, with what it was told.
#[derive(Clone, Debug)]
pub struct Told {
    pub id: String,
    pub told_ms: u64,
    pub outcome: String,
}

#[derive(Clone, Default)]
pub struct Clients {
    pub told: Arc<Mutex<Vec<Told>>>,
    is_over: Arc<AtomicBool>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Clients {
    /// Starts a client that writes about every `every`.
    pub fn add(
        &self,
        number: usize,
        daemon: SocketAddr,
        database: &str,
        every: Duration,
        record: &Record,
    ) {
        let (told, is_over, record) = (self.told.clone(), self.is_over.clone(), record.clone());
        let database = database.to_owned();
        let thread = thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                let _ =
                    session(number, &mut count, daemon, &database, every, &record, &told, &is_over);
                thread::sleep(Duration::from_millis(50));
            }
        });
        self.threads.lock().unwrap().push(thread);
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.lock().unwrap().drain(..) {
            let _ = thread.join();
        }
    }
}

#[allow(clippy::too_many_arguments)]
fn session(
    number: usize,
    count: &mut u64,
    daemon: SocketAddr,
    database: &str,
    every: Duration,
    record: &Record,
    told: &Mutex<Vec<Told>>,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let stream = TcpStream::connect(daemon)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    writer.write_all(format!("STARTUP {database} u{number}\r\n").as_bytes())?;
    if next_line(&mut reader)?.is_none_or(|line| !line.starts_with("READY I")) {
        return Ok(());
    }
    while !is_over.load(Ordering::SeqCst) {
        *count += 1;
        let id = format!("c{number}x{count}");
        let sent_ms = record.now_ms();
        let question = format!("QUERY {id} WRITE t{number} v{count}\r\n");
        writer.write_all(question.as_bytes())?;
        let mut outcome = "no answer".to_owned();
        let mut is_whole = false;
        loop {
            match next_line(&mut reader) {
                Ok(Some(line)) if line.starts_with("READY") => {
                    is_whole = true;
                    break;
                }
                Ok(Some(line)) if line.starts_with("COMPLETE") => outcome = "success".to_owned(),
                Ok(Some(line)) if line.starts_with("ERROR") => outcome = line,
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => break,
            }
        }
        let told_ms = record.now_ms();
        if !is_whole {
            outcome = format!("no whole answer ({outcome})");
        }
        record.line(&format!("client {number}: {id} sent at {sent_ms} -> {outcome}"));
        told.lock().unwrap().push(Told { id, told_ms, outcome });
        if !is_whole {
            return Ok(());
        }
        thread::sleep(every);
    }
    writer.write_all(b"TERMINATE\r\n")
}
