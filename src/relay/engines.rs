//! What this box has learned of the engines of each service, and what all boxes together have.

use std::collections::BTreeMap;

use crate::decide::engine::{EngineLearner, EngineModel, Observation, Sample};
use crate::ids::ServiceName;
use crate::state::notes::Models;

/// Samples of a service that wait to be reported at most: half a kilobyte of a report.
const SAMPLE_LIMIT: usize = 16;

/// The learners of one box.
#[derive(Debug, Default)]
pub struct EngineTracker {
    learners: BTreeMap<ServiceName, EngineLearner>,
    /// What the services without a fit of this box's own have shown since the last report.
    samples: BTreeMap<ServiceName, Vec<Sample>>,
    pooled: Models,
}

impl EngineTracker {
    /// Takes an observation of a service's engine.
    pub fn note(&mut self, service: &ServiceName, seen: Observation) {
        if !self.learners.contains_key(service) {
            self.learners.insert(service.clone(), EngineLearner::default());
        }
        self.record(service, Sample::First(seen));
    }

    /// Takes a sample of a service of which something was observed before.
    fn record(&mut self, service: &ServiceName, sample: Sample) {
        let Some(learner) = self.learners.get_mut(service) else {
            return;
        };
        learner.record(sample);
        if learner.model().is_learned() {
            self.samples.remove(service);
            return;
        }
        let samples = self.samples.entry(service.clone()).or_default();
        if samples.len() < SAMPLE_LIMIT {
            samples.push(sample);
        }
    }

    /// The samples to report, each once.
    pub fn take_samples(&mut self) -> BTreeMap<ServiceName, Vec<Sample>> {
        std::mem::take(&mut self.samples)
    }

    /// Takes whether a request that a service's engine served came late.
    pub fn record_served(&mut self, service: &ServiceName, is_late: bool) {
        self.record(service, Sample::Served { late: is_late });
    }

    /// Takes a stream that ended well at an engine of a service.
    pub fn record_stream(&mut self, service: &ServiceName, events: u64, output: u64, seconds: f64) {
        let (events, output) = (events as f64, output as f64);
        self.record(service, Sample::Stream { events, output, seconds });
    }

    /// What is known of a service's engines: what all boxes have learned, else what this one has.
    pub fn model(&self, service: &ServiceName) -> EngineModel {
        let pooled = self.pooled.get(service).filter(|model| model.is_learned());
        let own = || self.learners.get(service).map(EngineLearner::model);
        pooled.copied().or_else(own).unwrap_or_default()
    }

    /// What this box has learned.
    pub fn learned(&self) -> Models {
        let models = self.learners.iter().map(|(name, learner)| (name.clone(), learner.model()));
        models.filter(|(_, model)| model.is_learned()).collect()
    }

    /// Takes what all boxes together have learned.
    pub fn take(&mut self, pooled: Models) {
        self.pooled.extend(pooled);
    }
}
