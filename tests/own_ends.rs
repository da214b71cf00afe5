//! What a process waits for in place of ending: a disk, an address, its settings. The platform would start it again,
//! into the same obstacle.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::process::Stdio;
use std::time::Duration;

use emberturn::settings::Settings;
use emberturn_fakes::cluster::binary;
use platform::{PATIENCE, document, usual_routes};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::fs::Mode;
use system::System;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::process::Command;
use yare::parameterized;

/// Replicas of a system.
const REPLICAS: u8 = 5;

/// Whose disks refuse writes.
#[derive(Debug, Clone, Copy)]
enum Struck {
    Follower,
    Leader,
    Half,
    All,
}

impl Struck {
    async fn places(self, system: &System) -> Vec<u8> {
        let leader = system.leader().await;
        let others = (1..=REPLICAS).filter(|place| *place != leader);
        match self {
            Self::Follower => others.take(1).collect(),
            Self::Leader => vec![leader],
            Self::Half => others.take(2).chain([leader]).collect(),
            Self::All => others.chain([leader]).collect(),
        }
    }

    /// Whether the other replicas go on.
    fn leaves_majority(self) -> bool {
        matches!(self, Self::Follower | Self::Leader)
    }
}

/// Has the replicas write something, and waits until each of these has been refused.
async fn wait_refused(system: &System, struck: Struck, places: &[u8], from: &[usize]) {
    if struck.leaves_majority() {
        let sound = (1..=REPLICAS).find(|place| !places.contains(place)).unwrap();
        system.publish(sound, &document(2, &usual_routes())).await;
    }
    for (place, from) in places.iter().zip(from) {
        system.wait_line(*place, *from, &["event=storage_failed", "obstacle=disk_refuses"]).await;
    }
}

/// Gives the disks room again; then everything goes on, nothing is lost, and no process has ended by itself.
async fn wait_restored(system: &mut System, places: &[u8], from: &[usize]) {
    for place in places {
        system.limit_files(*place, None);
    }
    for (place, from) in places.iter().zip(from) {
        system.wait_line(*place, *from, &["event=storage_back"]).await;
    }
    system.publish(places[0], &document(4, &usual_routes())).await;
    for place in 1..=REPLICAS {
        assert_eq!(system.read(place).await["version"], 4);
        assert_eq!(system.exit_of(place), None, "replica {place} has ended by itself");
    }
}

fn logged(system: &System, places: &[u8]) -> Vec<usize> {
    places.iter().map(|place| system.logged(*place)).collect()
}

#[parameterized(
    follower = { Struck::Follower },
    leader = { Struck::Leader },
    half_of_the_group = { Struck::Half },
    whole_group = { Struck::All },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn replicas_started_onto_full_disks_wait_until_there_is_room(struck: Struck) {
    let mut system = System::start(0).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let places = struck.places(&system).await;
    for place in &places {
        system.kill(*place).await;
    }
    let from = logged(&system, &places);
    for place in &places {
        system.start_on_full_disk(*place, "replica");
    }
    wait_refused(&system, struck, &places, &from).await;
    wait_restored(&mut system, &places, &from).await;
}

#[parameterized(
    follower = { Struck::Follower },
    leader = { Struck::Leader },
    half_of_the_group = { Struck::Half },
    whole_group = { Struck::All },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn replicas_whose_disks_fill_up_stand_still_until_there_is_room(struck: Struck) {
    let mut system = System::start(0).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let places = struck.places(&system).await;
    let from = logged(&system, &places);
    for place in &places {
        system.limit_files(*place, Some(1));
    }
    if !struck.leaves_majority() {
        // The leader has to store it; then the others have to store votes for another leader.
        let leader = *places.last().unwrap();
        let _ = system.put_once(leader, &document(2, &usual_routes())).await;
    }
    wait_refused(&system, struck, &places, &from).await;
    wait_restored(&mut system, &places, &from).await;
}

/// Milliseconds that a replica says to have waited for its disk.
fn waited(system: &System, place: u8) -> u64 {
    let lines = system.lines(place, "event=storage_failed");
    let waits = lines.iter().filter_map(|line| line.split(" ms=").nth(1)?.split(' ').next());
    waits.filter_map(|ms| ms.parse().ok()).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_waits_for_its_disk_for_longer_than_half_a_minute() {
    let mut system = System::start(0).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let leader = system.leader().await;
    let place = (1..=REPLICAS).find(|place| *place != leader).unwrap();
    let from = logged(&system, &[place]);
    system.limit_files(place, Some(1));
    wait_refused(&system, Struck::Follower, &[place], &from).await;
    while waited(&system, place) < 30_000 {
        assert_eq!(system.exit_of(place), None, "the replica has ended by itself");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    wait_restored(&mut system, &[place], &from).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_that_waits_for_its_disk_stops_when_asked() {
    let mut system = System::start(0).await;
    system.kill(2).await;
    let from = logged(&system, &[2]);
    system.start_on_full_disk(2, "replica");
    system.publish(1, &document(1, &usual_routes())).await;
    system.wait_line(2, from[0], &["event=storage_failed"]).await;
    system.signal(2, "TERM");
    assert_eq!(system.ended(2).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_learn_at_once_that_a_replica_waits_for_its_disk() {
    let mut system = System::start(0).await;
    system.kill(2).await;
    let from = logged(&system, &[2]);
    system.start_on_full_disk(2, "replica");
    system.publish(1, &document(1, &usual_routes())).await;
    system.wait_line(2, from[0], &["event=storage_failed"]).await;
    system.wait_line(2, from[0], &["event=listening", "side=operator"]).await;
    let get = "GET /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let put = system.put_once(2, &document(2, &usual_routes())).await;
    for reply in [put, system.call(2, "control", get).await] {
        let reply = reply.unwrap();
        assert!(reply.status == 503 && reply.body.contains("waited for its disk"), "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_publish_through_a_replica_whose_disk_has_filled_up() {
    let mut system = System::start(0).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let leader = system.leader().await;
    let place = (1..=REPLICAS).find(|place| *place != leader).unwrap();
    let from = logged(&system, &[place]);
    system.limit_files(place, Some(1));
    wait_refused(&system, Struck::Follower, &[place], &from).await;
    system.publish(place, &document(3, &usual_routes())).await;
    assert_eq!(system.read(leader).await["version"], 3);
    wait_restored(&mut system, &[place], &from).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn file_of_a_first_start_that_was_interrupted_is_made_anew() {
    let mut system = System::start(0).await;
    system.kill(2).await;
    // As a process leaves it that ends between setting the length and writing what is in it.
    let file = std::fs::File::create(system.storage_file(2)).unwrap();
    file.set_len(1 << 20).unwrap();
    system.launch(2, "replica").await;
    system.publish(1, &document(1, &usual_routes())).await;
    assert_eq!(system.read(2).await["version"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn file_that_lost_its_beginning_is_not_made_anew() {
    let mut system = System::start(0).await;
    system.publish(1, &document(1, &usual_routes())).await;
    assert_eq!(system.read(2).await["version"], 1);
    system.kill(2).await;
    let mut bytes = std::fs::read(system.storage_file(2)).unwrap();
    bytes[..512].fill(0);
    std::fs::write(system.storage_file(2), &bytes).unwrap();
    system.start_only(2, "replica");
    assert_eq!(system.ended(2).await, Some(1));
    assert_eq!(std::fs::read(system.storage_file(2)).unwrap(), bytes);
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_whose_file_was_removed_ends_and_starts_with_another_life() {
    let mut system = System::start(0).await;
    let from = logged(&system, &[2]);
    system.limit_files(2, Some(1));
    system.publish(1, &document(1, &usual_routes())).await;
    system.wait_line(2, from[0], &["event=storage_failed"]).await;
    std::fs::remove_file(system.storage_file(2)).unwrap();
    assert_eq!(system.ended(2).await, Some(1));
    system.launch(2, "replica").await;
    assert_eq!(system.read(2).await["version"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_started_beside_its_former_process_waits_for_the_file() {
    let mut system = System::start(0).await;
    let mut former = system.take_process(2);
    let from = system.logged(2);
    system.start_only(2, "replica");
    system.wait_line(2, from, &["event=storage_failed", "already open"]).await;
    former.kill().await.unwrap();
    system.wait_line(2, from, &["event=storage_back"]).await;
    system.publish(1, &document(1, &usual_routes())).await;
    assert_eq!(system.read(2).await["version"], 1);
}

#[parameterized(
    replica_to_boxes = { 2, "replica", "peer" },
    replica_to_metrics = { 2, "replica", "metrics" },
    replica_to_operators = { 2, "replica", "control" },
    relay_to_boxes = { 11, "relay", "peer" },
    relay_to_metrics = { 11, "relay", "metrics" },
    relay_to_callers = { 11, "relay", "front" },
    relay_to_the_balancer = { 11, "relay", "ready" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn address_that_is_taken_is_waited_for(place: u8, role: &'static str, side: &'static str) {
    let mut system = System::start(1).await;
    system.kill(place).await;
    let addr = system.addr(place, side);
    let taken = TcpListener::bind(addr).await.unwrap();
    let from = system.logged(place);
    system.start_only(place, role);
    let named = format!("addr={addr}");
    system.wait_line(place, from, &["event=node_waits", "obstacle=address_taken", &named]).await;
    drop(taken);
    let last = if role == "relay" { "side=forward" } else { "side=operator" };
    system.wait_line(place, from, &["event=listening", last]).await;
    assert_eq!(system.exit_of(place), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_started_while_its_former_process_drains_waits_for_its_addresses() {
    let mut system = System::start(1).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let from = system.logged(11);
    system.signal(11, "TERM");
    system.wait_line(11, from, &["event=draining"]).await;
    let mut former = system.take_process(11);
    let from = system.logged(11);
    system.start_only(11, "relay");
    system.wait_line(11, from, &["event=node_waits", "obstacle=address_taken"]).await;
    let ended = tokio::time::timeout(PATIENCE, former.wait()).await.unwrap().unwrap();
    assert_eq!(ended.code(), Some(0));
    system.wait_line(11, from, &["event=routes_in_force"]).await;
    assert_eq!(system.exit_of(11), None);
}

/// A node process whose settings come through a pipe, so that it stands at its very start until they are written.
struct Starting {
    child: tokio::process::Child,
    settings: tokio::fs::File,
    _folder: tempfile::TempDir,
}

impl Starting {
    /// Returns once the process waits for its settings.
    async fn begin() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("node.ini");
        rustix::fs::mkfifoat(rustix::fs::CWD, &path, Mode::RUSR | Mode::WUSR).unwrap();
        let child = Command::new(binary("emberturn"))
            .arg("node")
            .arg(&path)
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut options = tokio::fs::OpenOptions::new();
        let opening = options.write(true).open(path);
        let settings = tokio::time::timeout(PATIENCE, opening).await.unwrap().unwrap();
        Self { child, settings, _folder: folder }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().unwrap().to_string();
        let sent = std::process::Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        assert!(sent.unwrap().success());
    }
}

const ENTRY: &str = "[node]\nbox_id = a\ndata_centre = d\n[entry]\nlisten = 127.0.0.1:0\n[peer]\nlisten = 127.0.0.1:0\n\
                     [replicas]\nb = 127.0.0.1:7080\n[metrics]\nlisten = 127.0.0.1:0\n";

#[parameterized(
    hangup = { "HUP" },
    user_1 = { "USR1" },
    user_2 = { "USR2" },
    file_size = { "XFSZ" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn signal_before_the_settings_are_read_ends_no_process(signal: &str) {
    let mut starting = Starting::begin().await;
    starting.signal(signal);
    starting.settings.write_all(ENTRY.as_bytes()).await.unwrap();
    drop(starting.settings);
    let mut lines = BufReader::new(starting.child.stdout.take().unwrap()).lines();
    let listening = async {
        while let Some(line) = lines.next_line().await.unwrap() {
            if line.contains("event=listening side=entry") {
                return true;
            }
        }
        false
    };
    assert!(tokio::time::timeout(PATIENCE, listening).await.unwrap(), "it has ended");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_stop_before_the_settings_are_read_ends_the_process_in_order() {
    let mut starting = Starting::begin().await;
    starting.signal("TERM");
    let ended = tokio::time::timeout(PATIENCE, starting.child.wait()).await.unwrap().unwrap();
    assert_eq!(ended.code(), Some(0), "{ended:?}");
}

/// Guards against an end by a line that cannot be written.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_waited_for_though_standard_error_takes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node.ini");
    std::fs::write(&path, "").unwrap();
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut child = Command::new(binary("emberturn"))
        .arg("node")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(full)
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    // By then it has read the empty file, and said so.
    let ends = tokio::time::timeout(Duration::from_secs(1), child.wait()).await;
    assert!(ends.is_err(), "{ends:?}");
    std::fs::write(&path, ENTRY).unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = tokio::time::timeout(PATIENCE, lines.next_line()).await.unwrap().unwrap();
    assert!(line.unwrap_or_default().contains("event=started"));
}

#[parameterized(empty = { 0.0 }, half = { 0.5 }, last_tenth_missing = { 0.9 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn settings_that_are_being_written_are_waited_for(share: f64) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node.ini");
    let whole = ENTRY.replace("[node]\n", "[node]\nmarks_end = true\n") + "[end]\n";
    let part = &whole[..(whole.len() as f64 * share) as usize];
    std::fs::write(&path, part).unwrap();
    let mut child = Command::new(binary("emberturn"))
        .arg("node")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut errors = BufReader::new(child.stderr.take().unwrap()).lines();
    let said = tokio::time::timeout(PATIENCE, errors.next_line()).await.unwrap().unwrap();
    assert!(said.unwrap_or_default().contains("waiting for the settings"));
    std::fs::write(&path, whole).unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = tokio::time::timeout(PATIENCE, lines.next_line()).await.unwrap().unwrap();
    assert!(line.unwrap_or_default().contains("event=started"));
}

#[parameterized(relay = { "relay" }, replica = { "replica" })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_part_of_the_platforms_settings_passes_for_the_whole(role: &'static str) {
    let text = System::new().await.settings_text(1, role);
    Settings::parse("whole", &text).unwrap();
    for end in 0..text.trim_end().len() {
        if text.is_char_boundary(end) {
            assert!(Settings::parse("part", &text[..end]).is_err(), "{:?}", &text[..end]);
        }
    }
}

/// What happens to one replica for a while.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// Its disk refuses writes.
    FullDisk,
    /// It is killed and started again.
    Kill,
    /// It is killed, and started again onto a disk that refuses writes.
    KillOntoFullDisk,
    /// It is killed, and started again while one of its addresses is taken.
    KillOntoTakenAddress,
    /// It gets signals in a row.
    Signals,
}

const TROUBLES: [Trouble; 5] = [
    Trouble::FullDisk,
    Trouble::Kill,
    Trouble::KillOntoFullDisk,
    Trouble::KillOntoTakenAddress,
    Trouble::Signals,
];

/// Lets troubles come over the replicas, several at a time, while an operator publishes.
struct Soak {
    system: System,
    rng: StdRng,
    /// The newest version that was acknowledged.
    held: u64,
    taken: Vec<TcpListener>,
    /// The line of each replica's log behind which its present process writes.
    starts: [usize; REPLICAS as usize],
}

impl Soak {
    async fn strike(&mut self) {
        let place = self.rng.random_range(1..=REPLICAS);
        let trouble = TROUBLES[self.rng.random_range(0..TROUBLES.len())];
        self.check(place);
        match trouble {
            Trouble::FullDisk => self.system.limit_files(place, Some(1)),
            Trouble::Kill => {
                self.kill(place).await;
                self.system.start_only(place, "replica");
            }
            Trouble::KillOntoFullDisk => {
                self.kill(place).await;
                self.system.start_on_full_disk(place, "replica");
                // The limit is in place once the program runs.
                self.wait_started(place).await;
            }
            Trouble::KillOntoTakenAddress => {
                self.kill(place).await;
                let side = ["peer", "control", "metrics"][self.rng.random_range(0..3)];
                let taken = TcpListener::bind(self.system.addr(place, side)).await;
                self.taken.extend(taken.ok());
                self.system.start_only(place, "replica");
            }
            Trouble::Signals => {
                // Until its first line a process has no handlers.
                self.wait_started(place).await;
                for signal in ["HUP", "USR1", "XFSZ", "USR2", "HUP"] {
                    self.system.signal(place, signal);
                }
            }
        }
    }

    async fn kill(&mut self, place: u8) {
        self.system.kill(place).await;
        self.starts[usize::from(place - 1)] = self.system.logged(place);
    }

    async fn wait_started(&self, place: u8) {
        let from = self.starts[usize::from(place - 1)];
        self.system.wait_line(place, from, &["event=started"]).await;
    }

    /// No process has ended by itself.
    fn check(&mut self, place: u8) {
        let exit = self.system.exit_of(place);
        assert!(exit.is_none(), "replica {place} has ended by itself: {exit:?}");
    }

    /// Sends the next version to a replica; it may be acknowledged or not.
    async fn publish(&mut self, version: u64) {
        let place = self.rng.random_range(1..=REPLICAS);
        let document = document(version, &usual_routes());
        let reply = self.system.put_once(place, &document).await;
        if reply.is_some_and(|reply| reply.status == 200) {
            self.held = version;
        }
    }

    async fn relieve(&mut self) {
        self.taken.clear();
        for place in 1..=REPLICAS {
            self.check(place);
            self.system.limit_files(place, None);
        }
    }
}

async fn soak(seed: u64) {
    let system = System::start(0).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let rng = StdRng::seed_from_u64(seed);
    let mut soak = Soak { system, rng, held: 1, taken: Vec::new(), starts: [0; REPLICAS as usize] };
    for round in 0..4 {
        for step in 0..3 {
            soak.strike().await;
            soak.publish(2 + round * 3 + step).await;
        }
        soak.relieve().await;
    }
    // What was acknowledged is still there once everything has passed.
    let newest = soak.system.read(1).await["version"].as_u64().unwrap();
    assert!(newest >= soak.held, "{newest} is read, {} was acknowledged", soak.held);
    soak.system.publish(1, &document(100, &usual_routes())).await;
    for place in 1..=REPLICAS {
        soak.check(place);
        assert_eq!(soak.system.read(place).await["version"], 100);
    }
}

#[parameterized(seed_1 = { 1 }, seed_2 = { 2 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_process_ends_by_itself_whatever_comes_together(seed: u64) {
    soak(seed).await;
}

/// More seeds by hand: `EMBERTURN_SEEDS=50 cargo test --test own_ends further_seeds`.
#[test]
fn no_process_ends_by_itself_in_further_seeds() {
    let last = std::env::var("EMBERTURN_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 3..=last.unwrap_or(2) {
        println!("seed {seed}");
        platform::run(soak(seed));
    }
}

/// Guards against a leader that polls, reports and orders nothing while it waits for an address.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_waits_for_an_address_has_its_duties() {
    let mut system = System::start(0).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let mut taken = Vec::new();
    for place in 1..=REPLICAS {
        system.kill(place).await;
        taken.push(TcpListener::bind(system.addr(place, "metrics")).await.unwrap());
    }
    let from: Vec<_> = (1..=REPLICAS).map(|place| system.logged(place)).collect();
    for place in 1..=REPLICAS {
        system.start_only(place, "replica");
    }
    let read = system.until("a leader reads the list", || async {
        (1..=REPLICAS)
            .zip(&from)
            .find(|(place, from)| system.has_line(*place, **from, "event=list_read"))
    });
    let (place, from) = read.await;
    assert!(system.has_line(place, *from, "whom=metrics"));
    assert_eq!(system.read(place).await["version"], 1);
}
