//! The platform's API for promotions.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::Value;

use crate::group::Group;
use crate::http::{Response, serve};
use crate::record::Record;

/// Orders that get no answer and are carried out later.
#[derive(Clone, Copy, Default)]
pub struct LateOrders {
    /// How many of the next orders are late.
    pub count: u32,
    /// How much later they are carried out.
    pub by: Duration,
}

pub struct Cloud {
    late: Mutex<LateOrders>,
    /// Whether every call is refused with status 503, which says that nothing was done.
    is_down: AtomicBool,
    orders: Mutex<Vec<(String, String)>>,
}

impl Cloud {
    pub fn set_late(&self, late: LateOrders) {
        *self.late.lock().unwrap_or_else(PoisonError::into_inner) = late;
    }

    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// The fencing token and the instance of each order so far.
    pub fn orders(&self) -> Vec<(String, String)> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn start(group: Arc<Group>, record: Arc<Record>) -> io::Result<(Arc<Self>, SocketAddr)> {
        let cloud = Arc::new(Self {
            late: Mutex::default(),
            is_down: AtomicBool::new(false),
            orders: Mutex::default(),
        });
        let serving = Arc::clone(&cloud);
        let address = serve(Arc::new(move |request| {
            if request.method != "POST" || request.path != "/promote" {
                return Some(Response { status: 404, body: "null".to_owned() });
            }
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let instance = body["id"].as_str().unwrap_or_default().to_owned();
            let token: u64 = request.header("Fence-Token").parse().unwrap_or(0);
            let holder = request.header("Duty-Holder").to_owned();
            let text = format!("order to promote {instance} by {holder}, fencing token {token}");
            if serving.is_down.load(Ordering::Relaxed) {
                record.line(&format!("{text}: 503, nothing is done"));
                return Some(Response { status: 503, body: "null".to_owned() });
            }
            serving
                .orders
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push((token.to_string(), instance.clone()));
            let late = {
                let mut late = serving.late.lock().unwrap_or_else(PoisonError::into_inner);
                let is_late = late.count > 0;
                late.count = late.count.saturating_sub(1);
                is_late.then_some(late.by)
            };
            let Some(by) = late else {
                let status = group.promote(&instance, token);
                record.line(&format!("{text}: answered {status}"));
                return Some(Response { status, body: "{}".to_owned() });
            };
            record.line(&format!("{text}: gets no answer"));
            let (group, record) = (Arc::clone(&group), Arc::clone(&record));
            let carrying_out = std::thread::spawn(move || {
                std::thread::sleep(by);
                let status = group.promote(&instance, token);
                record.line(&format!("{text}, carried out late: {status}"));
            });
            // The connection stays open without an answer meanwhile.
            let _ = carrying_out.join();
            None
        }))?;
        Ok((cloud, address))
    }
}
