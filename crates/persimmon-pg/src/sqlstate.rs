//! The SQLSTATE codes that this project gives or acts on.

/// The statement is refused because it cannot be carried.
pub const NOT_SUPPORTED: &str = "0A000";
/// The caller broke the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The named prepared statement does not exist.
pub const UNKNOWN_STATEMENT: &str = "26000";
/// A setting has a value that is not allowed.
pub const INVALID_VALUE: &str = "22023";
/// The database name is no service of the table.
pub const UNKNOWN_DATABASE: &str = "3D000";
/// A read-only instance refuses to write.
pub const READ_ONLY: &str = "25006";
/// The instance takes no more connections.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The statement was cancelled.
pub const CANCELLED: &str = "57014";
/// The transaction is aborted; statements are ignored until its end.
pub const TRANSACTION_ABORTED: &str = "25P02";
/// The instance refuses the connection's term, before execution.
pub const TERM_REFUSED: &str = "PT001";
