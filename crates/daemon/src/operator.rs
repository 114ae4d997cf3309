//! The HTTP address for operators: metrics, health and the daemon's state.

use std::{net::SocketAddr, sync::Arc};

use axum::{
    Json, Router,
    extract::State,
    http::{StatusCode, header},
    response::IntoResponse,
    routing::get,
};
use tokio::net::TcpListener;

use crate::{
    context::Context,
    show::{ShowReport, show_report},
};

/// Serves operators until the runtime ends.
pub(crate) async fn serve_operators(context: Arc<Context>, listener: TcpListener) {
    let router = Router::new()
        .route("/metrics", get(metrics))
        .route("/health", get(async || "alive\n"))
        .route("/ready", get(ready))
        .route("/show", get(show))
        .with_state(context);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error = error.to_string().as_str(); "the HTTP server for operators failed");
    }
}

pub(crate) async fn bind_operators(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

async fn metrics(State(context): State<Arc<Context>>) -> impl IntoResponse {
    for group in context.held_groups() {
        let in_force = group.in_force.load();
        let name = group.id.to_string();
        let waiting: u32 = group.pools.iter().map(|pool| pool.waiting()).sum();
        context.metrics.waiting.with_label_values(&[&name]).set(i64::from(waiting));
        for (server, pool) in in_force.group.servers.iter().zip(&group.pools) {
            let (open, _) = pool.open_and_share();
            let labels = [name.as_str(), &*server.name];
            context.metrics.endpoint_connections.with_label_values(&labels).set(i64::from(open));
        }
    }
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], context.metrics.render())
}

/// Reports whether new callers are accepted. Load balancers should query this path.
async fn ready(State(context): State<Arc<Context>>) -> impl IntoResponse {
    if context.is_stopping() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if context.in_force.load().revision == 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    (StatusCode::OK, "ready\n")
}

async fn show(State(context): State<Arc<Context>>) -> Json<ShowReport> {
    Json(show_report(&context))
}
