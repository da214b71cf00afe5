//! A deployment under open-loop load, with a wave of reclaims, beside its baselines in the same run.
//!
//! Latency counts from when a request was due, as its caller sees it. The baselines speak to the
//! engines directly: they choose at random and begin again from the start when an engine is lost.

mod ask;
mod fleet;
mod outcome;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use emberturn::peer::Peers;
use emberturn::peer::method::{self, NodeStatus};
use emberturn_fakes::cluster::{BoxPlan, Cluster};
use emberturn_fakes::platform::Platform;
use eyre::{Result, eyre};
use rand::seq::IndexedRandom;

use self::ask::{ask_directly, ask_emberturn};
use self::fleet::{CENTRES, DECODE, Fleet};
use self::outcome::{Answer, Outcome, count, print_summary, print_teams};
use crate::process::{cpu_time, resident_kib};
use crate::report::{Table, one};
use crate::workload::{self, Deployment, Planned};

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Arguments {
    /// fjardanet or avisur
    #[bpaf(argument("NAME"), fallback("fjardanet".to_owned()), display_fallback)]
    deployment: String,
    /// Seconds of load
    #[bpaf(argument("S"), fallback(30), display_fallback)]
    seconds: u64,
    /// Requests a second; absent: the deployment's
    #[bpaf(argument("N"))]
    rate: Option<f64>,
    /// The same seed offers the same load
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Milliseconds of notice for the data centre that is taken back half-way
    #[bpaf(argument("MS"), fallback(3000), display_fallback)]
    notice_ms: u64,
    /// Price of an engine's box an hour, where it may be taken back
    #[bpaf(argument("P"), fallback(0.3), display_fallback)]
    reclaimable_price: f64,
    /// Price of an engine's box an hour on demand
    #[bpaf(argument("P"), fallback(1.0), display_fallback)]
    demand_price: f64,
    /// Price of an entry box an hour
    #[bpaf(argument("P"), fallback(0.02), display_fallback)]
    entry_price: f64,
    /// Leave the baselines out
    alone: bool,
    /// Print JSON
    json: bool,
}

/// Entry boxes: five with disks, three without.
const REPLICAS: [&str; 5] = ["a", "b", "c", "d", "e"];
const DISKLESS: [&str; 3] = ["f", "g", "h"];

/// Measures and prints.
pub(crate) async fn execute(arguments: Arguments) -> Result<()> {
    let deployment = match arguments.deployment.as_str() {
        "fjardanet" => workload::fjardanet(),
        "avisur" => workload::avisur(),
        other => return Err(eyre!("no deployment {other}: fjardanet or avisur")),
    };
    let rate = arguments.rate.unwrap_or(deployment.rate);
    let length = Duration::from_secs(arguments.seconds);
    let plan = Arc::new(workload::plan(&deployment, rate, length, arguments.seed));
    println!(
        "deployment={} engines={} services={} entry_boxes=8 rate={rate} seconds={} seed={} \
         notice_ms={} requests={} decode_ms={} slots=16 \
         reclaimable_price={} demand_price={} entry_price={}",
        deployment.name,
        deployment.engines,
        deployment.services,
        arguments.seconds,
        arguments.seed,
        arguments.notice_ms,
        plan.len(),
        DECODE.as_millis(),
        arguments.reclaimable_price,
        arguments.demand_price,
        arguments.entry_price
    );
    let own = through_emberturn(&arguments, &deployment, &plan).await?;
    print_teams("emberturn, a data centre taken back half-way", &deployment, &own, arguments.json);
    let entry_cost = 8.0 * arguments.entry_price * arguments.seconds as f64;
    let price = arguments.reclaimable_price;
    let mut rows = vec![("emberturn, reclaimable", own.engine_seconds * price + entry_cost, own)];
    if !arguments.alone {
        let random = directly(&arguments, &deployment, &plan, true).await?;
        print_teams("random and from the start, same wave", &deployment, &random, arguments.json);
        rows.push(("random, reclaimable", random.engine_seconds * price, random));
        let demand = directly(&arguments, &deployment, &plan, false).await?;
        print_teams("random, all on demand, no wave", &deployment, &demand, arguments.json);
        rows.push(("random, on demand", demand.engine_seconds * arguments.demand_price, demand));
    }
    print_summary(&deployment, &rows, arguments.json);
    Ok(())
}

async fn through_emberturn(
    arguments: &Arguments,
    deployment: &Deployment,
    plan: &Arc<Vec<Planned>>,
) -> Result<Outcome> {
    let fleet = Fleet::start(deployment).await?;
    let (platform, watched) = Platform::start().await?;
    let watching = format!("[platform]\naddr = {watched}\npoll = 500ms\n");
    let mut plans: Vec<_> = REPLICAS.iter().map(|name| BoxPlan::replica(name)).collect();
    plans.extend(DISKLESS.iter().map(|name| BoxPlan::diskless(name)));
    for (number, plan) in plans.iter_mut().enumerate() {
        plan.data_centre = format!("dc{}", number % CENTRES + 1);
        if number < 2 {
            plan.extra = watching.clone();
        }
    }
    let cluster = Cluster::start(&plans).await;
    cluster.apply(&fleet.change(deployment)).await;
    for plan in &plans {
        cluster.wait_revision(&plan.name, 1).await;
    }
    let entries: Vec<_> = plans.iter().map(|plan| cluster.entry_behind(&plan.name)).collect();
    let before: Vec<_> = plans.iter().map(|plan| usage(&cluster, &plan.name)).collect();
    let began = Instant::now();
    let reclaim = async {
        tokio::time::sleep(Duration::from_secs(arguments.seconds) / 2).await;
        for number in fleet.taken() {
            platform.list(&format!("engine-{number}"), "leaving", 1, arguments.notice_ms);
        }
        let first = format!("engine-{}", fleet.taken()[0]);
        let spread = wait_leaving(&cluster, &plans, &first);
        let (spread, ()) = tokio::join!(spread, kill_after(&fleet, arguments.notice_ms));
        spread
    };
    let load = offer(deployment, plan, |planned| {
        let entry = *entries.choose(&mut rand::rng()).expect("there are entries");
        ask_emberturn(entry, deployment.teams[planned.team], planned, deployment.callers)
    });
    let (mut outcome, spread) = tokio::join!(load, reclaim);
    print_nodes(&cluster, &plans, &before, began.elapsed(), spread, arguments.json);
    outcome.engine_seconds = engine_seconds(&fleet, arguments, true);
    fleet.finish(&mut outcome);
    Ok(outcome)
}

async fn kill_after(fleet: &Fleet, notice_ms: u64) {
    tokio::time::sleep(Duration::from_millis(notice_ms)).await;
    for number in fleet.taken() {
        fleet.engines[number].2.abort();
    }
}

fn engine_seconds(fleet: &Fleet, arguments: &Arguments, wave: bool) -> f64 {
    let whole = arguments.seconds as f64;
    let taken = if wave { fleet.taken().len() } else { 0 };
    let part = whole / 2.0 + arguments.notice_ms as f64 / 1e3;
    (fleet.engines.len() - taken) as f64 * whole + taken as f64 * part.min(whole)
}

type Usage = (Duration, u64);

fn usage(cluster: &Cluster, name: &str) -> Usage {
    let process = cluster.process(name).unwrap_or(0);
    (cpu_time(process), cluster.control_bytes(name))
}

/// How long until every node says that the engine is leaving.
async fn wait_leaving(cluster: &Cluster, plans: &[BoxPlan], engine: &str) -> Duration {
    let peers = Peers::new("test-secret");
    let began = Instant::now();
    for plan in plans {
        let addr = cluster.boxes[&plan.name].peer.addr;
        loop {
            let limit = Duration::from_secs(2);
            let status = peers.call::<_, NodeStatus>(addr, method::STATUS, &(), limit).await;
            let leaving = status.is_ok_and(|status| {
                status
                    .backends
                    .iter()
                    .any(|(id, it)| id.as_str() == engine && it.state == "leaving")
            });
            if leaving || began.elapsed() > Duration::from_secs(20) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    began.elapsed()
}

fn print_nodes(
    cluster: &Cluster,
    plans: &[BoxPlan],
    before: &[Usage],
    length: Duration,
    spread: Duration,
    as_json: bool,
) {
    let columns = ["box", "processor, % of a core", "memory, MiB", "control, bytes/s"];
    let title = format!(
        "Nodes under load; a leaving engine was known on every node after {} ms (the list is read \
         every 500 ms)",
        spread.as_millis()
    );
    let mut table = Table::new(title, &columns);
    for (plan, (cpu, bytes)) in plans.iter().zip(before) {
        let (cpu_now, bytes_now) = usage(cluster, &plan.name);
        let process = cluster.process(&plan.name).unwrap_or(0);
        table.row(vec![
            plan.name.clone(),
            one((cpu_now - *cpu).as_secs_f64() / length.as_secs_f64() * 100.0),
            one(resident_kib(process) as f64 / 1_024.0),
            one((bytes_now - bytes) as f64 / length.as_secs_f64()),
        ]);
    }
    table.print(as_json);
}

async fn directly(
    arguments: &Arguments,
    deployment: &Deployment,
    plan: &Arc<Vec<Planned>>,
    wave: bool,
) -> Result<Outcome> {
    let fleet = Fleet::start(deployment).await?;
    let addrs: Vec<_> = fleet.engines.iter().map(|(_, addr, _)| *addr).collect();
    let services: Vec<_> = fleet.services.iter().map(|(_, addr)| *addr).collect();
    let reclaim = async {
        if wave {
            tokio::time::sleep(Duration::from_secs(arguments.seconds) / 2).await;
            kill_after(&fleet, arguments.notice_ms).await;
        }
    };
    let load = offer(deployment, plan, |planned| {
        ask_directly(addrs.clone(), services.clone(), planned, deployment.callers)
    });
    let (mut outcome, ()) = tokio::join!(load, reclaim);
    outcome.engine_seconds = engine_seconds(&fleet, arguments, wave);
    fleet.finish(&mut outcome);
    Ok(outcome)
}

/// Offers the plan, each request at its time, whatever became of the others.
async fn offer<F, A>(deployment: &Deployment, plan: &Arc<Vec<Planned>>, ask: F) -> Outcome
where
    F: Fn(Planned) -> A,
    A: Future<Output = Answer> + Send + 'static,
{
    let began = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for planned in plan.iter() {
        tokio::time::sleep_until(began + planned.at).await;
        tasks.push((planned.team, tokio::spawn(ask(planned.clone()))));
    }
    let mut outcome = Outcome::default();
    for (team, task) in tasks {
        let answer = task.await.unwrap_or(Answer::Lost);
        count(&mut outcome, &deployment.teams[team], answer);
    }
    outcome
}
