//! What a node knows at the moment, as numbers; taken when the metrics are read.

use std::collections::BTreeMap;
use std::time::Instant;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Gauge, Meter};

use super::{logs, volume};
use crate::clock;
use crate::decide::memory::Purpose;
use crate::decide::topology::Reach;
use crate::node::Node;
use crate::relay::Relay;

/// The gauges of a node.
pub(super) struct Gauges {
    age: Gauge<f64>,
    document: Gauge<u64>,
    newest: Gauge<u64>,
    behind: Gauge<u64>,
    leading: Gauge<u64>,
    storage_wait: Gauge<f64>,
    voters: Gauge<u64>,
    tolerated_losses: Gauge<u64>,
    requests: Gauge<u64>,
    list_term: Gauge<u64>,
    list_place: Gauge<u64>,
    servers: Gauge<u64>,
    in_flight: Gauge<u64>,
    lines: Gauge<u64>,
    control: Gauge<u64>,
    distance: Gauge<f64>,
    sends: Gauge<u64>,
    sent: Gauge<u64>,
    answered: Gauge<u64>,
    memory: Gauge<u64>,
    memory_size: Gauge<u64>,
    memory_peak: Gauge<u64>,
    memory_refused: Gauge<u64>,
    callers: Gauge<u64>,
    callers_closed: Gauge<u64>,
    quarantined: Gauge<u64>,
    limited: Gauge<u64>,
    paused: Gauge<u64>,
    paths_lost: Gauge<u64>,
    blocked: Gauge<u64>,
    proxies: Gauge<u64>,
}

impl Gauges {
    pub(super) fn new(meter: &Meter) -> Self {
        let count = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            age: meter
                .f64_gauge("emberturn_configuration_age_seconds")
                .with_description("Time since the configuration was certainly the newest")
                .build(),
            document: count("emberturn_document_version", "Version of the published document"),
            newest: count("emberturn_document_newest", "Newest version that this node was told of"),
            behind: count("emberturn_boxes_behind", "At the leader: boxes with an older document"),
            leading: count("emberturn_leading_term", "Term this replica leads in; 0: it does not"),
            storage_wait: meter
                .f64_gauge("emberturn_storage_wait_seconds")
                .with_description("How long this replica has waited for its disk; 0: it does not")
                .build(),
            voters: count("emberturn_voters", "Voters of the group, as this replica knows them"),
            tolerated_losses: count(
                "emberturn_tolerated_losses",
                "At the leader: voters that may be lost at once beside those that do not answer",
            ),
            requests: count("emberturn_requests_under_way", "Requests under way"),
            list_term: count("emberturn_list_term", "Term of the leader whose list is held"),
            list_place: count("emberturn_list_place", "Place of that list among the leader's"),
            servers: count("emberturn_backend_servers", "Backend servers by service and state"),
            in_flight: count("emberturn_in_flight", "Requests of this box at backend servers"),
            control: count(
                "emberturn_control_bytes",
                "Bytes of calls to other boxes, by distance and direction; grows only",
            ),
            memory: count("emberturn_memory_bytes", "Memory kept for others, by purpose"),
            memory_size: count("emberturn_memory_size_bytes", "Memory that may be kept for others"),
            memory_peak: count("emberturn_memory_peak_bytes", "The most that was kept at a time"),
            memory_refused: count("emberturn_memory_refused", "How often there was no room"),
            callers: count("emberturn_callers", "Callers' connections by state"),
            callers_closed: count("emberturn_callers_closed", "Connections closed to make room"),
            quarantined: count(
                "emberturn_quarantined",
                "Requests that are refused because servers ended under them",
            ),
            limited: count(
                "emberturn_backend_servers_limited",
                "Backend servers that name a limit of their own",
            ),
            paused: count(
                "emberturn_backend_servers_paused",
                "Backend servers that asked this box for a pause",
            ),
            paths_lost: count(
                "emberturn_server_paths_lost",
                "Services whose servers this box reaches through other boxes only",
            ),
            blocked: count(
                "emberturn_backend_servers_blocked",
                "Backend servers of other services that other boxes reach and this one does not",
            ),
            proxies: count("emberturn_proxies", "Boxes that send requests for this one if need be"),
            lines: count("emberturn_log_lines_not_written", "Log lines not written, by reason"),
            distance: meter
                .f64_gauge("emberturn_distance_ms")
                .with_description("Milliseconds to a data centre and back, learned")
                .build(),
            sends: count("emberturn_sends", "Sends that a server answered, by reach"),
            sent: count("emberturn_sent_bytes", "Bytes of requests' bodies, by reach"),
            answered: count("emberturn_answered_bytes", "Bytes of answers' bodies, by reach"),
        }
    }

    /// Takes the node's state.
    pub(super) fn record(&self, node: &Node) {
        let board = &node.board;
        if let Some(age) = board.age() {
            self.age.record(age.as_secs_f64(), &[]);
        }
        self.document.record(board.document().version.0, &[]);
        self.newest.record(board.newest().0, &[]);
        if let Some(behind) = node.boxes_behind() {
            self.behind.record(behind as u64, &[]);
        }
        self.leading.record(board.leading().map_or(0, |term| term.0), &[]);
        if let Some(replica) = node.access.local() {
            let waited = replica.disk().waits().unwrap_or_default();
            self.storage_wait.record(waited.as_secs_f64(), &[]);
        }
        self.voters.record(board.voters() as u64, &[]);
        if let Some(losses) = board.tolerated_losses() {
            self.tolerated_losses.record(losses as u64, &[]);
        }
        self.requests.record(board.requests() as u64, &[]);
        let reason = |name: &'static str| [KeyValue::new("reason", name)];
        self.lines.record(logs::dropped() as u64, &reason("queue_full"));
        self.lines.record(volume::left_out(), &reason("ordinary"));
        self.record_control(node);
        if let Some(relay) = node.relay() {
            self.record_relay(relay);
        }
    }

    fn record_control(&self, node: &Node) {
        let directory = node.access.directory();
        let replicas = directory.all().into_iter();
        let reaches: BTreeMap<_, _> =
            replicas.map(|(box_id, addr)| (addr, directory.reach(&box_id))).collect();
        let mut sums: BTreeMap<Option<Reach>, (u64, u64)> = BTreeMap::new();
        for (addr, sent, heard) in node.peers.traffic() {
            let sum = sums.entry(reaches.get(&addr).copied().flatten()).or_default();
            *sum = (sum.0 + sent, sum.1 + heard);
        }
        for (reach, (sent, heard)) in sums {
            let reach = reach.map_or("unknown".to_owned(), |reach| reach.to_string());
            for (direction, bytes) in [("sent", sent), ("heard", heard)] {
                let labels =
                    [KeyValue::new("reach", reach.clone()), KeyValue::new("direction", direction)];
                self.control.record(bytes, &labels);
            }
        }
    }

    fn record_distances(&self, relay: &Relay) {
        for (data_centre, time) in relay.distances().learned_rtts(Instant::now()) {
            self.distance.record(time, &[KeyValue::new("data_centre", data_centre.to_string())]);
        }
        let traffic = &relay.traffic;
        for reach in Reach::ALL {
            let label = [KeyValue::new("reach", reach.to_string())];
            self.sends.record(traffic.sends(reach), &label);
            self.sent.record(traffic.sent_bytes(reach), &label);
            self.answered.record(traffic.answered_bytes(reach), &label);
        }
    }

    /// What the box keeps for callers.
    fn record_memory(&self, relay: &Relay) {
        for purpose in Purpose::ALL {
            let label = [KeyValue::new("purpose", purpose.name())];
            self.memory.record(relay.memory.reserved_for(purpose), &label);
        }
        self.memory_size.record(relay.memory.size(), &[]);
        self.memory_peak.record(relay.memory.peak(), &[]);
        self.memory_refused.record(relay.memory.refused(), &[]);
        let (all, resting) = relay.gate.counts();
        let state = |name: &'static str| [KeyValue::new("state", name)];
        self.callers.record((all - resting) as u64, &state("busy"));
        self.callers.record(resting as u64, &state("resting"));
        self.callers_closed.record(relay.gate.closed(), &[]);
    }

    fn record_relay(&self, relay: &Relay) {
        self.record_memory(relay);
        self.quarantined.record(relay.quarantine().len() as u64, &[]);
        self.limited.record(relay.throttles().limited_count() as u64, &[]);
        self.paused.record(relay.pauses().active_count(clock::now()) as u64, &[]);
        self.paths_lost.record(relay.paths().lost_services().len() as u64, &[]);
        self.blocked.record(relay.paths().blocked_count() as u64, &[]);
        self.proxies.record(relay.proxies().len() as u64, &[]);
        let list = relay.servers.version();
        self.list_term.record(list.term.0, &[]);
        self.list_place.record(list.sequence, &[]);
        self.record_distances(relay);
        let Some(table) = relay.table() else {
            return;
        };
        for service in table.services.keys() {
            let servers = relay.servers.for_service(service);
            let service = KeyValue::new("service", service.to_string());
            let count = |state: &'static str, value: usize| {
                let labels = [service.clone(), KeyValue::new("state", state)];
                self.servers.record(value as u64, &labels);
            };
            let open = servers.iter().filter(|it| it.is_open());
            let (aside, well): (Vec<_>, Vec<_>) = open.partition(|it| it.state.is_ejected());
            count("open", well.len());
            count("ejected", aside.len());
            count("leaving", servers.len() - well.len() - aside.len());
            let in_flight: u32 = servers.iter().map(|it| it.state.in_flight()).sum();
            self.in_flight.record(u64::from(in_flight), &[service]);
        }
    }
}
