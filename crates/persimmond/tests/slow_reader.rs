//! Guards against answers that are lost because their client reads them late.

mod fleet;

use std::time::Duration;

use crate::fleet::setup;

/// Answers that are asked for at once. Together they exceed what the kernel takes.
const ANSWERS: usize = 6;

/// Bytes of each answer.
const ANSWER_BYTES: usize = 900_000;

/// How long the client reads nothing: far less than a client may take on a host with room.
const PAUSE: Duration = Duration::from_secs(3);

#[test]
fn answers_to_a_client_that_reads_late_are_delivered() {
    let setup = setup("slow-reader", 1);
    let mut client = setup.client(0, "p0", "c");
    let written = client.query(&format!("WRITE item {}", "v".repeat(ANSWER_BYTES)));
    assert!(written.expect("a response").result.is_ok());

    for _ in 0..ANSWERS {
        client.send("READ item").expect("the request is sent");
    }
    std::thread::sleep(PAUSE);

    let answered = (0..ANSWERS).take_while(|_| client.receive_response().is_ok()).count();
    assert_eq!(answered, ANSWERS);
}
