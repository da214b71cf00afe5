//! Updates of the pooled engine models that the leader sends to boxes. Heartbeats go out several times a second and the
//! models change slowly, so they are sent only after a notable change. The boxes' side is in
//! [`crate::decide::report_delta`].

use serde::{Deserialize, Serialize};

use crate::decide::report_delta::models_changed;
use crate::member::table::fingerprint;
use crate::relay::list::ContentHash;
use crate::state::notes::Models;

/// The pooled engine models, as the leader sends them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelsUpdate {
    /// The hash of the models, by which a box tells the leader which ones it has.
    #[serde(rename = "print")]
    pub hash: ContentHash,
    /// The models.
    pub models: Models,
}

impl ModelsUpdate {
    fn new(models: &Models) -> Self {
        // The Debug output of a float is the shortest text that parses to the same number, so equal models have equal
        // hashes.
        Self { hash: ContentHash(fingerprint(&format!("{models:?}"))), models: models.clone() }
    }
}

/// The leader's side: the update that every box should have.
#[derive(Debug, Default)]
pub(crate) struct ModelsBroadcast(Option<ModelsUpdate>);

impl ModelsBroadcast {
    /// The update for a box that has the one with hash `held`; `None` if it is up to date. The models are hashed anew
    /// only once they differ notably from the last update.
    pub(crate) fn update_for(
        &mut self,
        models: &Models,
        held: Option<ContentHash>,
    ) -> Option<ModelsUpdate> {
        if self.0.as_ref().is_none_or(|update| models_changed(&update.models, models)) {
            self.0 = Some(ModelsUpdate::new(models));
        }
        self.0.as_ref().filter(|update| Some(update.hash) != held).cloned()
    }
}
