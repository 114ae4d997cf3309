//! The HTTP servers of a daemon: readiness checks for the load balancer and metrics for operators.

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

/// The time within which a client must send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The delay between attempts to listen on an address that is in use.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The inputs of the HTTP thread.
pub struct HttpParts {
    /// The listener for the load balancer's readiness checks.
    pub ready_listener: std::net::TcpListener,
    /// The address on which metrics are served; `None` to serve none.
    pub metrics_listen: Option<SocketAddr>,
    /// The current control view.
    pub control_view: watch::Receiver<Arc<ControlView>>,
    /// When the daemon began to stop; `None` while it runs.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// The metrics to serve.
    pub metrics: ProxyMetrics,
}

#[derive(Clone)]
struct Shared {
    control_view: watch::Receiver<Arc<ControlView>>,
    stopping: watch::Receiver<Option<Instant>>,
    metrics: ProxyMetrics,
}

/// Serves requests until the control thread has ended.
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
            Ok(listener) => serve_listener(listener, shared, respond_ready).await,
            Err(error) => log::error!(
                event = "listen_failed", why = error.to_string().as_str();
                "failed to listen for readiness checks"
            ),
        }
    };
    tokio::select! {
        () = serving => {}
        // The control thread drops its sender as its last step.
        () = async { while control_view.changed().await.is_ok() {} } => {}
    }
}

type Responder = fn(&Shared) -> (StatusCode, String);

fn respond_ready(shared: &Shared) -> (StatusCode, String) {
    if shared.stopping.borrow().is_some() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping".to_owned());
    }
    if shared.control_view.borrow().is_ready() {
        (StatusCode::OK, "ready".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet".to_owned())
    }
}

fn respond_metrics(shared: &Shared) -> (StatusCode, String) {
    (StatusCode::OK, shared.metrics.render())
}

/// Serves metrics. Retries until the address is free, since a previous process may still hold it.
async fn listen_for_metrics(address: SocketAddr, shared: Shared) {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return serve_listener(listener, shared, respond_metrics).await,
            Err(error) => log::warn!(
                event = "listen_failed", address = address.to_string().as_str(),
                why = error.to_string().as_str();
                "failed to listen for metrics requests; retrying"
            ),
        }
        tokio::time::sleep(BIND_RETRY_DELAY).await;
    }
}

async fn serve_listener(listener: TcpListener, shared: Shared, respond: Responder) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, shared.clone(), respond));
            }
            Err(error) => {
                log::warn!(
                    event = "accept_failed", why = error.to_string().as_str();
                    "failed to accept an HTTP connection"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Shared, respond: Responder) {
    let service = service_fn(move |_request: Request<Incoming>| {
        let (status, text) = respond(&shared);
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let result = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!(
            event = "http_connection_ended", why = error.to_string().as_str();
            "HTTP connection failed"
        );
    }
}
