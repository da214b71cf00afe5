//! What of a box's word is news to the leader: counts of windows that are over and models of engines stay
//! the same for many words.
//!
//! The leader keeps what a life of the box told it. One that has not heard that life before, or has
//! forgotten it, says that it lacks what was told, and is told all of it at once.

use crate::relay::list::Print;
use crate::relay::usage::Counts;
use crate::state::notes::Models;

use super::models::is_news;

/// What the leader has of a box by the words that it answered, and what the box has of the leader.
#[derive(Debug, Default)]
pub(super) struct Telling {
    /// `None`: nothing for certain.
    told: Option<Told>,
    /// The print of the leader's last word of engines.
    pub(super) models: Option<Print>,
}

#[derive(Debug, Default)]
struct Told {
    usage: Counts,
    engines: Models,
}

/// The news of a word.
#[derive(Debug, Clone)]
pub(super) struct News {
    /// Whether it is all that there is.
    pub(super) whole: bool,
    pub(super) usage: Counts,
    pub(super) engines: Option<Models>,
}

impl Telling {
    /// What the leader is to be told.
    pub(super) fn news(&self, mut usage: Counts, engines: Models) -> News {
        let Some(told) = &self.told else {
            return News { whole: true, usage, engines: Some(engines) };
        };
        usage.retain(|window, counts| told.usage.get(window) != Some(counts));
        let engines = is_news(&told.engines, &engines).then_some(engines);
        News { whole: false, usage, engines }
    }

    /// Takes the answer to a word: the leader has its news, unless it `lacks` what it is news to. Windows up to
    /// those that are `kept` are settled.
    pub(super) fn answered(&mut self, news: News, lacks: bool, kept: &Counts) {
        if lacks {
            self.told = None;
            return;
        }
        let told = self.told.get_or_insert_default();
        told.usage.extend(news.usage);
        told.usage.retain(|window, _| kept.contains_key(window));
        if let Some(engines) = news.engines {
            told.engines = engines;
        }
    }
}
