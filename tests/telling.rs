//! What a box tells the leader as news, while words and answers are lost and leaders change.

use std::collections::BTreeMap;

use emberturn::decide::report_delta::{DeltaReceiver, DeltaSender, ReportDelta};
use emberturn::ids::{TeamName, Window};
use emberturn::relay::usage::Counts;
use emberturn::state::notes::Models;
use proptest::prelude::*;

/// What happens between two words.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request began to run in a window.
    Ran(u64),
    /// The engines have become faster by this part.
    Learned(f64),
    /// The word never arrives.
    WordLost,
    /// It arrives, and its answer does not.
    AnswerLost,
    /// It is held up, and arrives behind later ones, at whoever leads then.
    Overtaken,
    /// Another leader, that has heard nothing, or the same one that has forgotten the box.
    Forgotten,
    /// A word and its answer arrive.
    Told,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u64..6).prop_map(Event::Ran),
        1 => (0.0..0.5).prop_map(Event::Learned),
        1 => Just(Event::WordLost),
        1 => Just(Event::AnswerLost),
        1 => Just(Event::Overtaken),
        1 => Just(Event::Forgotten),
        3 => Just(Event::Told),
    ]
}

#[derive(Default)]
struct World {
    telling: DeltaSender,
    usage: Counts,
    engines: Models,
    leader: Option<DeltaReceiver>,
    settled: Window,
    turn: u64,
    /// A word on its way, and for how many events more.
    late: Option<(ReportDelta, u32)>,
}

impl World {
    fn count(&mut self, window: u64) {
        let team: TeamName = format!("team-{}", window % 2).parse().unwrap();
        *self.usage.entry(Window(window)).or_default().entry(team).or_insert(0) += 1;
    }

    fn learn(&mut self, part: f64) {
        let service = "svc".parse().unwrap();
        let model = self.engines.entry(service).or_default();
        (model.rate, model.weight) = (model.rate * (1.0 + part), 256.0);
    }

    fn news(&mut self) -> ReportDelta {
        self.turn += 1;
        self.telling.delta(self.turn, self.usage.clone(), self.engines.clone())
    }

    /// Has a word that was held up arrive, once it is due.
    fn arrive(&mut self) {
        match self.late.take() {
            Some((news, 0)) => {
                self.leader.get_or_insert_default().apply(news, self.settled);
            }
            Some((news, events)) => self.late = Some((news, events - 1)),
            None => {}
        }
    }

    /// A word; whether the leader lacked what it was news to.
    fn tell(&mut self, arrives: bool, answered: bool) -> bool {
        let news = self.news();
        if !arrives {
            return false;
        }
        let lacks = self.leader.get_or_insert_default().apply(news.clone(), self.settled);
        if answered {
            self.usage.retain(|window, _| *window > self.settled);
            self.telling.handle_answer(news, lacks, self.settled);
        }
        lacks
    }

    fn counts(&self) -> Counts {
        let counts = self.usage.iter().filter(|(window, _)| **window > self.settled);
        counts.map(|(window, counts)| (*window, counts.clone())).collect()
    }
}

proptest! {
    /// Whatever is lost, the leader has all counts after a word that it answers, or after the next one
    /// where it said that it lacked some, and never a count that did not run.
    #[test]
    fn leader_has_all_that_ran(events in prop::collection::vec(event(), 1..60), settled in 0_u64..4) {
        let mut world = World::default();
        for (place, event) in events.iter().enumerate() {
            if place == events.len() / 2 {
                world.settled = Window(settled);
            }
            world.arrive();
            match *event {
                Event::Ran(window) if Window(window) > world.settled => world.count(window),
                Event::Ran(_) => {}
                Event::Learned(part) => world.learn(part),
                Event::WordLost => drop(world.tell(false, false)),
                Event::AnswerLost => drop(world.tell(true, false)),
                Event::Overtaken => world.late = Some((world.news(), 2)),
                Event::Forgotten => world.leader = None,
                Event::Told => {
                    if world.tell(true, true) {
                        prop_assert!(!world.tell(true, true), "all was told");
                    }
                    let heard = world.leader.as_ref().unwrap();
                    prop_assert_eq!(&heard.usage, &world.counts());
                }
            }
            for (window, counts) in world.leader.iter().flat_map(|heard| &heard.usage) {
                for (team, count) in counts {
                    let ran = world.usage.get(window).and_then(|counts| counts.get(team));
                    prop_assert!(*window <= world.settled || ran >= Some(count));
                }
            }
        }
    }
}

#[test]
fn what_has_not_changed_is_not_told_again() {
    let mut world = World::default();
    world.count(1);
    world.count(2);
    world.learn(0.0);
    world.tell(true, true);
    world.count(2);
    world.learn(0.01);
    let news = world.news();
    let windows: BTreeMap<_, _> = news.usage.into_iter().collect();
    assert_eq!(windows.keys().collect::<Vec<_>>(), [&Window(2)]);
    assert!(news.engines.is_none() && !news.is_full);
    world.learn(0.1);
    assert!(world.news().engines.is_some());
}
