//! Socket options of a daemon's connections, so that dead peers are noticed and abandoned data is not delivered late.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a connection may be idle before the kernel sends a keepalive probe.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(2);
/// The interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent data may stay unacknowledged before the connection is closed; as long as idle time plus probes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Bounds how long a connection stays open whose peer is gone or unreachable.
pub(crate) fn detect_dead_peer(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    let result = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = result {
        // The connection still works; a dead peer is only noticed late.
        log::debug!(
            event = "keepalive_unset", why = error.to_string().as_str();
            "failed to set the keepalive options of a connection"
        );
    }
}

/// Makes the end of a connection, also by the end of the process, discard data that the peer has not received.
///
/// After a graceful close the kernel would still deliver it when a partition heals: a write could run after its caller
/// was told that its outcome is in doubt and has written again. See `docs/PLATFORM.md`, "Verdicts".
pub(crate) fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Makes a connection without pending work close gracefully instead of by a reset.
pub(crate) fn close_gracefully(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(None) {
        // The peer sees a reset instead of a graceful close; no data is lost.
        log::debug!(
            event = "linger_unset", why = error.to_string().as_str();
            "failed to close a connection gracefully; it ends by a reset"
        );
    }
}
