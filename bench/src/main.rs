//! `emberturn-bench`: measures emberturn with real node processes and small stand-ins, on one machine.
//!
//! Build the whole workspace with `--release` first: the nodes are the `emberturn` binary beside this
//! one. It is a measuring tool, not a cluster simulator.

#![warn(missing_docs)]

mod blame;
mod control;
mod decisions;
mod limits;
mod overhead;
mod process;
mod report;
mod serving;
mod workload;

use bpaf::Bpaf;
use eyre::Result;

/// Measures emberturn with real node processes and small stand-ins
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// A deployment under open-loop load, with a wave of reclaims, beside its baselines
    #[bpaf(command)]
    Serving(#[bpaf(external(serving::arguments))] serving::Arguments),
    /// What an entry node adds to a direct connection: latency, processor time, memory
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::arguments))] overhead::Arguments),
    /// The replicated group and control traffic: appends, failover, catch-up, cost per node
    #[bpaf(command)]
    Control(#[bpaf(external(control::arguments))] control::Arguments),
    /// A model of the teams' limits over fleets of many sizes, in virtual time
    #[bpaf(command)]
    Fleet {
        /// One JSON object a size
        json: bool,
    },
    /// A model of which prompt segments are blamed for crashes of servers, in virtual time
    #[bpaf(command)]
    Blame {
        /// One JSON object a scenario
        json: bool,
    },
    /// The pure decisions: time of a route and of a policy
    #[bpaf(command)]
    Decisions,
}

fn main() -> Result<()> {
    let command = command().run();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match command {
            Command::Serving(arguments) => serving::execute(arguments).await,
            Command::Overhead(arguments) => overhead::execute(arguments).await,
            Command::Control(arguments) => control::execute(arguments).await,
            Command::Fleet { json } => {
                limits::execute(json);
                Ok(())
            }
            Command::Blame { json } => {
                blame::execute(json);
                Ok(())
            }
            Command::Decisions => {
                decisions::execute();
                Ok(())
            }
        }
    })
}
