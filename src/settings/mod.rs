//! A node's settings: one plain tree of types, read from an INI file and checked as a whole.
//!
//! The defaults stand in the `Default` implementations here and nowhere else. Everything that is
//! wrong with a file is reported at once, each fault with its file, section and key.

mod reader;
mod service;

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use crate::decide::topology::Topology;
use crate::group::directory::Directory;
use crate::http::server::Limits;
use crate::ids::{BoxId, DataCentre, Region};
use crate::units::Millis;

pub use reader::SettingsError;
pub(crate) use reader::{Reader, Section};
pub use service::{
    CloudSettings, GroupSettings, OperatorSettings, QuotaSettings, RelaySettings, RolloutSettings,
};

/// What a node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Takes callers, decides and forwards. Needs no disk.
    Entry,
    /// A member of the replicated group. Needs a data folder.
    Replica,
    /// Carries traffic by the routes that operators publish. Needs no disk.
    Relay,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Replica => "replica",
            Self::Relay => "relay",
        })
    }
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "entry" => Ok(Self::Entry),
            "replica" => Ok(Self::Replica),
            "relay" => Ok(Self::Relay),
            _ => Err(format!("a role is entry, relay or replica, not {text:?}")),
        }
    }
}

/// What a node does with new requests when its configuration may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleRule {
    /// Finish what was accepted and refuse the rest as not run. Keeps the promise that an accepted
    /// change is in force everywhere.
    Refuse,
    /// Go on with the last known configuration. Keeps serving when the group is down.
    Serve,
}

impl FromStr for StaleRule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "refuse" => Ok(Self::Refuse),
            "serve" => Ok(Self::Serve),
            _ => Err(format!("refuse or serve, not {text:?}")),
        }
    }
}

impl fmt::Display for StaleRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refuse => "refuse",
            Self::Serve => "serve",
        })
    }
}

/// A node's settings, whole.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Section `node`.
    pub node: NodeSettings,
    /// Section `entry`.
    pub entry: EntrySettings,
    /// Section `peer`.
    pub peer: PeerSettings,
    /// Section `replicas`: every box of the replicated group with its peer address.
    pub replicas: BTreeMap<BoxId, SocketAddr>,
    /// Section `regions`: the region of each data centre. Empty: all of them lie in one.
    pub regions: BTreeMap<DataCentre, Region>,
    /// Section `platform`; absent on nodes that do not watch the platform.
    pub platform: Option<PlatformSettings>,
    /// Section `group`: how replicas find each other where they are not all listed.
    pub group: GroupSettings,
    /// Section `relay`: traffic by the published routes; absent on nodes that carry none.
    pub relay: Option<RelaySettings>,
    /// Section `quota`: by how much the teams' limits may be passed.
    pub quota: QuotaSettings,
    /// Section `rollout`: how far a release that may be bad may go.
    pub rollout: RolloutSettings,
    /// Section `operator`: where operators publish routes; absent on nodes that take none.
    pub operator: Option<OperatorSettings>,
    /// Section `cloud`: the platform's interface; absent where nothing is asked of it.
    pub cloud: Option<CloudSettings>,
    /// Section `metrics`.
    pub metrics: MetricsSettings,
    /// Section `log`.
    pub log: LogSettings,
}

/// Who the node is.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The box the node runs on.
    pub box_id: BoxId,
    /// The box's data centre.
    pub data_centre: DataCentre,
    /// What the node does.
    pub roles: Vec<Role>,
    /// Where a replica keeps its files.
    pub data_folder: Option<PathBuf>,
    /// Whether the last line of the file is `[end]`: one without it is still being written.
    pub marks_end: bool,
}

/// How callers are met.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Address callers connect to.
    pub listen: SocketAddr,
    /// The address other nodes reach this one's callers' side at; `listen` when absent.
    pub advertise: Option<SocketAddr>,
    /// Connections at the same time.
    pub callers: usize,
    /// Largest body, in bytes.
    pub body_limit: usize,
    /// Largest request head, in bytes.
    pub head_limit: usize,
    /// Time for a request head to arrive.
    pub head_time: Millis,
    /// Time for a body to arrive, and for a caller to take a piece of its answer.
    pub body_time: Millis,
    /// The deadline of a request that names none.
    pub deadline: Millis,
    /// After a stop is asked for: time for the platform's balancer to see the node is not ready.
    pub balancer_time: Millis,
    /// After that: time for streams to finish before the rest is handed over.
    pub drain_time: Millis,
    /// How old the configuration may be before new requests are refused.
    pub config_lease: Millis,
    /// What happens then.
    pub on_stale: StaleRule,
    /// Requests that may wait for a backend server at the same time.
    pub queue: usize,
}

impl EntrySettings {
    /// What callers' connections are held to.
    pub fn limits(&self) -> Limits {
        Limits {
            callers: self.callers,
            head: self.head_limit,
            head_time: self.head_time.duration(),
            rest_time: self.head_time.duration(),
            write_time: self.body_time.duration(),
        }
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: loopback(8080),
            advertise: None,
            callers: 4096,
            body_limit: 1 << 20,
            head_limit: 32 << 10,
            head_time: Millis(5_000),
            body_time: Millis(15_000),
            deadline: Millis(120_000),
            balancer_time: Millis(1_000),
            drain_time: Millis(20_000),
            config_lease: Millis(5_000),
            on_stale: StaleRule::Refuse,
            queue: 512,
        }
    }
}

/// How nodes and operators reach the node.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Address other nodes and operators connect to.
    pub listen: SocketAddr,
    /// The address other nodes are told; `listen` when absent.
    pub advertise: Option<SocketAddr>,
    /// Shared by all nodes and operators; calls without it are refused. Empty: none is asked for.
    pub secret: String,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self { listen: loopback(7080), advertise: None, secret: String::new() }
    }
}

/// The platform's box list.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Where the list is.
    pub addr: SocketAddr,
    /// Time between two looks.
    pub poll: Millis,
}

/// Where metrics are read.
#[derive(Debug, Clone)]
pub struct MetricsSettings {
    /// Address that serves `/metrics`.
    pub listen: SocketAddr,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self { listen: loopback(9080) }
    }
}

/// What is logged.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// The least level, or a filter such as `info,emberturn::group=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

const DEFAULT_POLL: Millis = Millis(500);

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When the file cannot be read, is not INI, or holds any fault; all faults are reported.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::unreadable(path, &error))?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Checks settings given as text; `name` stands for the file in errors.
    ///
    /// # Errors
    /// As [`Settings::load`].
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        if text.trim().is_empty() {
            return Err(SettingsError::empty(name));
        }
        let mut reader = Reader::new(name, text)?;
        let node = read_node(&mut reader);
        let entry = read_entry(&mut reader);
        let peer = read_peer(&mut reader);
        let replicas = read_replicas(&mut reader);
        let regions = read_regions(&mut reader, node.as_ref());
        let platform = read_platform(&mut reader);
        let group = service::read_group(&mut reader);
        let relay = service::read_relay(&mut reader, peer.listen);
        let quota = service::read_quota(&mut reader);
        let rollout = service::read_rollout(&mut reader);
        let operator = service::read_operator(&mut reader);
        let cloud = service::read_cloud(&mut reader);
        let metrics = read_metrics(&mut reader);
        let log = read_log(&mut reader);
        if node.as_ref().is_some_and(|node| node.marks_end) && !reader.has_end() {
            return Err(SettingsError::incomplete(name));
        }
        check_roles(&mut reader, node.as_ref(), &replicas, &group);
        reader.finish()?;
        let node = node.ok_or_else(|| SettingsError::one(name, "section [node] is missing"))?;
        Ok(Self {
            node,
            entry,
            peer,
            replicas,
            regions,
            platform,
            group,
            relay,
            quota,
            rollout,
            operator,
            cloud,
            metrics,
            log,
        })
    }

    /// Where the replicas are, as far as the settings say.
    pub fn directory(&self) -> Directory {
        match self.group.seeds.is_empty() {
            true => Directory::listed(self.replicas.clone(), self.topology()),
            false => {
                let port = self.peer.listen.port();
                Directory::seeded(&self.group.seed_ips(), port, self.topology())
            }
        }
    }

    /// The regions, seen from this box.
    pub fn topology(&self) -> Topology {
        Topology::new(self.node.data_centre.clone(), self.regions.clone())
    }

    /// Whether the node has the role.
    pub fn has(&self, role: Role) -> bool {
        self.node.roles.contains(&role)
    }
}

fn read_node(reader: &mut Reader) -> Option<NodeSettings> {
    let mut section = reader.section("node");
    let box_id = section.required("box_id");
    let data_centre = section.required("data_centre");
    let roles = section.list("roles").unwrap_or_else(|| vec![Role::Entry]);
    let data_folder = section.optional("data_folder");
    let marks_end = section.value("marks_end", false);
    reader.close(section);
    let (box_id, data_centre) = (box_id?, data_centre?);
    Some(NodeSettings { box_id, data_centre, roles, data_folder, marks_end })
}

fn read_entry(reader: &mut Reader) -> EntrySettings {
    let base = EntrySettings::default();
    let mut section = reader.section("entry");
    let settings = EntrySettings {
        listen: section.value("listen", base.listen),
        advertise: section.optional("advertise"),
        callers: section.value("callers", base.callers),
        body_limit: section.value("body_limit", base.body_limit),
        head_limit: section.value("head_limit", base.head_limit),
        head_time: section.time("head_time", base.head_time),
        body_time: section.time("body_time", base.body_time),
        deadline: section.time("deadline", base.deadline),
        balancer_time: section.time("balancer_time", base.balancer_time),
        drain_time: section.time("drain_time", base.drain_time),
        config_lease: section.time("config_lease", base.config_lease),
        on_stale: section.value("on_stale", base.on_stale),
        queue: section.value("queue", base.queue),
    };
    section.check("head_limit", settings.head_limit >= 8192, "is at least 8192 bytes");
    section.check("callers", settings.callers > 0, "is at least 1");
    reader.close(section);
    settings
}

fn read_peer(reader: &mut Reader) -> PeerSettings {
    let base = PeerSettings::default();
    let mut section = reader.section("peer");
    let settings = PeerSettings {
        listen: section.value("listen", base.listen),
        advertise: section.optional("advertise"),
        secret: section.value("secret", base.secret),
    };
    reader.close(section);
    settings
}

fn read_replicas(reader: &mut Reader) -> BTreeMap<BoxId, SocketAddr> {
    let mut section = reader.section("replicas");
    let replicas = section.table();
    reader.close(section);
    replicas
}

fn read_regions(reader: &mut Reader, node: Option<&NodeSettings>) -> BTreeMap<DataCentre, Region> {
    let mut section = reader.section("regions");
    let regions: BTreeMap<DataCentre, Region> = section.table();
    if let Some(node) = node.filter(|_| !regions.is_empty()) {
        let own = &node.data_centre;
        section.check(own.as_str(), regions.contains_key(own), "is missing: it is this box's own");
    }
    reader.close(section);
    regions
}

fn read_platform(reader: &mut Reader) -> Option<PlatformSettings> {
    if !reader.has("platform") {
        return None;
    }
    let mut section = reader.section("platform");
    let addr = section.required("addr");
    let poll = section.time("poll", DEFAULT_POLL);
    reader.close(section);
    Some(PlatformSettings { addr: addr?, poll })
}

fn read_metrics(reader: &mut Reader) -> MetricsSettings {
    let base = MetricsSettings::default();
    let mut section = reader.section("metrics");
    let settings = MetricsSettings { listen: section.value("listen", base.listen) };
    reader.close(section);
    settings
}

fn read_log(reader: &mut Reader) -> LogSettings {
    let base = LogSettings::default();
    let mut section = reader.section("log");
    let settings = LogSettings { level: section.value("level", base.level) };
    reader.close(section);
    settings
}

fn check_roles(
    reader: &mut Reader,
    node: Option<&NodeSettings>,
    replicas: &BTreeMap<BoxId, SocketAddr>,
    group: &GroupSettings,
) {
    if replicas.is_empty() && group.seeds.is_empty() {
        reader.fault("replicas", "-", "names at least one box = address");
    }
    if !replicas.is_empty() && !group.seeds.is_empty() {
        reader.fault("group", "seeds", "cannot stand beside a list of replicas");
    }
    let Some(node) = node else {
        return;
    };
    if !node.roles.contains(&Role::Replica) {
        return;
    }
    if node.data_folder.is_none() {
        reader.fault("node", "data_folder", "is required for the role replica");
    }
    if !group.seeds.is_empty() {
        if node.box_id.as_str().parse::<IpAddr>().is_err() {
            reader.fault("node", "box_id", "is the box's IP address where the group has seeds");
        }
        return;
    }
    if !replicas.contains_key(&node.box_id) {
        let text = format!("does not name this box, {}, which is a replica", node.box_id);
        reader.fault("replicas", node.box_id.as_str(), &text);
    }
}
