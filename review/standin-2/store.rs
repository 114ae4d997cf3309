//! The platform's metadata store: linearizable, loses nothing, answers at once.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{Json, from_base64, to_base64},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Event { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.history.push(Event { key: key.to_owned(), revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        true
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"tls_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State { revision: 100, next_lease: 5000, ..State::default() };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().unwrap(),
        };
        let handling = store.clone();
        http::serve(listener, Arc::new(move |request| handling.answer(request)));
        let reaping = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = reaping.state.0.lock().unwrap();
                let now = Instant::now();
                let over = state.leases.iter().filter(|(_, (_, until))| *until <= now);
                let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
                let any = over.into_iter().map(|lease| state.end_lease(lease)).count() > 0;
                if any {
                    reaping.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key of the operator or of a server.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, to_base64(text.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.remove(key);
            self.state.1.notify_all();
        }
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&from_base64(&item.value)).into_owned())
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path.as_str();
        match request.method.as_str() {
            "GET" if path == "/v1/kv-key" => {
                let state = self.state.0.lock().unwrap();
                let key = request.query("tls_key");
                match state.items.get(key) {
                    Some(item) => {
                        let item = item_json(key, item);
                        let rest = &item[1..];
                        (200, format!("{{\"current_rev\":{},{rest}", state.revision))
                    }
                    None => (404, format!("{{\"current_rev\":{}}}", state.revision)),
                }
            }
            "GET" if path == "/v1/kv-range" => {
                let state = self.state.0.lock().unwrap();
                let prefix = request.query("path_prefix");
                let after = request.query("after");
                let below = state.items.iter();
                let below =
                    below.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let items: Vec<String> = below.map(|(key, item)| item_json(key, item)).collect();
                let items = items.join(",");
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"
                    ),
                )
            }
            "GET" if path == "/v1/kv-watch" => self.watch(request),
            "POST" if path == "/v1/kv-txn" => self.transact(request),
            "POST" if path == "/v1/kv-lease" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            "POST" if path.starts_with("/v1/kv-keep/") => {
                let lease = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, "{}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "DELETE" if path.starts_with("/v1/kv-lease-end/") => {
                let lease = path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
                let ended = self.state.0.lock().unwrap().end_lease(lease);
                self.state.1.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("path_prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let newer = state.history.iter().filter(|event| event.revision > after);
            let newer: Vec<String> = newer
                .filter(|event| event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item),
                    None => format!(
                        "{{\"tls_key\":\"{}\",\"revision\":{},\"removed\":true}}",
                        event.key, event.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !newer.is_empty() || now >= until {
                let events = newer.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{}}}", state.revision),
                );
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.0.lock().unwrap();
        let expected = body.get("expected_rev").list();
        let holds = expected.iter().all(|row| {
            let held = state.items.get(row.get("tls_key").text()).map_or(0, |item| item.revision);
            held == row.get("revision").number()
        });
        if !holds {
            let found = expected.iter().filter_map(|row| {
                let key = row.get("tls_key").text();
                state.items.get(key).map(|item| item_json(key, item))
            });
            let items = found.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{items}]}}"));
        }
        let puts = body.get("puts").list();
        let lacks = |put: &Json| {
            let lease = put.get("lease").number();
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if puts.iter().any(lacks) {
            return (404, "{}".to_owned());
        }
        let keys = puts.iter().map(|put| put.get("tls_key").text());
        let keys = keys.chain(body.get("remove").list().iter().map(Json::text));
        if keys.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        state.revision += 1;
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        for put in puts {
            let (key, value) = (put.get("tls_key").text(), put.get("value").text().to_owned());
            state.put(key, value, put.get("lease").number());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}
