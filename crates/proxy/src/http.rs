//! What the load balancer and operators read over HTTP: whether the daemon takes callers, and metrics.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{control::control_view::ControlView, metrics::ProxyMetrics};

/// How long a peer may take to send a request's head.
const HEADER_WITHIN: Duration = Duration::from_secs(5);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The pause between two attempts to listen on an address that is still taken.
const BIND_PAUSE: Duration = Duration::from_secs(1);

/// What the HTTP thread needs.
pub struct HttpParts {
    /// Where the load balancer asks.
    pub ready_listener: std::net::TcpListener,
    /// Where operators read metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// What is believed now.
    pub control_view: watch::Receiver<Arc<ControlView>>,
    /// When the stop began.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// What is counted.
    pub metrics: ProxyMetrics,
}

#[derive(Clone)]
struct Shared {
    control_view: watch::Receiver<Arc<ControlView>>,
    stopping: watch::Receiver<Option<Instant>>,
    metrics: ProxyMetrics,
}

/// Serves until the daemon's process ends.
pub async fn serve_http(parts: HttpParts) {
    let shared = Shared {
        control_view: parts.control_view,
        stopping: parts.stopping,
        metrics: parts.metrics,
    };
    if let Some(address) = parts.metrics_listen {
        tokio::task::spawn_local(listen_for_metrics(address, shared.clone()));
    }
    let mut control_view = shared.control_view.clone();
    let serving = async {
        match TcpListener::from_std(parts.ready_listener) {
            Ok(listener) => accept(listener, shared, answer_ready).await,
            Err(error) => log::error!(
                event = "listen_failed", why = error.to_string().as_str();
                "can't answer the load balancer"
            ),
        }
    };
    tokio::select! {
        () = serving => {}
        // The control thread drops the control view when it has stopped, last of all.
        () = async { while control_view.changed().await.is_ok() {} } => {}
    }
}

type Answer = fn(&Shared) -> (StatusCode, String);

fn answer_ready(shared: &Shared) -> (StatusCode, String) {
    if shared.stopping.borrow().is_some() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping".to_owned());
    }
    if shared.control_view.borrow().is_ready() {
        (StatusCode::OK, "ready".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet".to_owned())
    }
}

fn answer_metrics(shared: &Shared) -> (StatusCode, String) {
    (StatusCode::OK, shared.metrics.render())
}

/// Metrics are worth waiting for an address that a former process may still hold.
async fn listen_for_metrics(address: SocketAddr, shared: Shared) {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return accept(listener, shared, answer_metrics).await,
            Err(error) => log::warn!(
                event = "listen_failed", address = address.to_string().as_str(),
                why = error.to_string().as_str();
                "can't listen for readers of metrics yet"
            ),
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

async fn accept(listener: TcpListener, shared: Shared, answer: Answer) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, shared.clone(), answer));
            }
            Err(error) => {
                log::warn!(
                    event = "accept_failed", why = error.to_string().as_str();
                    "an HTTP connection could not be accepted"
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Shared, answer: Answer) {
    let service = service_fn(move |_request: Request<Incoming>| {
        let (status, text) = answer(&shared);
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_WITHIN)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(
            event = "http_connection_ended", why = error.to_string().as_str();
            "an HTTP connection ended with an error"
        );
    }
}
