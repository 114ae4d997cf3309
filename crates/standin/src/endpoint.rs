//! A stand-in for a database server, with its network listener.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicI32, Ordering},
    },
    time::Duration,
};

use model::ServerStatus;
use parking_lot::Mutex;
use pgwire::messages::{
    PgWireBackendMessage,
    response::{ErrorResponse, ReadyForQuery, TransactionStatus},
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{Notify, Semaphore, watch},
};
use wire::{CallerStream, StartupRequest};

use crate::{
    replication::{Peers, replicate},
    server_core::{LogRecord, ServerCore, ServerFaults},
    server_session::ServerSession,
};

/// The options of a stand-in server.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// The maximum number of connections.
    pub connections: usize,
    /// The time to establish a connection.
    pub connection_cost: Duration,
    /// The maximum number of concurrent statements.
    pub slots: usize,
    /// The additional execution time of each statement.
    pub service_time: Duration,
    /// The delay until a replica receives a committed change.
    pub receive_delay: Duration,
    /// The delay until a committed change is visible on a replica.
    pub apply_lag: Duration,
}

impl Default for EndpointOptions {
    fn default() -> EndpointOptions {
        EndpointOptions {
            connections: 25,
            connection_cost: Duration::from_millis(10),
            slots: 3,
            service_time: Duration::ZERO,
            receive_delay: Duration::ZERO,
            apply_lag: Duration::ZERO,
        }
    }
}

/// The state that all connections of a server share.
pub(crate) struct Shared {
    pub(crate) core: Arc<ServerCore>,
    pub(crate) slots: Semaphore,
    options: EndpointOptions,
    faults_changed: watch::Sender<u64>,
    cancel_signals: Mutex<HashMap<i32, Arc<Notify>>>,
    next_process_id: AtomicI32,
    max_connections_seen: Mutex<usize>,
}

impl Shared {
    /// Waits while a fault cuts the server off from the caller.
    pub(crate) async fn wait_until_reachable(&self, caller: &str) {
        let mut changes = self.faults_changed.subscribe();
        loop {
            changes.mark_unchanged();
            let unreachable = {
                let faults = self.core.faults.read();
                faults.paused
                    || faults.unreachable_from.iter().any(|name| caller.contains(name.as_str()))
            };
            if !unreachable || changes.changed().await.is_err() {
                return;
            }
        }
    }

    pub(crate) fn service_time(&self) -> Duration {
        self.options.service_time + self.core.faults.read().extra_service_time
    }

    pub(crate) fn roll_back(&self, has_written: bool) {
        if has_written {
            self.core.rollback_write();
        }
    }
}

/// A running stand-in server with fault injection.
#[derive(Clone)]
pub struct Endpoint {
    shared: Arc<Shared>,
}

impl Endpoint {
    pub(crate) async fn start(
        listener: TcpListener,
        leader: SocketAddr,
        options: EndpointOptions,
        peers: &Peers,
    ) -> Endpoint {
        let address = listener.local_addr().expect("the listener is bound");
        let core = Arc::new(ServerCore::new(address, leader));
        *core.receive_delay.lock() = options.receive_delay;
        *core.apply_lag.lock() = options.apply_lag;
        peers.add(&core);
        tokio::spawn(replicate(Arc::downgrade(&core), peers.clone()));
        let shared = Arc::new(Shared {
            core,
            slots: Semaphore::new(options.slots),
            options,
            faults_changed: watch::Sender::new(0),
            cancel_signals: Mutex::default(),
            next_process_id: AtomicI32::new(1),
            max_connections_seen: Mutex::new(0),
        });
        tokio::spawn(accept(listener, shared.clone(), Handle::current()));
        Endpoint { shared }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.core.address
    }

    /// Changes the faults of the server.
    pub fn change_faults(&self, change: impl FnOnce(&mut ServerFaults)) {
        change(&mut self.shared.core.faults.write());
        self.shared.faults_changed.send_modify(|count| *count += 1);
    }

    /// Sets the delay until a committed change is visible on a replica.
    pub fn set_apply_lag(&self, lag: Duration) {
        *self.shared.core.apply_lag.lock() = lag;
    }

    /// Sets the delay until a replica receives a committed change.
    pub fn set_receive_delay(&self, delay: Duration) {
        *self.shared.core.receive_delay.lock() = delay;
    }

    /// Returns the status of the server, regardless of its faults.
    pub fn status(&self) -> ServerStatus {
        self.shared.core.status()
    }

    /// Returns the committed transactions in the log of the server.
    pub fn log(&self) -> Vec<Arc<LogRecord>> {
        self.shared.core.state.lock().log.clone()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.core.state.lock().connections
    }

    /// Returns the highest number of connections that were open at the same time.
    pub fn max_connections_seen(&self) -> usize {
        *self.shared.max_connections_seen.lock()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, runtime: Handle) {
    while let Ok((socket, _)) = listener.accept().await {
        runtime.spawn(serve(socket, shared.clone()));
    }
}

async fn serve(socket: TcpStream, shared: Arc<Shared>) {
    let _ = socket.set_nodelay(true);
    let state = shared.clone();
    let mut changes = shared.faults_changed.subscribe();
    let crashed = async move {
        loop {
            if state.core.faults.read().crashed || changes.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = crashed => {}
        () = serve_session(socket, shared) => {}
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection {
    shared: Arc<Shared>,
    process_id: i32,
}

impl OpenConnection {
    fn new(shared: Arc<Shared>) -> Option<OpenConnection> {
        let mut state = shared.core.state.lock();
        if state.connections >= shared.options.connections {
            return None;
        }
        state.connections += 1;
        let open = state.connections;
        drop(state);
        let mut max_seen = shared.max_connections_seen.lock();
        *max_seen = (*max_seen).max(open);
        drop(max_seen);
        let process_id = shared.next_process_id.fetch_add(1, Ordering::Relaxed);
        shared.cancel_signals.lock().insert(process_id, Arc::new(Notify::new()));
        Some(OpenConnection { shared, process_id })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.core.state.lock().connections -= 1;
        self.shared.cancel_signals.lock().remove(&self.process_id);
    }
}

async fn serve_session(socket: TcpStream, shared: Arc<Shared>) {
    let mut stream = CallerStream::new(socket);
    let parameters = match stream.start(None).await {
        Ok(StartupRequest::Session { parameters, .. }) => parameters,
        Ok(StartupRequest::Cancel { process, .. }) => {
            if let Some(signal) = shared.cancel_signals.lock().get(&process) {
                signal.notify_waiters();
            }
            return;
        }
        Err(_) => return,
    };
    let caller = parameters.get("application_name").cloned().unwrap_or_default();
    shared.wait_until_reachable(&caller).await;
    tokio::time::sleep(shared.options.connection_cost).await;
    let shutting_down = shared.core.faults.read().shutting_down;
    let open = OpenConnection::new(shared.clone()).filter(|_| !shutting_down);
    let Some(open) = open else {
        let (code, message) = if shutting_down {
            ("57P03", "the server is shutting down")
        } else {
            ("53300", "sorry, too many clients already")
        };
        let fields =
            vec![(b'S', "FATAL".to_owned()), (b'C', code.to_owned()), (b'M', message.to_owned())];
        stream.add(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
        let _ = stream.flush().await;
        return;
    };
    add_startup_messages(&mut stream, open.process_id);
    shared.wait_until_reachable(&caller).await;
    if stream.flush().await.is_err() {
        return;
    }
    let cancelled = shared.cancel_signals.lock().get(&open.process_id).cloned().unwrap_or_default();
    ServerSession::new(shared, stream, caller, cancelled).run().await;
}

fn add_startup_messages(stream: &mut CallerStream, process_id: i32) {
    stream.add(&PgWireBackendMessage::Authentication(Authentication::Ok));
    for (name, value) in [
        ("server_version", "15.0 (stand-in)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        stream.add(&PgWireBackendMessage::ParameterStatus(status));
    }
    let key = BackendKeyData::new(process_id, SecretKey::I32(process_id));
    stream.add(&PgWireBackendMessage::BackendKeyData(key));
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    stream.add(&PgWireBackendMessage::ReadyForQuery(ready));
}
