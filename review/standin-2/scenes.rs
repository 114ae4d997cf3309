//! The scenes.

use std::{
    collections::HashSet,
    thread,
    time::{Duration, Instant},
};

use crate::{
    clients::Clients,
    daemons::{Daemon, Folder},
    group::{Commit, Group, SERVICE, State},
    json::Json,
    record::Record,
    store::Store,
};

const ZONES: [&str; 3] = ["holyoke-hall", "nashua-hall", "augusta-hall"];
const DATABASE: &str = "offers";
/// How long a server serves on after it said that it is draining: `drain_ms` and a second.
const DRAIN: Duration = Duration::from_millis(8_000);

fn configuration(sync_replicas: usize) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"offer-submit\",\"hostname\":\"{DATABASE}\",\"path_prefix\":\"/\",\
         \"route_type\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":1,\
         \"backend\":\"{SERVICE}\",\"attempts\":2}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":23,\"protocol\":\"own\",\"tls\":false,\
         \"sync_replicas\":{sync_replicas}}}],\"limits\":{{\"tx_idle_ms\":5000}}}}"
    )
}

struct World {
    store: Store,
    group: Group,
    daemons: Vec<Daemon>,
    clients: Clients,
    _folder: Folder,
}

impl World {
    fn start(record: &Record, sync_replicas: usize) -> Result<World, String> {
        let store = Store::start();
        let group = Group::start(sync_replicas, &store, record);
        store.put("op/config", &configuration(sync_replicas));
        let folder = Folder::create();
        let mut daemons = Vec::new();
        for number in 0..6 {
            let (zone, orders) = (ZONES[number % 3], group.orders_address);
            daemons.push(Daemon::start(&folder, number, zone, store.address, orders));
        }
        let clients = Clients::default();
        let world = World { store, group, daemons, clients, _folder: folder };
        let is_ready = || world.daemons.iter().all(Daemon::is_ready);
        until(Duration::from_secs(20), is_ready).ok_or("the daemons did not become ready")?;
        let has_record = || world.primary_of_record() == "i-1" && !world.promoter().is_empty();
        until(Duration::from_secs(10), has_record).ok_or("no record of the primary")?;
        for (number, daemon) in world.daemons.iter().enumerate() {
            let every = Duration::from_millis(40);
            world.clients.add(number, daemon.front, DATABASE, every, record);
        }
        thread::sleep(Duration::from_secs(2));
        Ok(world)
    }

    /// The primary of the record that the daemons keep in the store; empty while it is being changed.
    fn primary_of_record(&self) -> String {
        let record = self.store.get(&format!("wardtiller/groups/{SERVICE}")).unwrap_or_default();
        let record = Json::parse(&record).unwrap_or(Json::Null);
        match record.get("change") {
            Json::Null => record.get("primary").text().to_owned(),
            _ => String::new(),
        }
    }

    /// The host that holds the duty to promote.
    fn promoter(&self) -> String {
        let duty = self.store.get("wardtiller/duty").unwrap_or_default();
        duty.split(' ').next().unwrap_or("").to_owned()
    }

    fn drain(&self, id: &str) {
        self.group.state.0.lock().unwrap().server(id).unwrap().is_draining = true;
        self.group.record.line(&format!("server {id}: says that it is draining"));
    }
}

fn until(within: Duration, mut is_so: impl FnMut() -> bool) -> Option<()> {
    let give_up_at = Instant::now() + within;
    while Instant::now() < give_up_at {
        if is_so() {
            return Some(());
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Two servers of a service are replaced one after the other, the primary first. The interface for orders is slow for a
/// second: what arrives then takes 3.5 s. Nothing else goes wrong.
pub fn slow_order(record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    const SLOW: Duration = Duration::from_millis(3_500);
    let world = World::start(record, 0)?;
    let set_slow = |slow: Option<Duration>| {
        world.group.state.0.lock().unwrap().slow_orders = slow.filter(|_| has_trouble);
    };
    set_slow(Some(SLOW));
    let replacement = Replacement::begin(&world);
    thread::sleep(Duration::from_millis(1_200));
    set_slow(None);
    record.line("platform: not slow any more");
    let replacement = replacement.replace_second(&world)?;
    replacement.end(&world);
    Ok(world.find_stale_primary())
}

/// Two servers that are replaced one after the other.
struct Replacement {
    first_at: Instant,
    second: Option<(String, Instant)>,
}

impl Replacement {
    /// Drains the first primary.
    fn begin(world: &World) -> Replacement {
        world.drain("i-1");
        Replacement { first_at: Instant::now(), second: None }
    }

    /// Drains the primary that follows, and waits until that one is replaced as well.
    fn replace_second(self, world: &World) -> Result<Replacement, String> {
        let is_changed = |from: &[&str]| {
            let primary = world.primary_of_record();
            !primary.is_empty() && !from.contains(&primary.as_str())
        };
        let replaced = until(Duration::from_secs(10), || is_changed(&["i-1"]));
        replaced.ok_or("the primary was not replaced")?;
        let second = world.primary_of_record();
        world.group.record.line(&format!("store: the primary is {second}"));
        thread::sleep(Duration::from_millis(200));
        world.drain(&second);
        let second_at = Instant::now();
        let replaced = until(Duration::from_secs(10), || is_changed(&["i-1", &second]));
        replaced.ok_or("the second primary was not replaced")?;
        world.group.record.line(&format!("store: the primary is {}", world.primary_of_record()));
        Ok(Replacement { second: Some((second, second_at)), ..self })
    }

    /// Ends the drained servers, each after its time. New ones at their addresses take their logs.
    fn end(self, world: &World) {
        let (second, second_at) = self.second.expect("the second one is replaced before");
        let drained = [("i-1", "i-4", self.first_at), (&second, "i-5", second_at)];
        for (server, new, since) in drained {
            thread::sleep(DRAIN.saturating_sub(since.elapsed()));
            world.group.replace(server, new);
            let record = &world.group.record;
            record.line(&format!("server {server}: ends; {new} at its address takes its log"));
        }
        thread::sleep(Duration::from_secs(2));
        world.clients.stop();
    }
}

impl World {
    /// ONE: a write that the old primary committed after a promote had taken effect, and that was acknowledged.
    fn find_stale_primary(&self) -> Option<String> {
        let state = self.group.state.0.lock().unwrap();
        let first = self.late_commits(&state).into_iter().next()?;
        Some(format!(
            "ONE: {} was committed at {} by {}, which led term {}, after a promote for a later term had taken effect, and \
             acknowledged; {}",
            first.id,
            first.at_ms,
            first.server,
            first.term,
            self.damage(&state)
        ))
    }

    fn late_commits<'a>(&self, state: &'a State) -> Vec<&'a Commit> {
        let told = self.clients.told.lock().unwrap();
        let acknowledged: HashSet<&str> =
            told.iter().filter(|it| it.outcome == "success").map(|it| it.id.as_str()).collect();
        let late = state.commits.iter().filter(|commit| commit.is_superseded);
        late.filter(|commit| acknowledged.contains(commit.id.as_str())).collect()
    }

    /// Records what the old primary acknowledged and what was lost.
    fn damage(&self, state: &State) -> String {
        let late = self.late_commits(state);
        let record = &self.group.record;
        for commit in &late {
            record.line(&format!(
                "acknowledged: {} committed at {} by {} in term {}, after a promote for a later term",
                commit.id, commit.at_ms, commit.server, commit.term
            ));
        }
        let kept: HashSet<&str> = state
            .primary()
            .map_or(HashSet::new(), |it| it.log.iter().map(|entry| entry.id.as_str()).collect());
        let told = self.clients.told.lock().unwrap();
        let acknowledged: Vec<_> = told.iter().filter(|it| it.outcome == "success").collect();
        let lost = acknowledged.iter().filter(|it| !kept.contains(it.id.as_str())).count();
        let last = acknowledged.iter().map(|it| it.told_ms).max().unwrap_or(0);
        record.line(&format!(
            "clients: {} writes succeeded, the last one at {last}; {lost} are not in the last primary's log",
            acknowledged.len()
        ));
        format!(
            "{} writes of an old primary were acknowledged, {lost} acknowledged writes are lost",
            late.len()
        )
    }
}

/// A primary is to be replaced. While it drains, the replica that has not been chosen receives nothing for a while, and
/// the new primary crashes meanwhile. Writes were acknowledged because the draining server had received them.
pub fn lost_commit(record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    const DEAF: Duration = Duration::from_millis(6_000);
    let world = World::start(record, 1)?;
    world.drain("i-1");
    let drained_at = Instant::now();
    let is_replaced = || !matches!(world.primary_of_record().as_str(), "" | "i-1");
    until(Duration::from_secs(5), is_replaced).ok_or("the primary was not replaced")?;
    let second = world.primary_of_record();
    record.line(&format!("store: the primary is {second}"));
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        let deaf = if second == "i-2" { "i-3" } else { "i-2" };
        let set_deaf = |is_deaf| {
            world.group.state.0.lock().unwrap().server(deaf).unwrap().is_deaf = is_deaf;
        };
        set_deaf(true);
        record.line(&format!("server {deaf}: receives nothing from its primary from now on"));
        let deaf_since = Instant::now();
        thread::sleep(Duration::from_secs(1));
        world.group.crash(&second);
        record.line(&format!("server {second}: crashes"));
        thread::sleep(DEAF.saturating_sub(deaf_since.elapsed()));
        set_deaf(false);
        world.group.restart(&second);
        record.line(&format!("servers: {deaf} receives again, {second} is back with its log"));
    }
    thread::sleep(DRAIN.saturating_sub(drained_at.elapsed()));
    world.group.replace("i-1", "i-4");
    record.line("server i-1: ends; i-4 at its address takes its log");
    thread::sleep(Duration::from_secs(2));
    world.clients.stop();
    let told = world.clients.told.lock().unwrap();
    let state = world.group.state.0.lock().unwrap();
    let acknowledged: Vec<_> = told.iter().filter(|it| it.outcome == "success").collect();
    record.line(&format!("clients: {} writes succeeded", acknowledged.len()));
    for promotion in &state.promotions {
        let before = acknowledged.iter().filter(|it| it.told_ms < promotion.at_ms);
        let missing: Vec<_> = before.filter(|it| !promotion.held.contains(&it.id)).collect();
        for told in &missing {
            record.line(&format!(
                "missing: {} acknowledged at {} is not in the log of {}, promoted at {}",
                told.id, told.told_ms, promotion.server, promotion.at_ms
            ));
        }
        if !missing.is_empty() {
            return Ok(Some(format!(
                "LOST: the log of {}, promoted for term {}, is missing {} acknowledged commits",
                promotion.server,
                promotion.term,
                missing.len()
            )));
        }
    }
    Ok(None)
}
