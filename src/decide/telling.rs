//! What of a box's word is news to the leader, and what the leader makes of it.
//!
//! A box tells only what has changed since its last word that was answered. The leader keeps what it was
//! told; one that has missed a word says so in each answer until it has been told all in one word. A window's
//! counts take the place of those told before, so nothing is lost with a word and nothing counts twice.

use crate::ids::Window;
use crate::state::notes::Models;
use crate::state::usage::Counts;

/// Windows kept of a box at most: a report is due long before that, and while none can be made no more are
/// of use.
const KEPT_WINDOWS: usize = 24;

/// What is news of a box.
#[derive(Debug, Clone)]
pub struct News {
    /// Whether it is all that there is.
    pub whole: bool,
    /// Which of the box's words this is.
    pub turn: u64,
    /// The last word that was answered: this is news to whoever heard it.
    pub after: u64,
    /// The counts of the windows that have changed.
    pub usage: Counts,
    /// What the box has learned of engines, if that has changed.
    pub engines: Option<Models>,
}

/// What the leader has of a box, by the words that it answered.
#[derive(Debug, Default)]
pub struct Telling {
    /// `None`: nothing for certain.
    told: Option<Heard>,
    /// The last word that was answered.
    answered: u64,
}

impl Telling {
    /// What the leader is to be told in the box's word `turn`.
    pub fn news(&self, turn: u64, mut usage: Counts, engines: Models) -> News {
        let after = self.answered;
        let Some(told) = &self.told else {
            return News { whole: true, turn, after, usage, engines: Some(engines) };
        };
        usage.retain(|window, counts| told.usage.get(window) != Some(counts));
        let engines = is_news(&told.engines, &engines).then_some(engines);
        News { whole: false, turn, after, usage, engines }
    }

    /// Takes the answer to a word: the leader has its news, unless it `lacks` what they are news to.
    pub fn answered(&mut self, news: News, lacks: bool, settled: Window) {
        match lacks {
            true => self.told = None,
            false => {
                self.answered = news.turn;
                self.told.get_or_insert_default().take(news, settled);
            }
        }
    }
}

/// What a life of a box has told.
#[derive(Debug, Default)]
pub struct Heard {
    /// Its counts of the windows that are not settled.
    pub usage: Counts,
    /// What it has learned of engines.
    pub engines: Models,
    /// The last word heard; 0 before the first.
    turn: u64,
    /// Whether one word was all that there was: without it, later ones are news to something unknown.
    whole: bool,
}

impl Heard {
    /// Takes what is news; windows up to `settled` are no longer kept. Whether it lacks something: a word
    /// that a later one has overtaken says nothing, and one that is news to a word not heard here says
    /// that others were told what is not known here.
    pub fn take(&mut self, news: News, settled: Window) -> bool {
        if news.turn <= self.turn {
            return !self.whole;
        }
        if news.whole {
            self.usage.clear();
        }
        self.whole = news.whole || (self.whole && news.after <= self.turn);
        self.turn = news.turn;
        self.usage.extend(news.usage);
        self.usage.retain(|window, _| *window > settled);
        while self.usage.len() > KEPT_WINDOWS {
            self.usage.pop_first();
        }
        if let Some(engines) = news.engines {
            self.engines = engines;
        }
        !self.whole
    }
}

/// Whether models say something else than those known.
pub fn is_news(known: &Models, models: &Models) -> bool {
    let same = known.len() == models.len()
        && known
            .iter()
            .zip(models)
            .all(|((a, known), (b, model))| a == b && !known.is_passed(model));
    !same
}
