//! Measures the slopes of `docs/CAPACITY.md` and prints its tables.
//!
//! Run it with `cargo run --release -p wardtiller --example sizing`. It takes about a minute.
#![allow(clippy::print_stdout, reason = "printing is what it is for")]

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
use peer::{Body, Envelope, GossipNote, GroupDemand};
use prost::Message;
use routing::{Candidate, ReadCriteria, route_read};
use wardtiller::{
    local_system::{LocalSystem, LocalSystemOptions},
    sizing::{
        ControlLimits, ControlPlan, PlannedSize, Slopes, control_costs, render_costs, spread_hops,
        store_load,
    },
};

fn main() -> eyre::Result<()> {
    println!("## Decisions\n");
    let owners_cpu_ns_per_member = measure_decisions();
    println!("\n## State\n");
    let member_bytes = measure_members();
    let check = measure_configuration();
    println!("\n## A running daemon\n");
    let duties = measure_duties()?;
    measure_callers()?;
    measure_spread()?;
    let slopes = Slopes {
        status_bytes: status_bytes(),
        status_cpu_us: duties.status_cpu_us,
        gossip_bytes: gossip_bytes(0),
        gossip_bytes_per_group: gossip_bytes(1) - gossip_bytes(0),
        gossip_cpu_us: duties.gossip_cpu_us,
        member_bytes,
        configured_group_bytes: check.bytes_per_group,
        owned_group_bytes: duties.owned_group_bytes,
        group_text_bytes: check.text_per_group,
        change_cpu_us_per_group: check.cpu_us_per_group,
        owners_cpu_ns_per_member,
    };
    println!("\nslopes: {slopes:#?}");
    print_plans(&slopes);
    Ok(())
}

fn print_plans(slopes: &Slopes) {
    let today = ControlPlan {
        name: "the defaults",
        owners: 8.0,
        heartbeat_s: 0.25,
        gossip_s: 1.0,
        watchers_per_zone: 2.0,
        host_list_s: 1.0,
    };
    let fleet = ControlPlan {
        name: "the fleet's settings",
        owners: 3.0,
        heartbeat_s: 2.0,
        gossip_s: 2.0,
        watchers_per_zone: 2.0,
        host_list_s: 5.0,
    };
    let size = PlannedSize::default();
    for plan in [today, fleet] {
        println!("\n### Control on one daemon, with {}\n", plan.name);
        let costs = control_costs(&size, &plan, slopes);
        println!("{}", render_costs(&costs, &ControlLimits::default()));
        println!("{:#?}", store_load(&size, &plan));
    }
    println!("hops of news at fan-out 3: {}", spread_hops(size.daemons, 3.0));
}

/// Returns the time of one call in nanoseconds, over enough calls to be steady.
fn time_ns(mut call: impl FnMut()) -> f64 {
    let mut calls = 1_u32;
    loop {
        let began = Instant::now();
        for _ in 0..calls {
            call();
        }
        let elapsed = began.elapsed();
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

fn measure_decisions() -> f64 {
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
        let mut turn = 0;
        let ns = time_ns(|| {
            turn += 1;
            let question = ReadCriteria {
                point: LogPoint::new(1, 50),
                has_written: true,
                policy: ReadPolicy::Cost,
                sequence: turn,
                avoid: None,
            };
            black_box(route_read(&question, black_box(&candidates)));
        });
        println!("route a read among {servers} servers: {ns:.0} ns");
    }
    let group = GroupId::new("orders-db", "north");
    let mut per_member = 0.0;
    for count in [40, 400, 4_000] {
        let listed = members(count);
        let ns = time_ns(|| {
            black_box(select_owners(&group, black_box(&listed), 3));
        });
        per_member = ns / count as f64;
        println!("owners of a group among {count} daemons: {:.1} us", ns / 1e3);
    }
    per_member
}

/// Returns the memory that the process has resident, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 =
        statm.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

struct CheckSlopes {
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

fn measure_configuration() -> CheckSlopes {
    let mut slopes =
        CheckSlopes { bytes_per_group: 0.0, text_per_group: 0.0, cpu_us_per_group: 0.0 };
    for groups in [220, 2_200, 22_000] {
        let text = configuration_text(groups);
        let before = resident_bytes();
        let began = Instant::now();
        let configuration = check_configuration("plan", &text).expect("no mistakes");
        let elapsed = began.elapsed();
        let bytes = resident_bytes() - before;
        let chunks = split(&text);
        let largest = chunks.iter().map(|chunk| chunk.text.len()).max().unwrap_or(0);
        let parts: Vec<ConfigurationPart> =
            chunks.iter().map(|chunk| read_part(&chunk.text).expect("no mistakes")).collect();
        // A change means to read the one chunk that changed and to join it with the others.
        let change_us = time_ns(|| {
            let changed = read_part(&chunks[0].text).expect("no mistakes");
            black_box(Configuration::join(parts.iter().skip(1).chain([&changed])));
        }) / 1e3;
        slopes.bytes_per_group = bytes / groups as f64;
        slopes.text_per_group = text.len() as f64 / groups as f64;
        slopes.cpu_us_per_group = change_us / groups as f64;
        println!(
            "{groups} groups: {:.1} MB of text in {} chunks of at most {largest} bytes, checked in \
             {:.1} ms, a change taken over in {:.1} ms, {:.1} MB in memory",
            text.len() as f64 / 1e6,
            chunks.len(),
            elapsed.as_secs_f64() * 1e3,
            change_us / 1e3,
            bytes / 1e6
        );
        black_box(configuration);
    }
    slopes
}

fn measure_members() -> f64 {
    let before = resident_bytes();
    let listed: Vec<Vec<Member>> = (0..50).map(|_| members(4_000)).collect();
    let per_member = (resident_bytes() - before) / (50.0 * 4_000.0);
    println!("a daemon in the member list: {per_member:.0} bytes");
    black_box(listed);
    per_member
}

/// The bytes of a status question and its answer, with TCP and IP headers.
fn status_bytes() -> f64 {
    const HEADERS: usize = 40;
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
    let question = 5 + "SELECT wardtiller_status()".len() + 1;
    let description = 7 + "wardtiller".len() + 1 + 18;
    let answer = description + 11 + json + 14 + 6;
    // A question, an answer, and an acknowledgement of each.
    let bytes = question + answer + 4 * HEADERS;
    println!("a status question and its answer: {bytes} bytes, {json} of them the status");
    bytes as f64
}

/// The bytes of one note between daemons, with its frame and headers.
fn gossip_bytes(groups: usize) -> f64 {
    const HEADERS: usize = 80;
    let demand = GroupDemand {
        service: "orders-db".to_owned(),
        group: "north".to_owned(),
        wanted: vec![4, 4, 4],
    };
    let note = GossipNote {
        host: "entry-hofdi-1".to_owned(),
        revision: 1_000_000,
        host_list_version: 1_000_000,
        stopping: false,
        demands: vec![demand; groups],
    };
    let envelope = Envelope { request_id: 100_000, body: Some(Body::Gossip(note)) };
    (envelope.encoded_len() + 4 + HEADERS) as f64
}

/// Returns the processor time of each thread name, in seconds.
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

struct DutySlopes {
    status_cpu_us: f64,
    gossip_cpu_us: f64,
    owned_group_bytes: f64,
}

/// Groups and daemons of the system whose duties are timed.
const TIMED_GROUPS: usize = 24;
const TIMED_DAEMONS: usize = 3;
const TIMED: Duration = Duration::from_secs(10);

fn measure_duties() -> eyre::Result<DutySlopes> {
    let text = configuration_text(TIMED_GROUPS) + "[failover]\nheartbeat_ms = 50\n";
    let options = LocalSystemOptions::default()
        .daemons(TIMED_DAEMONS)
        .adjust(|settings| settings.control.gossip_ms = 20);
    let before_bytes = resident_bytes();
    let system = LocalSystem::start(&text, &options)?;
    let grown = resident_bytes() - before_bytes;
    let before = thread_seconds();
    std::thread::sleep(TIMED);
    let after = thread_seconds();
    let spent = |name: &str| {
        after.get(name).copied().unwrap_or(0.0) - before.get(name).copied().unwrap_or(0.0)
    };
    let asks = (TIMED_DAEMONS * TIMED_GROUPS * 3) as f64 * TIMED.as_secs_f64() / 0.05;
    let exchanges = TIMED_DAEMONS as f64 * TIMED.as_secs_f64() / 0.02 * 2.0;
    let slopes = DutySlopes {
        status_cpu_us: spent("watch") * 1e6 / asks,
        gossip_cpu_us: spent("control") * 1e6 / exchanges,
        // The stand-ins' memory is in it too, so this is an upper bound.
        owned_group_bytes: grown / (TIMED_DAEMONS * TIMED_GROUPS) as f64,
    };
    println!(
        "{TIMED_DAEMONS} daemons, {TIMED_GROUPS} groups of 3 servers each, {} s: watch threads \
         {:.2} s for {asks:.0} status questions, control threads {:.2} s for {exchanges:.0} notes",
        TIMED.as_secs(),
        spent("watch"),
        spent("control"),
    );
    println!(
        "memory of an owned group, its stand-in servers included: at most {:.0} KB",
        slopes.owned_group_bytes / 1e3
    );
    system.stop();
    Ok(slopes)
}

/// Applies changes and waits until each is in force on every daemon.
fn measure_spread() -> eyre::Result<()> {
    const CHANGES: u64 = 10;
    for daemons in [4, 8, 16] {
        let options = LocalSystemOptions::default()
            .daemons(daemons)
            .adjust(|settings| settings.platform.watchers = 1);
        let mut system = LocalSystem::start(&configuration_text(1), &options)?;
        let mut longest = Duration::ZERO;
        let mut total = Duration::ZERO;
        for change in 1..=CHANGES {
            let wanted = format!("staleness_ms = {}", 5_000 + change);
            let text = system.configuration_text.replace("staleness_ms = 5000", &wanted);
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

/// Connects idle callers, which cost this process nothing on their own side, and watches memory.
fn measure_callers() -> eyre::Result<()> {
    const CALLERS: usize = 4_000;
    let system =
        LocalSystem::start(&configuration_text(1), &LocalSystemOptions::default().daemons(1))?;
    let address = system.caller_addresses()[0];
    let mut callers = Vec::with_capacity(CALLERS);
    callers.push(open_idle(address)?);
    let before = resident_bytes();
    let began = Instant::now();
    for _ in 1..CALLERS {
        callers.push(open_idle(address)?);
    }
    let elapsed = began.elapsed().as_secs_f64();
    let per_caller = (resident_bytes() - before) / (CALLERS - 1) as f64;
    println!(
        "{CALLERS} idle callers of one daemon: {:.1} KB each, {:.0} log-ins/s one after the other",
        per_caller / 1e3,
        (CALLERS - 1) as f64 / elapsed
    );
    Ok(())
}

/// Logs in and reads until the daemon is ready for a request.
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
        // `ReadyForQuery` is the last message, five bytes behind its letter.
        if length == 0 || answer[..length].ends_with(&[b'Z', 0, 0, 0, 5, b'I']) {
            return Ok(socket);
        }
    }
}
