//! One connection to an instance.
//!
//! Invariants:
//!
//! - `values` and `prepared` are exactly what the instance holds for the connection.
//! - `is_at_rest` is true only if every message sent has been answered whole.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::time::Duration;

use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::util::{BytesMut, Either};
use persimmon_ports::{
    Access, Code, Command, Instance, InstanceProtocol, ProtocolError, Reply, TxStatus,
};
use persimmon_types::{Clock, Position, Time};
use thiserror::Error;

use crate::socket;

/// A connection that holds more prepared statements than this is cleared before its next use.
const PREPARED_LIMIT: usize = 200;

/// A prepared statement: what it does and its shape.
pub(crate) type Shape = (Access, Arc<str>);

/// Why a connection is of no more use.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// No process listens, or it broke the connection.
    #[error("refused or reset: {0}")]
    Broken(#[from] io::Error),
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The instance broke the protocol.
    #[error("{0}")]
    Protocol(#[from] ProtocolError),
    /// The instance refused a statement of the proxy's own.
    #[error("refused: {0:?} {1}")]
    Refused(Code, Arc<str>),
}

impl LinkError {
    /// Whether the connection itself failed: a busy instance may be late without being dead.
    pub(crate) fn is_broken(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Protocol(_))
    }
}

/// The whole answer to one statement.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// The rows.
    pub(crate) rows: Vec<Arc<str>>,
    /// The signature, or why the statement failed.
    pub(crate) result: Result<Option<Arc<str>>, (Code, Arc<str>)>,
    /// The state of the transaction.
    pub(crate) status: TxStatus,
    /// What the instance's log has applied.
    pub(crate) position: Option<Position>,
}

impl Answer {
    /// The code of a failure.
    pub(crate) fn code(&self) -> Option<&Code> {
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

/// What a session wants a connection to hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Wanted<'a> {
    /// The session's values.
    pub(crate) values: Option<&'a BTreeMap<Arc<str>, Arc<str>>>,
    /// The prepared statement that is about to run.
    pub(crate) shape: Option<&'a Shape>,
    /// The transaction to open.
    pub(crate) begin: Option<Begin>,
}

/// How a transaction is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Begin {
    /// Whether a replica may serve it.
    pub(crate) is_read_only: bool,
    /// The position that the log must contain.
    pub(crate) after: Option<Position>,
}

/// A connection to an instance.
#[derive(Debug)]
pub(crate) struct Link {
    io: Io,
    codec: ReplyCodec,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: HashMap<Shape, Arc<str>>,
    named: u32,
    unanswered: u32,
    /// Whether a transaction may be open.
    pub(crate) has_transaction: bool,
    /// When it was last used.
    pub(crate) used_at: Time,
}

impl Link {
    /// Opens a connection within `limit`.
    pub(crate) async fn open(
        protocol: &Arc<dyn InstanceProtocol>,
        instance: &Instance,
        limit: Duration,
    ) -> Result<Self, LinkError> {
        let began = Clock.now();
        let mut link = Self::connect(protocol, instance, limit).await?;
        link.greet(instance, limit.saturating_sub(Clock.now().since(began))).await?;
        Ok(link)
    }

    /// Connects to the instance's host, which occupies no slot; the link can be used once it has
    /// greeted the instance.
    pub(crate) async fn connect(
        protocol: &Arc<dyn InstanceProtocol>,
        instance: &Instance,
        limit: Duration,
    ) -> Result<Self, LinkError> {
        let used_at = Clock.now();
        let io = socket::connect(instance.address, limit).await?;
        Ok(Self {
            io,
            codec: ReplyCodec(Arc::clone(protocol)),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            named: 0,
            unanswered: 0,
            has_transaction: false,
            used_at,
        })
    }

    /// Greets the instance, which waits for a slot there.
    pub(crate) async fn greet(
        &mut self,
        instance: &Instance,
        limit: Duration,
    ) -> Result<(), LinkError> {
        self.send(&[Command::Open { service: &instance.service, instance: &instance.id }])?;
        let greeted = self.answer(limit.max(Duration::from_millis(1))).await?;
        greeted.result.map(|_| ()).map_err(|(code, text)| LinkError::Refused(code, text))
    }

    /// Whether every message sent has been answered whole and no transaction is open.
    pub(crate) fn is_at_rest(&self) -> bool {
        self.unanswered == 0 && !self.has_transaction && !self.io.is_closed()
    }

    /// Whether the connection holds exactly these values.
    pub(crate) fn holds(&self, values: &BTreeMap<Arc<str>, Arc<str>>) -> bool {
        self.values == *values
    }

    /// Sends messages in one write.
    pub(crate) fn send(&mut self, commands: &[Command<'_>]) -> Result<(), LinkError> {
        let mut buf = BytesMut::with_capacity(128 * commands.len());
        for command in commands {
            self.codec.0.encode(command, &mut buf);
        }
        self.unanswered += u32::try_from(commands.len()).unwrap_or(u32::MAX);
        self.used_at = Clock.now();
        self.io.encode_slice(&buf)?;
        Ok(())
    }

    /// Receives the whole answer to the oldest message that has none.
    pub(crate) async fn answer(&mut self, limit: Duration) -> Result<Answer, LinkError> {
        let receiving = Self::receive(&self.io, &self.codec);
        let answer =
            tokio::time::timeout(limit, receiving).await.map_err(|_| LinkError::TimedOut)??;
        self.unanswered -= 1;
        self.has_transaction = answer.status != TxStatus::Idle;
        Ok(answer)
    }

    async fn receive(io: &Io, codec: &ReplyCodec) -> Result<Answer, LinkError> {
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
                    // A refused session is closed without a further message.
                    let ends = matches!(code, Code::WrongInstance | Code::TooManyConnections);
                    if ends {
                        return Err(LinkError::Refused(code, text));
                    }
                    result = Err((code, text));
                }
                Reply::Ready { status, position } => {
                    return Ok(Answer { rows, result, status, position });
                }
            }
        }
    }

    /// Makes the connection hold what a session wants, and opens a transaction if it asks for one;
    /// returns the answer to the opening.
    pub(crate) async fn align(
        &mut self,
        wanted: &Wanted<'_>,
        limit: Duration,
    ) -> Result<Option<Answer>, LinkError> {
        let empty = BTreeMap::new();
        let values = wanted.values.unwrap_or(&empty);
        let has_foreign = self.values.keys().any(|name| !values.contains_key(name));
        // Inside a transaction the connection holds only what this session set.
        let resets = !self.has_transaction && (has_foreign || self.prepared.len() > PREPARED_LIMIT);
        let mut commands = Vec::new();
        if resets {
            commands.push(Command::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) == Some(value) {
                continue;
            }
            commands.push(Command::Set { name, value });
            self.values.insert(Arc::clone(name), Arc::clone(value));
        }
        let mut named = None;
        if let Some(shape) = wanted.shape
            && !self.prepared.contains_key(shape)
        {
            self.named += 1;
            named = Some((shape, Arc::<str>::from(format!("p{}", self.named))));
        }
        if let Some((shape, name)) = &named {
            commands.push(Command::Prepare { name, access: shape.0, shape: &shape.1 });
            self.prepared.insert((*shape).clone(), Arc::clone(name));
        }
        let own = commands.len();
        if let Some(Begin { is_read_only, after }) = wanted.begin {
            commands.push(Command::Begin { is_read_only, after });
        }
        if commands.is_empty() {
            return Ok(None);
        }
        let total = commands.len();
        self.send(&commands)?;
        let mut last = None;
        for index in 0..total {
            let answer = self.answer(limit).await?;
            if index < own {
                if let Err((code, text)) = answer.result {
                    return Err(LinkError::Refused(code, text));
                }
                continue;
            }
            last = Some(answer);
        }
        Ok(last)
    }

    /// The name of a prepared statement on this connection.
    pub(crate) fn prepared_name(&self, shape: &Shape) -> Option<Arc<str>> {
        self.prepared.get(shape).cloned()
    }
}
