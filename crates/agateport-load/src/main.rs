//! Callers at a stated rate, and a check of what they were told.

mod caller;
mod check;
mod cli;
mod error;
mod exit_codes;
mod outcome;
mod report;
mod run;

use cli::Command;
use exit_codes::ExitCode;
use mimalloc::MiMalloc;
use std::process;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main]
async fn main() -> process::ExitCode {
    let result = match cli::parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            print!("{}", cli::HELP);
            Ok(())
        }
        Ok(Command::Run(config)) => run::run(config).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::Success.into(),
        Err(error) => {
            let code = ExitCode::from(&error);
            eprintln!("{:?}", miette::Report::new(error));
            code.into()
        }
    }
}
