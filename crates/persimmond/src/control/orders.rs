//! Orders to instances: seal, promote and follow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::{Event, Order, OrderFailure, OrderOutcome};
use persimmon_pg::{Rows, sqlstate};
use persimmon_types::{Lsn, Position, Term};

use crate::backend::{Backend, BackendError, QueryResult};
use crate::control::Links;

/// How long the connection for an order may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an instance may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Carries out an order on a connection of its own.
pub(crate) fn carry_out(links: &Links, instance: Arc<str>, address: SocketAddr, order: Order) {
    let links = links.clone();
    ntex::rt::spawn(async move {
        let outcome = send(address, &order).await;
        let event = match order {
            Order::Seal { term, .. } => Event::Sealed { instance, term, outcome },
            Order::Promote { term, .. } => Event::Promoted { instance, term, outcome },
            Order::Follow { term, .. } => {
                tracing::debug!(%instance, %term, ?outcome, "ordered to follow");
                return;
            }
        };
        // The control thread is gone only when the process ends.
        let _ = links.events.send(event);
    });
}

fn sql(order: &Order) -> String {
    match order {
        Order::Seal { term, decider } => format!("SELECT persimmon_seal({term}, '{decider}')"),
        Order::Promote { term, decider } => {
            format!("SELECT persimmon_promote({term}, '{decider}')")
        }
        Order::Follow { term, address, .. } => {
            format!("SELECT persimmon_follow({term}, '{address}')")
        }
    }
}

async fn send(address: SocketAddr, order: &Order) -> OrderOutcome {
    let parameters = [("user", "persimmon"), ("application_name", "order")];
    let connected = Backend::connect(address, &parameters, CONNECT_TIMEOUT).await;
    let mut backend = connected.map_err(|_| OrderFailure::NotSent)?;
    match backend.query(&sql(order), ORDER_TIMEOUT).await {
        Ok(answer) => position(answer),
        Err(BackendError::Refused(_)) => Err(OrderFailure::NotSent),
        Err(_) => Err(OrderFailure::Unknown),
    }
}

fn position(answer: QueryResult) -> OrderOutcome {
    match answer {
        Ok(rows) => end(&rows).ok_or(OrderFailure::Unknown),
        Err(fields) if fields.code == sqlstate::TERM_REFUSED => {
            Err(OrderFailure::Superseded(refused_term(&fields.message)))
        }
        Err(_) => Err(OrderFailure::Unknown),
    }
}

fn end(rows: &Rows) -> Option<Position> {
    let row = rows.first()?;
    let term = row.first()?.parse().ok()?;
    let lsn = row.get(1)?.parse().ok()?;
    Some(Position::new(Term(term), Lsn(lsn)))
}

/// The term that an instance names when it refuses another.
pub(crate) fn refused_term(message: &str) -> Term {
    let number = message.strip_prefix("term ").and_then(|n| n.trim().parse().ok());
    Term(number.unwrap_or_default())
}
