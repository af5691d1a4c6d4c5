//! Control commands to instances: seal, promote and follow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::{Event, Order, OrderFailure, OrderOutcome};
use persimmon_pg::{Rows, sqlstate};
use persimmon_types::{Lsn, Position, Term};

use crate::backend::{Backend, BackendError, QueryResult};
use crate::control::Links;

/// How long the handshake of a command's connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an instance may take to answer a command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a command over a connection of its own and reports the outcome to the kernel.
pub(crate) fn execute(handles: &Links, instance: Arc<str>, address: SocketAddr, command: Order) {
    let handles = handles.clone();
    ntex::rt::spawn(async move {
        let outcome = send_command(address, &command).await;
        let event = match command {
            Order::Seal { term, .. } => Event::Sealed { instance, term, outcome },
            Order::Promote { term, .. } => Event::Promoted { instance, term, outcome },
            Order::Follow { term, .. } => {
                tracing::debug!(%instance, %term, ?outcome, "a follow command to an instance has ended");
                return;
            }
        };
        // The control thread lives as long as the process, so a failed send needs no handling.
        let _ = handles.events.send(event);
    });
}

fn command_sql(command: &Order) -> String {
    match command {
        Order::Seal { term, decider } => format!("SELECT persimmon_seal({term}, '{decider}')"),
        Order::Promote { term, decider } => {
            format!("SELECT persimmon_promote({term}, '{decider}')")
        }
        Order::Follow { term, address, .. } => {
            format!("SELECT persimmon_follow({term}, '{address}')")
        }
    }
}

async fn send_command(address: SocketAddr, command: &Order) -> OrderOutcome {
    let parameters = [("user", "persimmon"), ("application_name", "order")];
    let connected = Backend::connect(address, &parameters, CONNECT_TIMEOUT).await;
    let mut connection = connected.map_err(|_| OrderFailure::NotSent)?;
    match connection.query(&command_sql(command), COMMAND_TIMEOUT).await {
        Ok(answer) => command_outcome(answer),
        Err(BackendError::Refused(_)) => Err(OrderFailure::NotSent),
        Err(_) => Err(OrderFailure::Unknown),
    }
}

fn command_outcome(answer: QueryResult) -> OrderOutcome {
    match answer {
        Ok(rows) => parse_log_end(&rows).ok_or(OrderFailure::Unknown),
        Err(fields) if fields.code == sqlstate::TERM_REFUSED => {
            Err(OrderFailure::Superseded(refused_term(&fields.message)))
        }
        Err(_) => Err(OrderFailure::Unknown),
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
