//! Differences between texts: applying one yields exactly the other text or an error, and a small change
//! gives a small difference.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test uses a part of the module")]
mod platform;

use emberturn::state::difference::{Difference, DifferenceError, Digest};
use platform::{document, route};
use proptest::prelude::*;
use serde_json::Value;

/// Builds a document with a route for each number. Route names are pseudorandom, so that one does not
/// compress well against another.
fn with_routes(version: u64, numbers: impl Iterator<Item = u64>) -> Value {
    let name = |number: u64| format!("r{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let routes: Vec<_> = numbers.map(|number| route(&name(number), "safe", 2)).collect();
    document(version, &routes)
}

/// Returns the size in bytes of the packed difference, after checking that it reproduces `next`.
fn packed_len(former: &Value, next: &Value) -> usize {
    let (former, next) = (former.to_string(), next.to_string());
    let packed = Difference::between(&former, &next).pack();
    let applied = Difference::unpack(&packed).unwrap().apply(&former, Digest::of(&next));
    assert_eq!(applied, Ok(next));
    packed.len()
}

/// The difference for a change of one route must not grow with the document: at 5,000 routes it takes at
/// most 1.5 times the bytes that it takes at 10.
#[test]
fn change_of_one_route_costs_the_same_however_large_the_document() {
    let changed = |count: u64| {
        let former = with_routes(9, 1..=count);
        let mut next = with_routes(10, 1..=count);
        next["routes"][count as usize / 2]["timeout_ms"] = 8_500.into();
        packed_len(&former, &next)
    };
    let (few, many) = (changed(10), changed(5_000));
    println!("{few} bytes at 10 routes, {many} at 5,000");
    assert!(2 * many <= 3 * few, "{few} bytes at 10 routes, {many} at 5,000");
}

#[test]
fn routes_added_dropped_and_moved_cost_about_themselves() {
    let former = with_routes(9, 1..=4_000);
    let whole = former.to_string().len();
    let one = packed_len(&former, &with_routes(10, 1..=4_001));
    let dropped = packed_len(&former, &with_routes(10, (1..=4_000).filter(|it| it % 500 != 0)));
    let added =
        packed_len(&former, &with_routes(10, (1..=2_000).chain(9_000..9_010).chain(2_001..=4_000)));
    let all = packed_len(&Value::Null, &former);
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
    /// Uses texts of few distinct characters, so that blocks recur at many offsets.
    #[test]
    fn any_text_comes_out_of_any_other(
        parts in proptest::collection::vec("[ab\u{e9}]{0,48}", 1..12),
        former in proptest::collection::vec(0_usize..12, 0..24),
        next in proptest::collection::vec(0_usize..12, 0..24),
    ) {
        let text = |indices: &[usize]| -> String {
            indices.iter().map(|index| parts[index % parts.len()].as_str()).collect()
        };
        let (former, next) = (text(&former), text(&next));
        let packed = Difference::between(&former, &next).pack();
        let applied = Difference::unpack(&packed).unwrap().apply(&former, Digest::of(&next));
        prop_assert_eq!(applied, Ok(next));
    }

    /// A damaged difference yields the intended text or an error, never another text.
    #[test]
    fn damage_never_gives_another_text(
        offset in 0_usize..400, mask in 1_u8..,
    ) {
        let (former, next) = (with_routes(1, 1..=6).to_string(), with_routes(2, 2..=9).to_string());
        let mut packed = Difference::between(&former, &next).pack();
        let offset = offset % packed.len();
        packed[offset] ^= mask;
        let applied = Difference::unpack(&packed).and_then(|it| it.apply(&former, Digest::of(&next)));
        prop_assert!(applied.is_err() || applied == Ok(next));
    }
}

/// Guards against replicas of neighbouring releases that cannot read each other's documents.
#[test]
fn packed_difference_is_as_in_the_former_release() {
    let former = "one two three four five six seven eight nine";
    let text = format!("zero {former} ten");
    let packed = [99, 102, 100, 173, 74, 45, 202, 87, 96, 96, 208, 97, 100, 81, 40, 73, 205, 3, 0];
    assert_eq!(Difference::between(former, &text).pack(), packed);
    let read = Difference::unpack(&packed).unwrap();
    assert_eq!(read.apply(former, Digest::of(&text)).unwrap(), text);
}
