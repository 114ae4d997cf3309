//! Daemons as processes, started as the deploy file says, with the template of settings filled in.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("wardtiller-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a port that is free and that the system gives to nobody by itself, since the daemon binds it later.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() * 61 % 8_000) as u16;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst) % 2_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Daemon {
    pub fn start(
        folder: &Folder,
        number: usize,
        zone: &str,
        store: SocketAddr,
        orders: SocketAddr,
    ) -> Daemon {
        let host = format!("front-{zone}-{number}");
        let front: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let ready: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let regions = "holyoke-hall/neng,nashua-hall/neng,augusta-hall/neng";
        let text = format!(
            "[daemon]\nhost = {host}\navailability_zone = {zone}\nregions = {regions}\n\
             listen = {front}\nready_listen = {ready}\npeer_listen = 127.0.0.1:{}\n\
             metrics_listen = 127.0.0.1:{}\nstop_grace_ms = 6000\ndescriptors = 4200\n\n\
             [metadata]\naddress = {}\n\n[leadership]\norder_address = {}\n\n[limits]\n\n\
             [log]\nlevel = info\n",
            free_port(),
            free_port(),
            store,
            orders
        );
        let settings = folder.0.join(format!("{host}.ini"));
        fs::write(&settings, text).unwrap();
        let log = File::create(folder.0.join(format!("{host}.log"))).unwrap();
        let child = Command::new("target/release/wardtiller-fleet")
            .args(["run", "--settings-variable", "WARDTILLER_CONFIG"])
            .env("WARDTILLER_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/wardtiller-fleet can be started");
        Daemon { front, ready, child }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let question = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(question).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
