//! Measures the unit costs of the capacity model in `docs/CAPACITY.md` and prints its tables.
//!
//! Run it with `cargo run --release -p wardtiller --example sizing`. It takes about a minute.
#![allow(clippy::print_stdout, reason = "the example prints its results")]

use std::{
    collections::BTreeMap,
    hint::black_box,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use config::{Configuration, ConfigurationPart, ReadPolicy, check_configuration, read_part, split};
use membership::{Member, MemberState, select_owners};
use model::{GroupId, LogPoint, Name, ServerId};
use peer::{Body, Envelope, GossipMessage, GroupDemand};
use prost::Message;
use routing::{Candidate, ReadCriteria, route_read};
use wardtiller::{
    local_system::{LocalSystem, LocalSystemOptions},
    sizing::{
        ControlLimits, ControlPlan, PlannedSize, UnitCosts, broadcast_hops, control_costs,
        render_costs, store_load,
    },
};

fn main() -> eyre::Result<()> {
    println!("## Routing and ownership\n");
    let owners_cpu_ns_per_member = measure_routing_and_ownership();
    println!("\n## State\n");
    let member_bytes = measure_members();
    let configuration_costs = measure_configuration();
    println!("\n## A running daemon\n");
    let control = measure_control_work()?;
    measure_callers()?;
    measure_change_propagation()?;
    let unit_costs = UnitCosts {
        status_bytes: status_bytes(),
        status_cpu_us: control.status_cpu_us,
        gossip_bytes: gossip_bytes(0),
        gossip_bytes_per_group: gossip_bytes(1) - gossip_bytes(0),
        gossip_cpu_us: control.gossip_cpu_us,
        member_bytes,
        configured_group_bytes: configuration_costs.bytes_per_group,
        owned_group_bytes: control.owned_group_bytes,
        group_text_bytes: configuration_costs.text_per_group,
        change_cpu_us_per_group: configuration_costs.cpu_us_per_group,
        owners_cpu_ns_per_member,
    };
    println!("\nunit costs: {unit_costs:#?}");
    print_plans(&unit_costs);
    Ok(())
}

fn print_plans(unit_costs: &UnitCosts) {
    let default_plan = ControlPlan {
        name: "the defaults",
        owners: 8.0,
        heartbeat_s: 0.25,
        gossip_s: 1.0,
        watchers_per_zone: 2.0,
        host_list_s: 1.0,
    };
    let fleet_plan = ControlPlan {
        name: "the fleet's settings",
        owners: 3.0,
        heartbeat_s: 2.0,
        gossip_s: 2.0,
        watchers_per_zone: 2.0,
        host_list_s: 5.0,
    };
    let size = PlannedSize::default();
    for plan in [default_plan, fleet_plan] {
        println!("\n### Control on one daemon, with {}\n", plan.name);
        let costs = control_costs(&size, &plan, unit_costs);
        println!("{}", render_costs(&costs, &ControlLimits::default()));
        println!("{:#?}", store_load(&size, &plan));
    }
    println!("broadcast hops at fan-out 3: {}", broadcast_hops(size.daemons, 3.0));
}

/// Returns the average time of one call in nanoseconds, over at least 200 ms of calls.
fn time_ns(mut call: impl FnMut()) -> f64 {
    let mut calls = 1_u32;
    loop {
        let started_at = Instant::now();
        for _ in 0..calls {
            call();
        }
        let elapsed = started_at.elapsed();
        if elapsed > Duration::from_millis(200) {
            return elapsed.as_nanos() as f64 / f64::from(calls);
        }
        calls = calls.saturating_mul(2);
    }
}

fn members(count: usize) -> Vec<Member> {
    let member = |index: usize| {
        let host = Name::from(format!("entry-{index}"));
        let zone = Name::from(format!("zone-{}", index % 32));
        let address = SocketAddr::from(([10, 0, (index / 256) as u8, (index % 256) as u8], 6433));
        Member::new(host, zone, address, MemberState::Live)
    };
    (0..count).map(member).collect()
}

fn measure_routing_and_ownership() -> f64 {
    let candidate = |server: u16| Candidate {
        server: ServerId(server),
        usable: true,
        primary: server == 0,
        applied: LogPoint::new(1, 100),
        in_flight: u32::from(server),
        slots: 3,
        latency_us: 500,
        same_zone: server == 1,
    };
    for servers in [3, 5, 15] {
        let candidates: Vec<Candidate> = (0..servers).map(candidate).collect();
        let mut sequence = 0;
        let ns = time_ns(|| {
            sequence += 1;
            let criteria = ReadCriteria {
                point: LogPoint::new(1, 50),
                has_written: true,
                policy: ReadPolicy::Cost,
                sequence,
                avoid: None,
            };
            black_box(route_read(&criteria, black_box(&candidates)));
        });
        println!("route a read among {servers} servers: {ns:.0} ns");
    }
    let group = GroupId::new("orders-db", "north");
    let mut per_member = 0.0;
    for count in [40, 400, 4_000] {
        let member_list = members(count);
        let ns = time_ns(|| {
            black_box(select_owners(&group, black_box(&member_list), 3));
        });
        per_member = ns / count as f64;
        println!("owners of a group among {count} daemons: {:.1} us", ns / 1e3);
    }
    per_member
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 =
        statm.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

struct ConfigurationUnitCosts {
    bytes_per_group: f64,
    text_per_group: f64,
    cpu_us_per_group: f64,
}

fn configuration_text(groups: usize) -> String {
    let mut text = String::from("[user app]\n");
    for group in 0..groups {
        text.push_str(&format!(
            "[service service-{group}]\nacknowledge = majority\n\
             [kind service-{group}/menu]\nstaleness_ms = 5000\n\
             [group service-{group}/north]\nprimary = a\nconnections = 25\n"
        ));
        for server in 0..3 {
            let name = ["a", "b", "c"][server];
            text.push_str(&format!(
                "[server service-{group}/north/{name}]\naddress = 10.{server}.{}.{}:5432\n\
                 availability_zone = zone-{server}\n",
                group / 256,
                group % 256
            ));
        }
    }
    text
}

fn measure_configuration() -> ConfigurationUnitCosts {
    let mut unit_costs =
        ConfigurationUnitCosts { bytes_per_group: 0.0, text_per_group: 0.0, cpu_us_per_group: 0.0 };
    for groups in [220, 2_200, 22_000] {
        let text = configuration_text(groups);
        let before = resident_bytes();
        let started_at = Instant::now();
        let configuration = check_configuration("plan", &text).expect("no mistakes");
        let elapsed = started_at.elapsed();
        let bytes = resident_bytes() - before;
        let chunks = split(&text);
        let largest = chunks.iter().map(|chunk| chunk.text.len()).max().unwrap_or(0);
        let parts: Vec<ConfigurationPart> =
            chunks.iter().map(|chunk| read_part(&chunk.text).expect("no mistakes")).collect();
        // Applying a change parses the changed chunk and joins it with the others.
        let change_us = time_ns(|| {
            let changed = read_part(&chunks[0].text).expect("no mistakes");
            black_box(Configuration::from_parts(parts.iter().skip(1).chain([&changed])));
        }) / 1e3;
        unit_costs.bytes_per_group = bytes / groups as f64;
        unit_costs.text_per_group = text.len() as f64 / groups as f64;
        unit_costs.cpu_us_per_group = change_us / groups as f64;
        println!(
            "{groups} groups: {:.1} MB of text in {} chunks of at most {largest} bytes, checked in \
             {:.1} ms, a change applied in {:.1} ms, {:.1} MB in memory",
            text.len() as f64 / 1e6,
            chunks.len(),
            elapsed.as_secs_f64() * 1e3,
            change_us / 1e3,
            bytes / 1e6
        );
        black_box(configuration);
    }
    unit_costs
}

fn measure_members() -> f64 {
    let before = resident_bytes();
    let member_list: Vec<Vec<Member>> = (0..50).map(|_| members(4_000)).collect();
    let per_member = (resident_bytes() - before) / (50.0 * 4_000.0);
    println!("a daemon in the member list: {per_member:.0} bytes");
    black_box(member_list);
    per_member
}

/// Returns the bytes of a status request and its response, with TCP and IP headers.
fn status_bytes() -> f64 {
    const HEADER_BYTES: usize = 40;
    let status = model::ServerStatus {
        promised_term: model::Term(12),
        log_term: model::Term(12),
        held_position: model::Position(123_456_789),
        applied_position: model::Position(123_456_789),
        role: model::ServerRole::Replica,
        leader_silence_ms: Some(120),
        term_starts: vec![
            model::TermStart {
                term: model::Term(12),
                start: model::Position(123_000_000)
            };
            4
        ],
    };
    let json = serde_json::to_string(&status).expect("a status is plain data").len();
    let request = 5 + "SELECT wardtiller_status()".len() + 1;
    let description = 7 + "wardtiller".len() + 1 + 18;
    let response = description + 11 + json + 14 + 6;
    // A request, a response, and a TCP acknowledgement of each.
    let bytes = request + response + 4 * HEADER_BYTES;
    println!("a status request and its response: {bytes} bytes, {json} of them the status");
    bytes as f64
}

/// Returns the bytes of one gossip message with its frame and headers.
fn gossip_bytes(groups: usize) -> f64 {
    const HEADER_BYTES: usize = 80;
    let demand = GroupDemand {
        service: "orders-db".to_owned(),
        group: "north".to_owned(),
        wanted: vec![4, 4, 4],
    };
    let note = GossipMessage {
        host: "entry-hofdi-1".to_owned(),
        revision: 1_000_000,
        host_list_version: 1_000_000,
        stopping: false,
        demands: vec![demand; groups],
    };
    let envelope = Envelope { request_id: 100_000, body: Some(Body::Gossip(note)) };
    (envelope.encoded_len() + 4 + HEADER_BYTES) as f64
}

/// Returns the CPU time by thread name, in seconds.
fn thread_seconds() -> BTreeMap<String, f64> {
    const TICKS_PER_SECOND: f64 = 100.0;
    let mut seconds = BTreeMap::new();
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return seconds };
    for task in tasks.flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else { continue };
        let Some((head, tail)) = stat.rsplit_once(')') else { continue };
        let name = head.split_once('(').map_or("", |(_, name)| name).to_owned();
        let fields: Vec<&str> = tail.split_whitespace().collect();
        let ticks: f64 =
            [11, 12].iter().filter_map(|field| fields.get(*field)?.parse::<f64>().ok()).sum();
        *seconds.entry(name).or_insert(0.0) += ticks / TICKS_PER_SECOND;
    }
    seconds
}

struct ControlUnitCosts {
    status_cpu_us: f64,
    gossip_cpu_us: f64,
    owned_group_bytes: f64,
}

/// The number of groups in the measured system.
const MEASURED_GROUPS: usize = 24;
/// The number of daemons in the measured system.
const MEASURED_DAEMONS: usize = 3;
/// The duration of the measurement.
const MEASURED_PERIOD: Duration = Duration::from_secs(10);

fn measure_control_work() -> eyre::Result<ControlUnitCosts> {
    let text = configuration_text(MEASURED_GROUPS) + "[failover]\nheartbeat_ms = 50\n";
    let options = LocalSystemOptions::default()
        .daemons(MEASURED_DAEMONS)
        .adjust(|settings| settings.control.gossip_ms = 20);
    let before_bytes = resident_bytes();
    let system = LocalSystem::start(&text, &options)?;
    let added_bytes = resident_bytes() - before_bytes;
    let before = thread_seconds();
    std::thread::sleep(MEASURED_PERIOD);
    let after = thread_seconds();
    let cpu_seconds = |name: &str| {
        after.get(name).copied().unwrap_or(0.0) - before.get(name).copied().unwrap_or(0.0)
    };
    let status_requests =
        (MEASURED_DAEMONS * MEASURED_GROUPS * 3) as f64 * MEASURED_PERIOD.as_secs_f64() / 0.05;
    let exchanges = MEASURED_DAEMONS as f64 * MEASURED_PERIOD.as_secs_f64() / 0.02 * 2.0;
    let unit_costs = ControlUnitCosts {
        status_cpu_us: cpu_seconds("watch") * 1e6 / status_requests,
        gossip_cpu_us: cpu_seconds("control") * 1e6 / exchanges,
        // An upper bound, since it includes the memory of the stand-ins.
        owned_group_bytes: added_bytes / (MEASURED_DAEMONS * MEASURED_GROUPS) as f64,
    };
    println!(
        "{MEASURED_DAEMONS} daemons, {MEASURED_GROUPS} groups of 3 servers each, {} s: watch threads \
         {:.2} s for {status_requests:.0} status requests, control threads {:.2} s for {exchanges:.0} gossip exchanges",
        MEASURED_PERIOD.as_secs(),
        cpu_seconds("watch"),
        cpu_seconds("control"),
    );
    println!(
        "memory of an owned group, including its stand-in servers: at most {:.0} KB",
        unit_costs.owned_group_bytes / 1e3
    );
    system.stop();
    Ok(unit_costs)
}

/// Measures the time from accepting a change until it is in force on every daemon.
fn measure_change_propagation() -> eyre::Result<()> {
    const CHANGES: u64 = 10;
    for daemons in [4, 8, 16] {
        let options = LocalSystemOptions::default()
            .daemons(daemons)
            .adjust(|settings| settings.platform.watchers = 1);
        let mut system = LocalSystem::start(&configuration_text(1), &options)?;
        let mut longest = Duration::ZERO;
        let mut total = Duration::ZERO;
        for change in 1..=CHANGES {
            let staleness = format!("staleness_ms = {}", 5_000 + change);
            let text = system.configuration_text.replace("staleness_ms = 5000", &staleness);
            let revision = system.apply(&text, None)?;
            let accepted = Instant::now();
            let behind = |system: &LocalSystem| {
                system.daemons.iter().flatten().any(|daemon| daemon.show().revision < revision)
            };
            while behind(&system) {
                std::thread::sleep(Duration::from_millis(1));
            }
            longest = longest.max(accepted.elapsed());
            total += accepted.elapsed();
        }
        println!(
            "a change in force on all of {daemons} daemons, one watcher in each of 3 zones: {:.0} ms \
             on average, {:.0} ms at most",
            total.as_secs_f64() * 1e3 / CHANGES as f64,
            longest.as_secs_f64() * 1e3
        );
        system.stop();
    }
    Ok(())
}

/// Measures the memory per idle caller. The callers are plain sockets without buffers, so nearly all of the memory is the
/// daemon's.
fn measure_callers() -> eyre::Result<()> {
    const CALLERS: usize = 4_000;
    let system =
        LocalSystem::start(&configuration_text(1), &LocalSystemOptions::default().daemons(1))?;
    let address = system.caller_addresses()[0];
    let mut callers = Vec::with_capacity(CALLERS);
    callers.push(open_idle(address)?);
    let before = resident_bytes();
    let started_at = Instant::now();
    for _ in 1..CALLERS {
        callers.push(open_idle(address)?);
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    let per_caller = (resident_bytes() - before) / (CALLERS - 1) as f64;
    println!(
        "{CALLERS} idle callers of one daemon: {:.1} KB each, {:.0} sequential logins/s",
        per_caller / 1e3,
        (CALLERS - 1) as f64 / elapsed
    );
    Ok(())
}

/// Logs in and reads until the daemon accepts requests.
fn open_idle(address: SocketAddr) -> eyre::Result<TcpStream> {
    let mut body = Vec::new();
    body.extend_from_slice(&196_608_u32.to_be_bytes());
    body.extend_from_slice(b"user\0app\0database\0service-0\0\0");
    let mut socket = TcpStream::connect(address)?;
    socket.write_all(&(body.len() as u32 + 4).to_be_bytes())?;
    socket.write_all(&body)?;
    let mut answer = [0; 1_024];
    loop {
        let length = socket.read(&mut answer)?;
        // `ReadyForQuery` is the last message: its type byte and five bytes.
        if length == 0 || answer[..length].ends_with(&[b'Z', 0, 0, 0, 5, b'I']) {
            return Ok(socket);
        }
    }
}
