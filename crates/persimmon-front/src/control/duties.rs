//! Runs the duty of each service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_lead::{Action, Asked, Duty, DutyRecord, Input, Sight};
use persimmon_ports::{Kind, Object, PromoteError, PromotionOrder, Role, StoreError};
use persimmon_types::{Clock, Term};
use rand::Rng;
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::control::Control;
use crate::control::inquiry::Links;
use crate::control::peers;
use crate::metrics::Metrics;
use crate::traffic::Suspicion;
use crate::view::Listed;

/// How often duties see that time has passed.
const TICK: Duration = Duration::from_millis(100);

/// The longest time by which daemons without the duty differ in claiming it.
const STAGGER: Duration = Duration::from_millis(1_500);

/// How long another daemon's order is left to take effect before the duty is claimed from it.
const ORDER_GRACE_MS: u64 = 2_500;

/// How long a seed waits before it claims a duty that nobody holds, so that it has been asked first.
const FIRST_CLAIM: Duration = Duration::from_millis(800);

struct Running {
    duty: RefCell<Duty>,
    links: Links,
    service: Arc<str>,
}

/// Runs all duties until the process ends.
pub(crate) async fn run(control: Rc<Control>, mut suspicions: mpsc::Receiver<Suspicion>) {
    let mut running: HashMap<Arc<str>, Rc<Running>> = HashMap::new();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            suspicion = suspicions.recv() => {
                let Some(Suspicion { service, instance }) = suspicion else {
                    return;
                };
                if let Some(running) = running.get(&service) {
                    feed(&control, running, Input::Suspected(instance));
                }
            }
            _ = ticks.tick() => {
                tick(&control, &mut running);
            }
        }
    }
}

fn tick(control: &Rc<Control>, running: &mut HashMap<Arc<str>, Rc<Running>>) {
    let now = Clock.now();
    if control.directory.borrow_mut().tick(now, control.is_store_reachable()) {
        control.publish();
    }
    let view = control.view();
    let Some(table) = &view.table else {
        return;
    };
    let mut names: Vec<_> = table.services.keys().cloned().collect();
    names.sort();
    for (index, name) in names.iter().enumerate() {
        if view.instances(name).is_empty() {
            continue;
        }
        let entry = running.entry(Arc::clone(name)).or_insert_with(|| {
            let running = Rc::new(Running {
                duty: RefCell::new(new_duty(control)),
                links: Links::default(),
                service: Arc::clone(name),
            });
            claim_first(control, &running, index);
            running
        });
        let is_synchronous = table.services.get(name).is_some_and(|s| s.is_synchronous);
        entry.duty.borrow_mut().set_synchronous(is_synchronous);
        if entry.duty.borrow().is_calm() {
            entry.links.clear();
        }
        feed(control, entry, Input::Tick);
    }
}

fn new_duty(control: &Control) -> Duty {
    let stagger = STAGGER.mul_f64(rand::rng().random_range(0.0..1.0));
    Duty::new(stagger).with_lease(control.settings.lease)
}

/// Lets one seed hold each duty before it is needed, so that a primary can be replaced while the
/// store is away.
fn claim_first(control: &Rc<Control>, running: &Rc<Running>, index: usize) {
    let seeds = &control.settings.seeds;
    if seeds.is_empty() || seeds[index % seeds.len()] != control.settings.peers {
        return;
    }
    let (control, running) = (Rc::clone(control), Rc::clone(running));
    ntex::rt::spawn(async move {
        tokio::time::sleep(FIRST_CLAIM).await;
        let input = claim(&control, &running.service).await;
        feed(&control, &running, input);
    });
}

fn sight(control: &Control, service: &str) -> Sight {
    let view = control.view();
    let Some(primary) = view.self_declared_primary(service) else {
        return Sight::default();
    };
    let id = &primary.instance.id;
    Sight {
        primary: Some(Arc::clone(id)),
        is_draining: primary.instance.is_draining,
        missing_for: primary.missing_for,
    }
}

fn feed(control: &Rc<Control>, running: &Rc<Running>, input: Input) {
    let service = &running.service;
    let sight = sight(control, service);
    let mut actions = Vec::new();
    let (before, after) = {
        let mut duty = running.duty.borrow_mut();
        let before = duty.state_name();
        duty.handle(Clock.now(), &sight, input.clone(), &mut actions);
        (before, duty.state_name())
    };
    if before != after {
        tracing::info!(%service, before, after, primary = sight.primary.as_deref(),
            draining = sight.is_draining, missing = ?sight.missing_for,
            because = ?input, "a duty changed its state");
    }
    for action in actions {
        let (control, running) = (Rc::clone(control), Rc::clone(running));
        ntex::rt::spawn(async move {
            let input = carry_out(&control, &running, action).await;
            feed(&control, &running, input);
        });
    }
}

async fn carry_out(control: &Rc<Control>, running: &Rc<Running>, action: Action) -> Input {
    let view = control.view();
    let listed = view.instances(&running.service);
    match action {
        Action::Probe => Input::Probed(running.links.probe(control, listed).await),
        Action::Canvass => {
            let Some(primary) = sight(control, &running.service).primary else {
                return Input::Canvassed { failing: 0, answered: 0 };
            };
            let (failing, answered) = peers::canvass(control, &primary).await;
            tracing::info!(service = %running.service, %primary, failing, answered,
                "peers were asked whether the primary answers them");
            Input::Canvassed { failing, answered }
        }
        Action::Ask => Input::Asked(ask(control, running).await),
        Action::Claim => claim(control, &running.service).await,
        Action::Order { candidate, token } => order(control, running, candidate, token).await,
    }
}

fn parse(object: &Object) -> Option<DutyRecord> {
    DutyRecord::deserialize(&object.value)
        .inspect_err(|err| tracing::warn!(name = %object.name, error = %err, "a bad duty record"))
        .ok()
}

/// Claims the duty of a service by a conditional write.
async fn claim(control: &Control, service: &Arc<str>) -> Input {
    let store = &control.platform.store;
    let read = store.read(Kind::Duties, Arc::clone(service)).await;
    control.note_store("read", read.as_ref().err());
    let object = match read {
        Ok(object) => object,
        Err(err) => {
            tracing::info!(%service, error = %err, "a duty could not be read");
            return Input::NotClaimed;
        }
    };
    let before = object.as_ref().and_then(parse);
    let now = Clock.wall_ms();
    if let Some(before) = &before
        && before.incarnation != control.incarnation
        && now.abs_diff(before.ordered_ms) < ORDER_GRACE_MS
    {
        tracing::info!(%service, holder = %before.holder, token = before.token,
            "another daemon is acting");
        return Input::NotClaimed;
    }
    let name = &control.settings.name;
    let record = DutyRecord::claimed(before.as_ref(), name, control.incarnation, now);
    let token = record.token;
    let Ok(value) = serde_json::to_value(&record) else {
        return Input::NotClaimed;
    };
    let expect = object.map(|o| o.revision);
    let written = store.write(Kind::Duties, Arc::clone(service), expect, value).await;
    control.note_store("write", written.as_ref().err().filter(|e| is_outage(e)));
    match written {
        Ok(_) => {
            tracing::info!(%service, token, "this daemon holds the duty");
            Input::Claimed { token }
        }
        Err(StoreError::Unavailable(why)) => read_back(control, service, token, &why).await,
        Err(err) => {
            tracing::info!(%service, token, error = %err, "the duty was not claimed");
            Input::NotClaimed
        }
    }
}

fn is_outage(err: &StoreError) -> bool {
    matches!(err, StoreError::Unavailable(_) | StoreError::Refused(_))
}

/// Finds out whether a claim without an answer took effect.
async fn read_back(control: &Control, service: &Arc<str>, token: u64, why: &str) -> Input {
    let read = control.platform.store.read(Kind::Duties, Arc::clone(service)).await;
    control.note_store("read", read.as_ref().err());
    let record = read.ok().flatten().as_ref().and_then(parse);
    let is_own = record
        .as_ref()
        .is_some_and(|r| r.is_of(&control.settings.name, control.incarnation) && r.token == token);
    tracing::info!(%service, token, why, is_own, "a claim had no answer and was read back");
    if is_own { Input::Claimed { token } } else { Input::NotClaimed }
}

async fn order(
    control: &Rc<Control>,
    running: &Rc<Running>,
    candidate: Arc<str>,
    token: u64,
) -> Input {
    let service = &running.service;
    Metrics::add(&control.metrics.promotions_ordered);
    announce(control, service, token);
    let order = PromotionOrder {
        service: Arc::clone(service),
        instance: Arc::clone(&candidate),
        holder: Arc::clone(&control.settings.name),
        token,
    };
    let began = Clock.now();
    let ordered = control.platform.authority.promote(order).await;
    let ms = u64::try_from(Clock.now().since(began).as_millis()).unwrap_or(u64::MAX);
    tracing::info!(%service, %candidate, token, ms, result = ?ordered, "a promotion was ordered");
    match ordered {
        Ok(()) => Input::Accepted,
        Err(PromoteError::Refused) => Input::Refused,
        Err(PromoteError::Limited | PromoteError::Unanswered(_)) => Input::Unanswered,
    }
}

/// Tells other daemons through the record that an order was given; the order does not wait for it.
fn announce(control: &Rc<Control>, service: &Arc<str>, token: u64) {
    let (control, service) = (Rc::clone(control), Arc::clone(service));
    ntex::rt::spawn(async move {
        let store = &control.platform.store;
        let Ok(Some(object)) = store.read(Kind::Duties, Arc::clone(&service)).await else {
            return;
        };
        let Some(record) = parse(&object).filter(|r| r.token == token) else {
            return;
        };
        let record = DutyRecord { ordered_ms: Clock.wall_ms(), ..record };
        let Ok(value) = serde_json::to_value(&record) else {
            return;
        };
        let written = store.write(Kind::Duties, service, Some(object.revision), value).await;
        if let Err(err) = written {
            tracing::info!(token, error = %err, "an order could not be announced");
        }
    });
}

/// Asks every instance for its state. With synchronous replication the replicas first stop
/// receiving, so that the old primary acknowledges nothing that the next one lacks. They are never
/// told to go on: that could undo what a daemon with a higher token has just ordered. The promotion
/// that follows lets them receive again.
async fn ask(control: &Control, running: &Running) -> Vec<Asked> {
    let view = control.view();
    let listed = view.instances(&running.service);
    // A primary that has just been found dead would only hold up the answer.
    let is_planned = sight(control, &running.service).is_planned();
    let failed = running.duty.borrow().failed().cloned();
    let is_asked = |l: &&Listed| is_planned || Some(&l.instance.id) != failed.as_ref();
    let listed: Vec<Listed> = listed.iter().filter(is_asked).cloned().collect();
    let asked = running.links.ask(control, &listed, None).await;
    let newest = asked.iter().filter_map(|a| a.status.map(|s| s.term)).max();
    let leads =
        |a: &Asked| a.status.is_some_and(|s| s.role == Role::Primary && Some(s.term) == newest);
    let is_led = !is_planned && asked.iter().any(leads);
    if is_led || !running.duty.borrow().is_synchronous() {
        return asked;
    }
    let term = next_term(&asked);
    let is_replica = |l: &&Listed| {
        let status = asked.iter().find(|a| a.id == l.instance.id).and_then(|a| a.status);
        status.is_none_or(|s| s.role == Role::Replica)
    };
    let replicas: Vec<Listed> = listed.iter().filter(is_replica).cloned().collect();
    let mut paused = running.links.ask(control, &replicas, Some(term)).await;
    let leads = |a: &Asked| !replicas.iter().any(|l| l.instance.id == a.id);
    paused.extend(asked.into_iter().filter(leads));
    paused
}

/// The term under which replicas are stopped before a promotion, above every term reported.
fn next_term(asked: &[Asked]) -> Term {
    let newest = asked.iter().filter_map(|a| a.status.map(|s| s.term.0)).max().unwrap_or(0);
    Term(newest + 1)
}
