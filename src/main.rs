//! The `emberturn` binary: parses the command line and dispatches.

use std::io::Write;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use emberturn::cmd;

/// Columns of help and error texts.
const WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cmd::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(cmd::exit::INVALID),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match cmd::execute(command) {
        Ok(code) => code,
        Err(error) => {
            // Nobody may read it, or its disk may be full.
            let _ = writeln!(std::io::stderr(), "emberturn: {error:#}");
            ExitCode::from(cmd::exit::FAILED)
        }
    }
}
