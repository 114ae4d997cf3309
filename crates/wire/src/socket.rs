//! A caller's socket, with or without TLS.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_rustls::server::TlsStream;

/// A plain or encrypted TCP socket.
#[derive(Debug)]
pub enum CallerSocket {
    /// A socket without TLS.
    Plain(TcpStream),
    /// A socket with TLS.
    Tls(Box<TlsStream<TcpStream>>),
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            CallerSocket::Plain(socket) => Pin::new(socket).poll_read(context, buffer),
            CallerSocket::Tls(socket) => Pin::new(socket).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            CallerSocket::Plain(socket) => Pin::new(socket).poll_write(context, bytes),
            CallerSocket::Tls(socket) => Pin::new(socket).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            CallerSocket::Plain(socket) => Pin::new(socket).poll_flush(context),
            CallerSocket::Tls(socket) => Pin::new(socket).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            CallerSocket::Plain(socket) => Pin::new(socket).poll_shutdown(context),
            CallerSocket::Tls(socket) => Pin::new(socket).poll_shutdown(context),
        }
    }
}
