//! The incremental reports of a box, with lost reports and answers and changes of leader.

use std::collections::BTreeMap;

use emberturn::decide::report_delta::{DeltaReceiver, DeltaSender, ReportDelta};
use emberturn::ids::{TeamName, Window};
use emberturn::relay::usage::Counts;
use emberturn::state::notes::Models;
use proptest::prelude::*;

/// One step of a simulation.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request starts to run in a window.
    RequestStarted(u64),
    /// The learned rate of the engines grows by this part.
    RateLearned(f64),
    /// A report is lost.
    ReportLost,
    /// A report arrives, and its answer is lost.
    AnswerLost,
    /// A report is delayed and arrives after later ones, at whoever leads then.
    ReportDelayed,
    /// The leader changes, or forgets the box.
    LeaderChanged,
    /// A report and its answer arrive.
    Reported,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u64..6).prop_map(Event::RequestStarted),
        1 => (0.0..0.5).prop_map(Event::RateLearned),
        1 => Just(Event::ReportLost),
        1 => Just(Event::AnswerLost),
        1 => Just(Event::ReportDelayed),
        1 => Just(Event::LeaderChanged),
        3 => Just(Event::Reported),
    ]
}

#[derive(Default)]
struct Simulation {
    sender: DeltaSender,
    usage: Counts,
    engines: Models,
    receiver: Option<DeltaReceiver>,
    settled: Window,
    seq: u64,
    /// A delayed report, and the number of events until it arrives.
    delayed: Option<(ReportDelta, u32)>,
}

impl Simulation {
    fn count(&mut self, window: u64) {
        let team: TeamName = format!("team-{}", window % 2).parse().unwrap();
        *self.usage.entry(Window(window)).or_default().entry(team).or_insert(0) += 1;
    }

    fn learn(&mut self, part: f64) {
        let service = "svc".parse().unwrap();
        let model = self.engines.entry(service).or_default();
        (model.rate, model.weight) = (model.rate * (1.0 + part), 256.0);
    }

    fn next_delta(&mut self) -> ReportDelta {
        self.seq += 1;
        self.sender.delta(self.seq, self.usage.clone(), self.engines.clone())
    }

    /// Delivers the delayed report once it is due.
    fn deliver_delayed(&mut self) {
        match self.delayed.take() {
            Some((delta, 0)) => {
                self.receiver.get_or_insert_default().apply(delta, self.settled);
            }
            Some((delta, events)) => self.delayed = Some((delta, events - 1)),
            None => {}
        }
    }

    /// Sends a report. Returns whether the leader needs a full one.
    fn report(&mut self, arrives: bool, is_answered: bool) -> bool {
        let delta = self.next_delta();
        if !arrives {
            return false;
        }
        let needs_full = self.receiver.get_or_insert_default().apply(delta.clone(), self.settled);
        if is_answered {
            self.usage.retain(|window, _| *window > self.settled);
            self.sender.handle_answer(delta, needs_full, self.settled);
        }
        needs_full
    }

    fn counts(&self) -> Counts {
        let counts = self.usage.iter().filter(|(window, _)| **window > self.settled);
        counts.map(|(window, counts)| (*window, counts.clone())).collect()
    }
}

proptest! {
    /// Whatever is lost, the leader has all counts after a report that it answers, or after the next one if it asked
    /// for a full report, and it never has counts of requests that did not run.
    #[test]
    fn leader_has_the_counts_of_all_requests(
        events in prop::collection::vec(event(), 1..60),
        settled in 0_u64..4,
    ) {
        let mut simulation = Simulation::default();
        for (place, event) in events.iter().enumerate() {
            if place == events.len() / 2 {
                simulation.settled = Window(settled);
            }
            simulation.deliver_delayed();
            match *event {
                Event::RequestStarted(window) if Window(window) > simulation.settled => {
                    simulation.count(window);
                }
                Event::RequestStarted(_) => {}
                Event::RateLearned(part) => simulation.learn(part),
                Event::ReportLost => drop(simulation.report(false, false)),
                Event::AnswerLost => drop(simulation.report(true, false)),
                Event::ReportDelayed => simulation.delayed = Some((simulation.next_delta(), 2)),
                Event::LeaderChanged => simulation.receiver = None,
                Event::Reported => {
                    if simulation.report(true, true) {
                        prop_assert!(!simulation.report(true, true), "a full report was sent");
                    }
                    let receiver = simulation.receiver.as_ref().unwrap();
                    prop_assert_eq!(&receiver.usage, &simulation.counts());
                }
            }
            let received = simulation.receiver.iter().flat_map(|receiver| &receiver.usage);
            for (window, counts) in received {
                for (team, count) in counts {
                    let ran = simulation.usage.get(window).and_then(|counts| counts.get(team));
                    prop_assert!(*window <= simulation.settled || ran >= Some(count));
                }
            }
        }
    }
}

#[test]
fn only_changes_are_reported() {
    let mut simulation = Simulation::default();
    simulation.count(1);
    simulation.count(2);
    simulation.learn(0.0);
    simulation.report(true, true);
    simulation.count(2);
    simulation.learn(0.01);
    let delta = simulation.next_delta();
    let windows: BTreeMap<_, _> = delta.usage.into_iter().collect();
    assert_eq!(windows.keys().collect::<Vec<_>>(), [&Window(2)]);
    assert!(delta.engines.is_none() && !delta.is_full);
    simulation.learn(0.1);
    assert!(simulation.next_delta().engines.is_some());
}
