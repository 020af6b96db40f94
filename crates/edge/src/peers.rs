//! Calls between hosts: demand, and models and adapters that requests wait for.

use crate::{journal::journal, lease_extension, orders, shared::Shared};
use mulberryrack_core::{
    Name,
    kv::{Lease, Op, Reply},
};
use mulberryrack_fleet::Demand;
use mulberryrack_gate::ModelChange;
use mulberryrack_site::Dialect;
use mulberryrack_wire::plan::{
    self,
    planner_client::PlannerClient,
    planner_server::{Planner, PlannerServer},
};
use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    task, time,
};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

/// Time between two reports of demand.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Time for the other host to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for another host to renew a lease; the key-value service answers in milliseconds.
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a placement is asked for again.
const PLACE_AGAIN: Duration = Duration::from_millis(150);
/// Calls that wait for the host's thread.
const CALLS: usize = 64;
/// Time between the signs of life that are asked for on connections between hosts.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// A call of another host, with where its answer goes.
enum Call {
    Report(Vec<Demand>, oneshot::Sender<bool>),
    Place(Name, Option<Name>, oneshot::Sender<Option<Vec<Name>>>),
    Renew(Lease, oneshot::Sender<Option<bool>>),
    Vouch(oneshot::Sender<plan::Contact>),
}

/// Hands calls over to the thread that decides.
struct Desk {
    calls: mpsc::Sender<Call>,
}

impl Desk {
    async fn ask<T>(&self, call: Call, answer: oneshot::Receiver<T>) -> Result<T, Status> {
        let sent = self.calls.send(call).await;
        sent.map_err(|_| Status::unavailable("the host ends"))?;
        answer
            .await
            .map_err(|_| Status::unavailable("the host ends"))
    }
}

#[tonic::async_trait]
impl Planner for Desk {
    async fn report(
        &self,
        request: Request<plan::Demand>,
    ) -> Result<Response<plan::Heard>, Status> {
        let wanted = request.into_inner().wanted;
        let demands = wanted.into_iter().map(|wanted| Demand {
            model: wanted.model.into(),
            adapter: (!wanted.adapter.is_empty()).then(|| wanted.adapter.into()),
            work_ms: wanted.work_ms,
        });
        let (answer, heard) = oneshot::channel();
        let planner = self
            .ask(Call::Report(demands.collect(), answer), heard)
            .await?;
        Ok(Response::new(plan::Heard { planner }))
    }

    async fn place(&self, request: Request<plan::Place>) -> Result<Response<plan::Placed>, Status> {
        let plan::Place { model, adapter } = request.into_inner();
        let (answer, placed) = oneshot::channel();
        let adapter = (!adapter.is_empty()).then(|| adapter.into());
        let call = Call::Place(model.into(), adapter, answer);
        let engines = self.ask(call, placed).await?;
        let planner = engines.is_some();
        let engines = engines.unwrap_or_default();
        let engines = engines.iter().map(ToString::to_string).collect();
        Ok(Response::new(plan::Placed { engines, planner }))
    }

    async fn vouch(&self, _: Request<plan::Question>) -> Result<Response<plan::Contact>, Status> {
        let (answer, contact) = oneshot::channel();
        let contact = self.ask(Call::Vouch(answer), contact).await?;
        Ok(Response::new(contact))
    }

    async fn renew(
        &self,
        request: Request<plan::Lease>,
    ) -> Result<Response<plan::Renewed>, Status> {
        let lease = Lease(request.into_inner().id);
        let (answer, renewed) = oneshot::channel();
        let in_force = self.ask(Call::Renew(lease, answer), renewed).await?;
        Ok(Response::new(plan::Renewed {
            answered: in_force.is_some(),
            in_force: in_force.unwrap_or_default(),
        }))
    }
}

/// Serves the calls of other hosts until the process ends.
pub async fn serve<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener) {
    let (calls, mut taken) = mpsc::channel(CALLS);
    let served = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .add_service(PlannerServer::new(Desk { calls }))
        .serve_with_incoming(TcpListenerStream::new(listener));
    task::spawn_local(async move {
        if let Err(error) = served.await {
            journal!(error, "peers-not-served", error = error);
        }
    });
    while let Some(call) = taken.recv().await {
        match call {
            // A caller that is gone needs no answer.
            Call::Report(demands, answer) => drop(answer.send(orders::record(&shared, &demands))),
            Call::Place(model, adapter, answer) => {
                let shared = shared.clone();
                task::spawn_local(async move {
                    let engines = orders::place(shared, model, adapter).await;
                    drop(answer.send(engines));
                });
            }
            Call::Vouch(answer) => drop(answer.send(lease_extension::contact(&shared))),
            Call::Renew(lease, answer) => {
                let shared = shared.clone();
                task::spawn_local(async move {
                    let renewed = shared.store.call(&Op::Renew { lease }).await;
                    let in_force = match renewed {
                        Ok(reply) => Some(reply == Reply::Renewed(true)),
                        Err(_) => None,
                    };
                    let _gone = answer.send(in_force);
                });
            }
        }
    }
}

/// The host that gives orders, as this host reaches it.
#[derive(Default)]
pub struct PlannerLink {
    channel: RefCell<Option<(SocketAddr, Channel)>>,
    /// Models and adapters that were asked for and not answered yet.
    asking: RefCell<BTreeSet<(Name, Option<Name>)>>,
}

impl PlannerLink {
    fn channel(&self, address: SocketAddr) -> Channel {
        let mut kept = self.channel.borrow_mut();
        if let Some((to, channel)) = &*kept
            && *to == address
        {
            return channel.clone();
        }
        let channel = dial(address, CALL_TIMEOUT);
        *kept = Some((address, channel.clone()));
        channel
    }

    fn forget(&self) {
        *self.channel.borrow_mut() = None;
    }
}

/// A channel to another host, connected by its first call.
pub fn dial(address: SocketAddr, timeout: Duration) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    endpoint
        .expect("an address makes a URI")
        .timeout(timeout)
        .connect_timeout(timeout)
        .http2_keep_alive_interval(KEEPALIVE)
        .connect_lazy()
}

/// Reports demand to the planner until the process ends.
pub async fn report_demand<D: Dialect>(shared: Rc<Shared<D>>, link: Rc<PlannerLink>) {
    loop {
        time::sleep(REPORT_EVERY).await;
        let wanted = shared.gate.borrow_mut().take_demand();
        let holder = shared.holder.borrow().clone();
        let (Some((seat, _)), false) = (holder, wanted.is_empty()) else {
            continue;
        };
        if seat.host == shared.settings.host {
            let demands: Vec<Demand> = wanted.into_iter().map(demand).collect();
            orders::record(&shared, &demands);
            continue;
        }
        let channel = link.channel(seat.peers);
        let message = plan::Demand {
            host: shared.settings.host.to_string(),
            wanted: wanted.iter().map(message).collect(),
        };
        if let Err(error) = PlannerClient::new(channel).report(message).await {
            journal!(
                warn,
                "demand-not-told",
                planner = seat.host,
                error = error.code()
            );
            link.forget();
        }
    }
}

fn demand(wanted: mulberryrack_gate::ModelDemand) -> Demand {
    Demand {
        model: wanted.model,
        adapter: wanted.adapter,
        work_ms: wanted.work_ms,
    }
}

fn message(wanted: &mulberryrack_gate::ModelDemand) -> plan::Wanted {
    plan::Wanted {
        model: wanted.model.to_string(),
        adapter: wanted.adapter.as_deref().unwrap_or_default().to_owned(),
        work_ms: wanted.work_ms,
    }
}

/// Has another host renew a lease, for one that does not reach the key-value service.
/// Returns whether the lease is in force; `None` if the other host does not know either.
pub async fn renew<D: Dialect>(shared: &Shared<D>, lease: Lease) -> Option<bool> {
    let others = shared.other_hosts();
    // Another one each time: the one before may be cut off as well.
    let turn = usize::try_from(shared.clock.now().as_micros()).unwrap_or_default();
    let other = others.get(turn % others.len().max(1))?;
    let channel = dial(other.peers, RENEW_TIMEOUT);
    let message = plan::Lease { id: lease.0 };
    match PlannerClient::new(channel).renew(message).await {
        Ok(renewed) => {
            let renewed = renewed.into_inner();
            renewed.answered.then_some(renewed.in_force)
        }
        Err(error) => {
            journal!(
                warn,
                "lease-not-renewed-by-peer",
                host = other.host,
                error = error.code()
            );
            None
        }
    }
}

/// Has a model or adapter placed, unless that is under way. Waiting requests are told when
/// the answer is there.
pub async fn place<D: Dialect>(
    shared: Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    model: Name,
    adapter: Option<Name>,
) {
    let key = (model.clone(), adapter.clone());
    if !link.asking.borrow_mut().insert(key.clone()) {
        return;
    }
    let placed = ask(&shared, &link, &model, adapter.as_ref()).await;
    let planner = placed.is_some();
    let engines = placed.unwrap_or_default();
    journal!(
        info,
        "placed",
        model = model,
        adapter = adapter.as_deref().unwrap_or("-"),
        planner = planner,
        engines = engines.len()
    );
    let now = shared.clock.now();
    if !planner {
        shared.gate.borrow_mut().pause_placement(now);
    }
    for engine in engines {
        let change = ModelChange {
            upstream: engine,
            model: model.clone(),
            adapter: adapter.clone(),
            present: true,
        };
        shared.gate.borrow_mut().record_change(now, &change);
    }
    shared.changed.notify_waiters();
    // Requests that still wait for it ask again, not at once.
    time::sleep(PLACE_AGAIN).await;
    link.asking.borrow_mut().remove(&key);
}

async fn ask<D: Dialect>(
    shared: &Rc<Shared<D>>,
    link: &PlannerLink,
    model: &Name,
    adapter: Option<&Name>,
) -> Option<Vec<Name>> {
    let (seat, _) = shared.holder.borrow().clone()?;
    if seat.host == shared.settings.host {
        return orders::place(shared.clone(), model.clone(), adapter.cloned()).await;
    }
    let channel = link.channel(seat.peers);
    let message = plan::Place {
        model: model.to_string(),
        adapter: adapter.map(ToString::to_string).unwrap_or_default(),
    };
    match PlannerClient::new(channel).place(message).await {
        Ok(placed) => {
            let plan::Placed { engines, planner } = placed.into_inner();
            let engines = engines.iter().map(|it| it.as_str().into());
            planner.then(|| engines.collect())
        }
        Err(error) => {
            journal!(
                warn,
                "placement-not-asked",
                planner = seat.host,
                error = error.code()
            );
            link.forget();
            None
        }
    }
}
