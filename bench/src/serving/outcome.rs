//! What happened in a run, and its tables.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::report::{Table, Times, one, percent, three};
use crate::workload::{Deployment, TeamLoad};

/// What happened in one run.
#[derive(Default)]
pub(super) struct Outcome {
    pub(super) teams: BTreeMap<&'static str, TeamOutcome>,
    pub(super) engine_seconds: f64,
    pub(super) recomputed: usize,
    pub(super) decoded: usize,
    pub(super) prefilled: usize,
    pub(super) cached: usize,
    pub(super) doubled: usize,
}

pub(super) struct TeamOutcome {
    pub(super) first: Times,
    pub(super) between: Times,
    pub(super) whole: usize,
    pub(super) refused: usize,
    pub(super) lost: usize,
    pub(super) wrong: usize,
    pub(super) within: usize,
    pub(super) tokens_within: usize,
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
pub(super) enum Answer {
    Whole { first: Duration, gaps: Vec<Duration>, tokens: usize },
    Wrong,
    Refused,
    Lost,
    Filed,
}

/// Adds one request's result.
pub(super) fn count(outcome: &mut Outcome, team: &TeamLoad, answer: Answer) {
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

/// Prints a run by team.
pub(super) fn print_teams(title: &str, deployment: &Deployment, outcome: &Outcome, as_json: bool) {
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

/// Prints all runs side by side: name, cost, what happened.
pub(super) fn print_summary(deployment: &Deployment, rows: &[(&str, f64, Outcome)], as_json: bool) {
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
