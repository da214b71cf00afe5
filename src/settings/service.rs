//! Settings of nodes that carry traffic by published routes, and of the replicas that serve them.

use std::net::{IpAddr, SocketAddr};

use super::Reader;
use crate::decide::distance::ByteWeights;
use crate::units::{ByteSize, Millis, Number};

/// How replicas find each other where the settings name only a few of them.
#[derive(Debug, Clone, Default)]
pub struct GroupSettings {
    /// Replicas to ask first. Only their IP addresses count: every box listens for peers on the port
    /// of this node's own `[peer] listen`. Empty: the section `replicas` lists all of them.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the very first start, on empty disks: the seeds form the group then.
    pub first_start: bool,
    /// Replicas that may be lost at the same time.
    pub failures: u32,
}

impl GroupSettings {
    /// How many voters the group is to have.
    pub fn voters(&self) -> usize {
        2 * self.failures as usize + 1
    }

    /// The seeds' IP addresses.
    pub fn seed_ips(&self) -> Vec<IpAddr> {
        self.seeds.iter().map(SocketAddr::ip).collect()
    }
}

/// How traffic by published routes is met. The figures are the users' contract.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Address callers connect to.
    pub listen: SocketAddr,
    /// Address at which the platform's balancer asks whether the node takes callers.
    pub ready: SocketAddr,
    /// Address at which requests are taken of boxes that do not reach backend servers themselves.
    pub forward: SocketAddr,
    /// Within this time after a change was acknowledged, no request is handled as only older routes have it.
    pub apply_time: Millis,
    /// Within this time after a key was taken away, no request with it may begin to run.
    pub revoke_time: Millis,
    /// Retries allowed as a share of the requests of a service.
    pub retry_ratio: f64,
    /// Retries allowed on top in one window, over all boxes together.
    pub retry_floor: f64,
    /// The time between the platform's request to stop and its kill.
    pub grace: Millis,
    /// The length of a usage window.
    pub usage_window: Millis,
    /// What bytes weigh between data centres and between regions.
    pub weights: ByteWeights,
    /// What the process may use of the box's memory; the platform ends one that uses more.
    pub memory: ByteSize,
    /// Descriptors that the process may have open.
    pub descriptors: u32,
}

/// Where operators publish routes.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// Address operators connect to.
    pub listen: SocketAddr,
}

/// By how much the teams' limits may be passed in any window: the users' contract.
#[derive(Debug, Clone, Copy)]
pub struct QuotaSettings {
    /// The window.
    pub window: Millis,
    /// As a part of the limit.
    pub overshoot: f64,
    /// On top, in units of the limit.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window: Millis(10_000), overshoot: 0.0, slack: 0.0 }
    }
}

/// How far a release that may be bad may go: the users' contract.
#[derive(Debug, Clone, Copy)]
pub struct RolloutSettings {
    /// The part of a service's requests, from the order to its deadline, that a bad release may get.
    pub share: f64,
    /// Requests on top.
    pub slack: f64,
    /// For how long after an order the same order is taken to be sent again.
    pub repeats: Millis,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self { share: 0.1, slack: 50.0, repeats: Millis(10_000) }
    }
}

/// The platform's interface.
#[derive(Debug, Clone)]
pub struct CloudSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// Time between two looks at the list of backend servers.
    pub poll: Millis,
    /// The length of a usage window.
    pub usage_window: Millis,
    /// How long after a window's end its report is due.
    pub usage_due: Millis,
    /// How long a former holder of a duty may still act.
    pub lease: Millis,
    /// What a late request weighs, in time of an engine at price 1.
    pub late_weight: Millis,
    /// How many times the peak of late reclaimable engines are held for.
    pub surge: f64,
}

/// Reclaimable engines go two to three seconds after their notice, and the list lags by most of one:
/// looking half as often would leave no time to move what runs there.
const POLL: Millis = Millis(500);

pub(super) fn read_group(reader: &mut Reader) -> GroupSettings {
    let mut section = reader.section("group");
    let settings = GroupSettings {
        seeds: section.list("seeds").unwrap_or_default(),
        first_start: section.value("first_start", false),
        failures: section.value("failures", Number(1.0)).whole(),
    };
    reader.close(section);
    settings
}

pub(super) fn read_relay(reader: &mut Reader, peer: SocketAddr) -> Option<RelaySettings> {
    if !reader.has("relay") {
        return None;
    }
    let mut section = reader.section("relay");
    let listen = section.required("listen");
    let ready = section.required("ready");
    let next = SocketAddr::new(peer.ip(), peer.port().checked_add(1).unwrap_or(0));
    let forward = section.value("forward", next);
    let apply_time = section.time("apply_time", Millis(2_000));
    let revoke_time = section.time("revoke_time", Millis(5_000));
    let retry_ratio = section.number("retry_ratio", 0.2);
    let retry_floor = section.number("retry_floor", 50.0);
    let grace = section.time("grace", Millis(8_000));
    let usage_window = section.time("usage_window", Millis(5_000));
    let base = ByteWeights::default();
    let weights = ByteWeights {
        regional: section.number("regional_weight", base.regional),
        remote: section.number("remote_weight", base.remote),
    };
    section.check("regional_weight", weights.regional >= 0.0, "is not negative");
    section.check("remote_weight", weights.remote >= 0.0, "is not negative");
    let memory = section.size("memory", MEMORY);
    let descriptors = section.value("descriptors", DESCRIPTORS).whole();
    section.check("memory", memory >= LEAST_MEMORY, "is at least 32MB");
    section.check("descriptors", descriptors >= LEAST_DESCRIPTORS, "is at least 1024");
    section.check("usage_window", usage_window.0 > 0, "is longer than nothing");
    section.check("retry_ratio", (0.0..=1.0).contains(&retry_ratio), "is from 0 to 1");
    reader.close(section);
    Some(RelaySettings {
        listen: listen?,
        ready: ready?,
        forward,
        apply_time,
        revoke_time,
        retry_ratio,
        retry_floor,
        grace,
        usage_window,
        weights,
        memory,
        descriptors,
    })
}

/// The memory of a relay where nothing is said of it: small boxes have this much.
const MEMORY: ByteSize = ByteSize(160_000_000);

/// The least that a relay serves in: what the program itself needs, and some requests.
const LEAST_MEMORY: ByteSize = ByteSize(32_000_000);

/// The descriptors of a process where nothing is said of them: what systems usually allow.
const DESCRIPTORS: Number = Number(4_096.0);

/// The least that a relay serves with: its own files and links, and some callers.
const LEAST_DESCRIPTORS: u32 = 1_024;

/// How many times the peak of late reclaimable engines are held for, unless the operators say otherwise:
/// traffic grows faster than engines boot, and reclaimable ones cost a fraction of those that would
/// stand in.
const SURGE: f64 = 1.5;

/// What a late request weighs unless the operators say otherwise: half a second of an engine, which is
/// more than an engine spends on most requests, so that a late one counts as more than lost work.
const LATE_WEIGHT: Millis = Millis(500);

pub(super) fn read_quota(reader: &mut Reader) -> QuotaSettings {
    let base = QuotaSettings::default();
    let mut section = reader.section("quota");
    let settings = QuotaSettings {
        window: section.time("window", base.window),
        overshoot: section.number("overshoot", base.overshoot),
        slack: section.number("slack", base.slack),
    };
    section.check("window", settings.window.0 > 0, "is longer than nothing");
    reader.close(section);
    settings
}

pub(super) fn read_rollout(reader: &mut Reader) -> RolloutSettings {
    let base = RolloutSettings::default();
    let mut section = reader.section("rollout");
    let settings = RolloutSettings {
        share: section.number("share", base.share),
        slack: section.number("slack", base.slack),
        repeats: section.time("repeats", base.repeats),
    };
    section.check("share", (0.0..=1.0).contains(&settings.share), "is from 0 to 1");
    section.check("slack", settings.slack >= 0.0, "is not negative");
    reader.close(section);
    settings
}

pub(super) fn read_operator(reader: &mut Reader) -> Option<OperatorSettings> {
    if !reader.has("operator") {
        return None;
    }
    let mut section = reader.section("operator");
    let listen = section.required("listen");
    reader.close(section);
    Some(OperatorSettings { listen: listen? })
}

pub(super) fn read_cloud(reader: &mut Reader) -> Option<CloudSettings> {
    if !reader.has("cloud") {
        return None;
    }
    let mut section = reader.section("cloud");
    let addr = section.required("addr");
    let poll = section.time("poll", POLL);
    let usage_window = section.time("usage_window", Millis(5_000));
    let usage_due = section.time("usage_due", Millis(10_000));
    let lease = section.time("lease", Millis(3_000));
    let late_weight = section.time("late_weight", LATE_WEIGHT);
    let surge = section.number("surge", SURGE);
    section.check("surge", surge >= 1.0, "is not below 1");
    section.check("poll", poll.0 > 0, "is longer than nothing");
    section.check("usage_window", usage_window.0 > 0, "is longer than nothing");
    reader.close(section);
    Some(CloudSettings { addr: addr?, poll, usage_window, usage_due, lease, late_weight, surge })
}
