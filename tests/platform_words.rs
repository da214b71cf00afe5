//! The platform's words stay in the adapter, and the adapter stays small.

use std::fs;
use std::path::{Path, PathBuf};

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

fn sources(folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut found = Vec::new();
    let mut folders = vec![root];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|it| it == "rs") {
                found.push(path);
            }
        }
    }
    found
}

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
