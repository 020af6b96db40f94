//! Sends the planner's orders to engines and asks engines for reports, while this host holds
//! the claim to give orders.

use crate::{
    bounds,
    client::{Fault, Remote},
    journal::journal,
    lateness, notices,
    replies::{self, Asked},
    shared::Shared,
    traffic::Kind,
};
use bytes::Bytes;
use http::Response;
use mulberryrack_core::Name;
use mulberryrack_fleet::{ClaimState, Demand, PlannedOrder};
use mulberryrack_gate::ModelChange;
use mulberryrack_site::{
    Dialect, Order, Upstream,
    order::{Action, OrderOutcome},
};
use std::{rc::Rc, time::Duration};
use tokio::{
    task,
    time::{self, Instant, MissedTickBehavior},
};

/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Number of plans for each round of report requests to engines.
const PLANS_PER_QUERY: u32 = 2;
/// Number of plans for each update of the engines' speeds.
const PLANS_PER_SPEED_UPDATE: u32 = 5;
/// Longest wait for an engine's answer to an order or a report request.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for which the planner works on one placement before it answers that no
/// engine has the model or adapter.
const PLACE_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a placement for which no order can be given now is looked at again.
const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Plans and sends orders while this host may give orders. Runs until the process ends.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut ticks = time::interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick = 0u32;
    loop {
        ticks.tick().await;
        tick = tick.wrapping_add(1);
        let now = shared.clock.now();
        if shared.claim_state(now) != ClaimState::Active {
            continue;
        }
        if tick.is_multiple_of(PLANS_PER_QUERY) {
            query_engines(&shared);
        }
        let by_need = shared.gate.borrow().balances_evenly();
        let planned_orders = {
            let mut planner = shared.planner.borrow_mut();
            planner.set_by_need(by_need);
            if tick.is_multiple_of(PLANS_PER_SPEED_UPDATE) {
                planner.set_slowness(shared.gate.borrow().learned_slowness(now));
            }
            planner.plan(now)
        };
        for planned in planned_orders {
            task::spawn_local(execute(shared.clone(), planned));
        }
    }
}

/// Starts report requests to all engines with an open order or an unknown state.
fn query_engines<D: Dialect>(shared: &Rc<Shared<D>>) {
    let now = shared.clock.now();
    let engines: Vec<Remote> = {
        let planner = shared.planner.borrow();
        let gate = shared.gate.borrow();
        let is_resting = |entry: &&Upstream| {
            let id = gate.find(&entry.id);
            id.is_some_and(|id| gate.is_resting(now, id))
        };
        let queried = planner.engines_to_query(now);
        let remotes = queried
            .filter(|entry| !is_resting(entry))
            .map(|entry| Remote {
                address: entry.address,
                name: entry.id.clone(),
            });
        remotes.collect()
    };
    for remote in engines {
        let shared = shared.clone();
        task::spawn_local(async move { query_engine(&shared, remote).await });
    }
}

/// Asks an engine for a report. If it completes the load of a model, the model is announced
/// to the other hosts.
async fn query_engine<D: Dialect>(shared: &Rc<Shared<D>>, remote: Remote) {
    let request = shared.dialect.report_call(&remote.name);
    let name = remote.name.clone();
    let asked = asked(shared, &name);
    let answer = shared
        .client
        .call(
            remote,
            request,
            bounds::MAX_REPORT_BYTES,
            CALL_TIMEOUT,
            shared.metrics.traffic.of(Kind::Probes),
        )
        .await;
    let report = match answer {
        Ok(answer) => {
            let answer = record_availability(shared, asked, answer);
            shared.dialect.report_answer(&answer)
        }
        Err(fault) => {
            record_excess(shared, asked, fault, "report");
            journal!(
                debug,
                "report-missing",
                engine = name,
                fault = format_args!("{fault:?}")
            );
            None
        }
    };
    if let Some(report) = report {
        let now = shared.clock.now();
        let arrived = shared
            .planner
            .borrow_mut()
            .record_report(now, &name, &report);
        if let Some(model) = arrived {
            let change = ModelChange {
                upstream: name,
                model,
                adapter: None,
                present: true,
            };
            notices::announce_change(shared, &change);
        }
    }
}

/// What is known of an engine that is about to be called.
fn asked<D>(shared: &Shared<D>, engine: &str) -> Option<Asked> {
    let gate = shared.gate.borrow();
    let id = gate.find(engine)?;
    Some(Asked {
        id,
        incarnation: gate.incarnation(id),
        at: shared.clock.now(),
    })
}

/// Records what an engine's answer to a call of this host says about the requests that it
/// still takes.
fn record_availability<D: Dialect>(
    shared: &Rc<Shared<D>>,
    asked: Option<Asked>,
    answer: Response<Bytes>,
) -> Response<Bytes> {
    let (head, body) = answer.into_parts();
    if let Some(asked) = asked {
        let reply = shared.dialect.read_reply_head(&head);
        replies::record_availability(shared, asked, &reply);
    }
    Response::from_parts(head, body)
}

/// Records a call of this host to an engine that failed because the engine sent too much.
fn record_excess<D>(shared: &Shared<D>, asked: Option<Asked>, fault: Fault, reader: &'static str) {
    if let (Some(asked), Fault::Excessive) = (asked, fault) {
        replies::record_excess(shared, asked.id, reader);
    }
}

/// Sends an order and records its outcome. Announces an unload to the other hosts before it
/// is sent, and takes the announcement back if the engine certainly does not carry it out.
/// Announces an adapter as soon as the engine accepts the order to load it.
pub async fn execute<D: Dialect>(shared: Rc<Shared<D>>, planned: PlannedOrder) {
    if planned.action == Action::Unload {
        notices::announce_change(&shared, &change(&planned, false));
    }
    let outcome = send(&shared, &planned).await;
    let now = shared.clock.now();
    shared
        .planner
        .borrow_mut()
        .record_outcome(now, &planned.engine, outcome);
    let done = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::AlreadyDone);
    let adapter_loading = planned.adapter.is_some() && planned.action == Action::Load && done;
    let not_unloaded =
        planned.action == Action::Unload && !done && outcome != OrderOutcome::Unanswered;
    if adapter_loading || not_unloaded {
        notices::announce_change(&shared, &change(&planned, true));
    }
    let action = match planned.action {
        Action::Load => "load",
        Action::Unload => "unload",
    };
    shared.metrics.record_order(action, label(outcome));
    journal!(
        info,
        "order",
        engine = planned.engine,
        action = action,
        model = planned.model,
        adapter = planned.adapter.as_deref().unwrap_or("-"),
        why = planned.reason,
        after = planned.expected_orders,
        verdict = label(outcome),
    );
    shared.changed.notify_waiters();
}

fn change(planned: &PlannedOrder, present: bool) -> ModelChange {
    ModelChange {
        upstream: planned.engine.clone(),
        model: planned.model.clone(),
        adapter: planned.adapter.clone(),
        present,
    }
}

const fn label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyDone => "held",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Unanswered => "unanswered",
        OrderOutcome::NotSent => "not-sent",
    }
}

/// Sends an order, if this host may give orders at the moment when the connection is open.
async fn send<D: Dialect>(shared: &Rc<Shared<D>>, planned: &PlannedOrder) -> OrderOutcome {
    let Some(address) = shared.planner.borrow().address(&planned.engine) else {
        return OrderOutcome::NotSent;
    };
    let remote = Remote {
        address,
        name: planned.engine.clone(),
    };
    let connected = shared.client.connect(remote, false).await;
    let Ok(connection) = connected else {
        return OrderOutcome::NotSent;
    };
    let asked = asked(shared, &planned.engine);
    let now = shared.clock.now();
    let is_resting = |asked: &Asked| shared.gate.borrow().is_resting(now, asked.id);
    if asked.as_ref().is_some_and(is_resting) {
        connection.return_to_pool(None);
        return OrderOutcome::NotSent;
    }
    let state = shared.claim_state(now);
    let fence = shared.claim.borrow().fence();
    let (ClaimState::Active, Some(fence)) = (state, fence) else {
        connection.return_to_pool(None);
        return OrderOutcome::NotSent;
    };
    let order = Order {
        engine: planned.engine.clone(),
        action: planned.action,
        model: planned.model.clone(),
        adapter: planned.adapter.clone(),
        expected_orders: Some(planned.expected_orders),
        holder: shared.settings.host.clone(),
        fence: fence.token(shared.first_era.get().unwrap_or_default()),
    };
    let request = shared.dialect.order_call(&order);
    let answer = connection.round_trip(
        request,
        bounds::MAX_ACKNOWLEDGEMENT_BYTES,
        shared.metrics.traffic.of(Kind::Orders),
    );
    let answer = lateness::timeout(CALL_TIMEOUT, answer);
    match answer.await.unwrap_or(Err(Fault::Silent)) {
        Ok(answer) => {
            let answer = record_availability(shared, asked, answer);
            shared.dialect.order_answer(&answer)
        }
        Err(Fault::NotSent) => OrderOutcome::NotSent,
        Err(fault) => {
            record_excess(shared, asked, fault, "order");
            OrderOutcome::Unanswered
        }
    }
}

/// Returns the engines that have a model or adapter in memory. If there are none, gives
/// orders until one has it; the result is empty if none has it within [`PLACE_TIMEOUT`].
/// `None` if this host may not give orders now.
pub async fn place<D: Dialect>(
    shared: Rc<Shared<D>>,
    model: Name,
    adapter: Option<Name>,
) -> Option<Vec<Name>> {
    let deadline = Instant::now() + PLACE_TIMEOUT;
    while Instant::now() < deadline {
        let now = shared.clock.now();
        if shared.claim_state(now) != ClaimState::Active {
            return None;
        }
        let found = {
            let mut planner = shared.planner.borrow_mut();
            planner.locate_or_load(now, &model, adapter.as_ref())
        };
        match found {
            Ok(engines) => return Some(engines),
            Err(Some(planned)) => execute(shared.clone(), planned).await,
            Err(None) => time::sleep(PLACE_CHECK_INTERVAL).await,
        }
    }
    Some(Vec::new())
}

/// Records the demand at one host if this host holds the claim. Returns whether it does.
pub fn record<D: Dialect>(shared: &Shared<D>, demands: &[Demand]) -> bool {
    let now = shared.clock.now();
    let holds = shared.claim_state(now) != ClaimState::NotHeld;
    if holds {
        let mut planner = shared.planner.borrow_mut();
        for demand in demands {
            planner.record_demand(now, demand);
        }
    }
    holds
}
