//! Differences of texts: what comes out is the other text to the byte, or nothing, and a small change is small.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use emberturn::state::difference::{Difference, DifferenceError, Digest};
use platform::{document, route};
use proptest::prelude::*;
use serde_json::Value;

/// A document of so many routes, each with a name that tells nothing of the others.
fn with_routes(version: u64, numbers: impl Iterator<Item = u64>) -> Value {
    let name = |number: u64| format!("r{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let routes: Vec<_> = numbers.map(|number| route(&name(number), "safe", 2)).collect();
    document(version, &routes)
}

/// Bytes that go from one document to another, which must come out whole.
fn cost(former: &Value, next: &Value) -> usize {
    let (former, next) = (former.to_string(), next.to_string());
    let packed = Difference::between(&former, &next).pack();
    let applied = Difference::unpack(&packed).unwrap().apply(&former, Digest::of(&next));
    assert_eq!(applied, Ok(next));
    packed.len()
}

/// The aim: a change of one route costs the same at 10 and at 5,000 routes, within a factor of 1.5.
#[test]
fn change_of_one_route_costs_the_same_however_large_the_document() {
    let changed = |count: u64| {
        let former = with_routes(9, 1..=count);
        let mut next = with_routes(10, 1..=count);
        next["routes"][count as usize / 2]["timeout_ms"] = 8_500.into();
        cost(&former, &next)
    };
    let (few, many) = (changed(10), changed(5_000));
    println!("{few} bytes at 10 routes, {many} at 5,000");
    assert!(2 * many <= 3 * few, "{few} bytes at 10 routes, {many} at 5,000");
}

#[test]
fn routes_added_dropped_and_moved_cost_about_themselves() {
    let former = with_routes(9, 1..=4_000);
    let whole = former.to_string().len();
    let one = cost(&former, &with_routes(10, 1..=4_001));
    let dropped = cost(&former, &with_routes(10, (1..=4_000).filter(|it| it % 500 != 0)));
    let added =
        cost(&former, &with_routes(10, (1..=2_000).chain(9_000..9_010).chain(2_001..=4_000)));
    let all = cost(&Value::Null, &former);
    println!("one route {one}, drops {dropped}, ten routes {added}, all {all} bytes of {whole}");
    assert!(one < 500 && dropped < 1_000 && added < 2_000, "{one}, {dropped}, {added} of {whole}");
    assert!(all < whole / 8, "{all} for all of {whole}");
}

#[test]
fn difference_of_another_text_gives_nothing() {
    let (former, next) = ("a".repeat(400), "a".repeat(300) + "b");
    let difference = Difference::between(&former, &next);
    let digest = Digest::of(&next);
    assert_eq!(difference.apply(&former, digest), Ok(next));
    assert_eq!(
        difference.apply(&former.replace('a', "c"), digest),
        Err(DifferenceError::DigestMismatch)
    );
    assert_eq!(difference.apply("a", digest), Err(DifferenceError::OutOfBounds));
    assert_eq!(Difference::unpack(&[7; 9]), Err(DifferenceError::Unreadable));
}

proptest! {
    /// Texts of few signs, so that blocks recur in many places.
    #[test]
    fn any_text_comes_out_of_any_other(
        parts in proptest::collection::vec("[ab\u{e9}]{0,48}", 1..12),
        former in proptest::collection::vec(0_usize..12, 0..24),
        next in proptest::collection::vec(0_usize..12, 0..24),
    ) {
        let text = |places: &[usize]| -> String {
            places.iter().map(|place| parts[place % parts.len()].as_str()).collect()
        };
        let (former, next) = (text(&former), text(&next));
        let packed = Difference::between(&former, &next).pack();
        let applied = Difference::unpack(&packed).unwrap().apply(&former, Digest::of(&next));
        prop_assert_eq!(applied, Ok(next));
    }

    /// Damaged bytes give the text that was meant, or none.
    #[test]
    fn damage_never_gives_another_text(
        place in 0_usize..400, mask in 1_u8..,
    ) {
        let (former, next) = (with_routes(1, 1..=6).to_string(), with_routes(2, 2..=9).to_string());
        let mut packed = Difference::between(&former, &next).pack();
        let place = place % packed.len();
        packed[place] ^= mask;
        let applied = Difference::unpack(&packed).and_then(|it| it.apply(&former, Digest::of(&next)));
        prop_assert!(applied.is_err() || applied == Ok(next));
    }
}
