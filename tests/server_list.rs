//! The list of backend servers as it goes from the leader to the boxes: in parts that stay.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use emberturn::decide::subset::{
    SUBSET_SIZE, part_bits, parts_to_take, select_parts, servers_per_reach,
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

/// Engines of one service, as the platform names and places them.
fn engines(count: u32) -> Vec<Server> {
    let engine = |number: u32| Server {
        id: format!("i-{:08x}", number.wrapping_mul(0x9e37_79b1)).parse().unwrap(),
        service: "ember-assist".parse().unwrap(),
        addr: ([10, 128, (number >> 8) as u8, number as u8], 8080).into(),
        ..server(number * 3, false)
    };
    (0..count).map(engine).collect()
}

/// The region of a data centre, of three regions.
fn region(number: u32) -> Region {
    ["a", "a", "a", "b", "b", "c", "c"][number as usize].parse().unwrap()
}

fn box_id(number: u32) -> BoxId {
    format!("10.1.{}.{}", number >> 8, number & 255).parse().unwrap()
}

/// The ids that a box knows, with whether they are open.
fn known(book: &ServerTable) -> Vec<(BackendId, bool)> {
    let services = (0..3).map(|place| format!("svc-{place}").parse().unwrap());
    let mut known: Vec<_> = services
        .flat_map(|service| book.for_service(&service).to_vec())
        .map(|known| (known.server.id.clone(), known.is_open()))
        .collect();
    known.sort_unstable();
    known
}

/// The ids that a box knows.
fn ids(book: &ServerTable) -> Vec<BackendId> {
    known(book).into_iter().map(|(id, _)| id).collect()
}

/// That a box holds a bounded part of `count` engines, and all of a few; how many of each data centre.
fn bounded_part(
    book: &ServerTable,
    count: usize,
) -> Result<BTreeMap<DataCentre, usize>, TestCaseError> {
    let held = book.for_service(&"ember-assist".parse().unwrap());
    let bounds = count.min(SUBSET_SIZE / 2)..=count.min(2 * SUBSET_SIZE);
    prop_assert!(bounds.contains(&held.len()), "{}", held.len());
    if count <= SUBSET_SIZE {
        prop_assert_eq!(held.len(), count);
    }
    let mut by_centre = BTreeMap::new();
    for known in held.iter() {
        *by_centre.entry(known.server.data_centre.clone()).or_insert(0) += 1;
    }
    Ok(by_centre)
}

/// A box takes what it lacks; the bytes of the index, if it is news, and of the answers.
fn follow(book: &ServerTable, leader: &mut ListRegistry, box_id: &BoxId) -> Vec<usize> {
    let index = leader.index(box_id);
    take(book, leader, &index)
}

/// As [`follow`], with an index that the leader gave.
fn take(book: &ServerTable, leader: &mut ListRegistry, index: &ListIndex) -> Vec<usize> {
    if book.index_hash() == Some(index.hash) && book.missing_parts().is_empty() {
        return Vec::new();
    }
    let mut bytes = vec![serde_json::to_string(&Packed(index)).unwrap().len()];
    book.apply_index(index.clone());
    loop {
        let lacking = book.missing_parts();
        if lacking.is_empty() {
            return bytes;
        }
        let parts = leader.list_parts(&lacking, Instant::now());
        assert!(!parts.is_empty() && parts.len() <= MAX_PARTS_PER_ANSWER);
        bytes.push(serde_json::to_string(&Packed(&parts)).unwrap().len());
        book.apply_parts(parts);
    }
}

proptest! {
    /// A box that hears of some lists only knows the servers that one does which hears each.
    #[test]
    fn parts_lead_to_the_same_list(
        lists in prop::collection::vec(
            prop::collection::vec((0_u32..300, any::<bool>()), 1..200), 1..12,
        ),
        heard in prop::collection::vec(any::<bool>(), 30),
    ) {
        let (mut leader, mut term, box_id) = (ListRegistry::default(), 1, box_id(1));
        let (at_times, always) = (ServerTable::default(), ServerTable::default());
        for (numbers, heard) in lists.iter().zip(heard) {
            leader.apply_listing(Term(term), servers(numbers), Instant::now());
            follow(&always, &mut leader, &box_id);
            let listed: Vec<_> = {
                let mut ids: Vec<_> = leader.servers().iter().map(|it| it.id.clone()).collect();
                ids.sort_unstable();
                ids
            };
            prop_assert_eq!(ids(&always), listed);
            if !heard {
                continue;
            }
            follow(&at_times, &mut leader, &box_id);
            prop_assert_eq!(ids(&at_times), ids(&always));
            if numbers.len() % 3 == 1 {
                // Another leader reads the list anew.
                (leader, term) = (ListRegistry::default(), term + 1);
            }
        }
    }

    /// However many servers there are, a box holds some hundreds, about as many of each data centre, and
    /// a box more or less changes nothing for the others.
    #[test]
    fn box_holds_a_bounded_part(count in 1_u32..3_000, place in 0_u32..500) {
        let mut leader = ListRegistry::default();
        leader.apply_listing(Term(1), engines(count), Instant::now());
        let book = ServerTable::default();
        follow(&book, &mut leader, &box_id(place));
        let by_centre = bounded_part(&book, count as usize)?;
        prop_assert!(count < 100 || by_centre.values().all(|held_there| *held_there > 0 && by_centre.len() == 7));
    }

    /// Over three regions a box holds as many, most of them near, and some of every data centre.
    #[test]
    fn box_holds_mostly_what_is_near(count in 1_u32..3_000, place in 0_u32..500) {
        let regions = (0..7).map(|it| (format!("dc-{it}").parse().unwrap(), region(it)));
        let mut leader = ListRegistry::new(regions.collect());
        leader.apply_listing(Term(1), engines(count), Instant::now());
        let own = format!("dc-{}", place % 7).parse().unwrap();
        let index = leader.index_for_location(&box_id(place), Some(&own));
        let book = ServerTable::default();
        take(&book, &mut leader, &index);
        let by_centre = bounded_part(&book, count as usize)?;
        prop_assert!(count < 100 || by_centre.len() == 7);
        let near = by_centre.get(&own).copied().unwrap_or(0);
        let held: usize = by_centre.values().sum();
        // With two of seven data centres in a region, three quarters of them would be elsewhere.
        prop_assert!(count < 1_800 || 3 * near >= held, "{near} of {held}");
    }

    /// What is to be known is there, and no more than is to be known in all.
    #[test]
    fn shares_fill_up(there in prop::array::uniform3(0_usize..3_000)) {
        let shares = servers_per_reach(there);
        let total: usize = there.iter().sum();
        prop_assert_eq!(shares.iter().sum::<usize>(), total.min(SUBSET_SIZE));
        prop_assert!(shares.iter().zip(there).all(|(share, there)| *share <= there));
    }

    /// Parts are neither large nor many, and do not change while a few servers come and go.
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
        prop_assert!(parts_to_take(1 << bits, SUBSET_SIZE, count) <= 1 << bits);
    }
}

#[test]
fn box_that_has_the_list_before_hears_only_of_the_parts_that_changed() {
    let (mut leader, book) = (ListRegistry::default(), ServerTable::default());
    let all: Vec<_> = (0..204).map(|number| (number, false)).collect();
    leader.apply_listing(Term(1), servers(&all), Instant::now()).unwrap();
    assert!(leader.apply_listing(Term(1), servers(&all), Instant::now()).is_none());
    follow(&book, &mut leader, &box_id(1));
    assert!(follow(&book, &mut leader, &box_id(1)).is_empty());
    let mut next = all.clone();
    (next[3].1, next[9].0) = (true, 300);
    leader.apply_listing(Term(1), servers(&next), Instant::now()).unwrap();
    book.apply_index(ListIndex::clone(&leader.index(&box_id(1))));
    // One is leaving, one is gone and one has come, in three parts at most.
    assert!((1..=3).contains(&book.missing_parts().len()), "{:?}", book.missing_parts());
}

#[test]
fn time_that_passes_until_a_server_goes_is_no_news() {
    let (mut leader, now) = (ListRegistry::default(), Instant::now());
    let mut listed = servers(&[(1, true), (2, false)]);
    leader.apply_listing(Term(1), listed.clone(), now).unwrap();
    listed[0].leaves_in = Some(Millis(3_500));
    assert!(leader.apply_listing(Term(1), listed, now).is_none());
    // Whoever fetches the part later is told what is left then.
    let parts: Vec<_> =
        leader.index(&box_id(1)).parts.iter().map(|(part, _)| part.clone()).collect();
    let contents = leader.list_parts(&parts, now + std::time::Duration::from_millis(500));
    let left: Vec<_> =
        contents.iter().flat_map(|part| part.servers()).map(|it| it.leaves_in).collect();
    assert!(left.contains(&Some(Millis(3_000))), "{left:?}");
}

#[test]
fn another_leader_with_the_same_list_sends_no_part_again() {
    let book = ServerTable::default();
    for term in 1..4 {
        let mut leader = ListRegistry::default();
        leader.apply_listing(Term(term), engines(900), Instant::now());
        let bytes = follow(&book, &mut leader, &box_id(7));
        assert_eq!(bytes.is_empty(), term > 1, "{bytes:?}");
    }
}

#[test]
fn server_that_was_seen_leaving_leaves_for_good() {
    let (mut leader, book) = (ListRegistry::default(), ServerTable::default());
    for leaving in [false, true, false] {
        leader.apply_listing(Term(1), servers(&[(1, leaving), (2, false)]), Instant::now());
        follow(&book, &mut leader, &box_id(1));
    }
    let open: Vec<_> = known(&book).into_iter().map(|(_, open)| open).collect();
    assert_eq!(open, [false, true]);
}

/// The servers that leave at once are told of together, and once.
#[test]
fn servers_that_leave_are_told_of_once() {
    let (mut leader, book) = (ListRegistry::default(), ServerTable::default());
    let all = |leaving| (0..20).map(|number| (number, leaving && number != 3)).collect::<Vec<_>>();
    leader.apply_listing(Term(1), servers(&all(false)), Instant::now());
    follow(&book, &mut leader, &box_id(1));
    leader.apply_listing(Term(1), servers(&all(true)), Instant::now());
    book.apply_index(ListIndex::clone(&leader.index(&box_id(1))));
    let news = leader.list_parts(&book.missing_parts(), Instant::now());
    assert_eq!(book.apply_parts(news.clone()).len(), 19);
    assert!(book.apply_parts(news).is_empty());
}

#[test]
fn word_of_an_older_list_is_passed_over() {
    let (mut old, mut new, book) =
        (ListRegistry::default(), ListRegistry::default(), ServerTable::default());
    old.apply_listing(Term(1), servers(&[(1, false)]), Instant::now()).unwrap();
    new.apply_listing(Term(2), servers(&[(2, false)]), Instant::now()).unwrap();
    follow(&book, &mut new, &box_id(1));
    let held = ids(&book);
    book.apply_index(ListIndex::clone(&old.index(&box_id(1))));
    assert_eq!((book.version().term, ids(&book)), (Term(2), held));
}

#[test]
fn former_parts_serve_until_all_of_the_new_ones_are_there() {
    let (mut leader, book) = (ListRegistry::default(), ServerTable::default());
    leader.apply_listing(Term(1), servers(&[(0, false)]), Instant::now());
    follow(&book, &mut leader, &box_id(1));
    leader.apply_listing(Term(1), servers(&[(1, false), (2, false)]), Instant::now());
    book.apply_index(ListIndex::clone(&leader.index(&box_id(1))));
    assert_eq!(
        ids(&book),
        servers(&[(0, false)]).iter().map(|it| it.id.clone()).collect::<Vec<_>>()
    );
    book.apply_parts(leader.list_parts(&book.missing_parts()[..1], Instant::now()));
    assert_eq!(ids(&book).len(), 2);
    book.apply_parts(leader.list_parts(&book.missing_parts(), Instant::now()));
    assert_eq!(
        ids(&book),
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

/// Bytes that a box without a list takes, and a leader sends to 480 of them before 5,200 engines. The whole
/// list, as it went out before, is 778 KB for each box and 373 MB for all; the parts are 27 KB and 13 MB.
#[test]
fn start_takes_few_bytes_however_large_the_fleet() {
    let mut leader = ListRegistry::default();
    leader.apply_listing(Term(1), engines(5_200), Instant::now());
    let mut all = 0;
    for place in 0..480 {
        let bytes = follow(&ServerTable::default(), &mut leader, &box_id(place));
        let sum: usize = bytes.iter().sum();
        assert!(sum < 48 << 10, "box {place} takes {bytes:?}");
        assert!(bytes.iter().all(|it| *it < 40 << 10), "{bytes:?}");
        all += sum;
    }
    println!("a start of 480 boxes takes {all} bytes, {} each", all / 480);
}

/// Each server is known by about as many boxes as any other, so that none is left aside.
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

/// Over three regions as well, and each by boxes of other regions, to which these spill over.
#[test]
fn each_server_is_known_by_some_boxes_near_and_far() {
    let regions = (0..7).map(|it| (format!("dc-{it}").parse().unwrap(), region(it)));
    let mut leader = ListRegistry::new(regions.collect());
    let all = engines(3_000);
    leader.apply_listing(Term(1), all.clone(), Instant::now());
    let mut counts: BTreeMap<BackendId, (u32, u32)> = BTreeMap::new();
    let homes: BTreeMap<_, _> = all.iter().map(|it| (&it.id, it.data_centre.as_str())).collect();
    for place in 0..300 {
        let own = format!("dc-{}", place % 7).parse().unwrap();
        let index = leader.index_for_location(&box_id(place), Some(&own));
        for id in leader.listed_parts(&index).into_iter().flat_map(|(_, servers)| servers) {
            let centre: u32 = homes[id].trim_start_matches("dc-").parse().unwrap();
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
    let parts: Vec<u64> = (0..64).map(|it: u64| it.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
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
    // The next box gets the same bytes, and after another reading all that has not changed stays packed.
    let same =
        |a: &[Arc<str>], b: &[Arc<str>]| a.iter().zip(b).filter(|(a, b)| Arc::ptr_eq(a, b)).count();
    let again = leader.packed_parts(ids, later);
    assert_eq!(same(&packed.parts, &again.parts), ids.len());
    let place = listed.iter().position(|it| !it.leaving).unwrap();
    listed.remove(place);
    leader.apply_listing(Term(1), listed, later).unwrap();
    let next = leader.packed_parts(ids, later);
    let kept = same(&packed.parts, &next.parts);
    // One part lost a server, and one holds the server that leaves, whose time left passes.
    assert!((ids.len() - 2..ids.len()).contains(&kept), "{kept} of {}", ids.len());
    assert_eq!(next.unpack().unwrap(), leader.list_parts(ids, later));
}
