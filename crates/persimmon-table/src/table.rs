//! The checked table and its parser.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::{InstanceId, KindId, PlaceId, ServiceId};

use crate::cell::RowReader;
use crate::check::{Problem, Problems};
use crate::rows::{InstanceRow, InstanceState, KindRow, Length, PlaceRow, ServiceRow};

/// The kind of statements that name none; every table has it.
const DEFAULT_KIND: &str = "default";

/// The sections in the order in which they refer to each other.
const SECTIONS: [&str; 4] = ["place", "service", "instance", "kind"];

const PLACE_COLUMNS: &[&str] = &["name", "region"];
const SERVICE_COLUMNS: &[&str] = &["name", "replica_reads", "staleness_ms", "queue", "daemons"];
const INSTANCE_COLUMNS: &[&str] =
    &["name", "service", "place", "address", "read_weight", "connections", "slots", "state"];
const KIND_COLUMNS: &[&str] = &["name", "length", "wait_ms", "deadline_ms"];

/// A table in which every row passed every check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The failure domains.
    pub places: Vec<PlaceRow>,
    /// The services.
    pub services: Vec<ServiceRow>,
    /// The backend servers.
    pub instances: Vec<InstanceRow>,
    /// The kinds of work.
    pub kinds: Vec<KindRow>,
    /// Names of rows by section, so that a table of many rows is read in linear time.
    index: HashMap<(&'static str, Arc<str>), usize>,
    members: Vec<Vec<InstanceId>>,
    default_kind: usize,
}

/// One row of the file with its section's columns.
struct RawRow {
    line: usize,
    section: String,
    columns: Arc<Vec<String>>,
    cells: Vec<String>,
}

impl Table {
    /// Parses and checks the text of a table.
    ///
    /// # Errors
    ///
    /// Returns every problem found; a table with any problem is refused whole.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let mut problems = Vec::new();
        let raw = split_rows(text, &mut problems);
        let mut table = Self::default();
        for section in SECTIONS {
            for row in raw.iter().filter(|row| row.section == section) {
                table.read_row(row, &mut problems);
            }
        }
        check_whole(&table, &mut problems);
        if !problems.is_empty() {
            problems.sort_by_key(|p| p.row);
            return Err(Problems(problems));
        }
        table.index_members();
        Ok(table)
    }

    fn read_row(&mut self, raw: &RawRow, problems: &mut Vec<Problem>) {
        let mut row =
            RowReader { line: raw.line, columns: &raw.columns, cells: &raw.cells, problems };
        let name = row.name("name");
        let section = section_of(&raw.section);
        let next = self.count(section);
        if self.index.insert((section, Arc::clone(&name)), next).is_some() {
            row.problem("name", "a name that stands once in its section");
        }
        match section {
            "place" => self.places.push(PlaceRow { name, region: row.name("region") }),
            "service" => self.services.push(read_service(name, &mut row)),
            "instance" => {
                let instance = self.read_instance(name, &mut row);
                self.instances.push(instance);
            }
            _ => self.kinds.push(read_kind(name, &mut row)),
        }
    }

    fn read_instance(&self, name: Arc<str>, row: &mut RowReader<'_>) -> InstanceRow {
        let service = self.service(&row.text("service"));
        if service.is_none() {
            row.problem("service", "the name of a row of section `service`");
        }
        let place_name = row.text("place");
        let place = self.find("place", &place_name);
        if place.is_none() {
            row.problem("place", "the name of a row of section `place`");
        }
        InstanceRow {
            name,
            service: service.unwrap_or(ServiceId::new(0)),
            place: PlaceId::new(place.unwrap_or(0)),
            address: row.address("address"),
            read_weight: row.number("read_weight", 0..=1_000),
            connections: row.number("connections", 1..=100_000),
            slots: row.number("slots", 1..=10_000),
            state: row.choice(
                "state",
                &[("serving", InstanceState::Serving), ("leaving", InstanceState::Leaving)],
            ),
        }
    }

    fn count(&self, section: &str) -> usize {
        match section {
            "place" => self.places.len(),
            "service" => self.services.len(),
            "instance" => self.instances.len(),
            _ => self.kinds.len(),
        }
    }

    fn find(&self, section: &'static str, name: &str) -> Option<usize> {
        self.index.get(&(section, Arc::from(name))).copied()
    }

    fn index_members(&mut self) {
        self.members = vec![Vec::new(); self.services.len()];
        for (index, instance) in self.instances.iter().enumerate() {
            self.members[instance.service.index()].push(InstanceId::new(index));
        }
        self.default_kind = self.find("kind", DEFAULT_KIND).unwrap_or_default();
    }

    /// The service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.find("service", name).map(ServiceId::new)
    }

    /// The instance with a name.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<InstanceId> {
        self.find("instance", name).map(InstanceId::new)
    }

    /// The instances of a service.
    #[must_use]
    pub fn members(&self, service: ServiceId) -> &[InstanceId] {
        self.members.get(service.index()).map_or(&[], Vec::as_slice)
    }

    /// How many instances of a service are a majority.
    #[must_use]
    pub fn majority(&self, service: ServiceId) -> usize {
        self.members(service).len() / 2 + 1
    }

    /// The row of an instance.
    #[must_use]
    pub fn instance_row(&self, id: InstanceId) -> &InstanceRow {
        &self.instances[id.index()]
    }

    /// The row of a service.
    #[must_use]
    pub fn service_row(&self, id: ServiceId) -> &ServiceRow {
        &self.services[id.index()]
    }

    /// The row of a kind.
    #[must_use]
    pub fn kind_row(&self, id: KindId) -> &KindRow {
        &self.kinds[id.index()]
    }

    /// The kind with a name, or the default kind.
    #[must_use]
    pub fn kind(&self, name: &str) -> KindId {
        KindId::new(self.find("kind", name).unwrap_or(self.default_kind))
    }
}

fn read_service(name: Arc<str>, row: &mut RowReader<'_>) -> ServiceRow {
    ServiceRow {
        name,
        replica_reads: row.flag("replica_reads"),
        staleness: row.millis("staleness_ms", 0..=3_600_000),
        queue: row.number("queue", 1..=1_000_000) as usize,
        daemons: row.number("daemons", 1..=10_000),
    }
}

fn read_kind(name: Arc<str>, row: &mut RowReader<'_>) -> KindRow {
    let wait = row.millis("wait_ms", 1..=600_000);
    let deadline = row.millis("deadline_ms", 1..=86_400_000);
    if deadline < wait {
        row.problem("deadline_ms", "at least wait_ms");
    }
    KindRow {
        name,
        length: row.choice("length", &[("short", Length::Short), ("long", Length::Long)]),
        wait,
        deadline: deadline.max(Duration::from_millis(1)),
    }
}

fn check_whole(table: &Table, problems: &mut Vec<Problem>) {
    if table.find("kind", DEFAULT_KIND).is_none() {
        problems.push(Problem::new(1, "name", "", "a row `kind,default`"));
    }
    let served: HashSet<ServiceId> = table.instances.iter().map(|i| i.service).collect();
    for (index, service) in table.services.iter().enumerate() {
        if !served.contains(&ServiceId::new(index)) {
            let allowed = "a service that at least one row of section `instance` names";
            problems.push(Problem::new(1, "name", &service.name, allowed));
        }
    }
}

fn section_of(name: &str) -> &'static str {
    SECTIONS.into_iter().find(|section| *section == name).unwrap_or("kind")
}

fn columns_of(section: &str) -> &'static [&'static str] {
    match section {
        "place" => PLACE_COLUMNS,
        "service" => SERVICE_COLUMNS,
        "instance" => INSTANCE_COLUMNS,
        "kind" => KIND_COLUMNS,
        _ => &[],
    }
}

fn split_rows(text: &str, problems: &mut Vec<Problem>) -> Vec<RawRow> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut headers: BTreeMap<String, Arc<Vec<String>>> = BTreeMap::new();
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(err) => {
                problems.push(Problem::new(1, "file", &err.to_string(), "a CSV file in UTF-8"));
                return rows;
            }
        };
        let line = record.position().map_or(1, |p| usize::try_from(p.line()).unwrap_or(1));
        let mut cells: Vec<String> = record.iter().map(str::to_owned).collect();
        let first = cells.remove(0);
        if first.is_empty() && cells.iter().all(String::is_empty) {
            continue;
        }
        let header = first.strip_prefix('[').and_then(|s| s.strip_suffix(']'));
        if let Some(section) = header {
            check_header(line, section, &cells, problems);
            headers.insert(section.to_owned(), Arc::new(cells));
            continue;
        }
        let Some(columns) = headers.get(&first) else {
            let allowed = "place, service, instance or kind, below its header such as [kind]";
            problems.push(Problem::new(line, "section", &first, allowed));
            continue;
        };
        if let Some(extra) = cells.iter().skip(columns.len()).find(|cell| !cell.is_empty()) {
            problems.push(Problem::new(line, "section", extra, "no cell beyond the header's"));
        }
        rows.push(RawRow { line, section: first, columns: Arc::clone(columns), cells });
    }
    rows
}

fn check_header(line: usize, section: &str, cells: &[String], problems: &mut Vec<Problem>) {
    let known = columns_of(section);
    if known.is_empty() {
        let allowed = "[place], [service], [instance] or [kind]";
        problems.push(Problem::new(line, "section", section, allowed));
        return;
    }
    for cell in cells.iter().filter(|cell| !cell.is_empty()) {
        if !known.contains(&cell.as_str()) {
            problems.push(Problem::new(line, "header", cell, &known.join(", ")));
        }
    }
    for column in known {
        if !cells.iter().any(|cell| cell == column) {
            problems.push(Problem::new(line, "header", "", &format!("a column `{column}`")));
        }
    }
}
