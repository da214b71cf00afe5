//! The platform's words stay in the adapter, and the adapter stays small.

#[path = "support/sources.rs"]
mod sources;

use std::fs;
use std::path::PathBuf;

use sources::sources;

/// Names that only the platform's pages use.
const WORDS: [&str; 17] = [
    "response-signature",
    "not-executed",
    "expect-instance",
    "duty-holder",
    "fencing-token",
    "kv-from",
    "kv-move",
    "prompt-prefix",
    "token-usage",
    "request-urgency",
    "instance-load",
    "traffic_split",
    "cold_remaining_ms",
    "desired_count",
    "next_page_token",
    "target_latency_ms",
    "spot_price\"",
];

/// Lines that the adapter may have.
const LINE_LIMIT: usize = 2_500;

#[test]
fn platform_words_stay_in_the_adapter() {
    for path in sources("src") {
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        for word in WORDS {
            assert!(!text.contains(word), "{word} in {}", path.display());
        }
    }
}

#[test]
fn adapter_stays_small() {
    let lines = |path: &PathBuf| fs::read_to_string(path).unwrap().lines().count();
    let sum: usize = sources("platform").iter().map(lines).sum();
    assert!(sum < LINE_LIMIT, "{sum} lines");
}
