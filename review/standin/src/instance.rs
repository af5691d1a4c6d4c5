//! A database group whose instances speak the line protocol.
//!
//! An item's name may state its work: `w1200-a` takes 1,200 ms. Other statements take 10 ms. Work
//! occupies a slot.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Slots of an instance.
const SLOTS: usize = 5;

/// Work from which on its end is recorded beside the client's answer.
const LONG_WORK_MS: u64 = 500;

/// How far replicas apply behind the primary.
const LAG: Duration = Duration::from_millis(20);

struct Commit {
    at: Instant,
    writes: Vec<(String, String)>,
}

struct Shared {
    term: u64,
    primary: usize,
    log: Vec<Commit>,
}

/// A client's statement that an instance ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// The client's id of the statement.
    pub id: String,
    /// Its text.
    pub text: String,
    /// The instance.
    pub instance: String,
    /// When it arrived, in milliseconds since the start of the record.
    pub at_ms: u64,
    /// The session values on the connection.
    pub values: BTreeMap<String, String>,
}

/// A group of instances with one log.
pub struct Group {
    /// The service's name.
    pub service: String,
    shared: Mutex<Shared>,
    runs: Mutex<Vec<Run>>,
    begun: Mutex<Vec<String>>,
    record: Record,
}

/// One instance.
pub struct Instance {
    /// Its name.
    pub id: String,
    /// Its number in the group.
    pub index: usize,
    /// Its address.
    pub address: SocketAddr,
    group: Arc<Group>,
    busy: Mutex<usize>,
    released: Condvar,
    /// The percentage of requests that it fails.
    failing: AtomicU32,
    /// The state of the generator that draws them.
    draws: Mutex<u64>,
}

impl Group {
    /// Creates a group whose first instance is the primary.
    #[must_use]
    pub fn new(service: &str, record: Record) -> Arc<Self> {
        let shared = Shared { term: 1, primary: 0, log: Vec::new() };
        let (shared, runs, begun) = (Mutex::new(shared), Mutex::default(), Mutex::default());
        Arc::new(Self { service: service.to_owned(), shared, runs, begun, record })
    }

    /// The clients' statements that its instances ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("usable").clone()
    }

    /// Whether one of its instances has received the client's statement `id`.
    #[must_use]
    pub fn has_begun(&self, id: &str) -> bool {
        self.begun.lock().expect("usable").iter().any(|begun| begun == id)
    }

    /// Makes an instance the primary of the next term, with the whole log.
    pub fn promote(&self, index: usize) {
        let mut shared = self.shared.lock().expect("usable");
        if shared.primary != index {
            shared.primary = index;
            shared.term += 1;
        }
    }

    /// The number of the primary.
    #[must_use]
    pub fn primary(&self) -> usize {
        self.shared.lock().expect("usable").primary
    }

    /// The term and the number of commits that an instance has applied.
    fn applied(&self, index: usize) -> (u64, usize) {
        let shared = self.shared.lock().expect("usable");
        let is_primary = shared.primary == index;
        let has = |c: &&Commit| is_primary || c.at.elapsed() >= LAG;
        (shared.term, shared.log.iter().take_while(has).count())
    }

    fn value(&self, index: usize, item: &str) -> String {
        let (_, applied) = self.applied(index);
        let shared = self.shared.lock().expect("usable");
        let writes = shared.log[..applied].iter().rev().flat_map(|c| c.writes.iter().rev());
        writes
            .into_iter()
            .find(|(i, _)| i == item)
            .map_or_else(|| "none".to_owned(), |(_, d)| d.clone())
    }
}

impl Instance {
    /// Starts an instance on a free port.
    #[must_use]
    pub fn start(group: &Arc<Group>, index: usize) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let instance = Arc::new(Self {
            id: format!("i-{}-{index}", group.service),
            index,
            address: listener.local_addr().expect("an address"),
            group: Arc::clone(group),
            busy: Mutex::new(0),
            released: Condvar::new(),
            failing: AtomicU32::new(0),
            draws: Mutex::new(0x9e37_79b9_7f4a_7c15),
        });
        let serving = Arc::clone(&instance);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let instance = Arc::clone(&serving);
                std::thread::spawn(move || {
                    // An I/O error only ends this session.
                    let _ = instance.serve(&stream);
                });
            }
        });
        instance
    }

    /// The entry that it writes to the store.
    #[must_use]
    pub fn entry(&self, state: &str, seq: u64) -> String {
        let role = if self.group.primary() == self.index { "primary" } else { "replica" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"kingston\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold_ms\":0,\"seq\":{seq},\"born\":1000,\"db_role\":\"{role}\"}}",
            self.group.service, self.address
        )
    }

    /// Lets the instance answer this percentage of its requests with `FAILED`; they change nothing.
    pub fn set_failing(&self, percent: u32) {
        self.failing.store(percent, Ordering::Relaxed);
    }

    fn draws_failure(&self) -> bool {
        let percent = self.failing.load(Ordering::Relaxed);
        if percent == 0 {
            return false;
        }
        let mut state = self.draws.lock().expect("usable");
        *state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*state >> 33) % 100 < u64::from(percent)
    }

    fn work(&self, item: &str) {
        let named = item.strip_prefix('w').and_then(|rest| rest.split_once('-'));
        let ms = named.and_then(|(ms, _)| ms.parse().ok()).unwrap_or(10);
        let mut busy = self.busy.lock().expect("usable");
        while *busy >= SLOTS {
            busy = self.released.wait(busy).expect("usable");
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(Duration::from_millis(ms));
        *self.busy.lock().expect("usable") -= 1;
        self.released.notify_one();
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let Some(first) = lines.next().transpose()? else {
            return Ok(());
        };
        let words: Vec<&str> = first.trim_end().split(' ').collect();
        let is_expected = words.first() == Some(&"STARTUP")
            && words.get(1) == Some(&self.group.service.as_str())
            && words.get(3).is_none_or(|id| *id == self.id);
        if !is_expected {
            return write!(out, "ERROR MISROUTED {}\r\n", self.id);
        }
        let mut session = Session {
            instance: self,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            tx: None,
            failed: false,
            runs: 0,
        };
        write!(out, "{}", session.ready())?;
        for line in lines {
            let line = line?;
            let line = line.trim_end_matches('\r');
            let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|l| l.split_once(' '))
            else {
                return Ok(());
            };
            let record = &self.group.record;
            let at_ms = record.now_ms();
            if id != "-" {
                record.line(&format!("instance {}: received QUERY {id} {text}", self.id));
                self.group.begun.lock().expect("usable").push(id.to_owned());
            }
            let result = if self.draws_failure() { Err("FAILED") } else { session.statement(text) };
            let words = text.split(' ').next().unwrap_or("");
            let is_own_refusal = id == "-" && text.contains("BEGIN") && result.is_err();
            let took = record.now_ms() - at_ms;
            if result.is_err() && !is_own_refusal || took >= LONG_WORK_MS {
                record.line(&format!("instance {}: ended QUERY {id} {text}: {result:?}", self.id));
            }
            if id != "-" && result.is_ok() && words != "COMMIT" {
                let (id, instance) = (id.to_owned(), self.id.clone());
                let (text, values) = (text.to_owned(), session.values.clone());
                let run = Run { id, text, instance, at_ms, values };
                self.group.runs.lock().expect("usable").push(run);
            }
            let mut answer = String::new();
            match result {
                Ok((row, signature)) => {
                    if let Some(row) = row {
                        answer += &format!("ROW {row}\r\n");
                    }
                    answer += &format!("COMPLETE {}\r\n", signature.as_deref().unwrap_or("-"));
                }
                Err(code) => {
                    session.failed |= session.tx.is_some();
                    answer += &format!("ERROR {code} {}\r\n", self.id);
                }
            }
            answer += &session.ready();
            out.write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

struct Tx {
    reads_only: bool,
    term: u64,
    writes: Vec<(String, String)>,
}

struct Session<'a> {
    instance: &'a Instance,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, bool>,
    tx: Option<Tx>,
    failed: bool,
    runs: u64,
}

type Outcome = Result<(Option<String>, Option<String>), &'static str>;

impl Session<'_> {
    fn ready(&self) -> String {
        let (term, applied) = self.instance.group.applied(self.instance.index);
        let state = match (&self.tx, self.failed) {
            (None, _) => "I",
            (_, true) => "E",
            _ => "T",
        };
        format!("READY {state} {term}.{applied}\r\n")
    }

    fn leads(&self) -> bool {
        let shared = self.instance.group.shared.lock().expect("usable");
        let term = shared.term;
        shared.primary == self.instance.index
            && self.tx.as_ref().is_none_or(|tx| tx.reads_only || tx.term == term)
    }

    fn signature(&mut self) -> Option<String> {
        self.runs += 1;
        Some(format!("{}.{}", self.instance.id, self.runs))
    }

    fn statement(&mut self, text: &str) -> Outcome {
        let (text, after) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((position, rest)) => (rest, Some(position)),
            None => (text, None),
        };
        let (term, applied) = self.instance.group.applied(self.instance.index);
        if let Some((t, n)) = after.and_then(|p| p.split_once('.')) {
            let (t, n): (u64, usize) = (t.parse().unwrap_or(0), n.parse().unwrap_or(0));
            if t > term || n > applied {
                return Err("LAGGING");
            }
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let rest = |n: usize| words.get(n).copied().unwrap_or("");
        if self.failed && rest(0) != "ROLLBACK" {
            return Err("MALFORMED");
        }
        // A plain transaction whose instance has lost the lead can only be ended.
        let has_lost = self.tx.as_ref().is_some_and(|tx| !tx.reads_only) && !self.leads();
        if has_lost && !matches!(rest(0), "COMMIT" | "ROLLBACK") {
            return Err("READONLY");
        }
        match rest(0) {
            "BEGIN" => {
                let reads_only = rest(1) == "READ";
                if !reads_only && !self.leads() {
                    return Err("READONLY");
                }
                self.tx = Some(Tx { reads_only, term, writes: Vec::new() });
                Ok((None, None))
            }
            "ROLLBACK" => {
                self.tx = None;
                self.failed = false;
                Ok((None, None))
            }
            "COMMIT" => self.commit(),
            "READ" => self.read(rest(1)),
            "WRITE" => self.write(rest(1), rest(2)),
            "PREPARE" => {
                self.prepared.insert(rest(1).to_owned(), rest(2).starts_with("WRITE"));
                Ok((None, None))
            }
            "EXECUTE" => match self.prepared.get(rest(1)).copied() {
                None => Err("NOSTMT"),
                Some(false) => self.read(rest(2).split(' ').next().unwrap_or("")),
                Some(true) => {
                    let (item, data) = rest(2).split_once(' ').unwrap_or((rest(2), ""));
                    self.write(item, data)
                }
            },
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Ok((None, None))
            }
            "SET" => {
                self.values.insert(rest(1).to_owned(), rest(2).to_owned());
                Ok((None, None))
            }
            "DEALLOC" => Ok((None, None)),
            "STATUS" | "PAUSE" => {
                let role = if self.leads() { "primary" } else { "replica" };
                Ok((Some(format!("{role} {term} {term}.{applied} {term} 0 0 1")), None))
            }
            _ => Err("MALFORMED"),
        }
    }

    fn read(&mut self, item: &str) -> Outcome {
        self.instance.work(item);
        let value = self.instance.group.value(self.instance.index, item);
        Ok((Some(value), self.signature()))
    }

    fn write(&mut self, item: &str, data: &str) -> Outcome {
        if !self.leads() || self.tx.as_ref().is_some_and(|tx| tx.reads_only) {
            return Err("READONLY");
        }
        self.instance.work(item);
        let write = (item.to_owned(), data.to_owned());
        match &mut self.tx {
            Some(tx) => tx.writes.push(write),
            None => self.append(vec![write]),
        }
        Ok((None, self.signature()))
    }

    fn append(&self, writes: Vec<(String, String)>) {
        let mut shared = self.instance.group.shared.lock().expect("usable");
        shared.log.push(Commit { at: Instant::now(), writes });
    }

    fn commit(&mut self) -> Outcome {
        let leads = self.leads();
        let Some(tx) = self.tx.take() else {
            return Err("MALFORMED");
        };
        if !tx.writes.is_empty() {
            if !leads {
                return Err("READONLY");
            }
            self.instance.work("");
            self.append(tx.writes);
        }
        Ok((None, self.signature()))
    }
}
