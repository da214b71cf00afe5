//! A deployment under open-loop load, with a wave of reclaims, beside its baselines in the same run.
//!
//! Latency counts from when a request was due, as its caller sees it. The baselines speak to the
//! engines directly: they choose at random and begin again from the start when an engine is lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use emberturn::peer::Peers;
use emberturn::peer::method::{self, NodeStatus};
use emberturn_fakes::cluster::{BoxPlan, Cluster, backend_section};
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::http;
use emberturn_fakes::platform::Platform;
use emberturn_fakes::service::Service;
use emberturn_fakes::tokens;
use eyre::{Result, eyre};
use http_body_util::BodyExt;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use tokio::task::AbortHandle;

use crate::process::{cpu_time, resident_kib};
use crate::report::{Table, Times, one, percent, three};
use crate::workload::{self, Deployment, Kind, Planned, TeamLoad};

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

const CENTRES: usize = 4;

/// Time an engine alone takes for a token, and for a prompt token it has not cached.
const DECODE: Duration = Duration::from_millis(8);
const PREFILL: Duration = Duration::from_micros(100);

/// What happened in one run.
#[derive(Default)]
struct Outcome {
    teams: BTreeMap<&'static str, TeamOutcome>,
    engine_seconds: f64,
    recomputed: usize,
    decoded: usize,
    prefilled: usize,
    cached: usize,
    doubled: usize,
}

struct TeamOutcome {
    first: Times,
    between: Times,
    whole: usize,
    refused: usize,
    lost: usize,
    wrong: usize,
    within: usize,
    tokens_within: usize,
}

impl TeamOutcome {
    fn new() -> Self {
        Self {
            first: Times::new(),
            between: Times::new(),
            whole: 0,
            refused: 0,
            lost: 0,
            wrong: 0,
            within: 0,
            tokens_within: 0,
        }
    }
}

/// One request's result.
enum Answer {
    Whole { first: Duration, gaps: Vec<Duration>, tokens: usize },
    Wrong,
    Refused,
    Lost,
    Filed,
}

/// The engines and services of one run.
struct Fleet {
    engines: Vec<(Engine, SocketAddr, AbortHandle)>,
    services: Vec<(Service, SocketAddr)>,
}

impl Fleet {
    async fn start(deployment: &Deployment) -> Result<Self> {
        let options = Options {
            slots: 16,
            prefill: PREFILL,
            decode: DECODE,
            cache_blocks: 400,
            load_lag: Duration::from_millis(500),
            distance: deployment.centres,
        };
        let mut fleet = Self { engines: Vec::new(), services: Vec::new() };
        for _ in 0..deployment.engines {
            fleet.engines.push(Engine::start_mortal(options.clone()).await?);
        }
        for _ in 0..deployment.services {
            fleet.services.push(Service::start(Duration::from_millis(5)).await?);
        }
        Ok(fleet)
    }

    /// The engines of the data centre that is taken back.
    fn taken(&self) -> Vec<usize> {
        (0..self.engines.len()).filter(|number| number % CENTRES == 0).collect()
    }

    fn change(&self, deployment: &Deployment) -> String {
        let mut text = String::from(
            "[limits]\nentry_boxes = 8\n[service small]\nkind = engine\n[service desk]\nkind = plain\n",
        );
        for team in &deployment.teams {
            text += &format!(
                "[team {0}]\nkey = {0}-key\nclass = {1}\nfirst_token = {2}ms\nbetween = {3}ms\n\
                 concurrent = 4000\nbudget = 8000000\n",
                team.name,
                team.class,
                team.first.as_millis(),
                team.between.as_millis()
            );
        }
        for (number, (_, addr, _)) in self.engines.iter().enumerate() {
            text += &section(&format!("engine-{number}"), "small", *addr, number, 16);
        }
        for (number, (_, addr)) in self.services.iter().enumerate() {
            text += &section(&format!("desk-{number}"), "desk", *addr, number, 64);
        }
        text
    }

    fn finish(&self, outcome: &mut Outcome) {
        for (engine, _, _) in &self.engines {
            let counters = engine.counters();
            outcome.recomputed += counters.recomputed;
            outcome.decoded += counters.decoded;
            outcome.prefilled += counters.prefilled;
            outcome.cached += counters.cached;
        }
        let mut filed: BTreeMap<String, usize> = BTreeMap::new();
        for (service, _) in &self.services {
            for body in service.journal() {
                *filed.entry(body).or_default() += 1;
            }
        }
        outcome.doubled = filed.values().filter(|count| **count > 1).count();
    }
}

fn section(name: &str, service: &str, addr: SocketAddr, number: usize, slots: u32) -> String {
    backend_section(name, service, addr)
        .replace("dc1", &format!("dc{}", number % CENTRES + 1))
        .replace("slots = 64", &format!("slots = {slots}"))
}

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
         notice_ms={} requests={} decode_ms={} slots=16",
        deployment.name,
        deployment.engines,
        deployment.services,
        arguments.seconds,
        arguments.seed,
        arguments.notice_ms,
        plan.len(),
        DECODE.as_millis()
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

fn print_teams(title: &str, deployment: &Deployment, outcome: &Outcome, as_json: bool) {
    let columns = [
        "team",
        "whole",
        "refused",
        "lost",
        "wrong",
        "first p50 ms",
        "first p95 ms",
        "first p99 ms",
        "between p95 ms",
        "between p99 ms",
        "first in target",
        "in target",
    ];
    let mut table = Table::new(title, &columns);
    for team in &deployment.teams {
        let Some(it) = outcome.teams.get(team.name) else {
            continue;
        };
        table.row(vec![
            team.name.to_owned(),
            it.whole.to_string(),
            it.refused.to_string(),
            it.lost.to_string(),
            it.wrong.to_string(),
            one(it.first.millis(50.0)),
            one(it.first.millis(95.0)),
            one(it.first.millis(99.0)),
            one(it.between.millis(95.0)),
            one(it.between.millis(99.0)),
            percent(it.first.share_within(team.first)),
            percent(it.within as f64 / (it.whole + it.refused + it.lost + it.wrong).max(1) as f64),
        ]);
    }
    table.print(as_json);
}

fn print_summary(deployment: &Deployment, rows: &[(&str, f64, Outcome)], as_json: bool) {
    let columns = [
        "run",
        "targets held",
        "cost",
        "cost per M tokens in target",
        "recomputed tokens",
        "of generated",
        "prompt tokens from cache",
        "lost",
        "refused",
        "wrong",
        "doubled filings",
    ];
    let mut table =
        Table::new("Summary (prices an hour, cost of the run in price-seconds)", &columns);
    for (name, cost, outcome) in rows {
        let all = outcome.teams.values();
        let within: usize = all.clone().map(|team| team.tokens_within).sum();
        let held = deployment.teams.iter().all(|team| is_held(team, outcome));
        table.row(vec![
            (*name).to_owned(),
            if held { "yes" } else { "no" }.to_owned(),
            one(*cost),
            three(cost / 3_600.0 / (within.max(1) as f64 / 1e6)),
            outcome.recomputed.to_string(),
            percent(outcome.recomputed as f64 / outcome.decoded.max(1) as f64),
            percent(outcome.cached as f64 / (outcome.cached + outcome.prefilled).max(1) as f64),
            all.clone().map(|team| team.lost).sum::<usize>().to_string(),
            all.clone().map(|team| team.refused).sum::<usize>().to_string(),
            all.clone().map(|team| team.wrong).sum::<usize>().to_string(),
            outcome.doubled.to_string(),
        ]);
    }
    table.print(as_json);
}

/// Whether a team's targets are held at the 95th percentile, and nothing of it is lost or refused.
fn is_held(team: &TeamLoad, outcome: &Outcome) -> bool {
    outcome.teams.get(team.name).is_none_or(|it| {
        it.first.millis(95.0) <= team.first.as_secs_f64() * 1e3
            && it.between.millis(95.0) <= team.between.as_secs_f64() * 1e3
            && it.lost + it.wrong + it.refused == 0
    })
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

fn count(outcome: &mut Outcome, team: &TeamLoad, answer: Answer) {
    let it = outcome.teams.entry(team.name).or_insert_with(TeamOutcome::new);
    match answer {
        Answer::Whole { first, gaps, tokens } => {
            let mut between = Times::new();
            gaps.iter().for_each(|gap| between.record(*gap));
            let fits =
                first <= team.first && between.millis(95.0) <= team.between.as_secs_f64() * 1e3;
            it.whole += 1;
            it.within += usize::from(fits);
            it.tokens_within += if fits { tokens } else { 0 };
            it.first.record(first);
            it.between.merge(&between);
        }
        Answer::Wrong => it.wrong += 1,
        Answer::Refused => it.refused += 1,
        Answer::Lost => it.lost += 1,
        Answer::Filed => {}
    }
}

/// Reads a streamed answer; `None` when it broke off. The pieces' times count from `due`.
async fn read_stream(
    response: hyper::Response<hyper::body::Incoming>,
    text: &mut String,
    times: &mut Vec<Instant>,
) -> bool {
    let mut body = response.into_body();
    let mut held = String::new();
    let mut bytes: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        bytes.extend_from_slice(data);
        let now = Instant::now();
        while let Some(end) = bytes.windows(2).position(|pair| pair == b"\n\n") {
            held.clear();
            held.push_str(&String::from_utf8_lossy(&bytes[..end]));
            bytes.drain(..end + 2);
            let Some(line) = held.lines().find_map(|line| line.strip_prefix("data: ")) else {
                continue;
            };
            if line == "[DONE]" {
                return true;
            }
            let value: Value = serde_json::from_str(line).unwrap_or(Value::Null);
            let Some(piece) = value["choices"][0]["text"].as_str() else {
                return false;
            };
            text.push_str(piece);
            times.push(now);
        }
    }
    false
}

fn judge(
    prompt: &str,
    count: usize,
    text: &str,
    times: &[Instant],
    due: Instant,
    away: Duration,
) -> Answer {
    if text != tokens::answer(prompt, count) {
        return Answer::Wrong;
    }
    let Some(first) = times.first() else {
        return Answer::Lost;
    };
    let first = *first + away - due;
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    Answer::Whole { first, gaps, tokens: count }
}

async fn ask_emberturn(
    entry: SocketAddr,
    team: TeamLoad,
    planned: Planned,
    away: Duration,
) -> Answer {
    let due = Instant::now();
    tokio::time::sleep(away).await;
    let bearer = format!("Bearer {}-key", team.name);
    match planned.kind {
        Kind::Filing => {
            let key = format!("filing-{}", planned.number);
            let headers = [("authorization", bearer.as_str()), ("idempotency-key", key.as_str())];
            let body = json!({ "filing": planned.number });
            let request = http::post("/services/desk/file", &headers, &body);
            match http::call(entry, request).await {
                Ok(answer) if answer.status == 200 => Answer::Filed,
                Ok(answer) if answer.header("emberturn-run") == "not_run" => Answer::Refused,
                _ => Answer::Lost,
            }
        }
        Kind::Completion { prompt, tokens } => {
            let body =
                json!({ "model": "small", "prompt": prompt, "max_tokens": tokens, "stream": true });
            let request = http::post("/v1/completions", &[("authorization", &bearer)], &body);
            let Ok(response) = http::open(entry, request).await else {
                return Answer::Lost;
            };
            if response.status() != 200 {
                let run = response.headers().get("emberturn-run").cloned();
                return if run.is_some_and(|run| run == "not_run") {
                    Answer::Refused
                } else {
                    Answer::Lost
                };
            }
            let (mut text, mut times) = (String::new(), Vec::new());
            match read_stream(response, &mut text, &mut times).await {
                true => judge(&prompt, tokens, &text, &times, due, away),
                false => Answer::Lost,
            }
        }
    }
}

/// Attempts of the baseline at one request.
const ATTEMPTS: u32 = 20;

async fn ask_directly(
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
    planned: Planned,
    away: Duration,
) -> Answer {
    let due = Instant::now();
    tokio::time::sleep(away).await;
    let (prompt, count) = match planned.kind {
        Kind::Completion { prompt, tokens } => (prompt, tokens),
        Kind::Filing => {
            let service = *services.choose(&mut rand::rng()).expect("there are services");
            let request = http::post("/file", &[], &json!({ "filing": planned.number }));
            return if http::call(service, request).await.is_ok() {
                Answer::Filed
            } else {
                Answer::Lost
            };
        }
    };
    let mut earlier = 0;
    let mut shown: Option<Instant> = None;
    for attempt in 0..ATTEMPTS {
        let engine = *engines.choose(&mut rand::rng()).expect("there are engines");
        let body = json!({
            "prompt": prompt, "max_tokens": count, "request_id": planned.number.to_string(),
            "emberturn": { "attempt": attempt.min(earlier as u32), "earlier_tokens": earlier },
        });
        let Ok(response) = http::open(engine, http::post("/v1/completions", &[], &body)).await
        else {
            continue;
        };
        let (mut text, mut times) = (String::new(), Vec::new());
        let whole = read_stream(response, &mut text, &mut times).await;
        // The caller sees the first token when it first came; the gap of the restart counts as one.
        shown = shown.or(times.first().copied());
        if whole {
            if let Some(first) = shown.filter(|first| times.first().is_some_and(|it| it != first)) {
                times.insert(0, first);
            }
            return judge(&prompt, count, &text, &times, due, away);
        }
        earlier += times.len();
    }
    Answer::Lost
}
