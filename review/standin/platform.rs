//! The platform's metadata store and its promotion interface, as small stand-ins.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::json::{self, Json};

/// How long the store takes for an answer, as the installations' pages give it.
const STORE_ANSWER: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: revision, key, and the item as written, or none if it was removed.
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Daemons that get no answers.
    silent: Vec<bool>,
}

/// The store. Each daemon has an address of its own for it, so that single daemons can be turned away.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn new(daemons: usize) -> Store {
        let state = StoreState { silent: vec![false; daemons], ..StoreState::default() };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                expiring.expire();
            }
        });
        store
    }

    /// Starts the listener for one daemon and returns its port.
    pub fn listen(&self, daemon: usize) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let port = listener.local_addr().expect("bound").port();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream, daemon));
            }
        });
        port
    }

    /// Turns one daemon away without an answer, or serves it again.
    pub fn set_silent(&self, daemon: usize, is_silent: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().silent[daemon] = is_silent;
        changed.notify_all();
    }

    /// Writes a value as an operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        put(&mut state, key, encode_base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        remove(&mut state.lock().unwrap(), key);
        changed.notify_all();
    }

    /// Returns the value of a key as text.
    pub fn text(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&decode_base64(&item.value)).into_owned())
    }

    fn expire(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            end_lease(&mut state, lease);
            changed.notify_all();
        }
    }

    fn is_silent(&self, daemon: usize) -> bool {
        self.state.0.lock().unwrap().silent[daemon]
    }

    fn serve(&self, stream: TcpStream, daemon: usize) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.is_silent(daemon) {
                return hang(reader);
            }
            let (status, body) = match request.path.as_str() {
                "/v1/kv-watch" => match self.watch(&request, daemon) {
                    Some(answer) => answer,
                    None => return hang(reader),
                },
                _ => {
                    let answer = self.answer(&request);
                    std::thread::sleep(STORE_ANSWER);
                    answer
                }
            };
            // An answer that the silence has caught is lost, and the connection carries nothing further.
            if self.is_silent(daemon) {
                return hang(reader);
            }
            if write_response(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    /// Answers a watch; `None` if the daemon is turned away meanwhile.
    fn watch(&self, request: &HttpRequest, daemon: usize) -> Option<(u16, String)> {
        let prefix = request.query("path_prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if state.silent[daemon] {
                return None;
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        "{{\"tls_key\":{},\"revision\":{revision},\"removed\":true}}",
                        json::quoted(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let revision = state.revision;
                let body =
                    format!("{{\"events\":[{}],\"current_rev\":{revision}}}", events.join(","));
                return Some((200, body));
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn answer(&self, request: &HttpRequest) -> (u16, String) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let answer = match request.path.as_str() {
            "/v1/kv-key" => {
                let key = request.query("tls_key");
                let revision = state.revision;
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        let text = text.trim_end_matches('}');
                        (200, format!("{text},\"current_rev\":{revision}}}"))
                    }
                    None => (404, format!("{{\"current_rev\":{revision}}}")),
                }
            }
            "/v1/kv-range" => {
                let prefix = request.query("path_prefix");
                let after = request.query("after");
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let (items, revision) = (items.join(","), state.revision);
                let body = format!(
                    "{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"
                );
                (200, body)
            }
            "/v1/kv-txn" => transact(&mut state, &request.body),
            "/v1/kv-lease" => {
                let ttl_ms = request.body.get("ttl_ms").as_u64();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            path => {
                if let Some(id) = path.strip_prefix("/v1/kv-keep/") {
                    match state.leases.get_mut(&id.parse().unwrap_or(0)) {
                        Some((until, ttl)) => {
                            *until = Instant::now() + *ttl;
                            (200, format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    }
                } else if let Some(id) = path.strip_prefix("/v1/kv-lease-end/") {
                    end_lease(&mut state, id.parse().unwrap_or(0));
                    (200, "{}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
        };
        changed.notify_all();
        answer
    }
}

/// Keeps a connection open without an answer until its client closes it.
fn hang(mut reader: BufReader<TcpStream>) {
    let mut rest = [0_u8; 4096];
    while matches!(reader.read(&mut rest), Ok(read) if read > 0) {}
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"tls_key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json::quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn put(state: &mut StoreState, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.events.push((revision, key.to_owned(), Some(item)));
}

fn remove(state: &mut StoreState, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        state.events.push((state.revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut StoreState, lease: u64) {
    if state.leases.remove(&lease).is_none() {
        return;
    }
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        remove(state, &key);
    }
}

/// Does everything that a transaction lists under one revision, or nothing.
fn transact(state: &mut StoreState, body: &Json) -> (u16, String) {
    let expected = body.get("expected_rev").items();
    let revision_of =
        |state: &StoreState, key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let holds = expected
        .iter()
        .all(|row| revision_of(state, row.get("tls_key").as_str()) == row.get("revision").as_u64());
    if !holds {
        let items: Vec<String> = expected
            .iter()
            .filter_map(|row| {
                let key = row.get("tls_key").as_str();
                state.items.get(key).map(|item| item_json(key, item))
            })
            .collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = body.get("puts").items();
    if puts.iter().any(|row| {
        let lease = row.get("lease").as_u64();
        lease != 0 && !state.leases.contains_key(&lease)
    }) {
        return (404, "{}".to_owned());
    }
    // One revision for the whole transaction.
    let before = state.revision;
    for row in puts {
        state.revision = before;
        let value = row.get("value").as_str().to_owned();
        put(state, row.get("tls_key").as_str(), value, row.get("lease").as_u64());
    }
    for key in body.get("remove").items() {
        if state.items.contains_key(key.as_str()) {
            state.revision = before;
            remove(state, key.as_str());
        }
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

/// An HTTP request as far as the stand-ins need it.
pub struct HttpRequest {
    pub path: String,
    query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Json,
}

impl HttpRequest {
    fn query(&self, name: &str) -> String {
        self.query.get(name).cloned().unwrap_or_default()
    }
}

/// Reads one request; `None` if the connection has ended.
pub fn read_request(reader: &mut impl BufRead) -> Option<HttpRequest> {
    let mut line = String::new();
    if !matches!(reader.read_line(&mut line), Ok(read) if read > 0) {
        return None;
    }
    let target = line.split(' ').nth(1)?.to_owned();
    let (path, query_text) = target.split_once('?').unwrap_or((&target, ""));
    let query = query_text
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if !matches!(reader.read_line(&mut header), Ok(read) if read > 0) {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = json::parse(&String::from_utf8_lossy(&body));
    Some(HttpRequest { path: path.to_owned(), query, headers, body })
}

pub fn write_response(writer: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let reason = if status == 200 { "OK" } else { "Other" };
    let text = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(text.as_bytes())
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for position in 0..4 {
            match position <= chunk.len() {
                true => out.push(ALPHABET[(group >> (18 - 6 * position) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let value = ALPHABET.iter().position(|it| *it == byte).unwrap_or(0) as u32;
        group = group << 6 | value;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((group >> bits & 255) as u8);
        }
    }
    out
}
