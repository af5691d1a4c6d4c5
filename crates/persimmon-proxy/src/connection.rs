//! One connection to an instance.
//!
//! Invariants:
//!
//! - `variables` and `prepared` match the state of the connection at the instance while `is_state_known`:
//!   a change is recorded once the instance has confirmed it, and a refused or unanswered one leaves
//!   the state unknown for good.
//! - `is_idle` is true only if every message sent has been answered completely and the state is known,
//!   so that no other session gets a connection with unknown state.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::time::Duration;

use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::util::{BytesMut, Either};
use persimmon_balancing::ConnectionRank;
use persimmon_interfaces::{
    Access, Command, ErrorCode, Instance, InstanceProtocol, ProtocolError, Reply, TxStatus,
};
use persimmon_types::{Clock, Position, Time};
use thiserror::Error;

use crate::socket;

/// A connection with larger values and prepared statements is not kept for other sessions, in bytes.
const MAX_KEPT_STATE: usize = 64 << 10;

/// A connection with more prepared statements than this is reset before its next use.
const PREPARED_LIMIT: usize = 200;

/// A prepared statement: its access and its shape.
pub(crate) type Shape = (Access, Arc<str>);

/// Why a connection can no longer be used.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// No process listens, or it closed the connection.
    #[error("refused or reset: {0}")]
    Broken(#[from] io::Error),
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The instance violated the protocol.
    #[error("{0}")]
    Protocol(#[from] ProtocolError),
    /// The instance refused a statement of the proxy's own.
    #[error("refused: {0:?} {1}")]
    Refused(ErrorCode, Arc<str>),
}

impl ConnectionError {
    /// Whether the connection itself failed: a busy instance may be late without being dead.
    pub(crate) fn is_broken(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Protocol(_))
    }
}

/// The complete answer to one statement.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// The rows.
    pub(crate) rows: Vec<Arc<str>>,
    /// The signature, or the code and text of the failure.
    pub(crate) result: Result<Option<Arc<str>>, (ErrorCode, Arc<str>)>,
    /// The transaction status after the statement.
    pub(crate) status: TxStatus,
    /// The position that the instance has applied.
    pub(crate) position: Option<Position>,
}

impl Answer {
    /// The error code, if the statement failed.
    pub(crate) fn code(&self) -> Option<&ErrorCode> {
        self.result.as_ref().err().map(|(code, _)| code)
    }
}

#[derive(Debug)]
struct ReplyCodec(Arc<dyn InstanceProtocol>);

impl Decoder for ReplyCodec {
    type Item = Reply;
    type Error = ProtocolError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Reply>, ProtocolError> {
        self.0.decode(src)
    }
}

/// The user as whom a connection was opened, which an instance learns in the handshake.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ConnectionUser<'a> {
    /// Any: the connection carries only statements of the proxy's own.
    #[default]
    Any,
    /// No workspace.
    Anonymous,
    /// A workspace.
    Workspace(&'a Arc<str>),
}

impl ConnectionUser<'_> {
    /// Whether a connection that was opened for `workspace` will do.
    pub(crate) fn accepts(self, workspace: Option<&Arc<str>>) -> bool {
        match self {
            Self::Any => true,
            Self::Anonymous => workspace.is_none(),
            Self::Workspace(name) => workspace == Some(name),
        }
    }

    /// The workspace for which a new connection is opened.
    pub(crate) fn workspace(self) -> Option<Arc<str>> {
        match self {
            Self::Any | Self::Anonymous => None,
            Self::Workspace(name) => Some(Arc::clone(name)),
        }
    }
}

/// The state that a session requires of a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct DesiredState<'a> {
    /// The user as whom it was opened.
    pub(crate) user: ConnectionUser<'a>,
    /// The session's variables.
    pub(crate) variables: Option<&'a BTreeMap<Arc<str>, Arc<str>>>,
    /// The prepared statement to execute.
    pub(crate) shape: Option<&'a Shape>,
    /// The transaction to open.
    pub(crate) begin: Option<Begin>,
    /// Its rank among the statements that wait for a connection, where they wait in order.
    pub(crate) rank: Option<ConnectionRank>,
}

/// How a transaction is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Begin {
    /// Whether a replica may serve it.
    pub(crate) is_read_only: bool,
    /// The minimum position that the instance must have applied.
    pub(crate) after: Option<Position>,
}

/// A connection to an instance.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    io: Io,
    codec: ReplyCodec,
    /// The workspace for which it was opened, for its whole life.
    workspace: Option<Arc<str>>,
    variables: BTreeMap<Arc<str>, Arc<str>>,
    prepared: HashMap<Shape, Arc<str>>,
    prepared_count: u32,
    unanswered: u32,
    is_state_known: bool,
    /// Whether a transaction may be open.
    pub(crate) has_transaction: bool,
    /// When it was last used.
    pub(crate) used_at: Time,
}

impl BackendConnection {
    /// Opens a connection for statements of the proxy's own within `limit`.
    pub(crate) async fn open(
        protocol: &Arc<dyn InstanceProtocol>,
        instance: &Instance,
        limit: Duration,
    ) -> Result<Self, ConnectionError> {
        let began = Clock.now();
        let mut backend = Self::connect(protocol, instance, None, limit).await?;
        backend.handshake(instance, limit.saturating_sub(Clock.now().since(began))).await?;
        Ok(backend)
    }

    /// Connects to the instance's host, which occupies no slot; the connection can be used after
    /// [`Self::handshake`].
    pub(crate) async fn connect(
        protocol: &Arc<dyn InstanceProtocol>,
        instance: &Instance,
        workspace: Option<Arc<str>>,
        limit: Duration,
    ) -> Result<Self, ConnectionError> {
        let used_at = Clock.now();
        let io = socket::connect(instance.address, limit).await?;
        Ok(Self {
            io,
            codec: ReplyCodec(Arc::clone(protocol)),
            workspace,
            variables: BTreeMap::new(),
            prepared: HashMap::new(),
            prepared_count: 0,
            unanswered: 0,
            is_state_known: true,
            has_transaction: false,
            used_at,
        })
    }

    /// Performs the handshake, which waits for a slot at the instance.
    pub(crate) async fn handshake(
        &mut self,
        instance: &Instance,
        limit: Duration,
    ) -> Result<(), ConnectionError> {
        let workspace = self.workspace.clone();
        self.send(&[Command::Open {
            service: &instance.service,
            workspace: workspace.as_deref(),
            instance: &instance.id,
        }])?;
        let answer = self.answer(limit.max(Duration::from_millis(1))).await?;
        answer.result.map(|_| ()).map_err(|(code, text)| ConnectionError::Refused(code, text))
    }

    /// The workspace for which the connection was opened.
    pub(crate) fn workspace(&self) -> &Option<Arc<str>> {
        &self.workspace
    }

    /// Whether another session may use the connection: every message sent has been answered
    /// completely, no transaction is open, and the session state is known.
    pub(crate) fn is_idle(&self) -> bool {
        let is_at_rest = self.unanswered == 0 && !self.has_transaction;
        is_at_rest && self.is_state_known && !self.io.is_closed()
    }

    /// Whether the connection's state is too large to be kept while no session uses it.
    pub(crate) fn has_large_state(&self) -> bool {
        let values = self.variables.iter().map(|(name, value)| name.len() + value.len());
        let shapes = self.prepared.keys().map(|(_, shape)| shape.len());
        values.chain(shapes).sum::<usize>() > MAX_KEPT_STATE
    }

    /// Records that the instance does not have the state that it confirmed.
    pub(crate) fn distrust_state(&mut self) {
        self.is_state_known = false;
    }

    /// Whether the connection has exactly these session variables.
    pub(crate) fn has_variables(&self, variables: &BTreeMap<Arc<str>, Arc<str>>) -> bool {
        self.variables == *variables
    }

    /// Sends messages in one write.
    pub(crate) fn send(&mut self, commands: &[Command<'_>]) -> Result<(), ConnectionError> {
        let mut buf = BytesMut::with_capacity(128 * commands.len());
        for command in commands {
            self.codec.0.encode(command, &mut buf);
        }
        self.unanswered += u32::try_from(commands.len()).unwrap_or(u32::MAX);
        self.used_at = Clock.now();
        self.io.encode_slice(&buf)?;
        Ok(())
    }

    /// Receives the complete answer to the oldest unanswered message.
    pub(crate) async fn answer(&mut self, limit: Duration) -> Result<Answer, ConnectionError> {
        let receiving = Self::receive(&self.io, &self.codec);
        let answer = tokio::time::timeout(limit, receiving)
            .await
            .map_err(|_| ConnectionError::TimedOut)??;
        self.unanswered -= 1;
        self.has_transaction = answer.status != TxStatus::Idle;
        Ok(answer)
    }

    async fn receive(io: &Io, codec: &ReplyCodec) -> Result<Answer, ConnectionError> {
        let mut rows = Vec::new();
        let mut result = Ok(None);
        loop {
            let reply = match io.recv(codec).await {
                Ok(Some(reply)) => reply,
                Ok(None) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Err(Either::Left(err)) => return Err(err.into()),
                Err(Either::Right(err)) => return Err(err.into()),
            };
            match reply {
                Reply::Row(row) => rows.push(row),
                Reply::Complete(signature) => result = Ok(signature),
                Reply::Error { code, text } => {
                    // The instance closes a refused session without a further message.
                    let closes_session =
                        matches!(code, ErrorCode::WrongInstance | ErrorCode::TooManyConnections);
                    if closes_session {
                        return Err(ConnectionError::Refused(code, text));
                    }
                    result = Err((code, text));
                }
                Reply::Ready { status, position } => {
                    return Ok(Answer { rows, result, status, position });
                }
            }
        }
    }

    /// Brings the connection into the desired state, and opens a transaction if requested; returns
    /// the answer to opening it.
    pub(crate) async fn apply_state(
        &mut self,
        desired: &DesiredState<'_>,
        limit: Duration,
    ) -> Result<Option<Answer>, ConnectionError> {
        let empty = BTreeMap::new();
        let variables = desired.variables.unwrap_or(&empty);
        let has_stale = self.variables.keys().any(|name| !variables.contains_key(name));
        // Inside a transaction, the connection has only this session's state.
        let resets = !self.has_transaction && (has_stale || self.prepared.len() > PREPARED_LIMIT);
        let mut commands = Vec::new();
        if resets {
            commands.push(Command::Reset);
        }
        for (name, value) in variables {
            if resets || self.variables.get(name) != Some(value) {
                commands.push(Command::Set { name, value });
            }
        }
        let mut new_name = None;
        if let Some(shape) = desired.shape
            && (resets || !self.prepared.contains_key(shape))
        {
            self.prepared_count += 1;
            new_name = Some((shape, Arc::<str>::from(format!("p{}", self.prepared_count))));
        }
        if let Some((shape, name)) = &new_name {
            commands.push(Command::Prepare { name, access: shape.0, shape: &shape.1 });
        }
        let own_count = commands.len();
        if let Some(Begin { is_read_only, after }) = desired.begin {
            commands.push(Command::Begin { is_read_only, after });
        }
        if commands.is_empty() {
            return Ok(None);
        }
        let total = commands.len();
        let was_state_known = self.is_state_known;
        if own_count > 0 {
            // Until every answer confirms the change, also if this call is dropped.
            self.is_state_known = false;
        }
        self.send(&commands)?;
        let mut last = None;
        for index in 0..total {
            let answer = self.answer(limit).await?;
            if index < own_count {
                if let Err((code, text)) = answer.result {
                    return Err(ConnectionError::Refused(code, text));
                }
                continue;
            }
            last = Some(answer);
        }
        if own_count > 0 {
            self.record_state(resets, variables, new_name);
            self.is_state_known = was_state_known;
        }
        Ok(last)
    }

    /// Records the state that the instance has confirmed.
    fn record_state(
        &mut self,
        was_reset: bool,
        variables: &BTreeMap<Arc<str>, Arc<str>>,
        prepared: Option<(&Shape, Arc<str>)>,
    ) {
        if was_reset {
            self.variables.clear();
            self.prepared.clear();
        }
        self.variables.extend(variables.iter().map(|(n, v)| (Arc::clone(n), Arc::clone(v))));
        if let Some((shape, name)) = prepared {
            self.prepared.insert(shape.clone(), name);
        }
    }

    /// The name of a prepared statement on this connection.
    pub(crate) fn prepared_name(&self, shape: &Shape) -> Option<Arc<str>> {
        self.prepared.get(shape).cloned()
    }
}
