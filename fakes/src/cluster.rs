//! Real node processes behind fault-injecting proxies, for tests and measurements.
//!
//! Every address in a node's settings is a proxy's, one for each pair of boxes, so that any of them
//! can be cut or delayed and its bytes counted. Nodes listen on free ports and say in their log which.
//!
//! A harness: what goes wrong in it panics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Output, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

use crate::http::{self, Answer};
use crate::proxy::{Fault, Proxy};

/// The longest anything in a test is waited for. Nothing is asserted about time.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The key of the team `portal` in [`base_change`].
pub const KEY: &str = "portal-secret";

/// How a box is set up.
#[derive(Debug, Clone)]
pub struct BoxPlan {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it has a disk and votes.
    pub replica: bool,
    /// More settings; they continue the section `entry`.
    pub extra: String,
}

impl BoxPlan {
    /// A box with a disk, in the data centre `dc1`.
    pub fn replica(name: &str) -> Self {
        Self { name: name.into(), data_centre: "dc1".into(), replica: true, extra: String::new() }
    }

    /// A box without a disk.
    pub fn diskless(name: &str) -> Self {
        Self { replica: false, ..Self::replica(name) }
    }

    /// The same with more settings.
    pub fn extra(mut self, text: &str) -> Self {
        self.extra.push_str(text);
        self
    }
}

/// One box: its process, while it runs, and the proxies towards it.
pub struct TestBox {
    /// How it is set up.
    pub plan: BoxPlan,
    /// Its files.
    pub folder: PathBuf,
    /// Where everybody but replicas reaches its peer side.
    pub peer: Proxy,
    /// Where callers reach it.
    pub entry: Proxy,
    /// What it logs.
    pub log: Log,
    child: Option<Child>,
}

/// A node's log lines, as they come.
#[derive(Clone, Default)]
pub struct Log {
    lines: Arc<Mutex<Vec<String>>>,
    count: Arc<watch::Sender<usize>>,
}

impl Log {
    fn push(&self, line: String) {
        let mut lines = self.lines.lock().unwrap();
        lines.push(line);
        self.count.send_replace(lines.len());
    }

    /// The lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Waits for a line that holds all of `parts`, from line `from` on.
    pub async fn wait_from(&self, from: usize, parts: &[&str]) -> String {
        let mut count = self.count.subscribe();
        let found = tokio::time::timeout(PATIENCE, async {
            loop {
                count.borrow_and_update();
                let lines = self.lines();
                let hit =
                    lines.iter().skip(from).find(|line| parts.iter().all(|p| line.contains(p)));
                if let Some(line) = hit {
                    return line.clone();
                }
                count.changed().await.unwrap();
            }
        });
        let found = found.await;
        found.unwrap_or_else(|_| panic!("no line with {parts:?} in:\n{}", self.lines().join("\n")))
    }
}

/// A cluster of boxes.
pub struct Cluster {
    /// The boxes by name.
    pub boxes: BTreeMap<String, TestBox>,
    /// Proxies from a box to a replica.
    pub pairs: BTreeMap<(String, String), Proxy>,
    /// Where all files are.
    pub folder: TempDir,
}

impl Cluster {
    /// Starts the boxes and forms the group of the replicas among them.
    pub async fn start(plans: &[BoxPlan]) -> Self {
        let mut cluster = Self::lay_out(plans).await;
        for plan in plans {
            cluster.launch(&plan.name).await;
        }
        cluster.form().await;
        cluster
    }

    /// Makes proxies and settings, and starts nothing.
    pub async fn lay_out(plans: &[BoxPlan]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut boxes = BTreeMap::new();
        let mut pairs = BTreeMap::new();
        for plan in plans {
            for to in plans.iter().filter(|to| to.replica) {
                let proxy = Proxy::start(None).await.unwrap();
                pairs.insert((plan.name.clone(), to.name.clone()), proxy);
            }
            let test_box = TestBox {
                plan: plan.clone(),
                folder: folder.path().join(&plan.name),
                peer: Proxy::start(None).await.unwrap(),
                entry: Proxy::start(None).await.unwrap(),
                log: Log::default(),
                child: None,
            };
            boxes.insert(plan.name.clone(), test_box);
        }
        let cluster = Self { boxes, pairs, folder };
        for plan in plans {
            cluster.write_settings(plan);
        }
        cluster
    }

    fn write_settings(&self, plan: &BoxPlan) {
        let test_box = &self.boxes[&plan.name];
        std::fs::create_dir_all(&test_box.folder).unwrap();
        let roles = if plan.replica { "entry, replica" } else { "entry" };
        let mut text = format!(
            "[node]\nbox_id = {}\ndata_centre = {}\nroles = {roles}\n",
            plan.name, plan.data_centre
        );
        if plan.replica {
            text += &format!("data_folder = {}\n", test_box.folder.join("data").display());
        }
        text += &format!("[peer]\nlisten = 127.0.0.1:0\nadvertise = {}\n", test_box.peer.addr);
        text += "secret = test-secret\n[metrics]\nlisten = 127.0.0.1:0\n";
        text += "[log]\nlevel = info,emberturn::group=debug\n[replicas]\n";
        for ((_, to), proxy) in self.pairs.iter().filter(|((from, _), _)| *from == plan.name) {
            text += &format!("{to} = {}\n", proxy.addr);
        }
        text += &format!("[entry]\nlisten = 127.0.0.1:0\nadvertise = {}\n", test_box.entry.addr);
        text += &plan.extra;
        std::fs::write(test_box.folder.join("node.ini"), text).unwrap();
    }

    /// Starts a box's process and waits until it listens.
    pub async fn launch(&mut self, name: &str) {
        let test_box = self.boxes.get_mut(name).unwrap();
        let from = test_box.log.lines().len();
        let mut child = Command::new(binary("emberturn"))
            .arg("node")
            .arg(test_box.folder.join("node.ini"))
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let stdout = child.stdout.take().unwrap();
        let log = test_box.log.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(stdout).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                log.push(line);
            }
        });
        test_box.child = Some(child);
        let log = test_box.log.clone();
        let peer = listening(&log.wait_from(from, &["event=listening", "side=peer"]).await);
        let entry = listening(&log.wait_from(from, &["event=listening", "side=entry"]).await);
        let test_box = &self.boxes[name];
        test_box.peer.forward_to(peer);
        test_box.entry.forward_to(entry);
        for ((_, to), proxy) in &self.pairs {
            if to == name {
                proxy.forward_to(peer);
            }
        }
    }

    /// Forms the group of all replicas.
    pub async fn form(&self) {
        let output = self.operator(&["form"], &self.replicas()).await;
        assert!(output.status.success(), "form: {output:?}");
    }

    /// The names of the replicas.
    pub fn replicas(&self) -> Vec<String> {
        let replicas = self.boxes.values().filter(|it| it.plan.replica);
        replicas.map(|it| it.plan.name.clone()).collect()
    }

    /// Runs an operator's command against some boxes.
    pub async fn operator(&self, words: &[&str], boxes: &[String]) -> Output {
        let mut command = Command::new(binary("emberturn"));
        command.arg(words[0]).args(["--secret", "test-secret"]);
        for name in boxes {
            command.arg("--node").arg(self.boxes[name].peer.addr.to_string());
        }
        command.args(&words[1..]).output().await.unwrap()
    }

    /// Writes a change file and applies it; the change must be accepted.
    pub async fn apply(&self, text: &str) -> Value {
        let output = self.try_apply(text, &[]).await;
        assert!(output.status.success(), "apply: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Writes a change file and applies it with extra arguments.
    pub async fn try_apply(&self, text: &str, extra: &[&str]) -> Output {
        self.try_apply_at(text, extra, &self.replicas()).await
    }

    /// The same, asking only some boxes.
    pub async fn try_apply_at(&self, text: &str, extra: &[&str], boxes: &[String]) -> Output {
        let name = format!("change-{:x}.ini", NEXT_CHANGE.fetch_add(1, Ordering::Relaxed));
        let file = self.folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        let mut words = vec!["apply", "--json"];
        words.extend_from_slice(extra);
        words.push(file.to_str().unwrap());
        self.operator(&words, boxes).await
    }

    /// The status of one box.
    pub async fn status(&self, name: &str) -> Value {
        let output = self.operator(&["status", "--json"], &[name.to_owned()]).await;
        let lines: Value = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        lines[0].clone()
    }

    /// The replica that leads, as soon as one does that a majority follows.
    pub async fn leader(&self) -> String {
        let names = self.running_replicas();
        wait_for("a leader", || async {
            for name in &names {
                let status = self.status(name).await;
                if status["group"]["role"] == "leader" && status["age"].as_u64().is_some() {
                    return Some(name.clone());
                }
            }
            None
        })
        .await
    }

    fn running_replicas(&self) -> Vec<String> {
        let running = self.boxes.values().filter(|it| it.plan.replica && it.child.is_some());
        running.map(|it| it.plan.name.clone()).collect()
    }

    /// Waits until a box serves with at least this revision in force.
    pub async fn wait_revision(&self, name: &str, revision: u64) {
        wait_for(&format!("revision {revision} on {name}"), || async {
            let status = self.status(name).await;
            let there = status["revision"].as_u64().is_some_and(|held| held >= revision);
            (there && status["phase"] == "serving").then_some(())
        })
        .await;
    }

    /// Cuts a box off from all others, silently: bytes are neither passed on nor refused.
    pub fn cut_off(&self, name: &str, fault: Fault) {
        for ((from, to), proxy) in &self.pairs {
            if from != to && (from == name || to == name) {
                proxy.set(fault);
            }
        }
        self.boxes[name].peer.set(fault);
    }

    /// Kills a box's process without notice.
    pub async fn kill(&mut self, name: &str) {
        let test_box = self.boxes.get_mut(name).unwrap();
        if let Some(mut child) = test_box.child.take() {
            child.kill().await.unwrap();
        }
    }

    /// Deletes a killed box's disk.
    pub fn lose_disk(&self, name: &str) {
        std::fs::remove_dir_all(self.boxes[name].folder.join("data")).unwrap();
    }

    /// Sends a signal, such as `STOP`, to a box's process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.process(name).unwrap();
        let status = std::process::Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(pid.to_string())
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits for a box's process to end, and gives its exit code.
    pub async fn ended(&mut self, name: &str) -> Option<i32> {
        let mut child = self.boxes.get_mut(name).unwrap().child.take().unwrap();
        let status = tokio::time::timeout(PATIENCE, child.wait()).await;
        status.expect("the process ends").unwrap().code()
    }

    /// The id of a box's process, while it runs.
    pub fn process(&self, name: &str) -> Option<u32> {
        self.boxes[name].child.as_ref().and_then(Child::id)
    }

    /// Bytes of control traffic that went to and from a box, both ways.
    pub fn control_bytes(&self, name: &str) -> u64 {
        let pairs = self.pairs.iter().filter(|((from, to), _)| from == name || to == name);
        let proxies = pairs.map(|(_, proxy)| proxy).chain([&self.boxes[name].peer]);
        proxies.map(|proxy| proxy.bytes().0 + proxy.bytes().1).sum()
    }

    /// Where callers reach a box.
    pub fn entry(&self, name: &str) -> SocketAddr {
        self.boxes[name].entry.addr
    }

    /// Where a box itself listens for callers, past the proxy.
    ///
    /// # Panics
    /// When the box was never launched.
    pub fn entry_behind(&self, name: &str) -> SocketAddr {
        self.boxes[name].entry.upstream().unwrap()
    }

    /// Sends a completion request to a box.
    pub async fn complete(&self, name: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
        self.try_complete(name, headers, body).await.unwrap()
    }

    /// The same, where the connection may break.
    pub async fn try_complete(
        &self,
        name: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> eyre::Result<Answer> {
        call(self.entry(name), "/v1/completions", headers, body).await
    }
}

static NEXT_CHANGE: AtomicU64 = AtomicU64::new(1);

/// A binary of the workspace: beside this program, or one folder up, where a test's is.
///
/// # Panics
/// When it is not built.
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a program knows its own file");
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|file| file.exists());
    found.unwrap_or_else(|| panic!("{name} is not built; build the whole workspace"))
}

fn listening(line: &str) -> SocketAddr {
    let part = line.split_whitespace().find_map(|word| word.strip_prefix("addr="));
    part.unwrap().trim_matches('"').parse().unwrap()
}

/// Posts JSON with the team's key.
pub async fn call(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> eyre::Result<Answer> {
    let bearer = format!("Bearer {KEY}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    let answer = tokio::time::timeout(PATIENCE, http::call(addr, http::post(path, &all, body)));
    answer.await.expect("an answer before patience ends")
}

/// Asks again and again until there is something.
pub async fn wait_for<T, F, Fut>(what: &str, mut probe: F) -> T
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if let Some(found) = probe().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("waited too long for {what}");
}

/// A change with the team `portal`, the engine service `small`, the plain service `desk` and the
/// given backend servers: name, service, address.
pub fn base_change(backends: &[(&str, &str, SocketAddr)]) -> String {
    let mut text = format!(
        "[team portal]\nkey = {KEY}\nconcurrent = 2000\nbudget = 100000000\n\
         [service small]\nkind = engine\n[service desk]\nkind = plain\n"
    );
    for (name, service, addr) in backends {
        text += &backend_section(name, service, *addr);
    }
    text
}

/// One backend server's section.
pub fn backend_section(name: &str, service: &str, addr: SocketAddr) -> String {
    format!(
        "[backend_server {name}]\nservice = {service}\naddr = {addr}\ndata_centre = dc1\nslots = 64\n"
    )
}

/// A completion request's body.
pub fn prompt(text: &str, tokens: usize, stream: bool) -> Value {
    json!({ "model": "small", "prompt": text, "max_tokens": tokens, "stream": stream })
}

/// The text of a streamed answer, and whether it was closed properly.
pub fn streamed_text(answer: &Answer) -> (String, bool) {
    let mut text = String::new();
    let mut closed = false;
    for line in answer.text().lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            closed = true;
            continue;
        }
        let value: Value = serde_json::from_str(line).unwrap();
        text += value["choices"][0]["text"].as_str().unwrap_or("");
    }
    (text, closed)
}
