//! Socket options of a daemon's connections, so that dead peers are detected and abandoned data is not delivered late.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a connection may be idle before the kernel sends a keepalive probe.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(2);
/// The interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent data may stay unacknowledged before the connection is closed. The sum of the idle time and the probes,
/// so that a dead peer is detected equally fast with and without data in transit.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Bounds how long a connection stays open after its peer has died or become unreachable.
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
        // The connection still works, but a dead peer is detected late.
        log::debug!(
            event = "keepalive_unset", why = error.to_string().as_str();
            "failed to set the keepalive options of a connection"
        );
    }
}

/// Makes the kernel discard undelivered data when the connection is closed or the process ends.
///
/// After a graceful close the kernel would still deliver the data when a partition ends: a write could run after its
/// caller received the error that its outcome is in doubt and wrote again. See `docs/PLATFORM.md`, "Verdicts".
///
/// Fails if the operating system refuses the socket option.
pub fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
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
