//! Administration tool for operators.

mod bundle;
mod cli;
mod drain;
mod error;
mod exit_codes;
mod explain;
mod history;
mod keygen;
mod report;
mod resolve;
mod roll;
mod sign;
mod status;

use cli::Command;
use error::Error;
use exit_codes::ExitCode;
use mimalloc::MiMalloc;
use std::process;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main(flavor = "current_thread")]
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
        Command::Check { bundle } => bundle::check(&bundle),
        Command::Servers { bundle } => bundle::servers(&bundle),
        Command::Explain {
            address,
            question,
            key,
            json,
        } => explain::explain(address, question, key.as_deref(), json).await,
        Command::KeygenAuthority { directory } => keygen::authority(&directory),
        Command::KeygenNode { directory, name } => keygen::node(&directory, &name),
        Command::KeygenOperator { directory, name } => keygen::operator(&directory, &name),
        Command::Sign {
            bundle,
            key,
            output,
        } => sign::sign(&bundle, &key, &output),
        Command::Roll {
            signed,
            platform,
            operators,
            threshold,
        } => roll::roll(&signed, platform, &operators, threshold).await,
        Command::Diff {
            bundle,
            platform,
            json,
        } => history::diff(&bundle, platform, json).await,
        Command::Drain { node, address, key } => drain::drain(&node, address, &key).await,
        Command::History { platform } => history::history(platform).await,
        Command::Resolve { key, group, node } => resolve::resolve(&key, &group, node).await,
        Command::Report { addresses, json } => report::report(&addresses, json).await,
        Command::Verifier => keygen::verifier(),
        Command::Status { admins, view } => status::status(&admins, view).await,
    }
}
