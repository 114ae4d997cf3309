//! A path between one machine and one of the platform's addresses, which can be cut.
//!
//! While the path is cut, bytes are held in both directions. When the cut ends, held bytes are delivered, as the system's
//! TCP does by sending them again, unless their sender has reset the connection meanwhile: then they are lost. A
//! connection opened during a cut would hang before its first byte, so nothing of it is ever delivered.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Called with the bytes that a machine sent, before they are passed on.
pub type Tap = dyn Fn(&[u8]) + Send + Sync;

pub struct Path {
    pub address: SocketAddr,
}

impl Path {
    pub fn start(to: SocketAddr, is_cut: Arc<AtomicBool>, tap: Arc<Tap>) -> Path {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for machine in listener.incoming().flatten() {
                let (is_cut, tap) = (is_cut.clone(), tap.clone());
                thread::spawn(move || pass(machine, to, is_cut, tap));
            }
        });
        Path { address }
    }
}

fn pass(machine: TcpStream, to: SocketAddr, is_cut: Arc<AtomicBool>, tap: Arc<Tap>) {
    if is_cut.load(Ordering::SeqCst) {
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = machine.shutdown(Shutdown::Both);
        return;
    }
    let Ok(platform) = TcpStream::connect(to) else { return };
    let _ = (machine.set_nodelay(true), platform.set_nodelay(true));
    let (Ok(machine_2), Ok(platform_2)) = (machine.try_clone(), platform.try_clone()) else {
        return;
    };
    let cut = is_cut.clone();
    let back = thread::spawn(move || pump(platform_2, machine_2, &cut, &|_| {}));
    pump(machine, platform, &is_cut, &*tap);
    let _ = back.join();
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool, tap: &dyn Fn(&[u8])) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(5)));
    let mut held = Vec::new();
    let mut is_over = false;
    let mut buffer = [0; 16 * 1024];
    loop {
        if is_over {
            thread::sleep(Duration::from_millis(5));
            // A sender that closes its side first and then resets the connection gives up what it has sent as well.
            if !matches!(from.take_error(), Ok(None)) {
                held.clear();
            }
        } else {
            match from.read(&mut buffer) {
                Ok(0) => is_over = true,
                Ok(read) => {
                    tap(&buffer[..read]);
                    held.extend_from_slice(&buffer[..read]);
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    // A reset: what is still on its way is lost.
                    held.clear();
                    is_over = true;
                }
            }
        }
        if is_cut.load(Ordering::SeqCst) {
            continue;
        }
        if !held.is_empty() && to.write_all(&held).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
        held.clear();
        if is_over {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
