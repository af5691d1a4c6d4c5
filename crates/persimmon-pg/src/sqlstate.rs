//! The SQLSTATE codes that the proxy returns or interprets.

/// `feature_not_supported`: the proxy can't execute the statement.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// `protocol_violation`: the client violated the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// `invalid_sql_statement_name`: the prepared statement doesn't exist.
pub const UNKNOWN_STATEMENT: &str = "26000";
/// `invalid_parameter_value`: a setting has an invalid value.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// `invalid_catalog_name`: the table has no service with the name of the database.
pub const UNKNOWN_DATABASE: &str = "3D000";
/// `read_only_sql_transaction`: the instance is read-only and refused a write.
pub const READ_ONLY: &str = "25006";
/// `too_many_connections`: the instance accepts no more connections.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// `query_canceled`: the statement was cancelled.
pub const CANCELLED: &str = "57014";
/// `in_failed_sql_transaction`: the transaction failed; statements are ignored until it ends.
pub const TRANSACTION_ABORTED: &str = "25P02";
/// Specific to this project: the instance refused the connection's term before execution.
pub const TERM_REFUSED: &str = "PT001";
