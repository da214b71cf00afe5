//! The replicated group and control traffic: appends, failover, catch-up, and what a node costs by
//! the number of nodes and of engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use emberturn::group::driver::Unanswered;
use emberturn::ids::{AttemptId, Incarnation};
use emberturn::peer::Peers;
use emberturn::peer::method::{self, NodeStatus};
use emberturn::state::config::{Change, Edit, Limits};
use emberturn::state::ledger::{Begin, LedgerKey, Owner};
use emberturn::state::{Command, Reply};
use emberturn_fakes::cluster::{BoxPlan, Cluster, base_change};
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::proxy::Proxy;
use eyre::{Result, eyre};

use crate::process::{cpu_time, resident_kib};
use crate::report::{Table, Times, one};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Arguments {
    /// Milliseconds one way between boxes
    #[bpaf(argument("MS"), fallback(1), display_fallback)]
    delay_ms: u64,
    /// Numbers of nodes for the slopes, with commas
    #[bpaf(argument("LIST"), fallback("5,9,18,36".to_owned()), display_fallback)]
    nodes: String,
    /// Numbers of engines for the slopes, with commas
    #[bpaf(argument("LIST"), fallback("0,25,100".to_owned()), display_fallback)]
    engines: String,
    /// Seconds each slope's point is watched
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    seconds: u64,
    /// Only the slopes
    slopes: bool,
    /// Print JSON
    json: bool,
}

/// Boxes with disks in every cluster.
const REPLICAS: usize = 5;

/// Kills of the leader.
const KILLS: usize = 5;

const CALL_TIME: Duration = Duration::from_secs(10);

/// Measures and prints.
pub(crate) async fn execute(arguments: Arguments) -> Result<()> {
    if !arguments.slopes {
        group(&arguments).await?;
    }
    let columns = [
        "nodes",
        "engines",
        "role",
        "processor, % of a core",
        "memory, MiB",
        "control, bytes/s",
        "engines, bytes/s",
    ];
    let mut table = Table::new("An idle node's cost", &columns);
    for count in numbers(&arguments.nodes)? {
        slope(&arguments, count, 0, &mut table).await?;
    }
    for engines in numbers(&arguments.engines)? {
        slope(&arguments, REPLICAS, engines, &mut table).await?;
    }
    table.print(arguments.json);
    Ok(())
}

fn numbers(list: &str) -> Result<Vec<usize>> {
    list.split(',').map(|word| Ok(word.trim().parse()?)).collect()
}

fn plans(count: usize) -> Vec<BoxPlan> {
    let name = |number| format!("n{number:03}");
    let plan = |number| match number < REPLICAS {
        true => BoxPlan::replica(&name(number)),
        false => BoxPlan::diskless(&name(number)),
    };
    (0..count).map(plan).collect()
}

async fn start(arguments: &Arguments, count: usize, change: &str) -> Cluster {
    let cluster = Cluster::start(&plans(count)).await;
    let delay = Duration::from_millis(arguments.delay_ms);
    cluster.pairs.values().for_each(|proxy| proxy.delay(delay));
    cluster.boxes.values().for_each(|it| it.peer.delay(delay));
    cluster.apply(change).await;
    for plan in plans(count) {
        cluster.wait_revision(&plan.name, 1).await;
    }
    cluster
}

/// A ledger's entry under a key of its own, about as large as a real one.
fn begin(number: u64) -> Result<Command> {
    Ok(Command::Begin(Begin {
        key: LedgerKey { team: "portal".parse()?, key: format!("key-{number:08}").parse()? },
        digest: format!("{number:064x}"),
        backend: "desk-1".parse()?,
        attempt: AttemptId::random(),
        owner: Owner { box_id: "n000".parse()?, life: Incarnation(1) },
    }))
}

async fn propose(peers: &Peers, addr: std::net::SocketAddr, command: &Command) -> Result<Reply> {
    let reply: Result<Reply, Unanswered> =
        peers.call(addr, method::PROPOSE, command, CALL_TIME).await?;
    Ok(reply?)
}

async fn group(arguments: &Arguments) -> Result<()> {
    let mut cluster = start(arguments, 9, &base_change(&[])).await;
    let title =
        format!("The group: 5 replicas, 4 nodes without disks, {} ms one way", arguments.delay_ms);
    let mut table = Table::new(title, &["what", "value", "goal"]);
    appends(&cluster, &mut table).await?;
    in_force(&cluster, &mut table).await?;
    catch_up(&mut cluster, &mut table).await?;
    failover(&mut cluster, &mut table).await?;
    table.print(arguments.json);
    Ok(())
}

async fn appends(cluster: &Cluster, table: &mut Table) -> Result<()> {
    let leader = cluster.leader().await;
    let addr = cluster.boxes[&leader].peer.upstream().ok_or_else(|| eyre!("no leader"))?;
    let peers = Peers::new("test-secret");
    let mut next = 0;
    for (flight, count) in [(1, 300), (16, 3_000), (128, 20_000)] {
        let process = cluster.process(&leader).unwrap_or(0);
        let cpu = cpu_time(process);
        let began = Instant::now();
        let workers = (0..flight).map(|worker| {
            let (peers, first) = (peers.clone(), next + worker);
            tokio::spawn(async move {
                let mut times = Times::new();
                for number in (first..first + count).step_by(flight as usize) {
                    let began = Instant::now();
                    propose(&peers, addr, &begin(number)?).await?;
                    times.record(began.elapsed());
                }
                Ok::<_, eyre::Report>(times)
            })
        });
        let mut times = Times::new();
        for worker in workers.collect::<Vec<_>>() {
            times.merge(&worker.await??);
        }
        next += count + flight;
        let rate = times.len() as f64 / began.elapsed().as_secs_f64();
        let cpu = (cpu_time(process) - cpu).as_secs_f64() * 1e6 / times.len() as f64;
        let value = format!(
            "p50 {} ms, p99 {} ms, {} a second, {} us of the leader's processor each",
            one(times.millis(50.0)),
            one(times.millis(99.0)),
            one(rate),
            one(cpu)
        );
        let goal = if flight == 1 { "p99 < 5 ms" } else { "> 2,000 a second" };
        table.row(vec![format!("append, {flight} in flight"), value, goal.to_owned()]);
    }
    Ok(())
}

fn change(number: u64) -> Result<Command> {
    let limits = Limits { entry_boxes: 9 + (number % 3) as u32, ..Limits::default() };
    let id = format!("change-{number}").parse()?;
    Ok(Command::Change(Change { id, expect: None, edits: vec![Edit::PutLimits(limits)] }))
}

/// The time from sending a change until every node says it is in force.
async fn in_force(cluster: &Cluster, table: &mut Table) -> Result<()> {
    let leader = cluster.leader().await;
    let addr = cluster.boxes[&leader].peer.addr;
    let peers = Peers::new("test-secret");
    let mut times = Times::new();
    for number in 0..20 {
        let began = Instant::now();
        let reply = propose(&peers, addr, &change(number)?).await?;
        let Reply::Change(emberturn::state::config::ChangeReply::Accepted(revision)) = reply else {
            return Err(eyre!("the change was not accepted: {reply:?}"));
        };
        for it in cluster.boxes.values() {
            while status(&peers, it.peer.addr).await?.revision < revision {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        times.record(began.elapsed());
    }
    let value = format!("p50 {} ms, max {} ms", one(times.millis(50.0)), one(times.millis(100.0)));
    table.row(vec!["change in force on 9 nodes".to_owned(), value, "< 2 s".to_owned()]);
    Ok(())
}

async fn status(peers: &Peers, addr: std::net::SocketAddr) -> Result<NodeStatus> {
    Ok(peers.call(addr, method::STATUS, &(), CALL_TIME).await?)
}

/// The time from a replica's start until it is level, 500 changes behind.
async fn catch_up(cluster: &mut Cluster, table: &mut Table) -> Result<()> {
    let peers = Peers::new("test-secret");
    let mut times = Times::new();
    for round in 0..3_u64 {
        let leader = cluster.leader().await;
        let away = cluster.replicas().into_iter().find(|name| *name != leader);
        let away = away.ok_or_else(|| eyre!("no follower"))?;
        cluster.kill(&away).await;
        let addr = cluster.boxes[&leader].peer.upstream().ok_or_else(|| eyre!("no leader"))?;
        for number in 0..500 {
            propose(&peers, addr, &change(1_000 + round * 1_000 + number)?).await?;
        }
        let goal = status(&peers, addr).await?.revision;
        cluster.launch(&away).await;
        let began = Instant::now();
        let addr = cluster.boxes[&away].peer.addr;
        while status(&peers, addr).await?.revision < goal {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        times.record(began.elapsed());
    }
    let value = format!("max of 3 {} ms", one(times.millis(100.0)));
    table.row(vec!["500 changes behind, level after".to_owned(), value, "< 1 s".to_owned()]);
    Ok(())
}

/// The time from the kill of the leader until the next change is accepted.
async fn failover(cluster: &mut Cluster, table: &mut Table) -> Result<()> {
    let mut times = Times::new();
    for number in 0..KILLS as u64 {
        let leader = cluster.leader().await;
        let others: Vec<_> =
            cluster.replicas().into_iter().filter(|name| *name != leader).collect();
        let addrs: Vec<_> = others.iter().map(|name| cluster.boxes[name].peer.addr).collect();
        cluster.kill(&leader).await;
        let began = Instant::now();
        accept_somewhere(&addrs, &change(900_000 + number)?).await?;
        times.record(began.elapsed());
        cluster.launch(&leader).await;
        cluster.wait_revision(&leader, 1).await;
    }
    let value = format!(
        "p50 {} ms, max of {KILLS} {} ms",
        one(times.millis(50.0)),
        one(times.millis(100.0))
    );
    table.row(vec!["leader killed, next change accepted".to_owned(), value, "< 1.5 s".to_owned()]);
    Ok(())
}

async fn accept_somewhere(addrs: &[std::net::SocketAddr], command: &Command) -> Result<()> {
    let peers = Peers::new("test-secret");
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        for addr in addrs {
            if propose(&peers, *addr, command).await.is_ok() {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Err(eyre!("no leader within 20 s"))
}

/// One point of the slopes: what idle nodes cost at this number of nodes and engines.
async fn slope(
    arguments: &Arguments,
    count: usize,
    engines: usize,
    table: &mut Table,
) -> Result<()> {
    let (_engine, addr) = Engine::start(Options::default()).await?;
    let proxy = Proxy::start(Some(addr)).await?;
    let names: Vec<_> = (0..engines).map(|number| format!("engine-{number}")).collect();
    let list: Vec<_> = names.iter().map(|name| (name.as_str(), "small", proxy.addr)).collect();
    let cluster = start(arguments, count, &base_change(&list)).await;
    let leader = cluster.leader().await;
    // The start's own traffic is over by then.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sample = || -> BTreeMap<String, (Duration, u64)> {
        let names = cluster.boxes.keys();
        names
            .map(|name| {
                let process = cluster.process(name).unwrap_or(0);
                (name.clone(), (cpu_time(process), cluster.control_bytes(name)))
            })
            .collect()
    };
    let engine_bytes = || proxy.bytes().0 + proxy.bytes().1;
    let (before, engines_before) = (sample(), engine_bytes());
    let began = Instant::now();
    tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
    let (after, seconds) = (sample(), began.elapsed().as_secs_f64());
    let per_node = (engine_bytes() - engines_before) as f64 / seconds / count as f64;
    for role in ["leader", "replica", "diskless"] {
        let members: Vec<_> = cluster
            .boxes
            .iter()
            .filter(|(name, it)| match role {
                "leader" => **name == leader,
                "replica" => it.plan.replica && **name != leader,
                _ => !it.plan.replica,
            })
            .map(|(name, _)| name)
            .collect();
        if members.is_empty() {
            continue;
        }
        let mean = |value: &dyn Fn(&str) -> f64| -> f64 {
            members.iter().map(|name| value(name)).sum::<f64>() / members.len() as f64
        };
        let cpu = mean(&|name| (after[name].0 - before[name].0).as_secs_f64() / seconds * 100.0);
        let memory =
            mean(&|name| resident_kib(cluster.process(name).unwrap_or(0)) as f64 / 1_024.0);
        let bytes = mean(&|name| (after[name].1 - before[name].1) as f64 / seconds);
        table.row(vec![
            count.to_string(),
            engines.to_string(),
            role.to_owned(),
            format!("{cpu:.2}"),
            one(memory),
            one(bytes),
            one(per_node),
        ]);
    }
    Ok(())
}
