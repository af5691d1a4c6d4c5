//! Plays one case: `review-standin-2 CASE FOLDER RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod cloud;
mod daemon;
mod group;
mod http;
mod instance;
mod quota_cases;
mod record;
mod store;
mod sync_cases;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("the record cannot be written: {err}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let folder = PathBuf::from(folder);
    let broken = match case.as_str() {
        "replacement" => sync_cases::replacement(&folder, &record, has_trouble),
        "paused" => sync_cases::paused(&folder, &record, has_trouble),
        "replaced-machines" => quota_cases::replaced_machines(&folder, &record, has_trouble),
        "late-order" => sync_cases::late_order(&folder, &record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match broken {
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN {line}"));
                println!("BROKEN {line}");
            }
            println!("{case}: {} times broken", broken.len());
            ExitCode::from(u8::from(!broken.is_empty()))
        }
        Err(err) => {
            record.line(&format!("the case could not run: {err}"));
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
