//! The `emberturn` binary: parses the command line, sets logs up and dispatches.

use std::process::ExitCode;

use emberturn::cmd;

fn main() -> ExitCode {
    let command = cmd::command().run();
    match cmd::execute(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("emberturn: {error:#}");
            ExitCode::from(cmd::exit::FAILED)
        }
    }
}
