//! The offered load: the same seed gives the same requests at the same times.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A team of the workload.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TeamLoad {
    /// Its name; its key is the name with `-key` behind it.
    pub(crate) name: &'static str,
    /// Its share of the requests.
    pub(crate) share: f64,
    /// Its class.
    pub(crate) class: &'static str,
    /// Target for the first token, 95th percentile.
    pub(crate) first: Duration,
    /// Target between tokens, 95th percentile.
    pub(crate) between: Duration,
    /// Tokens generated, from and to.
    pub(crate) tokens: (usize, usize),
    /// Bytes of the part of the prompt that requests share.
    pub(crate) shared: usize,
}

/// A deployment of the brief.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    /// Its name.
    pub(crate) name: &'static str,
    /// Model engines.
    pub(crate) engines: usize,
    /// Plain services.
    pub(crate) services: usize,
    /// One-way time between callers and boxes.
    pub(crate) callers: Duration,
    /// One-way time between data centres.
    pub(crate) centres: Duration,
    /// Five teams.
    pub(crate) teams: [TeamLoad; 5],
    /// Requests a second, unless the command says otherwise.
    pub(crate) rate: f64,
}

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The wireless co-operative: short answers that cannot wait, and long histories.
pub(crate) fn fjardanet() -> Deployment {
    let short = TeamLoad {
        name: "outages",
        share: 0.45,
        class: "interactive",
        first: millis(590),
        between: millis(57),
        tokens: (20, 120),
        shared: 2_400,
    };
    Deployment {
        name: "fjardanet",
        engines: 9,
        services: 4,
        callers: millis(1),
        centres: millis(1),
        rate: 30.0,
        teams: [
            short,
            TeamLoad { name: "portal", share: 0.25, tokens: (20, 200), ..short },
            TeamLoad {
                name: "histories",
                share: 0.15,
                class: "batch",
                first: millis(5_000),
                between: millis(120),
                tokens: (300, 700),
                ..short
            },
            TeamLoad { name: "billing", share: 0.1, ..short },
            TeamLoad { name: "field", share: 0.05, ..short },
        ],
    }
}

/// The classifieds: long drafts and rewrites.
pub(crate) fn avisur() -> Deployment {
    let draft = TeamLoad {
        name: "drafts",
        share: 0.4,
        class: "interactive",
        first: millis(590),
        between: millis(57),
        tokens: (150, 400),
        shared: 1_600,
    };
    Deployment {
        name: "avisur",
        engines: 18,
        services: 4,
        callers: millis(3),
        centres: millis(1),
        rate: 36.0,
        teams: [
            draft,
            TeamLoad { name: "tags", share: 0.25, tokens: (8, 40), ..draft },
            TeamLoad {
                name: "bulletin",
                share: 0.2,
                class: "batch",
                first: millis(5_000),
                between: millis(120),
                tokens: (300, 800),
                ..draft
            },
            TeamLoad { name: "landlords", share: 0.1, ..draft },
            TeamLoad { name: "taxis", share: 0.05, tokens: (20, 120), ..draft },
        ],
    }
}

/// One request of the workload.
#[derive(Debug, Clone)]
pub(crate) struct Planned {
    /// When it is to begin.
    pub(crate) at: Duration,
    /// Whose, as a place in the deployment's teams.
    pub(crate) team: usize,
    /// What it is.
    pub(crate) kind: Kind,
    /// A number of its own.
    pub(crate) number: usize,
}

/// What a request is.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    /// A completion.
    Completion {
        /// Its prompt.
        prompt: String,
        /// Tokens to generate.
        tokens: usize,
    },
    /// A call of a plain service that must not repeat.
    Filing,
}

/// Share of requests that are filings.
const FILINGS: f64 = 0.05;

/// Different shared parts of a team's prompts.
const TOPICS: usize = 6;

/// Requests of `length` at `rate` a second, at random times (a Poisson process).
pub(crate) fn plan(
    deployment: &Deployment,
    rate: f64,
    length: Duration,
    seed: u64,
) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut list = Vec::new();
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= length.as_secs_f64() {
            return list;
        }
        let team = choose_team(deployment, random.random());
        let number = list.len();
        let kind = match random.random_bool(FILINGS) {
            true => Kind::Filing,
            false => completion(&deployment.teams[team], number, &mut random),
        };
        list.push(Planned { at: Duration::from_secs_f64(at), team, kind, number });
    }
}

fn choose_team(deployment: &Deployment, mut point: f64) -> usize {
    for (place, team) in deployment.teams.iter().enumerate() {
        if point < team.share {
            return place;
        }
        point -= team.share;
    }
    0
}

fn completion(team: &TeamLoad, number: usize, random: &mut SmallRng) -> Kind {
    let topic = random.random_range(0..TOPICS);
    let mut prompt = format!("{} topic {topic}: ", team.name).repeat(team.shared / 16);
    prompt.truncate(team.shared);
    prompt += &format!(" question {number}");
    Kind::Completion { prompt, tokens: random.random_range(team.tokens.0..=team.tokens.1) }
}
