//! A network path from one daemon to one address, which can be cut and healed.
//!
//! While it is cut, packets of new connections are dropped, and what was sent on open ones is held up. After that it is
//! delivered, unless its sender has reset the connection by then; an orderly close does not take bytes back.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::record::Record;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

const BACKLOG: i32 = 128;
const POLL: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Link {
    listener: Arc<TcpListener>,
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    /// Connections that fill the queue while the path is cut, so that the kernel drops further opening packets.
    fillers: Arc<Mutex<Vec<TcpStream>>>,
    name: String,
    record: Record,
}

impl Link {
    pub fn start(name: &str, target: u16, record: Record) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("bound");
        listener.set_nonblocking(true).expect("a listener can be polled");
        let link = Link {
            listener: Arc::new(listener),
            address,
            is_cut: Arc::default(),
            fillers: Arc::default(),
            name: name.to_owned(),
            record,
        };
        let accepting = link.clone();
        std::thread::spawn(move || accepting.accept(target));
        link
    }

    pub fn port(&self) -> u16 {
        self.address.port()
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // SAFETY: the descriptor is an open listening socket; a repeated call changes its queue length.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = self.fillers.lock().unwrap();
        for _ in 0..3 {
            if let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(20))
            {
                fillers.push(filler);
            }
        }
        self.record.line(&format!("path {} is cut", self.name));
    }

    pub fn heal(&self) {
        // The connections in the queue are the fillers.
        while self.listener.accept().is_ok() {}
        self.fillers.lock().unwrap().clear();
        // SAFETY: as above.
        unsafe { listen(self.listener.as_raw_fd(), BACKLOG) };
        self.is_cut.store(false, Ordering::SeqCst);
        self.record.line(&format!("path {} is whole again", self.name));
    }

    fn accept(&self, target: u16) {
        loop {
            std::thread::sleep(Duration::from_millis(1));
            if self.is_cut.load(Ordering::SeqCst) {
                continue;
            }
            let Ok((near, _)) = self.listener.accept() else { continue };
            let Ok(far) = TcpStream::connect(("127.0.0.1", target)) else { continue };
            let _ = near.set_nonblocking(false);
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let copies = (near.try_clone(), far.try_clone());
            let (Ok(near_copy), Ok(far_copy)) = copies else { continue };
            let (up, down) = (self.clone(), self.clone());
            std::thread::spawn(move || up.copy(near, far, "to the platform"));
            std::thread::spawn(move || down.copy(far_copy, near_copy, "to the daemon"));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: &str) {
        let mut chunk = [0_u8; 16 * 1024];
        loop {
            let read = match from.read(&mut chunk) {
                Ok(read) => read,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            };
            let mut was_held = false;
            while self.is_cut.load(Ordering::SeqCst) {
                if !was_held {
                    self.record
                        .line(&format!("path {}: {read} bytes {direction} are held up", self.name));
                }
                was_held = true;
                std::thread::sleep(POLL);
            }
            if was_held && !matches!(from.take_error(), Ok(None)) {
                self.record
                    .line(&format!("path {}: the sender has reset, the bytes are lost", self.name));
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if was_held {
                self.record.line(&format!("path {}: {read} bytes {direction} arrive", self.name));
            }
            if read == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&chunk[..read]).is_err() {
                return;
            }
        }
    }
}
