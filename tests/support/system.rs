//! Real processes as the users' platform runs them: settings from the templates in `deploy/`, boxes
//! that know three seeds only, and a stand-in for the platform's interface.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use emberturn_fakes::cluster::binary;
use emberturn_fakes::proxy::Proxy;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;

use cloud::Cloud;

use crate::platform::{PATIENCE, Reply};

#[path = "cloud.rs"]
mod cloud;

/// Pause between two looks at something that no event tells of.
const LOOK: Duration = Duration::from_millis(50);

static SYSTEMS: AtomicU8 = AtomicU8::new(1);

/// Fills a template's plain gaps, `{{a.b.0}}`; lists are joined by commas.
pub fn fill(template: &str, fields: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, behind) = after.split_once("}}").expect("a gap that does not end");
        if let Some(name) = name.strip_prefix('#') {
            let (repeated, behind) =
                behind.split_once(&format!("{{{{/{name}}}}}")).expect("a part that does not end");
            text.push_str(before);
            for (key, value) in fields[name].as_object().into_iter().flatten() {
                text.push_str(&repeated.replace("{{@}}", key).replace("{{.}}", &plain(value)));
            }
            rest = behind;
            continue;
        }
        let mut value = fields;
        for step in name.split('.') {
            value = match step.parse::<usize>() {
                Ok(place) => &value[place],
                Err(_) => &value[step],
            };
        }
        text.push_str(before);
        text.push_str(&plain(value));
        rest = behind;
    }
    text + rest
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(values) => values.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// A template of `deploy/`.
pub fn template(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(name);
    std::fs::read_to_string(file).unwrap()
}

/// One box.
pub struct SystemBox {
    folder: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
    lines: watch::Receiver<usize>,
    count: Arc<watch::Sender<usize>>,
}

/// Boxes with their processes.
pub struct System {
    /// The platform's interface.
    pub cloud: Cloud,
    /// The boxes by their IP addresses.
    pub boxes: BTreeMap<IpAddr, SystemBox>,
    seeds: Vec<IpAddr>,
    subnet: (u8, u8),
    ports: HashMap<&'static str, u16>,
    first_start: bool,
    /// The data centres of boxes, where they lie in more than one, and the region of each.
    sites: BTreeMap<u8, &'static str>,
    regions: Value,
    /// By how many units a team's limit may be passed beside its part.
    pub slack: u64,
    folder: TempDir,
}

/// Keeps the logs of a test that failed, so that one that is seen once can be traced.
impl Drop for System {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "failed-{}-{}",
            std::process::id(),
            self.subnet.1
        ));
        let kept = std::fs::create_dir_all(&folder).is_ok()
            && self.boxes.iter().all(|(ip, it)| {
                let lines = it.log.lock().map(|log| log.join("\n")).unwrap_or_default();
                std::fs::write(folder.join(format!("{ip}.log")), lines).is_ok()
            });
        println!("logs of the boxes, kept: {kept}, in {}", folder.display());
    }
}

impl System {
    /// A system of its own loopback subnet, without boxes yet.
    pub async fn new() -> Self {
        let subnet =
            (100 + (std::process::id() % 100) as u8, SYSTEMS.fetch_add(1, Ordering::SeqCst));
        let own = IpAddr::from([127, subnet.0, subnet.1, 250]);
        let mut ports = HashMap::new();
        let mut held = Vec::new();
        for name in ["peer", "metrics", "front", "ready", "control"] {
            let listener = TcpListener::bind((own, 0)).await.unwrap();
            ports.insert(name, listener.local_addr().unwrap().port());
            held.push(listener);
        }
        Self {
            cloud: Cloud::start(own).await,
            boxes: BTreeMap::new(),
            seeds: (1..=3).map(|place| IpAddr::from([127, subnet.0, subnet.1, place])).collect(),
            subnet,
            ports,
            first_start: true,
            sites: BTreeMap::new(),
            regions: json!({}),
            slack: 140_000,
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// The address of a place in the system's subnet.
    pub fn ip(&self, place: u8) -> IpAddr {
        IpAddr::from([127, self.subnet.0, self.subnet.1, place])
    }

    /// Starts five replicas, three of them seeds, and this many relays.
    pub async fn start(relays: u8) -> Self {
        let mut system = Self::new().await;
        for place in 1..=5 {
            system.launch(place, "replica").await;
        }
        for place in 11..11 + relays {
            system.launch(place, "relay").await;
        }
        system.first_start = false;
        system
    }

    fn settings(&self, ip: IpAddr, role: &str, folder: &Path) -> String {
        let at = |name: &str| format!("{ip}:{}", self.ports[name]);
        let seeds: Vec<_> =
            self.seeds.iter().map(|seed| format!("{seed}:{}", self.ports["control"])).collect();
        let fields = json!({
            "ip": ip, "zone": self.site(ip), "zones": self.regions, "data_dir": folder.join("data"), "seeds": seeds,
            "first_start": self.first_start, "fault_tolerance": { "machines": 2 },
            "internal_port_range": [self.ports["peer"], self.ports["metrics"]],
            "listen_addresses": {
                "front": at("front"), "ready": at("ready"), "control": at("control"),
            },
            "cloud_api": { "address": self.cloud.addr },
            "bounds": {
                "config_apply_ms": 2_000, "revoke_ms": 5_000, "retry_budget_ratio": 0.2, "budget_min_retries": 50,
                "budget_window_s": 10, "grace_s": 8, "usage_window_s": 1, "usage_late_s": 2,
                "lease_ms": 3_000, "quota_window_s": 8, "quota_overshoot": 0.1,
                "quota_slack": self.slack, "ack_timeout_ms": 4_000, "expose_share": 0.1,
                "expose_slack": 50,
            },
        });
        fill(&template(&format!("{role}.ini")), &fields)
    }

    /// Lets boxes lie in data centres, each in a region.
    pub fn lie_in(&mut self, sites: BTreeMap<u8, &'static str>, regions: Value) {
        (self.sites, self.regions) = (sites, regions);
    }

    fn site(&self, ip: IpAddr) -> &'static str {
        let place = self.sites.iter().find(|(place, _)| self.ip(**place) == ip);
        place.map_or("here", |(_, site)| site)
    }

    /// Where a replica is reached by other boxes.
    pub fn peer_addr(&self, place: u8) -> SocketAddr {
        (self.ip(place), self.ports["peer"]).into()
    }

    /// Where a side of a box listens.
    pub fn addr(&self, place: u8, side: &str) -> SocketAddr {
        (self.ip(place), self.ports[side]).into()
    }

    /// Starts a relay that reaches each replica through a proxy only.
    pub async fn launch_behind(&mut self, place: u8, proxies: &BTreeMap<IpAddr, Proxy>) {
        let replicas = proxies.iter().map(|(ip, proxy)| (*ip, proxy.addr)).collect();
        self.launch_to(place, "relay", &replicas).await;
    }

    /// Starts a box that reaches the replicas at these addresses.
    pub async fn launch_to(
        &mut self,
        place: u8,
        role: &'static str,
        replicas: &BTreeMap<IpAddr, SocketAddr>,
    ) {
        let ip = self.ip(place);
        let text = self.settings(ip, role, &self.folder_of(place));
        let (before, rest) = text.split_once("[group]").unwrap();
        let (_, after) = rest.split_once("\n[").unwrap();
        let listed = replicas.iter().map(|(ip, addr)| format!("{ip} = {addr}\n"));
        let listed: String = listed.collect();
        let text = format!("{before}[replicas]\n{listed}\n[{after}");
        self.start_process(place, role, text).await;
    }

    /// Proxies in front of the replicas' sides for other boxes.
    pub async fn proxies(&self) -> BTreeMap<IpAddr, Proxy> {
        let mut proxies = BTreeMap::new();
        for ip in (1..=5).map(|place| self.ip(place)) {
            let upstream = SocketAddr::from((ip, self.ports["peer"]));
            proxies.insert(ip, Proxy::start(Some(upstream)).await.unwrap());
        }
        proxies
    }

    fn folder_of(&self, place: u8) -> PathBuf {
        self.folder.path().join(place.to_string())
    }

    /// Starts a box's process; what it had on its disk is still there.
    pub async fn launch(&mut self, place: u8, role: &'static str) {
        let text = self.settings(self.ip(place), role, &self.folder_of(place));
        self.start_process(place, role, text).await;
    }

    async fn start_process(&mut self, place: u8, role: &'static str, settings: String) {
        let ip = self.ip(place);
        let folder = self.folder_of(place);
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("settings.ini");
        std::fs::write(&file, settings).unwrap();
        let entry = self.boxes.entry(ip).or_insert_with(|| {
            let (count, lines) = watch::channel(0);
            let (log, count) = (Arc::default(), Arc::new(count));
            SystemBox { folder, child: None, log, lines, count }
        });
        let mut child = Command::new(binary("emberturn"))
            .arg("node")
            .arg(file)
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let (log, count) = (entry.log.clone(), entry.count.clone());
        tokio::spawn(async move {
            let mut lines = BufReader::new(stdout).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                log.lock().unwrap().push(line);
                count.send_modify(|count| *count += 1);
            }
        });
        entry.child = Some(child);
        let side = if role == "relay" { "side=relay" } else { "side=operator" };
        let from = 0;
        self.wait_line(place, from, &["event=listening", side]).await;
    }

    /// How many lines a box has logged.
    pub fn logged(&self, place: u8) -> usize {
        self.boxes[&self.ip(place)].log.lock().unwrap().len()
    }

    /// How many lines of a box's log hold `part`.
    pub fn count_lines(&self, place: u8, part: &str) -> usize {
        let log = self.boxes[&self.ip(place)].log.lock().unwrap();
        log.iter().filter(|line| line.contains(part)).count()
    }

    /// Whether a box has logged a line that holds `part`, from line `from` on.
    pub fn has_line(&self, place: u8, from: usize, part: &str) -> bool {
        let log = self.boxes[&self.ip(place)].log.lock().unwrap();
        log.iter().skip(from).any(|line| line.contains(part))
    }

    /// Waits for a line of a box's log that holds all of `parts`, from line `from` on.
    pub async fn wait_line(&self, place: u8, from: usize, parts: &[&str]) -> String {
        let it = &self.boxes[&self.ip(place)];
        let mut lines = it.lines.clone();
        let found = tokio::time::timeout(PATIENCE, async {
            loop {
                lines.borrow_and_update();
                let hit = {
                    let log = it.log.lock().unwrap();
                    let mut behind = log.iter().skip(from);
                    behind.find(|line| parts.iter().all(|part| line.contains(part))).cloned()
                };
                if let Some(line) = hit {
                    return line;
                }
                lines.changed().await.unwrap();
            }
        });
        let found = found.await;
        found.unwrap_or_else(|_| {
            let log = it.log.lock().unwrap().join("\n");
            panic!("box {place}: no line with {parts:?} in:\n{log}")
        })
    }

    /// Kills a box's process.
    pub async fn kill(&mut self, place: u8) {
        let ip = self.ip(place);
        if let Some(mut child) = self.boxes.get_mut(&ip).unwrap().child.take() {
            child.kill().await.unwrap();
        }
    }

    /// Empties a killed box's disk.
    pub fn lose_disk(&self, place: u8) {
        let _ = std::fs::remove_dir_all(self.boxes[&self.ip(place)].folder.join("data"));
    }

    /// Sends a signal to a box's process.
    pub fn signal(&self, place: u8, signal: &str) {
        let child = self.boxes[&self.ip(place)].child.as_ref().unwrap();
        let id = child.id().unwrap().to_string();
        let sent = std::process::Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        assert!(sent.unwrap().success());
    }

    /// Waits until a box's process has ended; its exit code.
    pub async fn ended(&mut self, place: u8) -> Option<i32> {
        let ip = self.ip(place);
        let child = self.boxes.get_mut(&ip).unwrap().child.as_mut().unwrap();
        tokio::time::timeout(PATIENCE, child.wait()).await.unwrap().unwrap().code()
    }

    /// Makes one call to a side of a box; `None` when there is no whole answer.
    pub async fn call(&self, place: u8, side: &str, text: &str) -> Option<Reply> {
        let mut stream = TcpStream::connect((self.ip(place), self.ports[side])).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        tokio::time::timeout(PATIENCE, reading).await.ok()?.ok()?;
        let reply = Reply::parse(&String::from_utf8_lossy(&answer));
        (reply.status > 0).then_some(reply)
    }

    /// Publishes a document at a replica, again and again until it is taken.
    pub async fn publish(&self, place: u8, document: &Value) {
        let body = document.to_string();
        let text = format!(
            "PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        self.until("the document is taken", || async {
            let reply = self.call(place, "control", &text).await?;
            (reply.status == 200).then_some(())
        })
        .await;
    }

    /// Runs an operator's command against a box.
    pub async fn operator(&self, place: u8, words: &[&str]) -> std::process::Output {
        let addr = SocketAddr::from((self.ip(place), self.ports["peer"]));
        let (command, rest) = words.split_first().unwrap();
        let mut process = Command::new(binary("emberturn"));
        process.args([command, "--node", &addr.to_string()]).args(rest);
        process.output().await.unwrap()
    }

    /// The replica that leads.
    pub async fn leader(&self) -> u8 {
        self.until("a replica leads", || async {
            for place in 1..=5 {
                let output = self.operator(place, &["status"]).await;
                if String::from_utf8_lossy(&output.stdout).contains("role=leader") {
                    return Some(place);
                }
            }
            None
        })
        .await
    }

    /// Orders a roll-out at a replica; its answer.
    pub async fn order_rollout(&self, place: u8, body: &Value) -> Option<Reply> {
        let body = body.to_string();
        let text = format!(
            "POST /rollouts HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        self.call(place, "control", &text).await
    }

    /// The state of a service's last roll-out, as a replica tells it once it is sure.
    pub async fn rollout(&self, place: u8, service: &str) -> Value {
        let text =
            format!("GET /rollouts/{service} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        self.until("the roll-out is read", || async {
            let reply = self.call(place, "control", &text).await?;
            (reply.status == 200).then(|| serde_json::from_str(&reply.body).unwrap())
        })
        .await
    }

    /// The document a replica gives, once it gives one.
    pub async fn read(&self, place: u8) -> Value {
        let text = "GET /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        self.until("the document is read", || async {
            let reply = self.call(place, "control", text).await?;
            (reply.status == 200).then(|| serde_json::from_str(&reply.body).unwrap())
        })
        .await
    }

    /// Asks a relay on a route, once.
    pub async fn ask(&self, place: u8, method: &str, route: &str) -> Option<Reply> {
        let text = format!(
            "{method} /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\n\
             Deadline-Ms: 8000\r\nApi-Key: key-a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        self.call(place, "front", &text).await
    }

    /// Waits until a relay answers a route with a status.
    pub async fn wait_status(&self, place: u8, route: &str, status: u16) {
        self.until(&format!("{route} is answered {status}"), || async {
            let reply = self.ask(place, "POST", route).await?;
            (reply.status == status).then_some(())
        })
        .await;
    }

    /// Looks again and again until there is a result.
    pub async fn until<T, F, Fut>(&self, what: &str, mut look: F) -> T
    where
        F: FnMut() -> Fut,
        Fut: Future<Output = Option<T>>,
    {
        let found = tokio::time::timeout(PATIENCE, async {
            loop {
                if let Some(found) = look().await {
                    return found;
                }
                tokio::time::sleep(LOOK).await;
            }
        });
        found.await.unwrap_or_else(|_| panic!("not in time: {what}"))
    }
}
