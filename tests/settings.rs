//! Numbers in settings: what the users' platform puts into the templates' gaps.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use emberturn::settings::Settings;
use emberturn::units::{Millis, Number};
use proptest::prelude::*;
use serde_json::{Map, Value, json};
use system::{fill, template};
use yare::parameterized;

const TEMPLATES: [&str; 2] = ["relay.ini", "replica.ini"];

/// Gaps of the templates that take a number: the contract's figures, and what may be lost at once.
const FIGURES: [&str; 2] = ["bounds.", "fault_tolerance."];

/// Figures that cannot be 0: windows that have no length.
const LENGTHS: [&str; 2] = ["usage_window_s", "quota_window_s"];

/// Names of the gaps for figures in both templates, without their table's name.
fn figures() -> Vec<String> {
    let texts = TEMPLATES.map(template).concat();
    let gaps = texts.split("{{").skip(1).filter_map(|gap| Some(gap.split_once("}}")?.0));
    let figures = gaps.filter_map(|gap| FIGURES.iter().find_map(|table| gap.strip_prefix(table)));
    let mut names: Vec<_> = figures.map(str::to_owned).collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// What the platform says besides figures, with `figures` under both tables.
fn fields(figures: &Map<String, Value>) -> Value {
    json!({
        "ip": "10.1.0.16", "zone": "north", "zones": { "north": "up" }, "data_dir": "/data/replica", "first_start": true,
        "seeds": ["10.1.0.16:8229", "10.2.0.6:8229", "10.3.0.37:8229"],
        "internal_port_range": [7600, 7615],
        "listen_addresses": {
            "front": "10.1.0.16:8221", "ready": "10.1.0.16:8224", "control": "10.1.0.16:8229",
        },
        "cloud_api": { "address": "10.200.0.35:8225" },
        "bounds": figures, "fault_tolerance": figures,
    })
}

/// Faults of both templates filled with `figures`.
fn faults(figures: &Map<String, Value>) -> Vec<String> {
    let read = |name| Settings::parse(name, &fill(&template(name), &fields(figures)));
    TEMPLATES.into_iter().filter_map(|name| read(name).err()).flat_map(|it| it.faults).collect()
}

fn all(value: &str) -> Map<String, Value> {
    figures().into_iter().map(|name| (name, Value::String(value.to_owned()))).collect()
}

/// A number as a text: whole, with a fraction, or with an exponent.
fn written() -> impl Strategy<Value = String> {
    let number = prop_oneof![(0u32..100_000).prop_map(f64::from), 0.05..100_000.0, 0.05..1.0];
    (number, 0..3).prop_map(|(number, form)| match form {
        0 => number.to_string(),
        1 => format!("{number:e}"),
        _ => format!("{number:E}").replace('E', "E+").replace("E+-", "E-"),
    })
}

proptest! {
    #[test]
    fn every_figure_may_have_a_fraction_or_an_exponent(
        values in prop::collection::vec(written(), figures().len()),
    ) {
        let mut drawn: Map<_, _> =
            figures().into_iter().zip(values.into_iter().map(Value::String)).collect();
        // A share of the requests is no more than all of them, and a window has a length.
        for name in ["retry_budget_ratio", "expose_share"] {
            let part = drawn[name].as_str().unwrap().parse::<f64>().unwrap();
            drawn[name] = json!(part / (1.0 + part));
        }
        for name in LENGTHS {
            let length = drawn[name].as_str().unwrap().parse::<f64>().unwrap();
            drawn[name] = json!(format!("{:e}", length + 0.001));
        }
        prop_assert_eq!(faults(&drawn), Vec::<String>::new());
    }

    #[test]
    fn number_that_is_out_of_range_is_named(
        place in 0..figures().len(),
        value in prop::sample::select(vec!["-1", "-0.5", "nan", "inf", "1e999", "many", "1,5"]),
    ) {
        let mut drawn = all("1");
        let name = figures()[place].clone();
        drawn[&name] = json!(value);
        let faults = faults(&drawn);
        prop_assert!(!faults.is_empty(), "{} = {}", name, value);
        prop_assert!(faults.iter().all(|it| it.contains("is not valid")), "{:?}", faults);
        prop_assert!(faults.iter().all(|it| it.contains(value)), "{:?}", faults);
    }
}

#[test]
fn figure_of_nothing_is_taken_where_nothing_makes_sense() {
    let mut zeros = all("0");
    let faults_of_all = faults(&zeros);
    assert!(faults_of_all.iter().all(|it| it.ends_with("is longer than nothing")));
    LENGTHS.iter().for_each(|name| zeros[*name] = json!(0.5));
    assert_eq!(faults(&zeros), Vec::<String>::new());
}

#[test]
fn figure_that_is_not_given_has_its_default() {
    assert_eq!(faults(&Map::new()), Vec::<String>::new());
    let text = fill(&template("relay.ini"), &fields(&Map::new()));
    let filled = Settings::parse("relay.ini", &text).unwrap();
    let defaults = "[node]\nbox_id = 10.1.0.16\ndata_centre = north\nroles = relay\n\
        [peer]\nlisten = 10.1.0.16:7600\n[group]\nseeds = 10.1.0.16:8229\n\
        [relay]\nlisten = 10.1.0.16:8221\nready = 10.1.0.16:8224\n";
    let bare = Settings::parse("relay.ini", defaults).unwrap();
    assert_eq!(format!("{:?}", filled.relay), format!("{:?}", bare.relay));
}

#[parameterized(
    bare = { "250", 250 },
    milliseconds = { "250ms", 250 },
    fraction = { "0.5s", 500 },
    nearest = { "33.1578947368421ms", 33 },
    exponent = { "1.5e3ms", 1_500 },
    signed_exponent = { "2E+03", 2_000 },
    minutes = { "2m", 120_000 },
    hours = { "24 h", 86_400_000 },
    nothing = { "0s", 0 },
)]
fn time_is_read_to_the_nearest_millisecond(text: &str, millis: u64) {
    assert_eq!(text.parse(), Ok(Millis(millis)));
}

#[parameterized(
    unit_alone = { "ms" },
    unknown_unit = { "5d" },
    half_an_exponent = { "5e" },
    negative = { "-1s" },
    too_long = { "1e300h" },
    none = { "" },
)]
fn text_that_is_no_time_is_refused(text: &str) {
    assert!(text.parse::<Millis>().is_err());
}

#[parameterized(
    whole = { 2.0, 2 },
    part = { 1.2, 2 },
    nothing = { 0.0, 0 },
    huge = { 1e30, u32::MAX },
)]
fn count_is_the_next_whole_number(number: f64, count: u32) {
    assert_eq!(Number(number).whole(), count);
}
