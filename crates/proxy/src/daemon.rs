//! A daemon: its threads and how they are joined.
//!
//! | thread | duty | fed by (bounded ring, entries) |
//! | --- | --- | --- |
//! | `serve` | callers and connections to servers | sockets; questions of the control thread 64 |
//! | `control` | store, rights, membership, changes of primary | the store; observations 256 |
//! | `http` | whether the daemon takes callers; metrics | sockets |
//!
//! The serving and the control thread share one value, the control view, which is replaced as a whole.

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
use overload::Layout;
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

/// Observations that may wait for the control thread.
const OBSERVATIONS: usize = 256;
/// Questions to servers that may wait for the serving thread.
const ASKS: usize = 64;
/// How long sessions at rest stay after the signal to stop: the load balancer asks every second and
/// goes by two answers.
const STOP_IDLE_AFTER: Duration = Duration::from_millis(2_300);
/// The part of the grace after which open transactions are ended.
const STOP_TRANSACTIONS_SHARE: f64 = 0.55;
/// The part of the grace after which the daemon ends in any case.
const STOP_SHARE: f64 = 0.85;
/// How often the stop looks whether every caller has left.
const STOP_LOOK_EVERY: Duration = Duration::from_millis(50);
/// The pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Where a daemon listens, once it does; ports that were left to the system are known from here.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the load balancer asks.
    pub ready: SocketAddr,
}

/// What an adapter provides. The makers run on the thread that uses what they make.
pub struct DaemonAdapter<C, E, F, M, O> {
    /// How callers speak.
    pub caller_dialect: C,
    /// How servers speak.
    pub endpoint_dialect: E,
    /// How the catalog is written.
    pub format: F,
    /// Makes the client of the store, from its address.
    pub make_store: M,
    /// Makes the client that orders promotions, from its address.
    pub make_orders: O,
}

/// Runs a daemon until `stop` says so, then stops it as planned.
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
    let (observations_out, observations) = flume::bounded(OBSERVATIONS);
    let (asks_out, asks) = flume::bounded(ASKS);

    let peer_listener = settings.daemon.peer_listen.map(bind).transpose()?;
    let control = {
        let store_address = settings.metadata.address.ok_or_eyre("[metadata] address is unset")?;
        let order_address =
            settings.leadership.order_address.ok_or_eyre("[leadership] order_address is unset")?;
        let control_settings = ControlSettings {
            host: settings.daemon.host.clone(),
            availability_zone: settings.daemon.availability_zone.clone(),
            layout: Layout::new(
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
                serving_requests: asks_out,
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
        serve(Rc::new(engine), caller_listener, asks, stopping_out, grace, stop),
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
        stop_transactions_after: grace.mul_f64(STOP_TRANSACTIONS_SHARE),
        stop_idle_after: STOP_IDLE_AFTER.min(grace.mul_f64(STOP_TRANSACTIONS_SHARE)),
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

/// Accepts callers until the stop, then waits for those that are connected.
async fn serve<C: CallerDialect, E: EndpointDialect>(
    engine: Rc<Engine<C, E>>,
    listener: std::net::TcpListener,
    asks: flume::Receiver<ServingRequest>,
    stopping: watch::Sender<Option<Instant>>,
    grace: Duration,
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let listener = TcpListener::from_std(listener).wrap_err("can't listen for callers")?;
    log::info!(event = "started", host = &*engine.settings.host; "the daemon runs");
    tokio::task::spawn_local(answer_control_requests(engine.clone(), asks));
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
                            "a caller could not be accepted"
                        );
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        })
    };
    stop.await;
    let since = Instant::now();
    log::info!(
        event = "stopping", callers = engine.callers.get();
        "a planned stop begins"
    );
    stopping.send_replace(Some(since));
    let last = since + grace.mul_f64(STOP_SHARE);
    let settled = since + engine.settings.stop_idle_after;
    while Instant::now() < last {
        if engine.callers.get() == 0 && Instant::now() >= settled {
            break;
        }
        tokio::time::sleep(STOP_LOOK_EVERY).await;
    }
    accepting.abort();
    log::info!(
        event = "stopped", callers_left = engine.callers.get(),
        took_ms = since.elapsed().as_millis() as u64;
        "the daemon ends"
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

/// Starts a thread for one duty, with a runtime of its own.
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
        log::error!(event = "thread_failed"; "a thread ended by a panic");
    }
}
