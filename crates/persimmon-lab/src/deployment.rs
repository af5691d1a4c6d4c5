//! The users' two deployments, reduced to what the fakes need.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// A deployment of the users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Blue Mahoe Gilding Franchise Office, jm-south.
    BlueMahoe,
    /// The Hokkaido Dowel and Peg Makers' Association.
    Association,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "blue-mahoe" => Ok(Self::BlueMahoe),
            "association" => Ok(Self::Association),
            _ => Err(format!("`{text}` is neither blue-mahoe nor association")),
        }
    }
}

impl Deployment {
    /// The names of the failure domains.
    #[must_use]
    pub fn failure_domains(self) -> [&'static str; 3] {
        match self {
            Self::BlueMahoe => ["kingston", "spanish-town", "may-pen"],
            Self::Association => ["asahikawa", "obihiro", "sapporo"],
        }
    }

    /// The region of the failure domains.
    #[must_use]
    pub fn region(self) -> &'static str {
        match self {
            Self::BlueMahoe => "jm-south",
            Self::Association => "hokkaido",
        }
    }

    /// The names of the services.
    #[must_use]
    pub fn services(self) -> [&'static str; 3] {
        match self {
            Self::BlueMahoe => ["bookings", "gold-leaf", "dispatch"],
            Self::Association => ["orders", "stock", "catalogue"],
        }
    }

    /// Maximum number of connections that an instance accepts.
    #[must_use]
    pub fn connections(self) -> usize {
        match self {
            Self::BlueMahoe => 70,
            Self::Association => 140,
        }
    }

    /// Maximum number of statements that an instance executes concurrently.
    #[must_use]
    pub fn slots(self) -> usize {
        5
    }

    /// The time to open a connection to an instance.
    #[must_use]
    pub fn connect_delay(self) -> Duration {
        match self {
            Self::BlueMahoe => Duration::from_millis(10),
            Self::Association => Duration::from_millis(30),
        }
    }

    /// The operators' table for the given instances, each as service, name and address.
    #[must_use]
    pub fn table(self, daemons: usize, instances: &[(String, String, SocketAddr)]) -> String {
        let mut out = String::from("[place],name,region\n");
        for failure_domain in self.failure_domains() {
            let _ = writeln!(out, "place,{failure_domain},{}", self.region());
        }
        out.push_str("[service],name,replica_reads,staleness_ms,queue,daemons\n");
        for service in self.services() {
            if instances.iter().any(|(of, _, _)| of == service) {
                let _ = writeln!(out, "service,{service},yes,10000,1000,{daemons}");
            }
        }
        out.push_str("[instance],name,service,place,address,read_weight,connections,slots,state\n");
        for (index, (service, name, address)) in instances.iter().enumerate() {
            let failure_domain = self.failure_domains()[index % 3];
            let (connections, slots) = (self.connections(), self.slots());
            let _ = writeln!(
                out,
                "instance,{name},{service},{failure_domain},{address},100,\
                 {connections},{slots},serving"
            );
        }
        out.push_str("[kind],name,length,wait_ms,deadline_ms\n");
        out.push_str("kind,default,short,10000,30000\n");
        out.push_str("kind,booking,short,2000,10000\n");
        out.push_str("kind,export,long,30000,120000\n");
        out
    }
}
