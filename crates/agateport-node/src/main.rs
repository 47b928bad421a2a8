//! The executable of a node, which runs on an entry VM.

use agateport_domain::owner::{Even, Policy, Rendezvous};
use agateport_node::cli::{self, Command};
use agateport_node::config::{Config, Sharing};
use agateport_node::error::Error;
use agateport_node::exit_codes::ExitCode;
use agateport_node::logs;
use agateport_node::node::Node;
use mimalloc::MiMalloc;
use std::process;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> process::ExitCode {
    match start() {
        Ok(()) => ExitCode::Success.into(),
        Err(error) => {
            let code = ExitCode::from(&error);
            eprintln!("{:?}", miette::Report::new(error));
            code.into()
        }
    }
}

fn start() -> Result<(), Error> {
    let command = cli::parse(lexopt::Parser::from_env())?;
    let config = match command {
        Command::Help => {
            print!("{}", cli::HELP);
            return Ok(());
        }
        Command::Check(path) => return Config::load(&path).map(drop),
        Command::Print(path) => {
            print!("{}", Config::load(&path)?);
            return Ok(());
        }
        Command::Run(path) => Config::load(&path)?,
    };
    logs::init();
    match config.sharing {
        Sharing::Even => run(config, Even),
        Sharing::Rendezvous => run(config, Rendezvous),
    }
}

#[tokio::main]
async fn run<P: Policy + Send + Sync + 'static>(config: Config, policy: P) -> Result<(), Error> {
    Node::start(config, policy).await?.run().await
}
