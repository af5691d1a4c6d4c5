//! Parsing, validation and comparison of tables, including the example tables.

use persimmon_table::{RowChange, Table, diff};

const GOOD: &str = "\
[place],name,region
place,kingston,jm-south
[service],name,replica_reads,staleness_ms,queue,daemons
service,bookings,yes,10000,1000,21
[instance],name,service,place,address,read_weight,connections,slots,state
instance,bookings-1,bookings,kingston,192.0.2.10:5432,100,70,5,serving
[kind],name,length,wait_ms,deadline_ms
kind,default,short,2000,30000
";

#[test]
fn the_example_tables_are_valid() {
    for text in [
        include_str!("../../../examples/blue-mahoe/table.csv"),
        include_str!("../../../examples/association/table.csv"),
    ] {
        let table = Table::parse(text).unwrap();
        assert_eq!((table.services.len(), table.instances.len()), (3, 9));
    }
}

#[test]
fn every_problem_is_named_at_once() {
    // Arrange
    let bad = GOOD
        .replace("jm-south", "JM South")
        .replace("yes,10000", "maybe,-1")
        .replace("bookings-1,bookings,kingston", "bookings-1,nowhere,atlantis")
        .replace("192.0.2.10:5432", "db1.example:5432")
        .replace("2000,30000", "2000,1000")
        + "kind,default,short,1,1\nkind,extra,short,1,1,beyond\nqueue,x\n[colour],name\n";

    // Act
    let problems = Table::parse(&bad).unwrap_err();

    // Assert
    insta::assert_snapshot!(problems.to_string());
}

#[test]
fn rows_are_looked_up_by_name_and_tables_compared_by_row() {
    // Arrange
    let table = Table::parse(GOOD).unwrap();
    let after = GOOD.replace("serving", "leaving") + ",,,\n";

    // Act
    let changes = diff(GOOD, &after);

    // Assert
    let service = table.service("bookings").unwrap();
    assert_eq!(table.instances_of(service), [table.instance("bookings-1").unwrap()]);
    assert_eq!(table.majority(service), 1);
    assert!(table.service("nowhere").is_none());
    assert_eq!(changes.len(), 2);
    assert!(matches!(&changes[1], RowChange::Added(row) if row.ends_with("leaving")));
}
