//! TLS negotiation with callers, with and without a configured certificate.

use std::sync::Arc;

use rustls::{
    ClientConfig, RootCertStore,
    pki_types::{CertificateDer, ServerName, pem::PemObject},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_rustls::{TlsAcceptor, TlsConnector};
use wire::{CallerStream, StartupRequest, tls_acceptor};

/// The `SSLRequest` message: its length and request code.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

fn startup_message() -> Vec<u8> {
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0app\0database\0shop\0\0");
    let mut message = (body.len() as u32 + 4).to_be_bytes().to_vec();
    message.extend_from_slice(&body);
    message
}

/// Accepts one connection and reads its start-up messages.
async fn accept_startup(
    acceptor: Option<Arc<TlsAcceptor>>,
) -> (std::net::SocketAddr, tokio::task::JoinHandle<Option<StartupRequest>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let serving = tokio::spawn(async move {
        let (socket, _) = listener.accept().await.expect("the caller connects");
        CallerStream::new(socket).start(acceptor.as_ref()).await.ok()
    });
    (address, serving)
}

#[tokio::test]
async fn tls_is_negotiated_with_a_certificate() {
    let certified = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()])
        .expect("a key pair is generated");
    let folder = std::env::temp_dir().join(format!("wardtiller-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let (certificate, key) = (folder.join("cert.pem"), folder.join("key.pem"));
    std::fs::write(&certificate, certified.cert.pem()).expect("written");
    std::fs::write(&key, certified.signing_key.serialize_pem()).expect("written");
    let acceptor = tls_acceptor(&certificate, &key).expect("the key belongs to the certificate");
    assert!(tls_acceptor(&key, &certificate).is_err(), "swapped files are rejected");
    let (address, serving) = accept_startup(Some(Arc::new(acceptor))).await;

    let mut socket = TcpStream::connect(address).await.expect("the listener accepts");
    socket.write_all(&SSL_REQUEST).await.expect("sent");
    assert_eq!(socket.read_u8().await.expect("an answer"), b'S');
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(&certificate).expect("readable")).expect("usable");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions are known")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("localhost").expect("a name");
    let mut encrypted =
        TlsConnector::from(Arc::new(config)).connect(name, socket).await.expect("a handshake");
    encrypted.write_all(&startup_message()).await.expect("sent");
    encrypted.flush().await.expect("sent");
    let started = serving.await.expect("the task completes");
    assert!(matches!(started, Some(StartupRequest::Session { tls: true, .. })), "{started:?}");
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[tokio::test]
async fn tls_is_refused_without_a_certificate() {
    let (address, serving) = accept_startup(None).await;
    let mut socket = TcpStream::connect(address).await.expect("the listener accepts");
    socket.write_all(&SSL_REQUEST).await.expect("sent");
    assert_eq!(socket.read_u8().await.expect("an answer"), b'N');
    socket.write_all(&startup_message()).await.expect("sent");
    let started = serving.await.expect("the task completes");
    match started {
        Some(StartupRequest::Session { parameters, tls: false }) => {
            assert_eq!(parameters.get("database").map(String::as_str), Some("shop"));
        }
        other => panic!("{other:?}"),
    }
}
