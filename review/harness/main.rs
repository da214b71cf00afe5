//! Runs one case of the review: `harness CASE FOLDER`. Needs the standard library alone.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod extra;
mod http;
mod release;
mod replaced;
mod server;
mod system;
mod versions;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case that is not over by then could not run.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

/// Whether the disruption is part of this run.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1).cloned(), words.get(2).cloned()) else {
        eprintln!("usage: harness CASE FOLDER");
        exit(2);
    };
    let running = thread::spawn(move || match case.as_str() {
        "extra" => extra::run(&folder),
        "replaced" => replaced::run(&folder),
        "release" => release::run(&folder),
        "versions" => versions::run(&folder),
        _ => Outcome::CouldNotRun,
    });
    let steps = LIMIT.as_millis() / 50;
    for _ in 0..steps {
        if running.is_finished() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    if !running.is_finished() {
        eprintln!("not over in time");
        system::kill_all();
        exit(2);
    }
    match running.join() {
        Ok(Outcome::Held) => exit(0),
        Ok(Outcome::Broken) => exit(1),
        Ok(Outcome::CouldNotRun) | Err(_) => exit(2),
    }
}
