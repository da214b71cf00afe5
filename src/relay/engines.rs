//! The performance models of each service's engines: the one that this box has learned, and the one
//! pooled over all boxes.

use std::collections::BTreeMap;

use crate::decide::engine::{EngineLearner, EngineModel, Observation, Sample};
use crate::ids::ServiceName;
use crate::state::notes::Models;

/// How many samples of a service wait for the next report. This many take half a kilobyte.
const MAX_PENDING_SAMPLES: usize = 16;

/// The engine models as known to one box.
#[derive(Debug, Default)]
pub struct EngineTracker {
    learners: BTreeMap<ServiceName, EngineLearner>,
    /// Samples since the last report of services for which this box has not learned a model of its
    /// own.
    samples: BTreeMap<ServiceName, Vec<Sample>>,
    pooled: Models,
}

impl EngineTracker {
    /// Records an observation of a service's engine.
    pub fn record_observation(&mut self, service: &ServiceName, observation: Observation) {
        if !self.learners.contains_key(service) {
            self.learners.insert(service.clone(), EngineLearner::default());
        }
        self.record_sample(service, Sample::First(observation));
    }

    /// Records a sample. Ignored for a service that has no observation yet.
    fn record_sample(&mut self, service: &ServiceName, sample: Sample) {
        let Some(learner) = self.learners.get_mut(service) else {
            return;
        };
        learner.record(sample);
        if learner.model().is_learned() {
            self.samples.remove(service);
            return;
        }
        let samples = self.samples.entry(service.clone()).or_default();
        if samples.len() < MAX_PENDING_SAMPLES {
            samples.push(sample);
        }
    }

    /// Returns the samples to report and clears them.
    pub fn take_samples(&mut self) -> BTreeMap<ServiceName, Vec<Sample>> {
        std::mem::take(&mut self.samples)
    }

    /// Records whether a request that an engine served missed its latency target.
    pub fn record_served(&mut self, service: &ServiceName, is_late: bool) {
        self.record_sample(service, Sample::Served { late: is_late });
    }

    /// Records a stream that an engine completed.
    pub fn record_stream(&mut self, service: &ServiceName, events: u64, output: u64, seconds: f64) {
        let (events, output) = (events as f64, output as f64);
        self.record_sample(service, Sample::Stream { events, output, seconds });
    }

    /// The model of a service's engines: the pooled one if it is learned, else this box's own.
    pub fn model(&self, service: &ServiceName) -> EngineModel {
        let pooled = self.pooled.get(service).filter(|model| model.is_learned());
        let own = || self.learners.get(service).map(EngineLearner::model);
        pooled.copied().or_else(own).unwrap_or_default()
    }

    /// The models that this box has learned.
    pub fn learned(&self) -> Models {
        let models = self.learners.iter().map(|(name, learner)| (name.clone(), learner.model()));
        models.filter(|(_, model)| model.is_learned()).collect()
    }

    /// Replaces the pooled models of the given services.
    pub fn apply_pooled(&mut self, pooled: Models) {
        self.pooled.extend(pooled);
    }
}
