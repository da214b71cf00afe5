//! `emberturn check`: checks settings, changes and policies offline.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use eyre::Result;

use super::exit;
use super::operator::exit_with;
use crate::decide::policy::{Policies, PolicyInput};
use crate::ids::{ChangeId, PolicyName};
use crate::settings::Settings;
use crate::state::change_file;
use crate::state::config::{ChangeReply, Class, Configuration, Edit};
use crate::units::Tokens;

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Whether the file is a change, not settings.
    pub change: bool,
    /// The file.
    pub file: PathBuf,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("check").help("Check settings, or a change with its policies, offline")
}

fn options() -> OptionParser<Arguments> {
    let change = long("change").help("FILE is a change for `apply`").switch();
    let file = positional("FILE").help("Settings file, or change file with --change");
    construct!(Arguments { change, file }).to_options().descr("Check a file offline")
}

/// Checks the file and prints every fault.
///
/// # Errors
/// Never; faults are an exit code.
pub fn execute(arguments: &Arguments) -> Result<ExitCode> {
    let faults = match arguments.change {
        true => check_change(&arguments.file),
        false => match Settings::load(&arguments.file) {
            Ok(_) => Vec::new(),
            Err(error) => error.faults,
        },
    };
    for fault in &faults {
        println!("{fault}");
    }
    if faults.is_empty() {
        println!("{}: no faults", arguments.file.display());
        return exit_with(exit::DONE);
    }
    exit_with(exit::INVALID)
}

fn check_change(file: &Path) -> Vec<String> {
    let id: ChangeId = match "check".parse() {
        Ok(id) => id,
        Err(error) => return vec![format!("{error}")],
    };
    let change = match change_file::load(file, id, None) {
        Ok(change) => change,
        Err(error) => return error.faults,
    };
    let programs = change.edits.iter().filter_map(|edit| match edit {
        Edit::PutPolicy(name, program) => Some((name.clone(), program.clone())),
        _ => None,
    });
    let policies = Policies::compile(&programs.collect());
    let mut faults: Vec<_> = policies.compile_errors().iter().map(ToString::to_string).collect();
    for edit in &change.edits {
        if let Edit::PutPolicy(name, _) = edit {
            faults.extend(try_samples(&policies, name));
        }
    }
    if let ChangeReply::Invalid(text) = Configuration::default().apply(&change) {
        println!("note: on an empty configuration this change is invalid: {text}");
    }
    faults
}

/// Runs a policy on sample requests of both classes, short and long.
fn try_samples(policies: &Policies, name: &PolicyName) -> Vec<String> {
    let mut faults = Vec::new();
    for class in [Class::Interactive, Class::Batch] {
        for tokens in [Tokens(16), Tokens(32_768)] {
            if let Err(fault) = policies.decide(name, &sample(class, tokens)) {
                faults.push(format!("{fault} (sample: class {class}, {tokens} tokens)"));
            }
        }
    }
    faults.dedup();
    faults
}

fn sample(class: Class, tokens: Tokens) -> PolicyInput {
    PolicyInput {
        team: "sample-team".parse().expect("a constant name is valid"),
        service: "sample-service".parse().expect("a constant name is valid"),
        class,
        data_centre: "sample-data-centre".parse().expect("a constant name is valid"),
        prompt_tokens: tokens,
        max_tokens: tokens,
        repeatable: true,
        may_wait: class == Class::Batch,
    }
}
