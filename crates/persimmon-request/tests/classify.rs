//! Statement classification, as a snapshot of statements and their classes, and hint parsing.

use std::time::Duration;

use persimmon_request::{Hint, classify};

#[test]
fn statements_are_classified_as_the_snapshot_says() {
    // Arrange
    let statements = include_str!("statements.txt");

    // Act
    let mut out = String::new();
    for line in statements.lines() {
        let class = classify(&line.replace("\\n", "\n"));
        out.push_str(&format!("{line}\n    {class:?}\n"));
    }

    // Assert
    insta::assert_snapshot!(out);
}

#[test]
fn hint_is_parsed_and_misspelt_option_is_refused() {
    // Act
    let hint = Hint::parse("/* persimmon: kind=export, once, max_age=250ms, read */ SELECT 1");
    let misspelt = Hint::parse("/* persimmon: onec */ SELECT 1");
    let other = Hint::parse("/* something else */ SELECT 1");

    // Assert
    let hint = hint.unwrap();
    assert_eq!(hint.request_class.as_deref(), Some("export"));
    assert!(hint.once && hint.read);
    assert_eq!(hint.max_age, Some(Duration::from_millis(250)));
    assert!(misspelt.unwrap_err().to_string().contains("onec"));
    assert_eq!(other.unwrap(), Hint::default());
}
