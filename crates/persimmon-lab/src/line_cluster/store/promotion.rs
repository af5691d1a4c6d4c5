//! The promotion API.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::Deserialize;

use crate::line_cluster::store::Store;

/// Promotion requests that get no response and are carried out later.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatePromotions {
    /// How many of the next requests are late.
    count: usize,
    delay: Duration,
}

#[derive(Deserialize)]
pub(super) struct PromotionRequest {
    service: String,
    id: String,
}

impl Store {
    /// Lets the next `count` promotion requests get no response and be carried out after `delay`.
    pub fn delay_promotions(&self, count: usize, delay: Duration) {
        self.lock().late_promotions = LatePromotions { count, delay };
    }

    /// The instances that the promotion requests received so far name, in order.
    #[must_use]
    pub fn requested_promotions(&self) -> Vec<String> {
        self.lock().requested_promotions.clone()
    }

    async fn promote(
        &self,
        req: PromotionRequest,
        coordinator: String,
        fencing_token: u64,
    ) -> HttpResponse {
        let (faults, delay) = {
            let mut state = self.lock();
            state.calls += 1;
            state.requested_promotions.push(req.id.clone());
            let late = &mut state.late_promotions;
            let delay = (late.count > 0).then_some(late.delay);
            late.count = late.count.saturating_sub(1);
            (state.faults, delay)
        };
        if faults.is_promotion_unavailable {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if let Some(delay) = delay {
            // The caller may give up before the request is carried out.
            let store = self.clone();
            ntex::rt::spawn(async move {
                tokio::time::sleep(delay).await;
                store.carry_out(&req, coordinator, fencing_token);
            });
            std::future::pending::<()>().await;
            return HttpResponse::new(StatusCode::OK);
        }
        let status = self.carry_out(&req, coordinator, fencing_token);
        if faults.loses_promotion_responses && status.is_success() {
            std::future::pending::<()>().await;
        }
        HttpResponse::new(status)
    }

    /// Carries out a promotion request whose fencing token is not too low.
    fn carry_out(
        &self,
        req: &PromotionRequest,
        coordinator: String,
        fencing_token: u64,
    ) -> StatusCode {
        let mut state = self.lock();
        let (last_token, last_coordinator) =
            state.fencing_tokens.get(&req.service).cloned().unwrap_or((0, coordinator.clone()));
        if fencing_token < last_token {
            return StatusCode::CONFLICT;
        }
        if fencing_token == last_token && last_coordinator != coordinator {
            let violation =
                format!("{last_coordinator} and {coordinator} share fencing token {fencing_token}");
            state.violations.push(violation);
        }
        state.fencing_tokens.insert(req.service.clone(), (fencing_token, coordinator));
        let group = state.groups.iter().find(|g| g.name == req.service).cloned();
        let instance = req.id.rsplit('-').next().and_then(|n| n.parse().ok());
        let (Some(group), Some(instance)) = (group, instance) else {
            return StatusCode::NOT_FOUND;
        };
        if !group.schedule_promotion(instance) {
            return StatusCode::CONFLICT;
        }
        StatusCode::OK
    }
}

/// Requests a promotion.
#[web::post("/promote")]
pub(super) async fn promote(
    store: web::types::State<Store>,
    req: HttpRequest,
    promotion: web::types::Json<PromotionRequest>,
) -> HttpResponse {
    let header = |name: &str| {
        req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let fencing_token = header("Fence-Token").parse().unwrap_or(0);
    store.promote(promotion.into_inner(), header("Duty-Holder"), fencing_token).await
}
