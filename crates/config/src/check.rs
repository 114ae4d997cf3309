//! Parses and checks the shared configuration, and reports every mistake in it.

use std::{collections::BTreeMap, sync::Arc};

use model::{GroupId, Name, ServerId};

use crate::{
    Configuration, ConfigurationPart, FailoverOptions, Group, GroupOptions, KindOptions,
    LeavingOptions, LimitOptions, Problems, RuleOptions, Section, Server, ServerOptions, Service,
    ServiceOptions, UserOptions,
    document::{RawSection, read_document},
    problem::{ProblemList, suggest},
    section::read_section,
};

/// Parses and checks a configuration. `file` is the file name in reported problems.
///
/// Fails with every mistake in the text, so that only a valid configuration is ever applied.
pub fn check_configuration(file: &str, text: &str) -> Result<Configuration, Problems> {
    let mut problems = ProblemList::new(file);
    let mut reader = ConfigurationReader::default();
    for section in read_document(text, &mut problems) {
        reader.read(&section, &mut problems);
    }
    let part = reader.assemble(&mut problems);
    check_users(&part, &reader, &mut problems);
    let configuration = Configuration::from_parts([&part]);
    problems.finish(configuration)
}

/// Parses one chunk of an accepted configuration.
///
/// References between sections of different chunks, such as from a user to a service, are not checked again.
pub fn read_part(text: &str) -> Result<ConfigurationPart, Problems> {
    let mut problems = ProblemList::new("an accepted chunk");
    let mut reader = ConfigurationReader::default();
    for section in read_document(text, &mut problems) {
        reader.read(&section, &mut problems);
    }
    let part = reader.assemble(&mut problems);
    problems.finish(part)
}

const KINDS: [&str; 9] = [
    ServiceOptions::KIND,
    GroupOptions::KIND,
    ServerOptions::KIND,
    KindOptions::KIND,
    RuleOptions::KIND,
    UserOptions::KIND,
    LeavingOptions::KIND,
    LimitOptions::KIND,
    FailoverOptions::KIND,
];

/// The parsed options of a section, with its header.
struct ParsedSection<T> {
    line: u32,
    header: String,
    options: T,
}

/// Collects the parsed sections, keyed by the parts of their names.
#[derive(Default)]
struct ConfigurationReader {
    /// The line of each section, by kind and name.
    section_lines: BTreeMap<(String, String), u32>,
    services: BTreeMap<Name, ParsedSection<ServiceOptions>>,
    groups: BTreeMap<GroupId, ParsedSection<GroupOptions>>,
    servers: BTreeMap<(GroupId, Name), ParsedSection<ServerOptions>>,
    kinds: BTreeMap<(Name, Name), ParsedSection<KindOptions>>,
    rules: Vec<(Name, ParsedSection<RuleOptions>)>,
    users: BTreeMap<Name, UserOptions>,
    leaving: Option<LeavingOptions>,
    limits: Option<LimitOptions>,
    failover: Option<FailoverOptions>,
}

impl ConfigurationReader {
    fn read(&mut self, section: &RawSection, problems: &mut ProblemList<'_>) {
        let key = (section.kind.clone(), section.name.clone());
        if let Some(first) = self.section_lines.insert(key, section.line) {
            let header = format!("{} {}", section.kind, section.name);
            let message = format!("duplicate section, first defined at line {first}");
            problems.add(section.line, header.trim(), message);
            return;
        }
        match section.kind.as_str() {
            ServiceOptions::KIND => {
                if let Some((section, [service])) = read_named(section, problems) {
                    self.services.insert(service, section);
                }
            }
            GroupOptions::KIND => {
                if let Some((section, [service, group])) = read_named(section, problems) {
                    self.groups.insert(GroupId { service, group }, section);
                }
            }
            ServerOptions::KIND => {
                if let Some((section, [service, group, server])) = read_named(section, problems) {
                    self.servers.insert((GroupId { service, group }, server), section);
                }
            }
            KindOptions::KIND => {
                if let Some((section, [service, kind])) = read_named(section, problems) {
                    self.kinds.insert((service, kind), section);
                }
            }
            RuleOptions::KIND => {
                if let Some((section, [service, _])) = read_named(section, problems) {
                    self.rules.push((service, section));
                }
            }
            UserOptions::KIND => {
                if let Some((section, [user])) = read_named(section, problems) {
                    check_user(&section, problems);
                    self.users.insert(user, section.options);
                }
            }
            LeavingOptions::KIND => self.leaving = Some(read_section(section, problems)),
            LimitOptions::KIND => self.limits = Some(read_section(section, problems)),
            FailoverOptions::KIND => self.failover = Some(read_section(section, problems)),
            other => problems.add_with(
                section.line,
                other,
                "unknown section",
                suggest(other, KINDS.iter().copied()),
            ),
        }
    }

    fn assemble(&mut self, problems: &mut ProblemList<'_>) -> ConfigurationPart {
        self.check_parents(problems);
        let groups = self.assemble_groups(problems);
        let services = self.assemble_services(&groups, problems);
        self.check_failover(problems);
        ConfigurationPart {
            services,
            groups,
            users: std::mem::take(&mut self.users),
            leaving: self.leaving.take(),
            limits: self.limits.take(),
            failover: self.failover.take(),
        }
    }

    /// Adds a problem for every section whose service or group is not declared.
    fn check_parents(&self, problems: &mut ProblemList<'_>) {
        let check_service =
            |service: &Name, line: u32, header: &str, list: &mut ProblemList<'_>| {
                if !self.services.contains_key(service) {
                    let known = self.services.keys().map(|name| &**name);
                    let message = format!("there is no [service {service}]");
                    list.add_with(line, header, message, suggest(service, known));
                }
            };
        for (id, section) in &self.groups {
            check_service(&id.service, section.line, &section.header, problems);
        }
        for ((service, _), section) in &self.kinds {
            check_service(service, section.line, &section.header, problems);
        }
        for (service, section) in &self.rules {
            check_service(service, section.line, &section.header, problems);
        }
        for ((group, _), section) in &self.servers {
            if !self.groups.contains_key(group) {
                let known: Vec<String> = self.groups.keys().map(GroupId::to_string).collect();
                let message = format!("there is no [group {group}]");
                let suggestion = suggest(&group.to_string(), known.iter().map(String::as_str));
                problems.add_with(section.line, &section.header, message, suggestion);
            }
        }
    }

    fn assemble_groups(&mut self, problems: &mut ProblemList<'_>) -> BTreeMap<GroupId, Arc<Group>> {
        let mut servers: BTreeMap<GroupId, Vec<Server>> = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for ((group, name), section) in std::mem::take(&mut self.servers) {
            let Some(address) = section.options.address else {
                problems.add(section.line, &section.header, "`address` must be set");
                continue;
            };
            if let Some(first) = addresses.insert(address, section.header.clone()) {
                let message = format!("{address} is already the address of [{first}]");
                problems.add(section.line, &section.header, message);
            }
            servers.entry(group).or_default().push(Server {
                name,
                address,
                availability_zone: section.options.availability_zone,
                leaving: section.options.leaving,
            });
        }
        let mut groups = BTreeMap::new();
        for (id, section) in std::mem::take(&mut self.groups) {
            let servers = servers.remove(&id).unwrap_or_default();
            if let Some(group) = assemble_group(id, section, servers, problems) {
                groups.insert(group.id.clone(), Arc::new(group));
            }
        }
        groups
    }

    fn assemble_services(
        &mut self,
        groups: &BTreeMap<GroupId, Arc<Group>>,
        problems: &mut ProblemList<'_>,
    ) -> BTreeMap<Name, Arc<Service>> {
        let mut services = BTreeMap::new();
        let mut group_names: BTreeMap<&Name, Vec<Name>> = BTreeMap::new();
        for id in groups.keys() {
            group_names.entry(&id.service).or_default().push(id.group.clone());
        }
        for (name, section) in std::mem::take(&mut self.services) {
            let names = group_names.remove(&name).unwrap_or_default();
            if names.is_empty() {
                problems.add(section.line, &section.header, "the service has no usable group");
            }
            check_group_name(section.options.default_group.as_ref(), &section, &names, problems);
            if section.options.request_deadline_ms == 0 {
                problems.add(section.line, "request_deadline_ms", "must be above 0");
            }
            services.insert(
                name.clone(),
                Service {
                    name,
                    options: section.options,
                    groups: names,
                    kinds: BTreeMap::new(),
                    rules: Vec::new(),
                },
            );
        }
        for ((service, kind), section) in std::mem::take(&mut self.kinds) {
            if let Some(service) = services.get_mut(&service) {
                service.kinds.insert(kind, section.options);
            }
        }
        for (service, section) in std::mem::take(&mut self.rules) {
            let Some(service) = services.get_mut(&service) else { continue };
            if section.options.group.is_none() {
                problems.add(section.line, &section.header, "`group` must be set");
            }
            check_group_name(section.options.group.as_ref(), &section, &service.groups, problems);
            service.rules.push(section.options);
        }
        services.into_iter().map(|(name, service)| (name, Arc::new(service))).collect()
    }

    fn check_failover(&self, problems: &mut ProblemList<'_>) {
        let line = self.line_of(FailoverOptions::KIND, "");
        let Some(failover) = &self.failover else { return };
        if failover.heartbeat_ms == 0 {
            problems.add(line, "heartbeat_ms", "must be above 0");
        }
        if failover.suspect_after_ms < failover.heartbeat_ms {
            let message =
                "must not be below heartbeat_ms, or every heartbeat interval looks like a failure";
            problems.add(line, "suspect_after_ms", message);
        }
    }

    fn line_of(&self, kind: &str, name: &str) -> u32 {
        self.section_lines.get(&(kind.to_owned(), name.to_owned())).copied().unwrap_or(1)
    }
}

/// Adds a problem for every user with a service that is not declared.
fn check_users(
    part: &ConfigurationPart,
    reader: &ConfigurationReader,
    problems: &mut ProblemList<'_>,
) {
    for (user, options) in &part.users {
        for service in &options.services {
            if !part.services.contains_key(service) {
                let line = reader.line_of(UserOptions::KIND, user);
                let known = part.services.keys().map(|name| &**name);
                let message = format!("there is no [service {service}]");
                problems.add_with(line, "services", message, suggest(service, known));
            }
        }
    }
}

/// Parses a section whose name consists of `N` parts separated by slashes.
fn read_named<T: Section, const N: usize>(
    section: &RawSection,
    problems: &mut ProblemList<'_>,
) -> Option<(ParsedSection<T>, [Name; N])> {
    let header = format!("{} {}", section.kind, section.name).trim().to_owned();
    let options = read_section(section, problems);
    let parts: Vec<Name> = section.name.split('/').map(Name::from).collect();
    let is_well_formed = parts.iter().all(|part| is_name(part));
    match <[Name; N]>::try_from(parts) {
        Ok(parts) if is_well_formed => {
            Some((ParsedSection { line: section.line, header, options }, parts))
        }
        _ => {
            problems.add_with(
                section.line,
                &header,
                "the section's name is malformed",
                Some(format!(
                    "write [{} {}], with letters, digits, `-`, `_` and `.` in each part",
                    T::KIND,
                    T::NAME_PATTERN
                )),
            );
            None
        }
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Minimum connections of a group: an owner needs one for statements and one for control on each server.
const MIN_CONNECTIONS: u32 = 2;

fn assemble_group(
    id: GroupId,
    section: ParsedSection<GroupOptions>,
    servers: Vec<Server>,
    problems: &mut ProblemList<'_>,
) -> Option<Group> {
    if section.options.connections < MIN_CONNECTIONS {
        let message =
            format!("must be at least {MIN_CONNECTIONS}: one for statements, one for control");
        problems.add(section.line, "connections", message);
    }
    if section.options.slots == 0 {
        problems.add(section.line, "slots", "must be above 0");
    }
    if servers.is_empty() {
        let message = format!("the group has no [server {id}/…] with an address");
        problems.add(section.line, &section.header, message);
        return None;
    }
    let Some(primary) = &section.options.primary else {
        problems.add(section.line, &section.header, "`primary` must name one of its servers");
        return None;
    };
    let Some(index) = servers.iter().position(|server| server.name == *primary) else {
        let known = servers.iter().map(|server| &*server.name);
        let message = format!("there is no [server {id}/{primary}]");
        problems.add_with(section.line, "primary", message, suggest(primary, known));
        return None;
    };
    Some(Group {
        id,
        options: section.options,
        servers,
        first_primary: ServerId::from_index(index),
    })
}

fn check_group_name<T>(
    requested: Option<&Name>,
    section: &ParsedSection<T>,
    groups: &[Name],
    problems: &mut ProblemList<'_>,
) {
    let Some(requested) = requested else { return };
    if !groups.contains(requested) {
        let known = groups.iter().map(|group| &**group);
        let message = format!("the service has no group `{requested}`");
        problems.add_with(section.line, &section.header, message, suggest(requested, known));
    }
}

fn check_user(section: &ParsedSection<UserOptions>, problems: &mut ProblemList<'_>) {
    if let Some(verifier) = &section.options.verifier
        && !verifier.starts_with("SCRAM-SHA-256$")
    {
        problems.add_with(
            section.line,
            "verifier",
            "not a SCRAM-SHA-256 verifier",
            Some("print one with `wardtiller verifier`".to_owned()),
        );
    }
    if section.options.weight == 0 {
        problems.add(section.line, "weight", "must be above 0");
    }
}
