//! A daemon: its threads and the channels between them.
//!
//! | thread | responsibility | inputs (entries of bounded channels) |
//! | --- | --- | --- |
//! | `serve` | callers and connections to servers | sockets; requests from the control thread (64) |
//! | `control` | metadata store, primary leases, membership, changes of primary | the store; observations (256) |
//! | `http` | readiness checks and metrics | sockets |
//!
//! The control thread publishes its [`ControlView`] to the other threads and replaces it as a whole.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use config::ProxySettings;
use eyre::{OptionExt, WrapErr};
use limits::WindowRule;
use overload::ZoneLayout;
use tokio::{net::TcpListener, runtime::Runtime, sync::watch, task::LocalSet};

use crate::{
    catalog::CatalogFormat,
    control::{
        adapter::AdapterTypes,
        control_view::ControlView,
        runner::{ControlParts, ControlSettings, ServingRequest, run_control},
    },
    dialect::{CallerDialect, EndpointDialect},
    http::{HttpParts, serve_http},
    metadata::MetadataStore,
    metrics::ProxyMetrics,
    order::PromotionOrders,
    serve::{
        control_requests::answer_control_requests,
        engine::{Engine, EngineParts, ServeSettings},
        session::serve_caller,
    },
};

/// The capacity of the channel for observations of the serving thread.
const OBSERVATION_CAPACITY: usize = 256;
/// The capacity of the channel for requests to the serving thread.
const SERVING_REQUEST_CAPACITY: usize = 64;
/// How long idle sessions stay open after the signal to stop. The load balancer checks readiness every second and stops
/// sending callers after two failed checks.
const STOP_IDLE_AFTER: Duration = Duration::from_millis(2_300);
/// The fraction of the grace period after which open transactions are rolled back.
const STOP_TRANSACTIONS_FRACTION: f64 = 0.55;
/// The fraction of the grace period after which the daemon exits even if callers are left.
const STOP_FRACTION: f64 = 0.85;
/// The interval at which a stopping daemon checks whether every caller has left.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after a failure to accept a connection, as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The addresses that a daemon listens on, with the ports that the system assigned.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the load balancer checks readiness.
    pub ready: SocketAddr,
}

/// What an adapter provides. The `make_` functions run on the thread that uses their result.
pub struct DaemonAdapter<C, E, F, M, O> {
    /// The wire protocol of callers.
    pub caller_dialect: C,
    /// The wire protocol of servers.
    pub endpoint_dialect: E,
    /// The format of the catalog in the store.
    pub format: F,
    /// Creates a client for the metadata store at an address.
    pub make_store: M,
    /// Creates a client for the service that takes promotion orders at an address.
    pub make_orders: O,
}

/// Runs a daemon until `stop` completes, then stops it gracefully.
pub fn run_daemon<C, E, F, S, P>(
    settings: &ProxySettings,
    adapter: DaemonAdapter<
        C,
        E,
        F,
        impl FnOnce(SocketAddr) -> S + Send + 'static,
        impl FnOnce(SocketAddr) -> P + Send + 'static,
    >,
    stop: impl Future<Output = ()>,
    on_bound: impl FnOnce(BoundAddresses),
) -> eyre::Result<()>
where
    C: CallerDialect,
    E: EndpointDialect + Send,
    F: CatalogFormat + Send,
    S: MetadataStore,
    P: PromotionOrders,
{
    let metrics = ProxyMetrics::new();
    let (control_view_out, control_view) = watch::channel(Arc::new(ControlView::default()));
    let (stopping_out, stopping) = watch::channel(None);
    let (ended_out, ended) = watch::channel(false);
    let (observations_out, observations) = flume::bounded(OBSERVATION_CAPACITY);
    let (serving_requests_out, serving_requests) = flume::bounded(SERVING_REQUEST_CAPACITY);

    let peer_listener = settings.daemon.peer_listen.map(bind).transpose()?;
    let control = {
        let store_address = settings.metadata.address.ok_or_eyre("[metadata] address is unset")?;
        let order_address =
            settings.leadership.order_address.ok_or_eyre("[leadership] order_address is unset")?;
        let control_settings = ControlSettings {
            host: settings.daemon.host.clone(),
            availability_zone: settings.daemon.availability_zone.clone(),
            layout: ZoneLayout::new(
                settings.daemon.availability_zone.clone(),
                settings.daemon.region_by_zone().collect(),
            ),
            peer_address: peer_listener.as_ref().map(|it| it.local_addr()).transpose()?,
            metadata: settings.metadata.clone(),
            leadership: settings.leadership.clone(),
        };
        let dialect = adapter.endpoint_dialect.clone();
        let (format, metrics, stopping) = (adapter.format, metrics.clone(), stopping.clone());
        let (make_store, make_orders) = (adapter.make_store, adapter.make_orders);
        spawn_thread("control", move || async move {
            run_control::<AdapterTypes<S, P, F, E>>(ControlParts {
                settings: control_settings,
                store: make_store(store_address),
                orders: make_orders(order_address),
                format,
                dialect,
                control_view: control_view_out,
                observations,
                serving_requests: serving_requests_out,
                stopping,
                ended,
                peer_listener,
                metrics,
            })
            .await;
        })?
    };
    let listen = settings.daemon.listen.ok_or_eyre("listen is unset")?;
    let ready_listen = settings.daemon.ready_listen.ok_or_eyre("ready_listen is unset")?;
    let caller_listener = bind(listen)?;
    let ready_listener = bind(ready_listen)?;
    on_bound(BoundAddresses {
        callers: caller_listener.local_addr()?,
        ready: ready_listener.local_addr()?,
    });
    let http = {
        let parts = HttpParts {
            ready_listener,
            metrics_listen: settings.daemon.metrics_listen,
            control_view: control_view.clone(),
            stopping: stopping.clone(),
            metrics: metrics.clone(),
        };
        spawn_thread("http", move || serve_http(parts))?
    };

    let engine = Engine::new(EngineParts {
        caller_dialect: adapter.caller_dialect,
        endpoint_dialect: adapter.endpoint_dialect,
        settings: serve_settings(settings),
        control_view,
        stopping,
        metrics,
        observations: observations_out,
    });
    let grace = Duration::from_millis(settings.daemon.stop_grace_ms);
    let served = LocalSet::new().block_on(
        &runtime()?,
        serve(Rc::new(engine), caller_listener, serving_requests, stopping_out, grace, stop),
    );
    ended_out.send_replace(true);
    join(control);
    join(http);
    served
}

fn serve_settings(settings: &ProxySettings) -> ServeSettings {
    let grace = Duration::from_millis(settings.daemon.stop_grace_ms);
    ServeSettings {
        host: settings.daemon.host.clone(),
        availability_zone: settings.daemon.availability_zone.clone(),
        suspect_after: Duration::from_millis(settings.leadership.suspect_after_ms),
        primary_lease: Duration::from_millis(settings.leadership.right_ms),
        stop_transactions_after: grace.mul_f64(STOP_TRANSACTIONS_FRACTION),
        stop_idle_after: STOP_IDLE_AFTER.min(grace.mul_f64(STOP_TRANSACTIONS_FRACTION)),
        max_callers: settings.daemon.descriptors / 2,
        window_rule: WindowRule {
            window: Duration::from_millis(settings.limits.window_ms),
            overage: settings.limits.overage,
            slack: settings.limits.slack,
        },
        regions: settings.daemon.region_by_zone().collect(),
        overload: settings.overload.clone(),
    }
}

/// Accepts callers until `stop` completes, then waits until they have left or the grace period is nearly over.
async fn serve<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    listener: std::net::TcpListener,
    serving_requests: flume::Receiver<ServingRequest>,
    stopping: watch::Sender<Option<Instant>>,
    grace: Duration,
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let listener = TcpListener::from_std(listener).wrap_err("can't listen for callers")?;
    log::info!(event = "started", host = &*engine.settings.host; "daemon started");
    tokio::task::spawn_local(answer_control_requests(engine.clone(), serving_requests));
    tokio::task::spawn_local(engine.clone().close_idle_connections());
    tokio::task::spawn_local(engine.clone().run_limit_election());
    let accepting = {
        let engine = engine.clone();
        tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        tokio::task::spawn_local(serve_caller(engine.clone(), stream));
                    }
                    Err(error) => {
                        log::warn!(
                            event = "accept_failed", why = error.to_string().as_str();
                            "failed to accept a caller's connection"
                        );
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        })
    };
    stop.await;
    let stopping_since = Instant::now();
    log::info!(
        event = "stopping", callers = engine.callers.get();
        "graceful stop started"
    );
    stopping.send_replace(Some(stopping_since));
    let deadline = stopping_since + grace.mul_f64(STOP_FRACTION);
    let idle_closed_at = stopping_since + engine.settings.stop_idle_after;
    while Instant::now() < deadline {
        if engine.callers.get() == 0 && Instant::now() >= idle_closed_at {
            break;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    accepting.abort();
    log::info!(
        event = "stopped", callers_left = engine.callers.get(),
        took_ms = stopping_since.elapsed().as_millis() as u64;
        "daemon stopped"
    );
    Ok(())
}

fn bind(address: SocketAddr) -> eyre::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)
        .wrap_err_with(|| format!("can't listen on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn runtime() -> eyre::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start a runtime")
}

/// Starts a named thread with its own runtime.
fn spawn_thread<F, R>(name: &str, work: F) -> eyre::Result<JoinHandle<()>>
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = ()>,
{
    let runtime = runtime()?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || LocalSet::new().block_on(&runtime, work()))
        .wrap_err_with(|| format!("can't start the {name} thread"))
}

fn join(thread: JoinHandle<()>) {
    if thread.join().is_err() {
        log::error!(event = "thread_failed"; "thread panicked");
    }
}
