//! How likely data centres lose their reclaimable engines, learned from those that did.

use std::collections::BTreeMap;

use emberturn::decide::absence::SpotStatus;
use emberturn::decide::hazard::{FORECAST_LOSSES, OutagePredictor};
use emberturn::ids::{DataCentre, ServiceName};
use emberturn::state::notes::Notes;
use emberturn::state::{Command, Machine, Reply};

/// Data centres in their order; the first `gone` of `count` have notice of two seconds.
fn seen(count: usize, gone: usize) -> Vec<(DataCentre, SpotStatus)> {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let place = |(place, name): (usize, &&str)| {
        let leaving = SpotStatus { serving: 0, leaving: 6, notice: Some(2.0) };
        let serving = SpotStatus { serving: 6, ..SpotStatus::default() };
        (name.parse().unwrap(), if place < gone { leaving } else { serving })
    };
    names[..count].iter().enumerate().map(place).collect()
}

/// Plays spells in which so many of four data centres go, one a second, with quiet minutes between.
fn after(spells: &[usize]) -> (OutagePredictor, f64) {
    let (mut known, mut now) = (OutagePredictor::default(), 0.0);
    let mut look = |known: &mut OutagePredictor, gone, seconds: u32| {
        for _ in 0..seconds {
            now += 1.0;
            known.observe(now, &seen(4, gone));
        }
    };
    look(&mut known, 0, 60);
    for spell in spells {
        (1..*spell).for_each(|gone| look(&mut known, gone, 1));
        look(&mut known, *spell, 12);
        look(&mut known, 0, 60);
    }
    (known, now)
}

/// How likely more are lost within an engine's boot, right after the first is gone.
fn next(spells: &[usize]) -> f64 {
    let (mut known, now) = after(spells);
    known.observe(now + 1.0, &seen(4, 1));
    1.0 - known.forecast(4.0).probabilities[0]
}

#[test]
fn what_is_gone_tells_of_what_goes_next_as_far_as_it_did() {
    let (prior, rows, alone) = (next(&[]), next(&[4; 4]), next(&[1; 4]));
    assert!(rows > 0.8, "{rows} after spells that took all");
    assert!(alone < 0.15, "{alone} after spells that took one");
    assert!((0.1..0.3).contains(&prior), "{prior} before anything was seen");
}

#[test]
fn loss_that_has_not_followed_for_long_is_not_expected() {
    let (mut known, now) = after(&[4; 4]);
    let chances = [1, 12].map(|seconds| {
        for second in 0..seconds {
            known.observe(now + 1.0 + f64::from(second), &seen(4, 1));
        }
        1.0 - known.forecast(4.0).probabilities[0]
    });
    assert!(chances[0] > chances[1] + 0.2, "{chances:?}");
}

#[test]
fn spell_that_ends_takes_no_further_ones() {
    let (mut known, now) = after(&[4; 4]);
    known.observe(now + 1.0, &seen(4, 2));
    let falls = known.forecast(4.0).probabilities[0];
    known.observe(now + 2.0, &seen(4, 1));
    let ends = known.forecast(4.0).probabilities[0];
    assert!(ends > 0.7 && ends > falls + 0.4, "{falls} while it falls, {ends} once one is back");
}

#[test]
fn longer_boots_and_shorter_notices_leave_more_to_be_lost() {
    let (mut known, now) = after(&[4; 2]);
    known.observe(now + 1.0, &seen(4, 1));
    let safe = [0.25, 2.0, 4.0, 8.0, 20.0].map(|boot| known.forecast(boot).probabilities[0]);
    assert!(safe.windows(2).all(|pair| pair[0] >= pair[1]), "{safe:?}");
    assert_eq!(safe[0], 1.0, "an engine that boots within the notice is ordered when it comes");
}

#[test]
fn list_that_tells_no_notice_teaches_none() {
    let untold = |gone| {
        let mut seen = seen(4, gone);
        seen.iter_mut().for_each(|(_, seen)| seen.notice = None);
        seen
    };
    let mut known = OutagePredictor::default();
    let before = known.learned();
    known.observe(0.0, &untold(0));
    known.observe(0.0, &untold(1));
    let mut told = OutagePredictor::default();
    told.observe(0.0, &seen(4, 0));
    told.observe(0.0, &seen(4, 1));
    assert_ne!(known.learned(), before);
    assert!(
        known.forecast(4.0).probabilities[0] < told.forecast(4.0).probabilities[0],
        "the prior is shorter"
    );
}

#[test]
fn chances_sum_to_one_whatever_is_gone() {
    for count in [1, 2, 4, 12] {
        for gone in 0..=count {
            let mut known = OutagePredictor::default();
            known.observe(0.0, &seen(count, 0));
            known.observe(1.0, &seen(count, gone));
            let outlook = known.forecast(20.0);
            let sum: f64 = outlook.probabilities.iter().sum();
            assert!((sum - 1.0).abs() < 1e-9, "{outlook:?}");
            assert!(
                outlook.probabilities[(count - gone + 1).min(FORECAST_LOSSES)..]
                    .iter()
                    .all(|it| *it == 0.0)
            );
            assert!(outlook.remaining_engines(60).all(|(left, _)| left <= 60));
        }
    }
}

/// A leader that takes over in the middle of a spell knows what the former one did, and counts no loss
/// twice.
#[test]
fn new_leader_expects_what_the_former_one_did() {
    let (mut former, now) = after(&[4; 4]);
    former.observe(now + 1.0, &seen(4, 1));
    let service: ServiceName = "chat".parse().unwrap();
    let spells = BTreeMap::from([(service.clone(), former.learned())]);
    // It goes through the group's log beside what operators wait for.
    let size = serde_json::to_string(&spells).unwrap().len();
    assert!(size < 2_000, "{size} bytes");
    println!("{size} bytes");
    let mut machine = Machine::default();
    machine.apply(1, &Command::NoteSpells(spells));
    let Reply::Notes(Notes { spells, .. }) = machine.apply(2, &Command::ReadNotes) else {
        panic!("no notes");
    };
    let mut new = OutagePredictor::default();
    new.observe(0.0, &seen(4, 1));
    new.restore(spells[&service].clone());
    assert_eq!(new.learned(), former.learned());
    let [was, is] = [&former, &new].map(|known| known.forecast(4.0).probabilities[0]);
    assert!((was - is).abs() < 0.05, "{was} {is}");
    assert!(!new.learned().differs(&spells[&service]));
}
