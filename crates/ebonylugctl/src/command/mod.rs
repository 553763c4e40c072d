//! The commands, one module per group.

mod events;
mod explain;
mod moves;
mod progress;
mod quarantine;
mod resources;
mod state;
mod token;
mod watch;
mod zones;

use crate::api::ApiClient;
use crate::arguments::{Arguments, Command};
use crate::{Console, Environment, Outcome, Result};

/// Executes a command.
pub async fn run(
    arguments: &Arguments,
    environment: &Environment,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    if arguments.command == Command::HashToken {
        return token::hash(console);
    }
    if let Command::Explain(explain) = &arguments.command {
        return explain::run(explain, console);
    }
    let connection = arguments.connection();
    let server = connection.address(environment)?;
    if let Command::State(state) = &arguments.command {
        return state::show(&ApiClient::without_token(server), state, console).await;
    }
    let api = ApiClient::new(server, connection.authorization(environment)?);
    match &arguments.command {
        Command::Get(get) => resources::get(&api, get, console).await,
        Command::Apply(apply) => resources::apply(&api, apply, console).await,
        Command::Delete(delete) => resources::delete(&api, delete, console).await,
        Command::Watch(watch) => watch::watch(&api, watch, console).await,
        Command::Drain(zone) => zones::drain(&api, &zone.zone, console).await,
        Command::Restore(zone) => zones::restore(&api, &zone.zone, console).await,
        Command::Move(planned) => moves::start(&api, planned, console).await,
        Command::Events(events) => events::show(&api, events, console).await,
        Command::Quarantine(quarantine) => quarantine::run(&api, quarantine, console).await,
        Command::State(state) => state::show(&api, state, console).await,
        Command::Explain(explain) => explain::run(explain, console),
        Command::HashToken => token::hash(console),
    }
}
