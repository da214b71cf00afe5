//! Tests the forecast of lost data centres, learned from earlier losses.

use std::collections::BTreeMap;

use emberturn::decide::absence::SpotStatus;
use emberturn::decide::hazard::{FORECAST_LOSSES, OutagePredictor};
use emberturn::ids::{DataCentre, ServiceName};
use emberturn::state::notes::Notes;
use emberturn::state::{Command, Machine, Reply};

/// The data centres in order; the first `gone` of `count` are under a notice of two seconds.
fn seen(count: usize, gone: usize) -> Vec<(DataCentre, SpotStatus)> {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let place = |(place, name): (usize, &&str)| {
        let leaving = SpotStatus { serving: 0, leaving: 6, notice: Some(2.0) };
        let serving = SpotStatus { serving: 6, ..SpotStatus::default() };
        (name.parse().unwrap(), if place < gone { leaving } else { serving })
    };
    names[..count].iter().enumerate().map(place).collect()
}

/// Simulates series of losses, one data centre per second, in a market of four data centres, with a quiet
/// minute between series. Each entry is the number of data centres lost in a series.
fn after(series: &[usize]) -> (OutagePredictor, f64) {
    let (mut predictor, mut now) = (OutagePredictor::default(), 0.0);
    let mut look = |predictor: &mut OutagePredictor, gone, seconds: u32| {
        for _ in 0..seconds {
            now += 1.0;
            predictor.observe(now, &seen(4, gone));
        }
    };
    look(&mut predictor, 0, 60);
    for length in series {
        (1..*length).for_each(|gone| look(&mut predictor, gone, 1));
        look(&mut predictor, *length, 12);
        look(&mut predictor, 0, 60);
    }
    (predictor, now)
}

/// The probability of further losses within the boot time of an engine, right after the first loss.
fn next(series: &[usize]) -> f64 {
    let (mut predictor, now) = after(series);
    predictor.observe(now + 1.0, &seen(4, 1));
    1.0 - predictor.forecast(4.0).probabilities[0]
}

#[test]
fn forecast_follows_earlier_series_of_losses() {
    let (prior, all, alone) = (next(&[]), next(&[4; 4]), next(&[1; 4]));
    assert!(all > 0.8, "{all} after series that took all");
    assert!(alone < 0.15, "{alone} after series that took one");
    assert!((0.1..0.3).contains(&prior), "{prior} before anything was seen");
}

#[test]
fn loss_becomes_less_likely_the_longer_it_has_not_followed() {
    let (mut predictor, now) = after(&[4; 4]);
    let chances = [1, 12].map(|seconds| {
        for second in 0..seconds {
            predictor.observe(now + 1.0 + f64::from(second), &seen(4, 1));
        }
        1.0 - predictor.forecast(4.0).probabilities[0]
    });
    assert!(chances[0] > chances[1] + 0.2, "{chances:?}");
}

#[test]
fn no_further_loss_is_expected_once_data_centres_recover() {
    let (mut predictor, now) = after(&[4; 4]);
    predictor.observe(now + 1.0, &seen(4, 2));
    let falls = predictor.forecast(4.0).probabilities[0];
    predictor.observe(now + 2.0, &seen(4, 1));
    let ends = predictor.forecast(4.0).probabilities[0];
    assert!(
        ends > 0.7 && ends > falls + 0.4,
        "{falls} while data centres are lost, {ends} once one recovers"
    );
}

#[test]
fn longer_boot_times_raise_the_probability_of_losses() {
    let (mut predictor, now) = after(&[4; 2]);
    predictor.observe(now + 1.0, &seen(4, 1));
    let safe = [0.25, 2.0, 4.0, 8.0, 20.0].map(|boot| predictor.forecast(boot).probabilities[0]);
    assert!(safe.windows(2).all(|pair| pair[0] >= pair[1]), "{safe:?}");
    assert_eq!(
        safe[0], 1.0,
        "an engine that boots within the notice can be ordered when it is given"
    );
}

#[test]
fn unknown_notice_is_not_learned() {
    let without_notice = |gone| {
        let mut seen = seen(4, gone);
        seen.iter_mut().for_each(|(_, seen)| seen.notice = None);
        seen
    };
    let mut predictor = OutagePredictor::default();
    let before = predictor.learned();
    predictor.observe(0.0, &without_notice(0));
    predictor.observe(0.0, &without_notice(1));
    let mut with_notice = OutagePredictor::default();
    with_notice.observe(0.0, &seen(4, 0));
    with_notice.observe(0.0, &seen(4, 1));
    assert_ne!(predictor.learned(), before);
    assert!(
        predictor.forecast(4.0).probabilities[0] < with_notice.forecast(4.0).probabilities[0],
        "the prior of the notice is shorter"
    );
}

#[test]
fn probabilities_sum_to_one() {
    for count in [1, 2, 4, 12] {
        for gone in 0..=count {
            let mut predictor = OutagePredictor::default();
            predictor.observe(0.0, &seen(count, 0));
            predictor.observe(1.0, &seen(count, gone));
            let forecast = predictor.forecast(20.0);
            let sum: f64 = forecast.probabilities.iter().sum();
            assert!((sum - 1.0).abs() < 1e-9, "{forecast:?}");
            assert!(
                forecast.probabilities[(count - gone + 1).min(FORECAST_LOSSES)..]
                    .iter()
                    .all(|it| *it == 0.0)
            );
            assert!(forecast.remaining_engines(60).all(|(left, _)| left <= 60));
        }
    }
}

/// A leader that takes over during a series of losses continues with the former leader's forecast and counts
/// no loss twice.
#[test]
fn new_leader_continues_with_the_former_leaders_forecast() {
    let (mut former, now) = after(&[4; 4]);
    former.observe(now + 1.0, &seen(4, 1));
    let service: ServiceName = "chat".parse().unwrap();
    let histories = BTreeMap::from([(service.clone(), former.learned())]);
    // The history passes through the group's log, next to operators' commands, and must stay small.
    let size = serde_json::to_string(&histories).unwrap().len();
    assert!(size < 2_000, "{size} bytes");
    println!("{size} bytes");
    let mut machine = Machine::default();
    machine.apply(1, &Command::NoteOutages(histories));
    let Reply::Notes(Notes { outages: histories, .. }) = machine.apply(2, &Command::ReadNotes)
    else {
        panic!("no notes");
    };
    let mut new = OutagePredictor::default();
    new.observe(0.0, &seen(4, 1));
    new.restore(histories[&service].clone());
    assert_eq!(new.learned(), former.learned());
    let [was, is] = [&former, &new].map(|predictor| predictor.forecast(4.0).probabilities[0]);
    assert!((was - is).abs() < 0.05, "{was} {is}");
    assert!(!new.learned().differs(&histories[&service]));
}
