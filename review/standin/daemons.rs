//! The project's daemons as processes, started as the deploy file says.

use std::{
    fs::OpenOptions,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// What the platform fills into the settings template for one machine.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub zones: Vec<String>,
    pub region: String,
    pub store_port: u16,
    pub orders_port: u16,
    pub grace_s: u64,
}

pub struct Daemon {
    pub name: String,
    pub front: u16,
    pub ready: u16,
    child: Child,
}

/// Starts the program of the deploy file with a settings file.
fn start_program(repository: &Path, folder: &Path, name: &str) -> Result<Child, String> {
    let deploy = read(&repository.join("deploy/system.toml"))?;
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .map(|it| it.trim_matches('"').to_owned())
        .ok_or("the deploy file has no run line")?;
    let mut words = run.split(' ');
    let program = words.next().ok_or("the run line is empty")?;
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log_path(folder, name))
        .map_err(|it| it.to_string())?;
    let errors = log.try_clone().map_err(|it| it.to_string())?;
    let mut command = Command::new(repository.join(program));
    command.args(words).current_dir(repository).env_clear();
    for variable in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(variable) {
            command.env(variable, value);
        }
    }
    command
        .env("WARDTILLER_CONFIG", settings_path(folder, name))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("{program}: {error}"))
}

impl Daemon {
    pub fn start(repository: &Path, folder: &Path, machine: &Machine) -> Result<Daemon, String> {
        let ports = free_ports(4);
        let template = read(&repository.join("deploy/host.ini"))?;
        let settings = settings_path(folder, &machine.name);
        let text = fill(&template, machine, &ports);
        if text.contains("{{") {
            return Err(format!("the settings template has a gap that is not known here:\n{text}"));
        }
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let child = start_program(repository, folder, &machine.name)?;
        Ok(Daemon { name: machine.name.clone(), front: ports[0], ready: ports[1], child })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

fn settings_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.ini"))
}

fn log_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Returns free ports below those that the system gives to outgoing connections, which would take one before its daemon
/// listens. Runs at the same time begin at different ones.
fn free_ports(count: usize) -> Vec<u16> {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 300) as u16 * 64;
    let mut ports = Vec::new();
    while ports.len() < count {
        let port = first + TRIED.fetch_add(1, Ordering::SeqCst);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
        }
    }
    ports
}

/// Fills the template as the platform does, with the bounds of a small installation.
fn fill(template: &str, machine: &Machine, ports: &[u16]) -> String {
    let zones: Vec<String> =
        machine.zones.iter().map(|zone| format!("{zone}/{}", machine.region)).collect();
    let mut text = template.replace("{{#zones}}{{@}}/{{.}}{{,}}{{/zones}}", &zones.join(","));
    // No quotas are in force in this installation.
    for name in ["quota_window_s", "quota_overage", "quota_slack"] {
        let (open, close) = (format!("{{{{#bounds.{name}}}}}"), format!("{{{{/bounds.{name}}}}}"));
        if let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) {
            text.replace_range(from..to + close.len(), "");
        }
    }
    let values = [
        ("node_name", machine.name.clone()),
        ("zone", machine.zone.clone()),
        ("ip", "127.0.0.1".to_owned()),
        ("listen.front", format!("127.0.0.1:{}", ports[0])),
        ("listen.ready", format!("127.0.0.1:{}", ports[1])),
        ("port_range.0", ports[2].to_string()),
        ("port_range.1", ports[3].to_string()),
        ("bounds.grace_s", machine.grace_s.to_string()),
        ("limits.max_fds", "4200".to_owned()),
        ("platform.address", format!("127.0.0.1:{}", machine.store_port)),
        ("cloud_api.address", format!("127.0.0.1:{}", machine.orders_port)),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}
