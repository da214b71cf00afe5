//! The stand-ins of one run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use emberturn_fakes::cluster::backend_section;
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::service::Service;
use eyre::Result;
use tokio::task::AbortHandle;

use super::outcome::Outcome;
use crate::workload::Deployment;

/// Data centres of a deployment.
pub(super) const CENTRES: usize = 4;

/// Time an engine alone takes for a token.
pub(super) const DECODE: Duration = Duration::from_millis(8);

/// Time an engine takes for a prompt token it has not cached.
const PREFILL: Duration = Duration::from_micros(100);

/// The engines and services of one run.
pub(super) struct Fleet {
    /// Engines, where they listen, and what kills them.
    pub(super) engines: Vec<(Engine, SocketAddr, AbortHandle)>,
    /// Services and where they listen.
    pub(super) services: Vec<(Service, SocketAddr)>,
}

impl Fleet {
    /// Starts a deployment's engines and services.
    pub(super) async fn start(deployment: &Deployment) -> Result<Self> {
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
    pub(super) fn taken(&self) -> Vec<usize> {
        (0..self.engines.len()).filter(|number| number % CENTRES == 0).collect()
    }

    /// The change that configures them.
    pub(super) fn change(&self, deployment: &Deployment) -> String {
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

    /// Adds what the engines and services counted.
    pub(super) fn finish(&self, outcome: &mut Outcome) {
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
