//! Asks instances whether they lead, and for their state, on connections of control's own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use persimmon_lead::{Asked, Finding};
use persimmon_ports::{Code, Command, InstanceStatus};
use persimmon_types::Term;

use crate::control::Control;
use crate::link::{Begin, Link, LinkError, Wanted};
use crate::view::Listed;

/// How long an instance may take to say whether it leads: a connection opens behind the statements
/// that occupy its slots.
const PROBE_LIMIT: Duration = Duration::from_millis(350);

/// How long an instance may take to report its state, which waits for a slot.
const STATUS_LIMIT: Duration = Duration::from_millis(450);

/// Connections of control's own, kept while a service is in doubt.
#[derive(Debug, Default)]
pub(crate) struct Links {
    kept: RefCell<HashMap<Arc<str>, Link>>,
}

impl Links {
    /// Closes the connections.
    pub(crate) fn clear(&self) {
        self.kept.borrow_mut().clear();
    }

    async fn borrow(
        &self,
        control: &Control,
        listed: &Listed,
        limit: Duration,
    ) -> Result<Link, LinkError> {
        let kept = self.kept.borrow_mut().remove(&listed.instance.id);
        if let Some(link) = kept.filter(Link::is_at_rest) {
            return Ok(link);
        }
        Link::open(&control.instances, &listed.instance, limit).await
    }

    fn keep(&self, listed: &Listed, link: Link) {
        if link.is_at_rest() {
            self.kept.borrow_mut().insert(Arc::clone(&listed.instance.id), link);
        }
    }

    /// Asks every instance whether it leads.
    pub(crate) async fn probe(
        &self,
        control: &Control,
        listed: &[Listed],
    ) -> Vec<(Arc<str>, Finding)> {
        let asked = listed
            .iter()
            .map(|l| async { (Arc::clone(&l.instance.id), self.probe_one(control, l).await) });
        join_all(asked).await
    }

    async fn probe_one(&self, control: &Control, listed: &Listed) -> Finding {
        let mut link = match self.borrow(control, listed, PROBE_LIMIT).await {
            Ok(link) => link,
            Err(err) => return finding(&err),
        };
        let begin = Some(Begin { is_read_only: false, after: None });
        let wanted = Wanted { begin, ..Wanted::default() };
        let found = match link.align(&wanted, PROBE_LIMIT).await {
            Ok(Some(answer)) if answer.result.is_ok() => Finding::Leads,
            Ok(_) => Finding::Follows,
            Err(err) => return finding(&err),
        };
        if link.has_transaction {
            let ended = match link.send(&[Command::Rollback]) {
                Ok(()) => link.answer(PROBE_LIMIT).await.map(|_| ()),
                Err(err) => Err(err),
            };
            if let Err(err) = ended {
                tracing::debug!(instance = %listed.instance.id, error = %err, "a probe was cut");
            }
        }
        self.keep(listed, link);
        found
    }

    /// Asks every instance for its state; with a term, replicas stop receiving first.
    pub(crate) async fn ask(
        &self,
        control: &Control,
        listed: &[Listed],
        pause: Option<Term>,
    ) -> Vec<Asked> {
        let asked = listed.iter().map(|l| async move {
            let mut is_late = false;
            let status = match self.ask_one(control, l, pause).await {
                Ok(status) => status,
                Err(err) => {
                    is_late = matches!(err, LinkError::TimedOut);
                    tracing::info!(instance = %l.instance.id, error = %err, "no state of an instance");
                    None
                }
            };
            let is_draining = l.instance.is_draining || l.missing_for.is_some();
            Asked { id: Arc::clone(&l.instance.id), is_draining, is_late, status }
        });
        join_all(asked).await
    }

    async fn ask_one(
        &self,
        control: &Control,
        listed: &Listed,
        pause: Option<Term>,
    ) -> Result<Option<InstanceStatus>, LinkError> {
        let mut link = self.borrow(control, listed, STATUS_LIMIT).await?;
        let command = pause.map_or(Command::Status, Command::Pause);
        link.send(&[command])?;
        let answer = link.answer(STATUS_LIMIT).await?;
        let status = answer.rows.first().and_then(|row| control.instances.status(row));
        self.keep(listed, link);
        Ok(status)
    }
}

fn finding(err: &LinkError) -> Finding {
    match err {
        // Its host accepts connections; the answer waits for a slot.
        LinkError::TimedOut => Finding::Busy,
        LinkError::Broken(err) if err.kind() == io::ErrorKind::TimedOut => Finding::Silent,
        // Another instance answers at its address.
        LinkError::Refused(Code::WrongInstance, _) => Finding::Refused,
        LinkError::Refused(..) => Finding::Busy,
        LinkError::Broken(_) | LinkError::Protocol(_) => Finding::Refused,
    }
}
