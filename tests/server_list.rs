//! Tests of the parts of the server list: how the leader builds them, and how boxes select, fetch
//! and keep them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use emberturn::decide::subset::{
    PartSize, SUBSET_SIZE, part_bits, select_parts, servers_per_reach, servers_to_take,
};
use emberturn::ids::{BackendId, BoxId, DataCentre, Region, Term};
use emberturn::peer::packed::Packed;
use emberturn::relay::list::{ListIndex, PartId, Server};
use emberturn::relay::list_registry::{ListRegistry, MAX_PARTS_PER_ANSWER};
use emberturn::relay::servers::ServerTable;
use emberturn::units::Millis;
use proptest::prelude::*;

fn server(number: u32, leaving: bool) -> Server {
    Server {
        id: format!("i-{number}").parse().unwrap(),
        service: format!("svc-{}", number % 3).parse().unwrap(),
        addr: ([10, 0, 0, 1], number as u16).into(),
        data_centre: format!("dc-{}", number % 7).parse().unwrap(),
        release: "v1".parse().unwrap(),
        slots: 12,
        leaving,
        leaves_in: leaving.then_some(Millis(4_000)),
        spot: number.is_multiple_of(2),
    }
}

fn servers(numbers: &[(u32, bool)]) -> Vec<Server> {
    let mut numbers = numbers.to_vec();
    numbers.sort_unstable();
    numbers.dedup_by_key(|(number, _)| *number);
    numbers.into_iter().map(|(number, leaving)| server(number, leaving)).collect()
}

/// Engines of one service, with ids and data centres as the platform assigns them.
fn engines(count: u32) -> Vec<Server> {
    let engine = |number: u32| Server {
        id: format!("i-{:08x}", number.wrapping_mul(0x9e37_79b1)).parse().unwrap(),
        service: "ember-assist".parse().unwrap(),
        addr: ([10, 128, (number >> 8) as u8, number as u8], 8080).into(),
        ..server(number * 3, false)
    };
    (0..count).map(engine).collect()
}

/// The region of a data centre; there are three regions.
fn region(number: u32) -> Region {
    ["a", "a", "a", "b", "b", "c", "c"][number as usize].parse().unwrap()
}

fn box_id(number: u32) -> BoxId {
    format!("10.1.{}.{}", number >> 8, number & 255).parse().unwrap()
}

/// The ids of the servers that a box knows, each with whether it accepts requests.
fn known(table: &ServerTable) -> Vec<(BackendId, bool)> {
    let services = (0..3).map(|place| format!("svc-{place}").parse().unwrap());
    let mut known: Vec<_> = services
        .flat_map(|service| table.for_service(&service).to_vec())
        .map(|known| (known.server.id.clone(), known.is_open()))
        .collect();
    known.sort_unstable();
    known
}

/// The ids of the servers that a box knows.
fn ids(table: &ServerTable) -> Vec<BackendId> {
    known(table).into_iter().map(|(id, _)| id).collect()
}

/// Checks that a box knows a bounded number of `count` engines, and all of them if there are few.
/// Returns how many it knows in each data centre.
fn bounded_part(
    table: &ServerTable,
    count: usize,
) -> Result<BTreeMap<DataCentre, usize>, TestCaseError> {
    let held = table.for_service(&"ember-assist".parse().unwrap());
    let bounds = count.min(SUBSET_SIZE / 2)..=count.min(2 * SUBSET_SIZE);
    prop_assert!(bounds.contains(&held.len()), "{}", held.len());
    if count <= SUBSET_SIZE {
        prop_assert_eq!(held.len(), count);
    }
    let mut by_data_centre = BTreeMap::new();
    for known in held.iter() {
        *by_data_centre.entry(known.server.data_centre.clone()).or_insert(0) += 1;
    }
    Ok(by_data_centre)
}

/// Fetches what a box lacks. Returns the sizes in bytes of the index, if it is new, and of the
/// answers.
fn fetch_missing(table: &ServerTable, leader: &mut ListRegistry, box_id: &BoxId) -> Vec<usize> {
    let index = leader.index(box_id);
    apply_index_and_fetch(table, leader, &index)
}

/// Like [`fetch_missing`], with an index that the leader returned.
fn apply_index_and_fetch(
    table: &ServerTable,
    leader: &mut ListRegistry,
    index: &ListIndex,
) -> Vec<usize> {
    if table.index_hash() == Some(index.hash) && table.missing_parts().is_empty() {
        return Vec::new();
    }
    let mut bytes = vec![serde_json::to_string(&Packed(index)).unwrap().len()];
    table.apply_index(index.clone());
    loop {
        let missing = table.missing_parts();
        if missing.is_empty() {
            return bytes;
        }
        let parts = leader.list_parts(&missing, Instant::now());
        assert!(!parts.is_empty() && parts.len() <= MAX_PARTS_PER_ANSWER);
        bytes.push(serde_json::to_string(&Packed(&parts)).unwrap().len());
        table.apply_parts(parts);
    }
}

proptest! {
    /// A box that misses some versions of the list ends up with the same servers as one that
    /// receives every version.
    #[test]
    fn parts_lead_to_the_same_list(
        lists in prop::collection::vec(
            prop::collection::vec((0_u32..300, any::<bool>()), 1..200), 1..12,
        ),
        receives in prop::collection::vec(any::<bool>(), 30),
    ) {
        let (mut leader, mut term, box_id) = (ListRegistry::default(), 1, box_id(1));
        let (sometimes, always) = (ServerTable::default(), ServerTable::default());
        for (numbers, receives) in lists.iter().zip(receives) {
            leader.apply_listing(Term(term), servers(numbers), Instant::now());
            fetch_missing(&always, &mut leader, &box_id);
            let listed: Vec<_> = {
                let mut ids: Vec<_> = leader.servers().iter().map(|it| it.id.clone()).collect();
                ids.sort_unstable();
                ids
            };
            prop_assert_eq!(ids(&always), listed);
            if !receives {
                continue;
            }
            fetch_missing(&sometimes, &mut leader, &box_id);
            prop_assert_eq!(ids(&sometimes), ids(&always));
            if numbers.len() % 3 == 1 {
                // Another leader reads the list from scratch.
                (leader, term) = (ListRegistry::default(), term + 1);
            }
        }
    }

    /// However many servers there are, a box holds a few hundred, and some of every data centre.
    #[test]
    fn box_holds_a_bounded_part(count in 1_u32..3_000, place in 0_u32..500) {
        let mut leader = ListRegistry::default();
        leader.apply_listing(Term(1), engines(count), Instant::now());
        let table = ServerTable::default();
        fetch_missing(&table, &mut leader, &box_id(place));
        let by_data_centre = bounded_part(&table, count as usize)?;
        prop_assert!(count < 100 || by_data_centre.values().all(|held_there| *held_there > 0 && by_data_centre.len() == 7));
    }

    /// In a fleet over three regions a box holds as many servers, most of them nearby and some of
    /// every data centre.
    #[test]
    fn box_holds_mostly_what_is_near(count in 1_u32..3_000, place in 0_u32..500) {
        let regions = (0..7).map(|it| (format!("dc-{it}").parse().unwrap(), region(it)));
        let mut leader = ListRegistry::new(regions.collect());
        leader.apply_listing(Term(1), engines(count), Instant::now());
        let own = format!("dc-{}", place % 7).parse().unwrap();
        let index = leader.index_for_location(&box_id(place), Some(&own));
        let table = ServerTable::default();
        apply_index_and_fetch(&table, &mut leader, &index);
        let by_data_centre = bounded_part(&table, count as usize)?;
        prop_assert!(count < 100 || by_data_centre.len() == 7);
        let near = by_data_centre.get(&own).copied().unwrap_or(0);
        let held: usize = by_data_centre.values().sum();
        // Without the preference, one server in seven would be in the box's data centre.
        prop_assert!(count < 1_800 || 3 * near >= held, "{near} of {held}");
    }

    /// A box takes all servers that exist, up to the size of the subset.
    #[test]
    fn shares_fill_up(there in prop::array::uniform3(0_usize..3_000)) {
        let shares = servers_per_reach(there);
        let total: usize = there.iter().sum();
        prop_assert_eq!(shares.iter().sum::<usize>(), total.min(SUBSET_SIZE));
        prop_assert!(shares.iter().zip(there).all(|(share, there)| *share <= there));
    }

    /// Parts are neither large nor numerous, and stay the same while a few servers come and go.
    #[test]
    fn parts_stay_while_few_come_and_go(count in 1_usize..10_000) {
        let bits = part_bits(count, 0);
        let mean = count as f64 / f64::from(1 << bits);
        prop_assert!(mean <= 24.0 && (bits == 0 || mean >= 6.0), "{mean}");
        let few = count / 10;
        for next in [count + few, count - few] {
            let moved = part_bits(next, bits);
            prop_assert_eq!(part_bits(count, moved), moved);
            prop_assert_eq!(part_bits(next, moved), moved);
        }
    }

    /// A box takes the wanted number of servers or all there are, and no part more than that needs.
    #[test]
    fn parts_that_a_box_takes_have_the_wanted_servers(
        sizes in prop::collection::vec((any::<u64>(), 1_usize..40), 0..64),
        box_hash in any::<u64>(),
        (wanted, existing) in (0_usize..300, 0_usize..5_000),
    ) {
        let parts: Vec<_> =
            sizes.iter().map(|(id_hash, servers)| PartSize { id_hash: *id_hash, servers: *servers }).collect();
        let local: usize = parts.iter().map(|part| part.servers).sum();
        let wanted = servers_to_take(local, wanted, existing.max(local));
        prop_assert!(wanted <= local);
        let taken = select_parts(box_hash, &parts, wanted);
        let held: usize = taken.iter().map(|place| parts[*place].servers).sum();
        prop_assert!(taken.windows(2).all(|pair| pair[0] < pair[1]) && taken.len() <= parts.len());
        prop_assert!(held >= wanted);
        let largest = taken.iter().map(|place| parts[*place].servers).max().unwrap_or(0);
        prop_assert!(held < wanted + largest.max(1), "{held} of {wanted}");
    }
}

#[test]
fn box_that_has_the_list_before_hears_only_of_the_parts_that_changed() {
    let (mut leader, table) = (ListRegistry::default(), ServerTable::default());
    let all: Vec<_> = (0..204).map(|number| (number, false)).collect();
    leader.apply_listing(Term(1), servers(&all), Instant::now()).unwrap();
    assert!(leader.apply_listing(Term(1), servers(&all), Instant::now()).is_none());
    fetch_missing(&table, &mut leader, &box_id(1));
    assert!(fetch_missing(&table, &mut leader, &box_id(1)).is_empty());
    let mut next = all.clone();
    (next[3].1, next[9].0) = (true, 300);
    leader.apply_listing(Term(1), servers(&next), Instant::now()).unwrap();
    table.apply_index(ListIndex::clone(&leader.index(&box_id(1))));
    // One server is leaving, one is gone and one is new, in at most three parts.
    assert!((1..=3).contains(&table.missing_parts().len()), "{:?}", table.missing_parts());
}

#[test]
fn time_that_passes_until_a_server_goes_is_no_news() {
    let (mut leader, now) = (ListRegistry::default(), Instant::now());
    let mut listed = servers(&[(1, true), (2, false)]);
    leader.apply_listing(Term(1), listed.clone(), now).unwrap();
    listed[0].leaves_in = Some(Millis(3_500));
    assert!(leader.apply_listing(Term(1), listed, now).is_none());
    // A later fetch of the part returns the time that is left then.
    let parts: Vec<_> =
        leader.index(&box_id(1)).parts.iter().map(|(part, _)| part.clone()).collect();
    let contents = leader.list_parts(&parts, now + std::time::Duration::from_millis(500));
    let left: Vec<_> =
        contents.iter().flat_map(|part| part.servers()).map(|it| it.leaves_in).collect();
    assert!(left.contains(&Some(Millis(3_000))), "{left:?}");
}

#[test]
fn another_leader_with_the_same_list_sends_no_part_again() {
    let table = ServerTable::default();
    for term in 1..4 {
        let mut leader = ListRegistry::default();
        leader.apply_listing(Term(term), engines(900), Instant::now());
        let bytes = fetch_missing(&table, &mut leader, &box_id(7));
        assert_eq!(bytes.is_empty(), term > 1, "{bytes:?}");
    }
}

#[test]
fn server_that_was_seen_leaving_leaves_for_good() {
    let (mut leader, table) = (ListRegistry::default(), ServerTable::default());
    for leaving in [false, true, false] {
        leader.apply_listing(Term(1), servers(&[(1, leaving), (2, false)]), Instant::now());
        fetch_missing(&table, &mut leader, &box_id(1));
    }
    let open: Vec<_> = known(&table).into_iter().map(|(_, open)| open).collect();
    assert_eq!(open, [false, true]);
}

/// Servers that start to leave at the same time are reported together, and only once.
#[test]
fn servers_that_leave_are_told_of_once() {
    let (mut leader, table) = (ListRegistry::default(), ServerTable::default());
    let all = |leaving| (0..20).map(|number| (number, leaving && number != 3)).collect::<Vec<_>>();
    leader.apply_listing(Term(1), servers(&all(false)), Instant::now());
    fetch_missing(&table, &mut leader, &box_id(1));
    leader.apply_listing(Term(1), servers(&all(true)), Instant::now());
    table.apply_index(ListIndex::clone(&leader.index(&box_id(1))));
    let news = leader.list_parts(&table.missing_parts(), Instant::now());
    assert_eq!(table.apply_parts(news.clone()).len(), 19);
    assert!(table.apply_parts(news).is_empty());
}

#[test]
fn word_of_an_older_list_is_passed_over() {
    let (mut old, mut new, table) =
        (ListRegistry::default(), ListRegistry::default(), ServerTable::default());
    old.apply_listing(Term(1), servers(&[(1, false)]), Instant::now()).unwrap();
    new.apply_listing(Term(2), servers(&[(2, false)]), Instant::now()).unwrap();
    fetch_missing(&table, &mut new, &box_id(1));
    let held = ids(&table);
    table.apply_index(ListIndex::clone(&old.index(&box_id(1))));
    assert_eq!((table.version().term, ids(&table)), (Term(2), held));
}

#[test]
fn former_parts_serve_until_all_of_the_new_ones_are_there() {
    let (mut leader, table) = (ListRegistry::default(), ServerTable::default());
    leader.apply_listing(Term(1), servers(&[(0, false)]), Instant::now());
    fetch_missing(&table, &mut leader, &box_id(1));
    leader.apply_listing(Term(1), servers(&[(1, false), (2, false)]), Instant::now());
    table.apply_index(ListIndex::clone(&leader.index(&box_id(1))));
    assert_eq!(
        ids(&table),
        servers(&[(0, false)]).iter().map(|it| it.id.clone()).collect::<Vec<_>>()
    );
    table.apply_parts(leader.list_parts(&table.missing_parts()[..1], Instant::now()));
    assert_eq!(ids(&table).len(), 2);
    table.apply_parts(leader.list_parts(&table.missing_parts(), Instant::now()));
    assert_eq!(
        ids(&table),
        servers(&[(1, false), (2, false)]).iter().map(|it| it.id.clone()).collect::<Vec<_>>()
    );
}

#[test]
fn part_that_is_no_longer_there_is_left_out() {
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), servers(&[(1, false)]), Instant::now());
    let gone: PartId = "svc-1/dc-1/3/5".parse().unwrap();
    assert!(leader.list_parts(&[gone], Instant::now()).is_empty());
    for text in ["", "a/b/1", "a/b/c/1", "a/b/1/2/3", "a b/c/1/2"] {
        assert!(text.parse::<PartId>().is_err(), "{text}");
    }
}

/// Bounds the bytes that a box without a list fetches, and that a leader sends to 480 such boxes
/// with 5,200 engines. The whole list would be 778 KB for each box and 373 MB for all; the parts
/// are 27 KB and 13 MB.
#[test]
fn start_takes_few_bytes_however_large_the_fleet() {
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), engines(5_200), Instant::now());
    let mut all = 0;
    for place in 0..480 {
        let bytes = fetch_missing(&ServerTable::default(), &mut leader, &box_id(place));
        let sum: usize = bytes.iter().sum();
        assert!(sum < 48 << 10, "box {place} takes {bytes:?}");
        assert!(bytes.iter().all(|it| *it < 40 << 10), "{bytes:?}");
        all += sum;
    }
    println!("a start of 480 boxes takes {all} bytes, {} each", all / 480);
}

/// Every server is known to a similar number of boxes, so that none gets too few requests.
#[test]
fn each_server_is_known_by_some_boxes() {
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), engines(3_000), Instant::now());
    let mut counts: BTreeMap<BackendId, u32> = BTreeMap::new();
    for place in 0..300 {
        let index = leader.index(&box_id(place));
        for id in leader.listed_parts(&index).into_iter().flat_map(|(_, servers)| servers) {
            *counts.entry(id.clone()).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 3_000);
    let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
    assert!(*least >= 8 && *most <= 60, "{least} to {most}");
}

/// The same over three regions. Every server is also known to boxes of other regions, whose
/// requests can spill over to it.
#[test]
fn each_server_is_known_by_some_boxes_near_and_far() {
    let regions = (0..7).map(|it| (format!("dc-{it}").parse().unwrap(), region(it)));
    let mut leader = ListRegistry::new(regions.collect());
    let all = engines(3_000);
    leader.apply_listing(Term(1), all.clone(), Instant::now());
    let mut counts: BTreeMap<BackendId, (u32, u32)> = BTreeMap::new();
    let data_centres: BTreeMap<_, _> =
        all.iter().map(|it| (&it.id, it.data_centre.as_str())).collect();
    for place in 0..300 {
        let own = format!("dc-{}", place % 7).parse().unwrap();
        let index = leader.index_for_location(&box_id(place), Some(&own));
        for id in leader.listed_parts(&index).into_iter().flat_map(|(_, servers)| servers) {
            let centre: u32 = data_centres[id].trim_start_matches("dc-").parse().unwrap();
            let (near, far) = counts.entry(id.clone()).or_default();
            match region(centre) == region(place % 7) {
                true => *near += 1,
                false => *far += 1,
            }
        }
    }
    assert_eq!(counts.len(), 3_000);
    let sums: Vec<_> = counts.values().map(|(near, far)| near + far).collect();
    let (least, most) = (sums.iter().min().unwrap(), sums.iter().max().unwrap());
    assert!(*least >= 8 && *most <= 60, "{least} to {most}");
    assert!(counts.values().all(|(near, far)| *near > 0 && *far > 0));
}

#[test]
fn parts_that_a_box_takes_are_its_own_and_stay_when_others_come() {
    let part = |it: u64| PartSize { id_hash: it.wrapping_mul(0x9e37_79b9_7f4a_7c15), servers: 1 };
    let parts: Vec<_> = (0..64).map(part).collect();
    let some = select_parts(1, &parts, 8);
    assert_eq!(some.len(), 8);
    assert_ne!(some, select_parts(2, &parts, 8));
    assert!(some.iter().all(|place| select_parts(1, &parts, 9).contains(place)));
    assert_eq!(select_parts(1, &parts, 100).len(), 64);
}

#[test]
fn parts_are_packed_once_for_all_boxes_and_say_what_contents_says() {
    let (mut leader, now) = (ListRegistry::default(), Instant::now());
    let mut listed = servers(&(0..200).map(|id| (id, id == 7)).collect::<Vec<_>>());
    leader.apply_listing(Term(1), listed.clone(), now).unwrap();
    let ids: Vec<_> = leader.index(&box_id(1)).parts.iter().map(|(id, _)| id.clone()).collect();
    let ids = &ids[..MAX_PARTS_PER_ANSWER.min(ids.len())];
    let later = now + std::time::Duration::from_millis(500);
    let packed = leader.packed_parts(ids, later);
    assert_eq!(packed.unpack().unwrap(), leader.list_parts(ids, later));
    // The next box gets the same encoded parts, and after another read of the list all unchanged
    // parts keep their encoding.
    let same =
        |a: &[Arc<str>], b: &[Arc<str>]| a.iter().zip(b).filter(|(a, b)| Arc::ptr_eq(a, b)).count();
    let again = leader.packed_parts(ids, later);
    assert_eq!(same(&packed.parts, &again.parts), ids.len());
    let place = listed.iter().position(|it| !it.leaving).unwrap();
    listed.remove(place);
    leader.apply_listing(Term(1), listed, later).unwrap();
    let next = leader.packed_parts(ids, later);
    let kept = same(&packed.parts, &next.parts);
    // One part lost a server, and one contains the leaving server, whose remaining time has
    // changed.
    assert!((ids.len() - 2..ids.len()).contains(&kept), "{kept} of {}", ids.len());
    assert_eq!(next.unpack().unwrap(), leader.list_parts(ids, later));
}
