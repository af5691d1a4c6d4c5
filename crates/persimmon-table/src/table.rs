//! The validated table and its parser.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::{FailureDomainId, InstanceId, RequestClassId, ServiceId};

use crate::cell::RowReader;
use crate::check::{Problem, Problems};
use crate::rows::{
    FailureDomainRow, InstanceRow, InstanceState, RequestClassRow, RequestLength, ServiceRow,
};

/// The request class of statements that name none; required in every table.
const DEFAULT_CLASS: &str = "default";

/// The sections, ordered so that rows refer only to rows of earlier sections.
const SECTIONS: [&str; 4] = ["place", "service", "instance", "kind"];

const FAILURE_DOMAIN_COLUMNS: &[&str] = &["name", "region"];
const SERVICE_COLUMNS: &[&str] = &["name", "replica_reads", "staleness_ms", "queue", "daemons"];
const INSTANCE_COLUMNS: &[&str] =
    &["name", "service", "place", "address", "read_weight", "connections", "slots", "state"];
const REQUEST_CLASS_COLUMNS: &[&str] = &["name", "length", "wait_ms", "deadline_ms"];

/// A validated table: every row passed every check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The failure domains.
    pub failure_domains: Vec<FailureDomainRow>,
    /// The services.
    pub services: Vec<ServiceRow>,
    /// The backend servers.
    pub instances: Vec<InstanceRow>,
    /// The request classes.
    pub request_classes: Vec<RequestClassRow>,
    /// Row indices by section and name, so that a large table is parsed in linear time.
    row_indices: HashMap<(&'static str, Arc<str>), usize>,
    instances_by_service: Vec<Vec<InstanceId>>,
    default_class_index: usize,
}

/// An unparsed row of the file, with the columns of its section.
struct RawRow {
    line: usize,
    section: String,
    columns: Arc<Vec<String>>,
    cells: Vec<String>,
}

impl Table {
    /// Parses and validates the text of a table.
    ///
    /// # Errors
    ///
    /// Returns all problems found; a table with any problem is rejected as a whole.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let mut problems = Vec::new();
        let raw = split_rows(text, &mut problems);
        let mut table = Self::default();
        for section in SECTIONS {
            for row in raw.iter().filter(|row| row.section == section) {
                table.read_row(row, &mut problems);
            }
        }
        check_consistency(&table, &mut problems);
        if !problems.is_empty() {
            problems.sort_by_key(|p| p.row);
            return Err(Problems(problems));
        }
        table.build_indices();
        Ok(table)
    }

    fn read_row(&mut self, raw: &RawRow, problems: &mut Vec<Problem>) {
        let mut row =
            RowReader { line: raw.line, columns: &raw.columns, cells: &raw.cells, problems };
        let name = row.name("name");
        let section = section_named(&raw.section);
        let index = self.row_count(section);
        if self.row_indices.insert((section, Arc::clone(&name)), index).is_some() {
            row.add_problem("name", "a name that is unique in its section");
        }
        match section {
            "place" => {
                self.failure_domains.push(FailureDomainRow { name, region: row.name("region") });
            }
            "service" => self.services.push(read_service(name, &mut row)),
            "instance" => {
                let instance = self.read_instance(name, &mut row);
                self.instances.push(instance);
            }
            _ => self.request_classes.push(read_request_class(name, &mut row)),
        }
    }

    fn read_instance(&self, name: Arc<str>, row: &mut RowReader<'_>) -> InstanceRow {
        let service = self.service(&row.text("service"));
        if service.is_none() {
            row.add_problem("service", "the name of a row of section `service`");
        }
        let domain_name = row.text("place");
        let failure_domain = self.row_index("place", &domain_name);
        if failure_domain.is_none() {
            row.add_problem("place", "the name of a row of section `place`");
        }
        InstanceRow {
            name,
            service: service.unwrap_or(ServiceId::new(0)),
            failure_domain: FailureDomainId::new(failure_domain.unwrap_or(0)),
            address: row.address("address"),
            read_weight: row.number("read_weight", 0..=1_000),
            max_connections: row.number("connections", 1..=100_000),
            slots: row.number("slots", 1..=10_000),
            state: row.choice(
                "state",
                &[("serving", InstanceState::Serving), ("leaving", InstanceState::Draining)],
            ),
        }
    }

    fn row_count(&self, section: &str) -> usize {
        match section {
            "place" => self.failure_domains.len(),
            "service" => self.services.len(),
            "instance" => self.instances.len(),
            _ => self.request_classes.len(),
        }
    }

    fn row_index(&self, section: &'static str, name: &str) -> Option<usize> {
        self.row_indices.get(&(section, Arc::from(name))).copied()
    }

    fn build_indices(&mut self) {
        self.instances_by_service = vec![Vec::new(); self.services.len()];
        for (index, instance) in self.instances.iter().enumerate() {
            self.instances_by_service[instance.service.index()].push(InstanceId::new(index));
        }
        self.default_class_index = self.row_index("kind", DEFAULT_CLASS).unwrap_or_default();
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.row_index("service", name).map(ServiceId::new)
    }

    /// Returns the instance called `name`.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<InstanceId> {
        self.row_index("instance", name).map(InstanceId::new)
    }

    /// Returns the instances of a service.
    #[must_use]
    pub fn instances_of(&self, service: ServiceId) -> &[InstanceId] {
        self.instances_by_service.get(service.index()).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of instances that form a majority of a service.
    #[must_use]
    pub fn majority(&self, service: ServiceId) -> usize {
        self.instances_of(service).len() / 2 + 1
    }

    /// Returns the row of an instance.
    #[must_use]
    pub fn instance_row(&self, id: InstanceId) -> &InstanceRow {
        &self.instances[id.index()]
    }

    /// Returns the row of a service.
    #[must_use]
    pub fn service_row(&self, id: ServiceId) -> &ServiceRow {
        &self.services[id.index()]
    }

    /// Returns the row of a request class.
    #[must_use]
    pub fn request_class_row(&self, id: RequestClassId) -> &RequestClassRow {
        &self.request_classes[id.index()]
    }

    /// Returns the request class called `name`, or the default class if there is none.
    #[must_use]
    pub fn request_class(&self, name: &str) -> RequestClassId {
        RequestClassId::new(self.row_index("kind", name).unwrap_or(self.default_class_index))
    }
}

fn read_service(name: Arc<str>, row: &mut RowReader<'_>) -> ServiceRow {
    ServiceRow {
        name,
        replica_reads: row.flag("replica_reads"),
        max_staleness: row.millis("staleness_ms", 0..=3_600_000),
        max_queued: row.number("queue", 1..=1_000_000) as usize,
        expected_daemons: row.number("daemons", 1..=10_000),
    }
}

fn read_request_class(name: Arc<str>, row: &mut RowReader<'_>) -> RequestClassRow {
    let max_wait = row.millis("wait_ms", 1..=600_000);
    let deadline = row.millis("deadline_ms", 1..=86_400_000);
    if deadline < max_wait {
        row.add_problem("deadline_ms", "at least wait_ms");
    }
    RequestClassRow {
        name,
        length: row
            .choice("length", &[("short", RequestLength::Short), ("long", RequestLength::Long)]),
        max_wait,
        deadline: deadline.max(Duration::from_millis(1)),
    }
}

fn check_consistency(table: &Table, problems: &mut Vec<Problem>) {
    if table.row_index("kind", DEFAULT_CLASS).is_none() {
        problems.push(Problem::new(1, "name", "", "a row `kind,default`"));
    }
    let services_with_instances: HashSet<ServiceId> =
        table.instances.iter().map(|i| i.service).collect();
    for (index, service) in table.services.iter().enumerate() {
        if !services_with_instances.contains(&ServiceId::new(index)) {
            let allowed = "a service with at least one row in section `instance`";
            problems.push(Problem::new(1, "name", &service.name, allowed));
        }
    }
}

fn section_named(name: &str) -> &'static str {
    SECTIONS.into_iter().find(|section| *section == name).unwrap_or("kind")
}

fn columns_of(section: &str) -> &'static [&'static str] {
    match section {
        "place" => FAILURE_DOMAIN_COLUMNS,
        "service" => SERVICE_COLUMNS,
        "instance" => INSTANCE_COLUMNS,
        "kind" => REQUEST_CLASS_COLUMNS,
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
