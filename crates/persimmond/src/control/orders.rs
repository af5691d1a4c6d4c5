//! Control commands to instances: seal, promote and follow.
//!
//! The module is named `orders` because its path is the target of its log lines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::{CommandFailure, CommandOutcome, ControlCommand, Event};
use persimmon_pg::{Rows, sqlstate};
use persimmon_types::{Lsn, Position, Term};

use crate::backend::{BackendConnection, BackendError, QueryResult};
use crate::control::ControlHandles;

/// How long the handshake of a command's connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an instance may take to answer a command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a command over a connection of its own and reports the outcome to the kernel.
pub(crate) fn execute(
    handles: &ControlHandles,
    instance: Arc<str>,
    address: SocketAddr,
    command: ControlCommand,
) {
    let handles = handles.clone();
    ntex::rt::spawn(async move {
        let outcome = send_command(address, &command).await;
        let event = match command {
            ControlCommand::Seal { term, .. } => Event::Sealed { instance, term, outcome },
            ControlCommand::Promote { term, .. } => Event::Promoted { instance, term, outcome },
            ControlCommand::Follow { term, .. } => {
                tracing::debug!(
                    %instance, %term, ?outcome,
                    "a follow command to an instance has ended"
                );
                return;
            }
        };
        // The control thread lives as long as the process, so a failed send needs no handling.
        let _ = handles.events.send(event);
    });
}

fn command_sql(command: &ControlCommand) -> String {
    match command {
        ControlCommand::Seal { term, coordinator } => {
            format!("SELECT persimmon_seal({term}, '{coordinator}')")
        }
        ControlCommand::Promote { term, coordinator } => {
            format!("SELECT persimmon_promote({term}, '{coordinator}')")
        }
        ControlCommand::Follow { term, address, .. } => {
            format!("SELECT persimmon_follow({term}, '{address}')")
        }
    }
}

async fn send_command(address: SocketAddr, command: &ControlCommand) -> CommandOutcome {
    let parameters = [("user", "persimmon"), ("application_name", "order")];
    let connected = BackendConnection::connect(address, &parameters, CONNECT_TIMEOUT).await;
    let mut connection = connected.map_err(|_| CommandFailure::NotSent)?;
    match connection.query(&command_sql(command), COMMAND_TIMEOUT).await {
        Ok(answer) => command_outcome(answer),
        Err(BackendError::Refused(_)) => Err(CommandFailure::NotSent),
        Err(_) => Err(CommandFailure::Unknown),
    }
}

fn command_outcome(answer: QueryResult) -> CommandOutcome {
    match answer {
        Ok(rows) => parse_log_end(&rows).ok_or(CommandFailure::Unknown),
        Err(fields) if fields.code == sqlstate::TERM_REFUSED => {
            Err(CommandFailure::Superseded(refused_term(&fields.message)))
        }
        Err(_) => Err(CommandFailure::Unknown),
    }
}

fn parse_log_end(rows: &Rows) -> Option<Position> {
    let row = rows.first()?;
    let term = row.first()?.parse().ok()?;
    let lsn = row.get(1)?.parse().ok()?;
    Some(Position::new(Term(term), Lsn(lsn)))
}

/// The term that an instance names in its message when it refuses an older one.
pub(crate) fn refused_term(message: &str) -> Term {
    let number = message.strip_prefix("term ").and_then(|n| n.trim().parse().ok());
    Term(number.unwrap_or_default())
}
