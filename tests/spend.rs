//! How many engines are ordered, of which kind, and where.

use emberturn::decide::spend::{Bounds, Count, Demand, Need, Offered, Site, plan};

const BOUNDS: Bounds = Bounds { least: 1, most: 6, has_spot: true };

fn count(serving: u32) -> Count {
    Count { serving, coming: serving }
}

fn sites(spot: [u32; 4], on_demand: [u32; 4]) -> Vec<Site> {
    let prices = [1.0, 0.8, 1.25, 0.9];
    let names = ["a", "b", "c", "d"];
    (0..4)
        .map(|place| Site {
            data_centre: names[place].parse().unwrap(),
            price: prices[place],
            spot: count(spot[place]),
            on_demand: count(on_demand[place]),
        })
        .collect()
}

fn need(ample: u32, bare: u32) -> Need {
    Need { ample, bare, traffic: true }
}

fn totals(sites: &[Site], need: Need) -> (u32, u32) {
    let plans = plan(sites, need, BOUNDS);
    (plans.iter().map(|it| it.spot).sum(), plans.iter().map(|it| it.on_demand).sum())
}

#[test]
fn reclaimable_engines_hold_the_need_without_any_one_data_centre() {
    for wanted in 1..=18 {
        let plans = plan(&sites([0; 4], [0; 4]), need(wanted, 0), BOUNDS);
        let sum: u32 = plans.iter().map(|it| it.spot).sum();
        let largest = plans.iter().map(|it| it.spot).max().unwrap();
        assert!(sum - largest >= wanted, "{wanted}: {plans:?}");
        assert!(plans.iter().all(|it| (1..=6).contains(&it.spot)));
    }
}

#[test]
fn engines_on_demand_go_only_when_reclaimable_ones_serve() {
    // At the start: all on demand, none of the reclaimable ones serves.
    assert_eq!(totals(&sites([0; 4], [3, 2, 2, 2]), need(9, 9)), (12, 9));
    // They boot: still there.
    let mut booting = sites([0; 4], [3, 2, 2, 2]);
    booting.iter_mut().for_each(|site| site.spot.coming = 3);
    assert_eq!(totals(&booting, need(9, 9)).1, 9);
    // They serve.
    assert_eq!(totals(&sites([3; 4], [3, 2, 2, 2]), need(9, 9)), (12, 0));
}

#[test]
fn engines_on_demand_stand_in_for_what_was_reclaimed() {
    let after_one = sites([0, 3, 3, 3], [0; 4]);
    assert_eq!(totals(&after_one, need(9, 9)).1, 0);
    let after_three = sites([0, 3, 0, 0], [0; 4]);
    assert_eq!(totals(&after_three, need(9, 9)).1, 6);
}

#[test]
fn no_data_centre_gets_more_than_it_may_have() {
    for spot in 0..=6 {
        for on_demand in 0..=(6 - spot) {
            for wanted in [1, 10, 30, 100] {
                let sites = sites([spot; 4], [on_demand; 4]);
                for it in plan(&sites, need(wanted, wanted), BOUNDS) {
                    assert!(it.spot + it.on_demand <= 6, "{it:?}");
                    assert!(it.spot + it.on_demand >= 1, "{it:?}");
                }
            }
        }
    }
}

#[test]
fn without_reclaimable_engines_all_are_on_demand() {
    let bounds = Bounds { has_spot: false, ..BOUNDS };
    let plans = plan(&sites([0; 4], [1; 4]), need(9, 9), bounds);
    assert_eq!(plans.iter().map(|it| it.on_demand).sum::<u32>(), 9);
    assert!(plans.iter().all(|it| it.spot == 0));
}

#[test]
fn cheap_data_centres_come_first() {
    let plans = plan(&sites([0; 4], [0; 4]), need(10, 0), BOUNDS);
    let spot = |name: &str| plans.iter().find(|it| it.data_centre.as_str() == name).unwrap().spot;
    assert!(spot("b") >= spot("c"), "{plans:?}");
}

#[test]
fn new_leader_knows_the_need_from_what_the_relays_tell() {
    let mut relay = Offered::default();
    (0..40).for_each(|_| relay.note(0.5, 100_000.0));
    let mut demand = Demand::default();
    assert_eq!(demand.need(0.0, 0.0), None);
    demand.note(0.0, relay + relay);
    let need = demand.need(1.5, 1.2).unwrap();
    assert!(need.ample > need.bare && need.bare > 0, "{need:?}");
    assert_eq!(demand.need(1.0, 1.2), None);
}

#[test]
fn peak_fades_slowly() {
    let mut demand = Demand::default();
    demand.note(0.0, Offered { mean: 1e6, peak: 1e6 });
    let high = demand.need(0.0, 0.0).unwrap().ample;
    demand.note(5.0, Offered { mean: 1e5, peak: 1e6 });
    let later = demand.need(5.0, 0.0).unwrap().ample;
    demand.note(200.0, Offered { mean: 1e5, peak: 1e5 });
    let end = demand.need(200.0, 0.0).unwrap().ample;
    assert!(high > later && later > end, "{high} {later} {end}");
}
