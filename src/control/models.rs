//! Models of engines on their way between boxes and the leader: told when they say something new, by the
//! leader here and by boxes in [`crate::decide::report_delta`]. They change slowly, and words go out several
//! times a second.

use serde::{Deserialize, Serialize};

use crate::decide::report_delta::models_changed;
use crate::member::table::fingerprint;
use crate::relay::list::ContentHash;
use crate::state::notes::Models;

/// What the leader tells of engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelsUpdate {
    /// Tells it from others; a box says which one it has.
    pub print: ContentHash,
    /// The models.
    pub models: Models,
}

impl ModelsUpdate {
    fn new(models: &Models) -> Self {
        // Debug output of a number is the shortest text that reads as the same number.
        Self { print: ContentHash(fingerprint(&format!("{models:?}"))), models: models.clone() }
    }
}

/// The leader's side: what boxes are to have.
#[derive(Debug, Default)]
pub(crate) struct ModelsBroadcast(Option<ModelsUpdate>);

impl ModelsBroadcast {
    /// The word for a box that has the one of print `held`, if it lacks something.
    pub(crate) fn news(
        &mut self,
        models: &Models,
        held: Option<ContentHash>,
    ) -> Option<ModelsUpdate> {
        if self.0.as_ref().is_none_or(|word| models_changed(&word.models, models)) {
            self.0 = Some(ModelsUpdate::new(models));
        }
        self.0.as_ref().filter(|word| Some(word.print) != held).cloned()
    }
}
