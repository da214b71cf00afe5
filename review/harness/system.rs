//! A small deployment: the product's processes with the settings of `deploy/`, and a stand-in for
//! the platform that lists servers and takes the leader's calls.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The product as the deploy file builds and starts it.
const PROGRAM: &str = "target/release/emberturn";

/// How long anything may take that must happen before a case can begin.
const SETUP_TIME: Duration = Duration::from_secs(30);

/// A server as the platform lists it.
#[derive(Debug, Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub version: String,
    pub slots: u32,
    pub state: &'static str,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0}}",
            self.id, self.service, self.addr, self.version, self.slots, self.state
        )
    }
}

/// The servers that the platform lists.
pub type Listing = Arc<Mutex<Vec<Listed>>>;

/// The processes that run, by id: all of them end with this program.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills every process that this program started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// The deployment. Its processes are killed when it is dropped.
pub struct System {
    pub listing: Listing,
    subnet: (u8, u8),
    ports: BTreeMap<&'static str, u16>,
    platform: SocketAddr,
    folder: PathBuf,
    first_start: bool,
    /// The replicas that are part of the deployment.
    replicas: BTreeSet<u8>,
    children: BTreeMap<u8, Child>,
    began: Instant,
    record: Arc<Mutex<fs::File>>,
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Writes lines with their time to `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
    }
}

impl System {
    /// Prepares a deployment; the record goes into `case_folder`.
    pub fn new(case_folder: &str) -> Self {
        let id = std::process::id();
        let subnet = (64 + (id % 60) as u8, (id / 60 % 250) as u8 + 1);
        let own = IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1, 250));
        let names = ["peer", "metrics", "front", "ready", "control"];
        let held: Vec<_> = names.iter().map(|_| TcpListener::bind((own, 0)).unwrap()).collect();
        let ports = names.iter().zip(&held);
        let ports = ports.map(|(name, it)| (*name, it.local_addr().unwrap().port())).collect();
        let listing = Listing::default();
        let platform = serve_platform(own, listing.clone());
        let folder = std::env::temp_dir().join(format!("emberturn-review-{id}"));
        fs::create_dir_all(&folder).unwrap();
        let record = fs::File::create(format!("{case_folder}/record.txt")).unwrap();
        let record = Arc::new(Mutex::new(record));
        let (children, began) = (BTreeMap::new(), Instant::now());
        let (replicas, first_start) = ((1..=5).collect(), true);
        Self {
            listing,
            subnet,
            ports,
            platform,
            folder,
            first_start,
            replicas,
            children,
            began,
            record,
        }
    }

    pub fn record(&self) -> Record {
        Record { began: self.began, file: self.record.clone() }
    }

    pub fn ip(&self, place: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.subnet.0, self.subnet.1, place))
    }

    pub fn addr(&self, place: u8, side: &str) -> SocketAddr {
        (self.ip(place), self.ports[side]).into()
    }

    /// Starts five replicas and this many relays, from place 11 on.
    pub fn start(&mut self, relays: u8) {
        for place in self.replicas.clone() {
            self.launch(place, "replica");
        }
        for place in 11..11 + relays {
            self.launch(place, "relay");
        }
        self.first_start = false;
    }

    /// Starts the process of one machine; its disk is as the former process left it.
    pub fn launch(&mut self, place: u8, role: &str) {
        let folder = self.folder.join(place.to_string());
        fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("settings.ini");
        fs::write(&settings, self.settings(place, role, &folder)).unwrap();
        let log = folder.join("log.txt");
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(PROGRAM);
        command.arg("node").arg(&settings).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().expect("the product is built");
        RUNNING.lock().unwrap().insert(child.id());
        self.children.insert(place, child);
    }

    fn settings(&self, place: u8, role: &str, folder: &std::path::Path) -> String {
        let seeds = self.replicas.iter().filter(|it| self.first_start || **it != place).take(3);
        let seeds: Vec<_> = seeds.map(|it| self.addr(*it, "control").to_string()).collect();
        let text = |it: &dyn ToString| it.to_string();
        let fields = [
            ("ip", text(&self.ip(place))),
            ("zone", "zone-a".to_owned()),
            ("data_dir", folder.join("data").display().to_string()),
            ("seeds", seeds.join(",")),
            ("first_start", text(&self.first_start)),
            ("internal_port_range.0", text(&self.ports["peer"])),
            ("internal_port_range.1", text(&self.ports["metrics"])),
            ("listen_addresses.front", text(&self.addr(place, "front"))),
            ("listen_addresses.ready", text(&self.addr(place, "ready"))),
            ("listen_addresses.control", text(&self.addr(place, "control"))),
            ("fault_tolerance.machines", "2".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.file_descriptors", "4100".to_owned()),
            ("cloud_api.address", text(&self.platform)),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_min_retries", "58".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.usage_window_s", "5".to_owned()),
            ("bounds.usage_late_s", "10".to_owned()),
            ("bounds.quota_window_s", "8".to_owned()),
            ("bounds.quota_overshoot", "0.1".to_owned()),
            ("bounds.quota_slack", "140000".to_owned()),
            ("bounds.ack_timeout_ms", "4000".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.expose_share", "0.1".to_owned()),
            ("bounds.expose_slack", "50".to_owned()),
        ];
        let mut text = fs::read_to_string(format!("deploy/{role}.ini")).unwrap();
        if let (Some(from), Some(to)) = (text.find("{{#zones}}"), text.find("{{/zones}}")) {
            text.replace_range(from..to + "{{/zones}}".len(), "zone-a = region-a\n");
        }
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a field of the template is unknown: {text}");
        text
    }

    /// Kills the process of one machine (SIGKILL).
    pub fn kill(&mut self, place: u8) {
        if let Some(mut child) = self.children.remove(&place) {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().remove(&child.id());
        }
    }

    /// Takes a machine out of the deployment for good: it is killed, and its disk is gone.
    pub fn remove(&mut self, place: u8) {
        self.replicas.remove(&place);
        self.kill(place);
        let _ = fs::remove_dir_all(self.folder.join(place.to_string()).join("data"));
    }

    /// Asks the process of one machine to stop (SIGTERM).
    pub fn terminate(&mut self, place: u8) {
        self.replicas.remove(&place);
        if let Some(child) = self.children.get(&place) {
            let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        }
    }

    /// Whether the process of a machine runs.
    pub fn runs(&mut self, place: u8) -> bool {
        self.children.get_mut(&place).is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Adds a machine with a replica and an empty disk, at an address of its own.
    pub fn add_replica(&mut self, place: u8) {
        self.launch(place, "replica");
        self.replicas.insert(place);
    }

    /// The replicas of the deployment.
    pub fn replicas(&self) -> Vec<u8> {
        self.replicas.iter().copied().collect()
    }

    /// The replica that leads, by its own word.
    pub fn leader(&self) -> Option<u8> {
        self.replicas().into_iter().find(|place| {
            let node = self.addr(*place, "peer").to_string();
            let output = Command::new(PROGRAM).args(["status", "--node", &node]).output();
            output.is_ok_and(|it| String::from_utf8_lossy(&it.stdout).contains("role=leader"))
        })
    }

    /// The version of the configuration that a replica gives, if it gives one.
    pub fn read_config(&self, place: u8) -> Option<String> {
        let request = "GET /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = self.operator(place, request).filter(|it| it.status() == 200)?;
        let text = answer.text();
        let (_, behind) = text.split_once("\"version\":")?;
        Some(behind.chars().take_while(char::is_ascii_digit).collect())
    }

    /// Sends a configuration to the replicas until one acknowledges it.
    pub fn publish(&self, document: &str) {
        let request = json_request("PUT", "/config", document);
        self.until("the configuration is acknowledged", || {
            self.replicas
                .iter()
                .any(|it| self.operator(*it, &request).is_some_and(|it| it.status() == 200))
        });
    }

    /// Orders a roll-out until a replica acknowledges it.
    pub fn order_rollout(&self, body: &str) {
        let request = json_request("POST", "/rollouts", body);
        self.until("the roll-out is acknowledged", || {
            self.replicas
                .iter()
                .any(|it| self.operator(*it, &request).is_some_and(|it| it.status() == 200))
        });
    }

    /// The state of a service's roll-out, where a replica tells it.
    pub fn rollout_state(&self, service: &str) -> String {
        let request =
            format!("GET /rollouts/{service} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let answers = self.replicas.iter().filter_map(|it| self.operator(*it, &request));
        let found = answers.map(|it| it.text()).find(|it| it.contains("state"));
        found.unwrap_or_default()
    }

    fn operator(&self, place: u8, request: &str) -> Option<http::Message> {
        let limit = Duration::from_millis(2_600);
        http::call(self.addr(place, "control"), request.as_bytes(), limit).ok()
    }

    /// Waits until every relay calls itself ready.
    pub fn wait_ready(&self, relays: u8) {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        for place in 11..11 + relays {
            self.until("a relay is ready", || {
                let answer = http::call(self.addr(place, "ready"), request, Duration::from_secs(1));
                answer.is_ok_and(|it| it.status() == 200)
            });
        }
    }

    /// Looks again and again until `holds`. Ends the case with 2 where it does not in time.
    pub fn until(&self, what: &str, holds: impl Fn() -> bool) {
        let began = Instant::now();
        while !holds() {
            if began.elapsed() > SETUP_TIME {
                self.record().line(&format!("could not run: not in time: {what}"));
                panic!("not in time: {what}");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn json_request(method: &str, path: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Serves the platform's list, and takes usage reports and orders of servers.
fn serve_platform(ip: IpAddr, listing: Listing) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let listing = listing.clone();
            thread::spawn(move || answer_platform(stream, &listing));
        }
    });
    addr
}

fn answer_platform(stream: TcpStream, listing: &Listing) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read_request(&mut reader) {
        let body = match request.line.starts_with("GET /instances") {
            true => {
                let entries: Vec<_> = listing.lock().unwrap().iter().map(Listed::json).collect();
                format!("{{\"instances\":[{}],\"next_page_token\":null}}", entries.join(","))
            }
            false => "{}".to_owned(),
        };
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json";
        let answer = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
