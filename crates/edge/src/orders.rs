//! Sends the planner's orders, and asks engines for their state while orders are open.

use crate::{
    client::{Fault, Remote},
    journal::journal,
    notices,
    shared::Shared,
};
use mulberryrack_core::Name;
use mulberryrack_fleet::{ClaimState, Demand, PlannedOrder};
use mulberryrack_gate::ModelChange;
use mulberryrack_site::{
    Dialect, Order,
    order::{Action, OrderOutcome},
};
use std::{rc::Rc, time::Duration};
use tokio::{
    task,
    time::{self, Instant, MissedTickBehavior},
};

/// Time between two plans.
const TICK: Duration = Duration::from_millis(200);
/// Plans between two rounds of questions for engines' states.
const TICKS_PER_ROUND: u32 = 2;
/// Time for an engine to answer an order or a question.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a request waits at the planner for its model or adapter.
const PLACE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a placement is looked at again.
const PLACE_PAUSE: Duration = Duration::from_millis(15);

/// Plans and gives orders while this host holds the claim.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick = 0u32;
    loop {
        ticks.tick().await;
        tick = tick.wrapping_add(1);
        let now = shared.clock.now();
        if shared.claim.borrow().state(now) != ClaimState::Active {
            continue;
        }
        if tick.is_multiple_of(TICKS_PER_ROUND) {
            ask_unsettled(&shared);
        }
        let wishes = shared.planner.borrow_mut().plan(now);
        for wish in wishes {
            task::spawn_local(give(shared.clone(), wish));
        }
    }
}

fn ask_unsettled<D: Dialect>(shared: &Rc<Shared<D>>) {
    let now = shared.clock.now();
    let unsettled: Vec<Remote> = {
        let planner = shared.planner.borrow();
        let remotes = planner.engines_to_query(now).map(|entry| Remote {
            address: entry.address,
            name: entry.id.clone(),
        });
        remotes.collect()
    };
    for remote in unsettled {
        let shared = shared.clone();
        task::spawn_local(async move { ask(&shared, remote).await });
    }
}

async fn ask<D: Dialect>(shared: &Shared<D>, remote: Remote) {
    let request = shared.dialect.report_call(&remote.name);
    let name = remote.name.clone();
    let answer = shared.client.call(remote, request, CALL_TIMEOUT).await;
    let report = match answer {
        Ok(answer) => shared.dialect.report_answer(&answer),
        Err(fault) => {
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
            notices::tell_change(shared, &change);
        }
    }
}

/// Gives an order, if this host may at this very moment.
pub async fn give<D: Dialect>(shared: Rc<Shared<D>>, wish: PlannedOrder) {
    if wish.action == Action::Unload {
        notices::tell_change(&shared, &change(&wish, false));
    }
    let verdict = send(&shared, &wish).await;
    let now = shared.clock.now();
    shared
        .planner
        .borrow_mut()
        .record_outcome(now, &wish.engine, verdict);
    let done = matches!(verdict, OrderOutcome::Accepted | OrderOutcome::AlreadyDone);
    let adapter_there = wish.adapter.is_some() && wish.action == Action::Load && done;
    let still_there = wish.action == Action::Unload && !done && verdict != OrderOutcome::Unanswered;
    if adapter_there || still_there {
        notices::tell_change(&shared, &change(&wish, true));
    }
    let action = match wish.action {
        Action::Load => "load",
        Action::Unload => "unload",
    };
    shared.metrics.record_order(action, label(verdict));
    journal!(
        info,
        "order",
        engine = wish.engine,
        action = action,
        model = wish.model,
        adapter = wish.adapter.as_deref().unwrap_or("-"),
        why = wish.reason,
        after = wish.expected_orders,
        verdict = label(verdict),
    );
    shared.changed.notify_waiters();
}

fn change(wish: &PlannedOrder, present: bool) -> ModelChange {
    ModelChange {
        upstream: wish.engine.clone(),
        model: wish.model.clone(),
        adapter: wish.adapter.clone(),
        present,
    }
}

const fn label(verdict: OrderOutcome) -> &'static str {
    match verdict {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyDone => "held",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Unanswered => "unanswered",
        OrderOutcome::NotSent => "not-sent",
    }
}

async fn send<D: Dialect>(shared: &Shared<D>, wish: &PlannedOrder) -> OrderOutcome {
    let Some(address) = shared.planner.borrow().address(&wish.engine) else {
        return OrderOutcome::NotSent;
    };
    let remote = Remote {
        address,
        name: wish.engine.clone(),
    };
    let connected = shared.client.connect(remote, false).await;
    let Ok(connection) = connected else {
        return OrderOutcome::NotSent;
    };
    let now = shared.clock.now();
    let (stand, fence) = {
        let claim = shared.claim.borrow();
        (claim.state(now), claim.fence())
    };
    let (ClaimState::Active, Some(fence)) = (stand, fence) else {
        connection.return_to_pool(None);
        return OrderOutcome::NotSent;
    };
    let order = Order {
        engine: wish.engine.clone(),
        action: wish.action,
        model: wish.model.clone(),
        adapter: wish.adapter.clone(),
        expected_orders: Some(wish.expected_orders),
        holder: shared.settings.host.clone(),
        fence,
    };
    let request = shared.dialect.order_call(&order);
    let answer = time::timeout(CALL_TIMEOUT, connection.round_trip(request));
    match answer.await.unwrap_or(Err(Fault::Silent)) {
        Ok(answer) => shared.dialect.order_answer(&answer),
        Err(Fault::NotSent) => OrderOutcome::NotSent,
        Err(Fault::Broken | Fault::Silent) => OrderOutcome::Unanswered,
    }
}

/// Has a model or adapter placed, and returns the engines that hold it; `None` if this host
/// gives no orders now.
pub async fn place<D: Dialect>(
    shared: Rc<Shared<D>>,
    model: Name,
    adapter: Option<Name>,
) -> Option<Vec<Name>> {
    let until = Instant::now() + PLACE_TIMEOUT;
    while Instant::now() < until {
        let now = shared.clock.now();
        if shared.claim.borrow().state(now) != ClaimState::Active {
            return None;
        }
        let found = {
            let mut planner = shared.planner.borrow_mut();
            planner.locate_or_load(now, &model, adapter.as_ref())
        };
        match found {
            Ok(engines) => return Some(engines),
            Err(Some(wish)) => give(shared.clone(), wish).await,
            Err(None) => time::sleep(PLACE_PAUSE).await,
        }
    }
    Some(Vec::new())
}

/// Takes what a host was asked for.
pub fn record<D>(shared: &Shared<D>, demands: &[Demand]) -> bool {
    let now = shared.clock.now();
    let holds = shared.claim.borrow().state(now) != ClaimState::NotHeld;
    if holds {
        let mut planner = shared.planner.borrow_mut();
        for demand in demands {
            planner.record_demand(now, demand);
        }
    }
    holds
}
