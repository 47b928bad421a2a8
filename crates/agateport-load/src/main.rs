//! Open-loop load generator with a consistency check.

use agateport_load::cli::{self, Command};
use agateport_load::exit_codes::ExitCode;
use agateport_load::{compare, run};
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
        Ok(Command::Compare(files)) => compare::print(&files),
        Ok(Command::Run(config)) => run::run(*config).await,
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
