//! Crowds that fill the room for sessions of a daemon, and leave.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::ends::table::key;

/// Members of a crowd: more than a daemon has room for.
const MEMBERS: usize = 70;

/// How long a member may take to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connects the members of a crowd from a thread of their own. Some send nothing, some half of a startup
/// message, and some open a session without using it; all leave after `stay`.
pub(crate) fn gather(address: SocketAddr, database: String, stay: Duration) {
    std::thread::spawn(move || {
        let mut members = Vec::new();
        for number in 0..MEMBERS {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
                continue;
            };
            let startup = format!("STARTUP {database} {}\r\n", key(number));
            let sent = match number % 3 {
                0 => 0,
                1 => startup.len() / 2,
                _ => startup.len(),
            };
            // A member that is refused stays away.
            if stream.write_all(&startup.as_bytes()[..sent]).is_ok() {
                members.push(stream);
            }
        }
        std::thread::sleep(stay);
    });
}
