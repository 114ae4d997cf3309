//! What holds for every connection that a daemon keeps: it does not stay silent for good unnoticed, and what was given
//! up on it is not delivered later.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a connection may rest before the kernel asks whether the other end still has it; a resting
/// connection costs one small packet each way in this time.
const PROBED_AFTER: Duration = Duration::from_secs(2);
/// The pause between such questions.
const PROBED_EVERY: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection is broken, 4 s after it fell silent.
const UNANSWERED_PROBES: u32 = 2;
/// How long what was sent may stay without the other end's receipt before the connection is broken; far
/// beyond any round trip, and as long as the probes of one at rest take.
const RECEIPT_WITHIN: Duration = Duration::from_secs(4);

/// Bounds how long a connection whose other end is gone or cut off may look alive.
pub(crate) fn detect_dead_peer(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(PROBED_AFTER)
        .with_interval(PROBED_EVERY)
        .with_retries(UNANSWERED_PROBES);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(RECEIPT_WITHIN)));
    if let Err(error) = set {
        // The connection works without; only its end may be noticed late.
        log::debug!(
            event = "keepalive_unset", why = error.to_string().as_str();
            "a connection's silence is not bounded"
        );
    }
}

/// Has a connection that ends in the middle of something, or with its process, drop what the other end has not received.
///
/// A connection that is closed in order goes on sending it, also when a partition holds it up for seconds: a write would
/// run after its caller was told that its outcome is in doubt and has written anew. See `docs/PLATFORM.md`, "Verdicts".
pub(crate) fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Has a connection on which nothing is under way end in order.
pub(crate) fn close_gracefully(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(None) {
        // The other end sees a reset in place of an end; nothing is lost by it.
        log::debug!(
            event = "linger_unset", why = error.to_string().as_str();
            "a connection ends by a reset"
        );
    }
}
