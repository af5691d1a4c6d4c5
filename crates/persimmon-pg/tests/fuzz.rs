//! Random bytes for the PostgreSQL messages: none ends the process, and what is changed in a message
//! is only what was asked for.
//!
//! A run is seeded; `PROPTEST_CASES=N` runs N cases of each property from a new seed. Inputs that
//! failed are kept in `fuzz-corpus.txt` beside this file, and run first.

use persimmon_pg::{
    FrontendMessage, command_tag, frame_length, parse_error_fields, parse_startup_packet,
    parse_text_row, rename_statement, startup_length, startup_message,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};

/// Cases of each property in a seeded run.
const CASES: u32 = 5_000;

/// Where inputs that failed are kept.
const CORPUS: &str = "tests/fuzz-corpus.txt";

fn config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
        config.rng_seed = RngSeed::Fixed(29);
    }
    let failure_persistence = Some(Box::new(FileFailurePersistence::Direct(CORPUS)) as Box<_>);
    ProptestConfig { failure_persistence, ..config }
}

/// A message of a known type with a random body.
fn frame() -> impl Strategy<Value = Vec<u8>> {
    let tag = proptest::sample::select(b"QPBDCESHXdcfFpTZ".to_vec());
    let part = prop_oneof![
        Just(b"\0".to_vec()),
        Just(b"S".to_vec()),
        Just(b"P".to_vec()),
        Just(b"name\0".to_vec()),
        Just(b"\xff\xff\xff\xff".to_vec()),
        vec(any::<u8>(), 0..12),
    ];
    (tag, vec(part, 0..6)).prop_map(|(tag, parts)| {
        let body = parts.concat();
        let length = u32::try_from(body.len() + 4).expect("a short body");
        [&[tag], &length.to_be_bytes()[..], &body].concat()
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_bytes_end_the_parsing(bytes in vec(any::<u8>(), 0..64)) {
        // Only that these return is checked.
        let _ = (frame_length(&bytes), startup_length(&bytes), FrontendMessage::parse(&bytes));
        let _ = (parse_startup_packet(&bytes), parse_error_fields(&bytes), parse_text_row(&bytes));
        let _ = (command_tag(&bytes), rename_statement(&bytes, "other"));
    }

    #[test]
    fn no_message_ends_its_parsing(frame in frame()) {
        prop_assert_eq!(frame_length(&frame), Ok(Some(frame.len())));
        // Only that these return is checked.
        let _ = (FrontendMessage::parse(&frame), parse_error_fields(&frame), parse_text_row(&frame));
        let _ = command_tag(&frame);
    }

    #[test]
    fn a_renamed_message_differs_in_the_name_alone(frame in frame(), name in "[a-z]{0,6}") {
        let Ok(renamed) = rename_statement(&frame, &name) else {
            return Ok(());
        };
        prop_assert_eq!(frame_length(&renamed), Ok(Some(renamed.len())));
        let before = FrontendMessage::parse(&frame).expect("a message that was renamed");
        let after = FrontendMessage::parse(&renamed).expect("a message");
        let expected = match before {
            FrontendMessage::Parse { sql, .. } => FrontendMessage::Parse { name: &name, sql },
            FrontendMessage::Bind { portal, .. } => {
                FrontendMessage::Bind { portal, statement: &name }
            }
            FrontendMessage::DescribeStatement(_) => FrontendMessage::DescribeStatement(&name),
            FrontendMessage::CloseStatement(_) => FrontendMessage::CloseStatement(&name),
            other => other,
        };
        prop_assert_eq!(after, expected);
    }

    #[test]
    fn a_startup_packet_is_read_as_it_was_written(user in "[a-z]{1,8}", value in "[ -~]{0,16}") {
        let packet = startup_message(&[("user", &user), ("application_name", &value)]);

        prop_assert_eq!(startup_length(&packet), Ok(Some(packet.len())));
        let text = format!("{:?}", parse_startup_packet(&packet));
        prop_assert!(text.contains(&format!("{user:?}")), "{}", text);
    }
}
