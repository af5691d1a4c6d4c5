//! Guards against malformed input that crashes the daemon or blocks it for other clients. Each case
//! must end in an error with its SQLSTATE, and the daemon must keep serving.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{block_on, cluster, connect};

/// Sends bytes and returns everything that is received until the connection ends.
fn send_and_read(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // A reset closes the connection as well as an orderly end does.
    let _ = stream.read_to_end(&mut answer);
    answer
}

fn startup(pairs: &[u8]) -> Vec<u8> {
    let mut message = Vec::new();
    let length = u32::try_from(8 + pairs.len()).unwrap();
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(&196_608_u32.to_be_bytes());
    message.extend_from_slice(pairs);
    message
}

#[test]
fn malformed_input_is_rejected_and_the_daemon_keeps_serving() {
    // Arrange
    let cluster = cluster(|c| c.with_daemons(1));
    let address = cluster.daemons[0].client_address;
    let valid_startup = startup(b"user\0check\0database\0bookings\0\0");
    let after_startup = |bytes: &[u8]| [valid_startup.as_slice(), bytes].concat();
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("garbage", vec![0xff; 64], "08P01"),
        ("HTTP", b"GET / HTTP/1.1\r\n\r\n".to_vec(), "08P01"),
        ("oversized startup", vec![0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0], "08P01"),
        ("version 2", [8_u32.to_be_bytes(), 131_072_u32.to_be_bytes()].concat(), "08P01"),
        ("unfinished parameter", startup(b"user\0check"), "08P01"),
        ("unknown service", startup(b"user\0check\0database\0nowhere\0\0"), "3D000"),
        (
            "unknown setting",
            startup(b"user\0check\0database\0bookings\0persimmon.colour\0red\0\0"),
            "22023",
        ),
        ("oversized frame", after_startup(&[b'Q', 0x7f, 0xff, 0xff, 0xff]), "08P01"),
        ("undersized frame", after_startup(&[b'Q', 0, 0, 0, 1]), "08P01"),
        ("unknown type", after_startup(&[b'z', 0, 0, 0, 4]), "08P01"),
        ("no type at all", after_startup(&[0, 0, 0, 0, 4]), "08P01"),
        ("text without end", after_startup(&[b'Q', 0, 0, 0, 5, b'x']), "08P01"),
        ("text that is no UTF-8", after_startup(&[b'Q', 0, 0, 0, 6, 0xff, 0]), "08P01"),
    ];
    for (name, bytes, expected) in cases {
        // Act
        let answer = send_and_read(address, &bytes);

        // Assert
        let text = String::from_utf8_lossy(&answer);
        assert!(text.contains(expected), "{name}: {text:?}");
    }

    // Act: one client disconnects before it sends anything, another in the middle of a message.
    drop(TcpStream::connect(address).unwrap());
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&after_startup(&[b'Q', 0, 0, 0, 50, b'S'])).unwrap();
    drop(stream);

    // Assert
    block_on(async {
        let client = connect(address).await;
        client.batch_execute("CREATE TABLE t (id TEXT)").await.unwrap();
        assert!(client.query("SELECT id FROM t", &[]).await.unwrap().is_empty());
    });
}
