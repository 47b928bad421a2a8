//! Simulated platform and database servers for tests, benchmarks and demos.

use agateport_standin::cli::{self, Command};
use agateport_standin::error::Error;
use agateport_standin::exit_codes::ExitCode;
use agateport_standin::{group, platform};
use mimalloc::MiMalloc;
use std::process;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main]
async fn main() -> process::ExitCode {
    let result = match cli::parse(lexopt::Parser::from_env()) {
        Ok(command) => run(command).await,
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

async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Help => {
            print!("{}", cli::HELP);
            Ok(())
        }
        Command::Group(config) => group::Running::start(config).await?.wait().await,
        Command::Platform(config) => platform::Running::start(config).await?.wait().await,
    }
}
