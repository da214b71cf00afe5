//! Tests of the region settings and of the reach of data centres.

use std::collections::BTreeMap;

use emberturn::decide::topology::{Reach, Topology};
use emberturn::settings::Settings;
use yare::parameterized;

fn settings(regions: &str) -> Result<Settings, Vec<String>> {
    let text = format!(
        "[node]\nbox_id = 10.1.0.16\ndata_centre = a1\nroles = relay\n\
         [group]\nseeds = 10.1.0.16:8229\n\
         [relay]\nlisten = 10.1.0.16:8221\nready = 10.1.0.16:8224\n\
         [regions]\n{regions}\n"
    );
    Settings::parse("node.ini", &text).map_err(|error| error.faults)
}

fn topology(own: &str, named: &[(&str, &str)]) -> Topology {
    let regions = named
        .iter()
        .map(|(data_centre, region)| (data_centre.parse().unwrap(), region.parse().unwrap()));
    Topology::new(own.parse().unwrap(), regions.collect::<BTreeMap<_, _>>())
}

#[test]
fn data_centres_are_as_far_as_the_settings_say() {
    let read = settings("a1 = a\na2 = a\nb1 = b").unwrap().topology();
    let reach = |name: &str| read.reach(&name.parse().unwrap());
    assert_eq!(reach("a1"), Reach::Local);
    assert_eq!(reach("a2"), Reach::Regional);
    assert_eq!(reach("b1"), Reach::Remote);
    assert!(read.has_multiple_regions());
}

#[test]
fn data_centre_that_nobody_named_is_not_left_out() {
    let named = topology("a1", &[("a1", "a"), ("b1", "b")]);
    assert_eq!(named.reach(&"new".parse().unwrap()), Reach::Regional);
}

#[test]
fn fleet_without_regions_is_one() {
    let read = settings("").unwrap().topology();
    assert!(!read.has_multiple_regions());
    assert_eq!(read.reach(&"b1".parse().unwrap()), Reach::Regional);
    assert!(!topology("a1", &[("a1", "a"), ("a2", "a")]).has_multiple_regions());
}

#[parameterized(
    own_left_out = { "b1 = b", "[regions] a1 is missing" },
    empty = { "a1 =", "[regions] a1 = \"\" is not valid" },
    no_name = { "a1 = a\nb 1 = b", "[regions] b 1 is not a name" },
    doubled = { "a1 = a\na1 = b", "[regions] a1 stands twice" },
    bad_region = { "a1 = a/b", "[regions] a1 = \"a/b\" is not valid" },
)]
fn regions_that_make_no_sense_are_named(regions: &str, fault: &str) {
    let faults = settings(regions).unwrap_err();
    assert!(faults.iter().any(|it| it.contains(fault)), "{faults:?}");
}
