//! Keeps the newest accepted configuration and host list in force.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use config::{ChunkHash, Configuration, Head, read_part};
use membership::{Member, MemberState, is_watcher};
use model::Name;
use peer::{Body, ChunkAnswer, ChunkRequest, HeadRequest, HostListRequest};
use rand::seq::IndexedRandom;
use store::{Entry, HostEntry, HostList, HostRole, HostState, KeyValueStore};

use crate::{
    apply::{chunk_key, head_key},
    configuration_store::ParsedChunk,
    context::{Context, PeerUpdate},
    gossip::{call_peer, push_gossip},
    peers::Peers,
};

/// How often a daemon that does not watch the store reads the head, in case no gossip reaches it.
const UNWATCHED_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Pause after a failed call to the store.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// Updates from the store's threads for the configuration task.
pub(crate) enum StoreUpdate {
    /// The head changed.
    Head(Entry),
    /// The host list was read.
    Hosts(u64, Vec<HostEntry>),
}

/// Watches the head until the daemon stops. Runs on a thread of its own.
pub(crate) fn watch_head<P: KeyValueStore>(
    context: &Context,
    store: &P,
    updates: &flume::Sender<StoreUpdate>,
) {
    let key = head_key(&context.settings.platform.prefix);
    let wait = Duration::from_millis(context.settings.platform.watch_wait_ms);
    let mut version = 0;
    let mut first = true;
    while !context.is_stopping() {
        let watcher = is_store_watcher(context);
        // The first read, and the reads of a daemon that does not watch the store, return at once.
        let found =
            if watcher && !first { store.watch(&key, version, wait) } else { store.get(&key) };
        context.metrics.store_calls.with_label_values(&["head"]).inc();
        context.store_reachable.store(found.is_ok(), Ordering::Relaxed);
        match found {
            Ok(Some(entry)) if entry.version != version => {
                version = entry.version;
                if updates.send(StoreUpdate::Head(entry)).is_err() {
                    return;
                }
            }
            Ok(None) if watcher => pause(context, STORE_RETRY),
            Ok(_) => {}
            Err(error) => {
                log::debug!(error = error.to_string().as_str(); "the head can't be read");
                pause(context, STORE_RETRY);
                continue;
            }
        }
        first = false;
        if !watcher {
            pause(context, UNWATCHED_POLL_INTERVAL);
        }
    }
}

/// Reads the host list at an interval until the daemon stops. Runs on a thread of its own.
pub(crate) fn read_hosts<P: HostList>(
    context: &Context,
    store: &P,
    updates: &flume::Sender<StoreUpdate>,
) {
    let interval = Duration::from_millis(context.settings.platform.host_list_ms);
    while !context.is_stopping() {
        let first = context.members.load().all().is_empty();
        if first || is_store_watcher(context) {
            context.metrics.store_calls.with_label_values(&["hosts"]).inc();
            match store.hosts() {
                Ok((version, hosts)) => {
                    if updates.send(StoreUpdate::Hosts(version, hosts)).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::debug!(error = error.to_string().as_str(); "the host list can't be read");
                }
            }
        }
        pause(context, interval);
    }
}

fn is_store_watcher(context: &Context) -> bool {
    let count = usize::from(context.settings.platform.watchers);
    is_watcher(context.key, context.members.load().all(), count)
}

/// How often a pause checks whether the daemon stops.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

fn pause(context: &Context, duration: Duration) {
    let mut remaining = duration;
    while !remaining.is_zero() && !context.is_stopping() {
        let step = remaining.min(STOP_CHECK_INTERVAL);
        std::thread::sleep(step);
        remaining -= step;
    }
}

/// Applies updates from the store and from other daemons, one at a time.
pub(crate) async fn sync_configuration<P: KeyValueStore + 'static>(
    context: Arc<Context>,
    peers: Arc<Peers>,
    store: Arc<P>,
    store_updates: flume::Receiver<StoreUpdate>,
    updates: flume::Receiver<PeerUpdate>,
) {
    loop {
        tokio::select! {
            update = store_updates.recv_async() => match update {
                Ok(StoreUpdate::Head(entry)) => apply_head(&context, &peers, &store, &entry).await,
                Ok(StoreUpdate::Hosts(version, hosts)) => apply_hosts(&context, version, &hosts),
                Err(_) => return,
            },
            update = updates.recv_async() => match update {
                Ok(PeerUpdate::Configuration(address)) => {
                    fetch_configuration(&context, &peers, address).await;
                }
                Ok(PeerUpdate::HostList(address)) => fetch_hosts(&context, &peers, address).await,
                Ok(PeerUpdate::Installed) => {
                    let fanout = usize::from(context.settings.control.fanout);
                    push_gossip(&context, &peers, fanout).await;
                }
                Err(_) => return,
            },
        }
    }
}

type Chunks = HashMap<ChunkHash, Arc<ParsedChunk>>;

/// Applies a head read from the store. If many chunks are missing, they are requested from another
/// daemon first, to limit the load on the store when a whole availability zone starts.
async fn apply_head<P: KeyValueStore + 'static>(
    context: &Arc<Context>,
    peers: &Arc<Peers>,
    store: &Arc<P>,
    entry: &Entry,
) {
    let Ok(head) = serde_json::from_slice::<Head>(&entry.value) else {
        log::error!("the head in the store is malformed; keeping the configuration in force");
        return;
    };
    if head.revision <= context.in_force.load().revision {
        return;
    }
    let mut chunks = chunks_in_force(context, &head);
    if missing_chunks(&head, &chunks).len() > MAX_CHUNKS_FROM_STORE
        && let Some(address) = random_member(context)
    {
        fetch_chunks(context, peers, address, &head, &mut chunks).await;
    }
    for hash in missing_chunks(&head, &chunks) {
        let (store, key) = (store.clone(), chunk_key(&context.settings.platform.prefix, &hash));
        let found = tokio::task::spawn_blocking(move || store.get(&key)).await;
        context.metrics.store_calls.with_label_values(&["chunk"]).inc();
        let text = match found {
            Ok(Ok(Some(entry))) => String::from_utf8(entry.value).ok(),
            _ => None,
        };
        if !text.is_some_and(|text| add_chunk(&mut chunks, &hash, text)) {
            log::warn!(revision = head.revision; "a configuration chunk is not available yet");
            // The head can't be applied yet. Gossip may reach a daemon that has the missing chunks.
            push_gossip(context, peers, 1).await;
            return;
        }
    }
    install(context, head, chunks);
}

/// If more chunks than this are missing, they are requested from another daemon before the store.
const MAX_CHUNKS_FROM_STORE: usize = 2;

/// Returns the chunks of a head that the configuration in force contains.
fn chunks_in_force(context: &Context, head: &Head) -> Chunks {
    let chunks = head
        .chunks
        .iter()
        .filter_map(|hash| Some((hash.clone(), context.configuration_store.chunk(hash)?)));
    chunks.collect()
}

fn missing_chunks(head: &Head, chunks: &Chunks) -> Vec<ChunkHash> {
    head.chunks.iter().filter(|hash| !chunks.contains_key(hash)).cloned().collect()
}

/// Parses a chunk and adds it. Returns `false` if it does not match its hash or can't be parsed.
fn add_chunk(chunks: &mut Chunks, hash: &ChunkHash, text: String) -> bool {
    if ChunkHash::of(&text) != *hash {
        log::error!(chunk = hash.to_string().as_str(); "a chunk does not match its hash");
        return false;
    }
    match read_part(&text) {
        Ok(part) => {
            chunks.insert(hash.clone(), Arc::new(ParsedChunk { text, part }));
            true
        }
        Err(problems) => {
            let problems = problems.to_string();
            log::error!(
                problems = problems.as_str();
                "this version can't parse an accepted chunk; keeping the configuration in force"
            );
            false
        }
    }
}

fn random_member(context: &Context) -> Option<SocketAddr> {
    let members = context.members.load();
    let others: Vec<&Member> =
        members.all().iter().filter(|member| member.key != context.key).collect();
    others.choose(&mut rand::rng()).map(|member| member.peer_address)
}

/// Requests the missing chunks from another daemon, up to the first that it can't provide.
async fn fetch_chunks(
    context: &Context,
    peers: &Peers,
    address: SocketAddr,
    head: &Head,
    chunks: &mut Chunks,
) {
    for hash in missing_chunks(head, chunks) {
        let request = Body::ChunkRequest(ChunkRequest { hash: hash.0.clone() });
        let answer = call_peer(context, peers, address, request).await;
        let Some(Body::ChunkAnswer(ChunkAnswer { text: Some(text) })) = answer else { return };
        if !add_chunk(chunks, &hash, text) {
            return;
        }
    }
}

/// Fetches the configuration from another daemon. Requests only the chunks that this daemon lacks.
async fn fetch_configuration(context: &Arc<Context>, peers: &Arc<Peers>, address: SocketAddr) {
    let Some(Body::HeadAnswer(answer)) =
        call_peer(context, peers, address, Body::HeadRequest(HeadRequest {})).await
    else {
        return;
    };
    let Ok(head) = serde_json::from_slice::<Head>(&answer.head) else { return };
    if head.revision <= context.in_force.load().revision {
        return;
    }
    let mut chunks = chunks_in_force(context, &head);
    fetch_chunks(context, peers, address, &head, &mut chunks).await;
    if missing_chunks(&head, &chunks).is_empty() {
        install(context, head, chunks);
    }
}

fn install(context: &Context, head: Head, chunks: Chunks) {
    let parts = head.chunks.iter().filter_map(|hash| chunks.get(hash));
    let configuration = Configuration::from_parts(parts.map(|chunk| &chunk.part));
    let revision = head.revision;
    if context.install(revision, configuration) {
        context.configuration_store.replace(head, chunks);
        refresh_leaving(context);
        log::info!(revision; "a configuration is in force");
        // If the queue is full, the regular gossip spreads the revision.
        let _ = context.updates.try_send(PeerUpdate::Installed);
    }
}

fn apply_hosts(context: &Context, version: u64, hosts: &[HostEntry]) {
    let members = hosts
        .iter()
        .filter(|host| host.role == HostRole::Daemon)
        .map(|host| {
            let state = match host.state {
                HostState::Live => MemberState::Live,
                HostState::Leaving => MemberState::Leaving,
            };
            Member::new(host.host.clone(), host.availability_zone.clone(), host.address, state)
                .in_region(host.region.clone())
        })
        .collect();
    let leaving = hosts
        .iter()
        .filter(|host| host.role == HostRole::Endpoint && host.state == HostState::Leaving)
        .map(|host| host.address)
        .collect();
    replace_hosts(context, version, members, leaving);
}

fn replace_hosts(context: &Context, version: u64, members: Vec<Member>, leaving: Vec<SocketAddr>) {
    let current = context.members.load();
    if version > current.version() || current.all().is_empty() {
        context.change_members(|list| {
            list.replace(version, members.clone());
        });
        *context.listed_leaving.write() = leaving;
        refresh_leaving(context);
    }
}

async fn fetch_hosts(context: &Arc<Context>, peers: &Arc<Peers>, address: SocketAddr) {
    let request = Body::HostListRequest(HostListRequest {});
    let Some(Body::HostListAnswer(answer)) = call_peer(context, peers, address, request).await
    else {
        return;
    };
    let mut members = Vec::new();
    let mut leaving = Vec::new();
    for host in &answer.hosts {
        let Ok(address) = host.address.parse() else { continue };
        if host.endpoint {
            leaving.push(address);
            continue;
        }
        let state = if host.leaving { MemberState::Leaving } else { MemberState::Live };
        let zone = Name::from(host.availability_zone.as_str());
        let member = Member::new(Name::from(host.host.as_str()), zone, address, state);
        members.push(member.in_region(Name::from(host.region.as_str())));
    }
    replace_hosts(context, answer.version, members, leaving);
}

/// Updates the set of leaving endpoints from the host list and the configuration.
fn refresh_leaving(context: &Context) {
    let now = std::time::Instant::now();
    let in_force = context.in_force.load();
    let configured = in_force
        .configuration
        .groups
        .values()
        .flat_map(|group| &group.servers)
        .filter(|server| server.leaving)
        .map(|server| server.address);
    let all: Vec<SocketAddr> =
        configured.chain(context.listed_leaving.read().iter().copied()).collect();
    let mut leaving = context.leaving.write();
    for address in &all {
        leaving.mark_leaving(*address, now);
    }
    leaving.retain(|address| all.contains(address));
}
