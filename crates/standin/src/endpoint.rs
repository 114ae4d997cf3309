//! A stand-in server on the network.

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

/// How a stand-in server behaves while nothing is wrong.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// Connections that it grants.
    pub connections: usize,
    /// How long a new connection takes.
    pub connection_cost: Duration,
    /// Statements that run at a time.
    pub slots: usize,
    /// How long each statement takes, beside the database's own work.
    pub service_time: Duration,
    /// How long a change takes to be held by a replica.
    pub receive_delay: Duration,
    /// How long a change takes to be visible on a replica.
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

/// What the connections of a server share.
pub(crate) struct Shared {
    pub(crate) core: Arc<ServerCore>,
    pub(crate) slots: Semaphore,
    options: EndpointOptions,
    faults_changed: watch::Sender<u64>,
    running: Mutex<HashMap<i32, Arc<Notify>>>,
    next_process: AtomicI32,
    most_connections: Mutex<usize>,
}

impl Shared {
    /// Waits while a fault keeps the server from hearing or answering the caller.
    pub(crate) async fn until_reachable(&self, caller: &str) {
        let mut changes = self.faults_changed.subscribe();
        loop {
            changes.mark_unchanged();
            let cut = {
                let faults = self.core.faults.read();
                faults.paused || faults.cut_from.iter().any(|name| caller.contains(name.as_str()))
            };
            if !cut || changes.changed().await.is_err() {
                return;
            }
        }
    }

    pub(crate) fn service_time(&self) -> Duration {
        self.options.service_time + self.core.faults.read().extra_service
    }

    pub(crate) fn roll_back(&self, wrote: bool) {
        if wrote {
            self.core.rollback_write();
        }
    }
}

/// A running stand-in server and the means to hurt it.
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
            running: Mutex::default(),
            next_process: AtomicI32::new(1),
            most_connections: Mutex::new(0),
        });
        tokio::spawn(accept(listener, shared.clone(), Handle::current()));
        Endpoint { shared }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.core.address
    }

    /// Changes what is wrong with the server.
    pub fn change_faults(&self, change: impl FnOnce(&mut ServerFaults)) {
        change(&mut self.shared.core.faults.write());
        self.shared.faults_changed.send_modify(|count| *count += 1);
    }

    /// Changes how far a replica's visible data lags.
    pub fn set_apply_lag(&self, lag: Duration) {
        *self.shared.core.apply_lag.lock() = lag;
    }

    /// Changes how long a change takes to be held by a replica.
    pub fn set_receive_delay(&self, delay: Duration) {
        *self.shared.core.receive_delay.lock() = delay;
    }

    /// Returns the server's status, whatever is wrong with it.
    pub fn status(&self) -> ServerStatus {
        self.shared.core.status()
    }

    /// Returns the committed transactions that the server holds.
    pub fn log(&self) -> Vec<Arc<LogRecord>> {
        self.shared.core.state.lock().log.clone()
    }

    /// Returns how many connections are open.
    pub fn connections(&self) -> usize {
        self.shared.core.state.lock().connections
    }

    /// Returns the most connections that were ever open at once.
    pub fn most_connections(&self) -> usize {
        *self.shared.most_connections.lock()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, runtime: Handle) {
    while let Ok((socket, _)) = listener.accept().await {
        runtime.spawn(serve(socket, shared.clone()));
    }
}

async fn serve(socket: TcpStream, shared: Arc<Shared>) {
    let _ = socket.set_nodelay(true);
    let crashed = shared.clone();
    let mut changes = shared.faults_changed.subscribe();
    let down = async move {
        loop {
            if crashed.core.faults.read().crashed || changes.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = down => {}
        () = serve_session(socket, shared) => {}
    }
}

/// Counts an open connection for as long as it lives.
struct OpenConnection {
    shared: Arc<Shared>,
    process: i32,
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
        let mut most = shared.most_connections.lock();
        *most = (*most).max(open);
        drop(most);
        let process = shared.next_process.fetch_add(1, Ordering::Relaxed);
        shared.running.lock().insert(process, Arc::new(Notify::new()));
        Some(OpenConnection { shared, process })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.core.state.lock().connections -= 1;
        self.shared.running.lock().remove(&self.process);
    }
}

async fn serve_session(socket: TcpStream, shared: Arc<Shared>) {
    let mut stream = CallerStream::new(socket);
    let parameters = match stream.start(None).await {
        Ok(StartupRequest::Session { parameters, .. }) => parameters,
        Ok(StartupRequest::Cancel { process, .. }) => {
            if let Some(running) = shared.running.lock().get(&process) {
                running.notify_waiters();
            }
            return;
        }
        Err(_) => return,
    };
    let caller = parameters.get("application_name").cloned().unwrap_or_default();
    shared.until_reachable(&caller).await;
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
    greet(&mut stream, open.process);
    shared.until_reachable(&caller).await;
    if stream.flush().await.is_err() {
        return;
    }
    let cancelled = shared.running.lock().get(&open.process).cloned().unwrap_or_default();
    ServerSession::new(shared, stream, caller, cancelled).run().await;
}

fn greet(stream: &mut CallerStream, process: i32) {
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
    let key = BackendKeyData::new(process, SecretKey::I32(process));
    stream.add(&PgWireBackendMessage::BackendKeyData(key));
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    stream.add(&PgWireBackendMessage::ReadyForQuery(ready));
}
