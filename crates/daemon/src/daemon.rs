//! Starts and stops the tasks of a daemon.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use config::HostSettings;
use eyre::{Context as _, OptionExt};
use store::{HostList, KeyValueStore};
use telemetry::{SpanExporter, Tracer};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
};
use tokio_rustls::TlsAcceptor;

use crate::{
    caller_session::serve_caller,
    configuration_sync::{read_hosts, sync_configuration, watch_head},
    context::{Context, ContextParts},
    gossip::{gossip, push_gossip},
    group_watch::watch_groups,
    operator::{bind_operators, serve_operators},
    peers::Peers,
    relay::RelayServer,
    show::{ShowReport, show_report},
};

/// Capacity of the update queues of the configuration task.
const MAX_QUEUED_UPDATES: usize = 64;

/// How often a planned stop checks for running work.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon. Dropping it ends it abruptly, like a crash; [`Daemon::stop`] stops it
/// gracefully.
pub struct Daemon {
    context: Arc<Context>,
    serve: Option<Runtime>,
    watch: Option<Runtime>,
    control: Option<Runtime>,
    operator: Option<Runtime>,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
}

impl Daemon {
    /// Starts a daemon on the addresses of its settings. Port 0 selects any free port.
    pub fn start<P>(settings: HostSettings, store: Arc<P>) -> eyre::Result<Daemon>
    where
        P: KeyValueStore + HostList + 'static,
    {
        let addresses = Addresses::read(&settings)?;
        let tls = read_tls(&settings)?;
        let serve = serve_runtime(&settings)?;
        let watch = single_thread_runtime("watch")?;
        let control = single_thread_runtime("control")?;
        let operator = single_thread_runtime("operator")?;
        let (exporter, sink) =
            SpanExporter::new(settings.trace.otlp_address, settings.daemon.host.to_string());
        spawn("trace", move || exporter.run())?;
        let (updates, update_receiver) = flume::bounded(MAX_QUEUED_UPDATES);
        let tracer = Tracer::new(sink, settings.trace.sample);
        let endpoint_password = read_password(&settings)?;
        let context = Arc::new(Context::new(ContextParts {
            endpoint_password,
            tracer,
            watch_runtime: watch.handle().clone(),
            updates,
            settings,
        }));
        let listeners = serve.block_on(addresses.bind())?;
        let daemon = Daemon {
            caller_address: listeners.caller.local_addr()?,
            peer_address: listeners.peer.local_addr()?,
            operator_address: listeners.operator.local_addr()?,
            context: context.clone(),
            serve: Some(serve),
            watch: Some(watch),
            control: Some(control),
            operator: Some(operator),
        };
        daemon.start_store_threads(&store, update_receiver)?;
        daemon.spawn_watch(store);
        daemon.spawn_serve(listeners, tls);
        Ok(daemon)
    }

    fn start_store_threads<P>(
        &self,
        store: &Arc<P>,
        updates: flume::Receiver<crate::context::PeerUpdate>,
    ) -> eyre::Result<()>
    where
        P: KeyValueStore + HostList + 'static,
    {
        let (store_updates, store_update_receiver) = flume::bounded(MAX_QUEUED_UPDATES);
        let (context, watched, head_updates) =
            (self.context.clone(), store.clone(), store_updates.clone());
        spawn("head", move || watch_head(&context, &*watched, &head_updates))?;
        let (context, listed) = (self.context.clone(), store.clone());
        spawn("hosts", move || read_hosts(&context, &*listed, &store_updates))?;
        let peer_timeout = Duration::from_millis(self.context.settings.control.peer_timeout_ms);
        let peers = Arc::new(Peers::new(peer_timeout));
        if let Some(control) = &self.control {
            let context = self.context.clone();
            control.spawn(gossip(context.clone(), peers.clone()));
            control.spawn(sync_configuration(
                context,
                peers,
                store.clone(),
                store_update_receiver,
                updates,
            ));
        }
        Ok(())
    }

    fn spawn_watch<P: KeyValueStore + 'static>(&self, store: Arc<P>) {
        if let Some(watch) = &self.watch {
            watch.spawn(watch_groups(self.context.clone(), store));
        }
    }

    fn spawn_serve(&self, listeners: Listeners, tls: Option<Arc<TlsAcceptor>>) {
        if let Some(serve) = &self.serve {
            serve.spawn(accept_callers(self.context.clone(), listeners.caller, tls));
            serve.spawn(accept_peers(self.context.clone(), listeners.peer));
        }
        if let Some(operator) = &self.operator {
            operator.spawn(serve_operators(self.context.clone(), listeners.operator));
        }
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns a report of the daemon's state.
    pub fn show(&self) -> ShowReport {
        show_report(&self.context)
    }

    /// Stops gracefully: accepts no new callers, finishes running requests, closes sessions between
    /// transactions and notifies other daemons. Returns whether all work finished within the limit
    /// `stop_ms` of the configuration.
    pub fn stop(mut self) -> bool {
        let limit_ms = self.context.in_force.load().configuration.limits.stop_ms;
        let until = Instant::now() + Duration::from_millis(limit_ms);
        self.context.stopping.send_replace(true);
        self.context.invalidate_members();
        self.announce_stop();
        let finished = self.wait_for_work(until);
        log::info!(finished; "the daemon has stopped");
        self.end();
        finished
    }

    /// Announces to other daemons that this daemon accepts no more work.
    fn announce_stop(&self) {
        let Some(control) = &self.control else { return };
        let context = self.context.clone();
        let timeout = Duration::from_millis(self.context.settings.control.peer_timeout_ms);
        let count = self.context.members.load().all().len().min(MAX_STOP_ANNOUNCEMENTS);
        control.block_on(async move {
            push_gossip(&context, &Arc::new(Peers::new(timeout)), count).await;
        });
    }

    fn wait_for_work(&self, until: Instant) -> bool {
        loop {
            let callers = self.context.callers.load(Ordering::Relaxed);
            let writing: u32 = self
                .context
                .held_groups()
                .iter()
                .map(|group| group.writing.load(Ordering::Acquire))
                .sum();
            let in_flight: u32 = self
                .context
                .held_groups()
                .iter()
                .flat_map(|group| group.pools.iter().map(|pool| pool.in_flight()))
                .sum();
            if callers == 0 && writing == 0 && in_flight == 0 {
                // Gives the last answers time to be sent to other daemons.
                thread::sleep(STOP_POLL_INTERVAL);
                return true;
            }
            if Instant::now() >= until {
                log::warn!(callers, writing; "the time limit of the planned stop has passed");
                return false;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    fn end(&mut self) {
        // The store threads check this flag and end by themselves.
        self.context.stopping.send_replace(true);
        for runtime in [&mut self.serve, &mut self.control, &mut self.watch, &mut self.operator] {
            if let Some(runtime) = runtime.take() {
                runtime.shutdown_background();
            }
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

/// Maximum number of daemons that a stopping daemon notifies directly. The others learn of the stop by
/// gossip.
const MAX_STOP_ANNOUNCEMENTS: usize = 16;

struct Addresses {
    caller: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
}

struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

impl Addresses {
    fn read(settings: &HostSettings) -> eyre::Result<Addresses> {
        let daemon = &settings.daemon;
        Ok(Addresses {
            caller: daemon.listen.ok_or_eyre("[daemon] listen must be set")?,
            peer: daemon.peer_listen.ok_or_eyre("[daemon] peer_listen must be set")?,
            operator: daemon.operator_listen.ok_or_eyre("[daemon] operator_listen must be set")?,
        })
    }

    async fn bind(&self) -> eyre::Result<Listeners> {
        let failed = |address: SocketAddr| move || format!("can't listen at {address}");
        Ok(Listeners {
            caller: TcpListener::bind(self.caller).await.wrap_err_with(failed(self.caller))?,
            peer: TcpListener::bind(self.peer).await.wrap_err_with(failed(self.peer))?,
            operator: bind_operators(self.operator).await.wrap_err_with(failed(self.operator))?,
        })
    }
}

fn read_tls(settings: &HostSettings) -> eyre::Result<Option<Arc<TlsAcceptor>>> {
    let files = settings.tls.certificate_file.as_ref().zip(settings.tls.key_file.as_ref());
    let Some((certificate, key)) = files else { return Ok(None) };
    let acceptor = wire::tls_acceptor(Path::new(&**certificate), Path::new(&**key))?;
    Ok(Some(Arc::new(acceptor)))
}

fn read_password(settings: &HostSettings) -> eyre::Result<Option<String>> {
    let Some(file) = &settings.endpoint.password_file else { return Ok(None) };
    let password = std::fs::read_to_string(&**file)
        .wrap_err_with(|| format!("[endpoint] password_file: can't read {file}"))?;
    Ok(Some(password.trim_end().to_owned()))
}

fn serve_runtime(settings: &HostSettings) -> eyre::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if settings.daemon.serve_threads > 0 {
        builder.worker_threads(usize::from(settings.daemon.serve_threads));
    }
    Ok(builder.thread_name("serve").enable_all().build()?)
}

fn single_thread_runtime(name: &str) -> eyre::Result<Runtime> {
    Ok(Builder::new_multi_thread().worker_threads(1).thread_name(name).enable_all().build()?)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(())
}

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

async fn accept_callers(
    context: Arc<Context>,
    listener: TcpListener,
    tls: Option<Arc<TlsAcceptor>>,
) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve_caller(context.clone(), socket, tls.clone()));
            }
            Err(error) => {
                log::warn!(
                    error = error.to_string().as_str();
                    "accepting a connection of a caller failed"
                );
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn accept_peers(context: Arc<Context>, listener: TcpListener) {
    let handler = Arc::new(RelayServer::new(context));
    let next_connection = AtomicU64::new(1);
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let id = next_connection.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(peer::serve_connection(socket, id, handler.clone()));
            }
            Err(error) => {
                log::warn!(
                    error = error.to_string().as_str();
                    "accepting a connection of a daemon failed"
                );
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}
