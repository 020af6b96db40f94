//! Calls between hosts: reports of demand, placement of models and adapters that requests
//! wait for, renewal of another host's lease, and contact with the key-value service.

use crate::{
    bounds,
    journal::journal,
    lateness, lease_extension, orders,
    quota::Limited,
    shared::Shared,
    socket::{self, Sockets},
    traffic::{Kind, Tally},
};
use http::Uri;
use hyper_util::rt::TokioIo;
use mulberryrack_core::{
    Name,
    kv::{Era, Lease, Op, Reply},
};
use mulberryrack_fleet::{Demand, Fence};
use mulberryrack_gate::ModelChange;
use mulberryrack_site::Dialect;
use mulberryrack_wire::plan::{
    self,
    planner_client::PlannerClient,
    planner_server::{Planner, PlannerServer},
};
use std::{cell::RefCell, collections::BTreeSet, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task, time,
};
use tokio_stream::{StreamExt, wrappers::TcpListenerStream};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

/// Interval between two reports of demand.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for an answer of the host that gives orders.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for another host to renew a lease. The key-value service answers in
/// milliseconds.
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the same placement may be asked for again.
const PLACE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Length of the queue of calls that wait for the host's thread.
const CALL_QUEUE_LENGTH: usize = 64;
/// Longest time for a call of another host to arrive and be answered.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of HTTP/2 keepalive pings on connections between hosts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// A call of another host, with the channel for its answer.
enum Call {
    Report(Vec<Demand>, oneshot::Sender<bool>),
    Place(Name, Option<Name>, oneshot::Sender<Option<Vec<Name>>>),
    Renew(Lease, oneshot::Sender<plan::Renewed>),
    Contact(plan::Question, oneshot::Sender<plan::Contact>),
}

/// Implements the gRPC service by passing each call to the task that has the host's state;
/// the state is not `Send`, which gRPC handlers must be.
struct PlannerHandler {
    calls: mpsc::Sender<Call>,
}

impl PlannerHandler {
    async fn forward<T>(&self, call: Call, answer: oneshot::Receiver<T>) -> Result<T, Status> {
        let sent = self.calls.send(call).await;
        sent.map_err(|_| Status::unavailable("the host ends"))?;
        answer
            .await
            .map_err(|_| Status::unavailable("the host ends"))
    }
}

#[tonic::async_trait]
impl Planner for PlannerHandler {
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
            .forward(Call::Report(demands.collect(), answer), heard)
            .await?;
        Ok(Response::new(plan::Heard { planner }))
    }

    async fn place(&self, request: Request<plan::Place>) -> Result<Response<plan::Placed>, Status> {
        let plan::Place { model, adapter } = request.into_inner();
        let (answer, placed) = oneshot::channel();
        let adapter = (!adapter.is_empty()).then(|| adapter.into());
        let call = Call::Place(model.into(), adapter, answer);
        let engines = self.forward(call, placed).await?;
        let planner = engines.is_some();
        let engines = engines.unwrap_or_default();
        let engines = engines.iter().map(ToString::to_string).collect();
        Ok(Response::new(plan::Placed { engines, planner }))
    }

    async fn vouch(
        &self,
        request: Request<plan::Question>,
    ) -> Result<Response<plan::Contact>, Status> {
        let (answer, contact) = oneshot::channel();
        let call = Call::Contact(request.into_inner(), answer);
        let contact = self.forward(call, contact).await?;
        Ok(Response::new(contact))
    }

    async fn renew(
        &self,
        request: Request<plan::Lease>,
    ) -> Result<Response<plan::Renewed>, Status> {
        let lease = Lease(request.into_inner().id);
        let (answer, renewed) = oneshot::channel();
        let renewed = self.forward(Call::Renew(lease, answer), renewed).await?;
        Ok(Response::new(renewed))
    }
}

/// Serves the calls of other hosts until the process ends.
pub async fn serve<D: Dialect>(
    shared: Rc<Shared<D>>,
    listener: TcpListener,
    sockets: Option<Sockets>,
) {
    let (calls, mut taken) = mpsc::channel(CALL_QUEUE_LENGTH);
    let tally = shared.metrics.traffic.of(Kind::Peers).clone();
    let handler = PlannerServer::new(PlannerHandler { calls })
        .max_decoding_message_size(bounds::MAX_PEER_MESSAGE_BYTES);
    let served = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .max_concurrent_streams(bounds::MAX_PEER_CALLS)
        .timeout(SERVE_TIMEOUT)
        .add_service(handler)
        .serve_with_incoming(
            // Without a place, the connection is closed at once.
            TcpListenerStream::new(listener).filter_map(move |stream| {
                let place = match &sockets {
                    Some(sockets) => Some(sockets.take()?),
                    None => None,
                };
                let limit = |stream| {
                    Limited::new(stream, bounds::CALLS_QUOTA, tally.clone()).with_place(place)
                };
                Some(stream.map(limit))
            }),
        );
    task::spawn_local(async move {
        if let Err(error) = served.await {
            journal!(error, "peers-not-served", error = error);
        }
    });
    while let Some(call) = taken.recv().await {
        match call {
            // A failed send is ignored: the calling host has given the call up.
            Call::Report(demands, answer) => drop(answer.send(orders::record(&shared, &demands))),
            Call::Place(model, adapter, answer) => {
                let shared = shared.clone();
                task::spawn_local(async move {
                    let engines = orders::place(shared, model, adapter).await;
                    drop(answer.send(engines));
                });
            }
            Call::Contact(question, answer) => {
                drop(answer.send(lease_extension::kv_contact(&shared, question)));
            }
            Call::Renew(lease, answer) => {
                let shared = shared.clone();
                task::spawn_local(async move {
                    let renewed = shared.store.call(&Op::Renew { lease }).await;
                    let message = plan::Renewed {
                        answered: renewed.is_ok(),
                        in_force: renewed == Ok(Reply::Renewed(true)),
                        era: shared.store.told_era().map(|era| era.0),
                    };
                    let _gone = answer.send(message);
                });
            }
        }
    }
}

/// The connection to the host that gives orders.
#[derive(Default)]
pub struct PlannerLink {
    channel: RefCell<Option<(SocketAddr, Channel)>>,
    /// Placements that were asked for, until they may be asked for again.
    pending: RefCell<BTreeSet<(Name, Option<Name>)>>,
}

impl PlannerLink {
    fn channel(&self, address: SocketAddr, tally: &Tally) -> Channel {
        let mut kept = self.channel.borrow_mut();
        if let Some((to, channel)) = &*kept
            && *to == address
        {
            return channel.clone();
        }
        let channel = channel_to(address, CALL_TIMEOUT, tally);
        *kept = Some((address, channel.clone()));
        channel
    }

    fn disconnect(&self) {
        *self.channel.borrow_mut() = None;
    }
}

/// Creates a channel to another host. The first call opens the connection. A host that answers
/// with more than its quota loses the connection.
pub fn channel_to(address: SocketAddr, timeout: Duration, tally: &Tally) -> Channel {
    let tally = tally.clone();
    let connect = tower::service_fn(move |_: Uri| {
        let tally = tally.clone();
        async move {
            let stream = lateness::timeout(timeout, TcpStream::connect(address)).await??;
            socket::set_options(&stream)?;
            let limited = Limited::new(stream, bounds::ANSWERS_QUOTA, tally);
            io::Result::Ok(TokioIo::new(limited))
        }
    });
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    endpoint
        .expect("an address makes a URI")
        .timeout(timeout)
        .connect_timeout(timeout)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .connect_with_connector_lazy(connect)
}

/// The client of another host's calls on a channel.
pub fn client_on(channel: Channel) -> PlannerClient<Channel> {
    PlannerClient::new(channel).max_decoding_message_size(bounds::MAX_PEER_MESSAGE_BYTES)
}

/// Tells another host of a claim and asks what it knows of claims. `None` without an answer
/// within [`lease_extension::ANSWER_TIMEOUT`].
pub async fn ask_contact(channel: Channel, fence: Fence) -> Option<plan::Contact> {
    let question = plan::Question {
        fence: fence.revision.0,
        fence_era: fence.era.0,
    };
    let mut client = client_on(channel);
    let answer = lateness::timeout(lease_extension::ANSWER_TIMEOUT, client.vouch(question)).await;
    answer.ok()?.ok().map(Response::into_inner)
}

/// Reports the gate's demand to the host that gives orders, until the process ends.
pub async fn report_demand<D: Dialect>(shared: Rc<Shared<D>>, link: Rc<PlannerLink>) {
    loop {
        time::sleep(REPORT_INTERVAL).await;
        let wanted = shared.gate.borrow_mut().take_demand();
        let holder = shared.holder.borrow().clone();
        let (Some((holder, _)), false) = (holder, wanted.is_empty()) else {
            continue;
        };
        if holder.host == shared.settings.host {
            let demands: Vec<Demand> = wanted.into_iter().map(demand).collect();
            orders::record(&shared, &demands);
            continue;
        }
        let channel = link.channel(holder.peers, shared.metrics.traffic.of(Kind::Peers));
        let message = plan::Demand {
            host: shared.settings.host.to_string(),
            wanted: wanted.iter().map(message).collect(),
        };
        if let Err(error) = client_on(channel).report(message).await {
            journal!(
                warn,
                "demand-not-told",
                planner = holder.host,
                error = error.code()
            );
            link.disconnect();
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

/// The answer to a renewal through another host.
#[derive(Clone, Copy, Debug)]
pub struct PeerRenewal {
    /// Whether the lease is in force.
    pub in_force: bool,
    /// Whether that is known to be so in the era that this host knows. Hosts of earlier
    /// versions do not tell.
    pub in_known_era: bool,
}

/// Asks another host to renew this host's lease, for when this host does not reach the
/// key-value service. `None` if the other host does not know whether the lease is in force.
pub async fn renew_lease<D: Dialect>(shared: &Shared<D>, lease: Lease) -> Option<PeerRenewal> {
    let others = shared.other_hosts();
    // The time selects the host, so that successive calls do not all go to a host that is
    // cut off as well.
    let rotation = usize::try_from(shared.clock.now().as_micros()).unwrap_or_default();
    let peer = others.get(rotation % others.len().max(1))?;
    let channel = channel_to(
        peer.peers,
        RENEW_TIMEOUT,
        shared.metrics.traffic.of(Kind::Peers),
    );
    let message = plan::Lease { id: lease.0 };
    match client_on(channel).renew(message).await {
        Ok(renewed) => {
            let renewed = renewed.into_inner();
            let rises = shared.store.rises();
            let is_known = renewed
                .era
                .is_none_or(|era| shared.store.follow_era(Era(era)));
            let is_same_era = is_known && shared.store.rises() == rises;
            (renewed.answered && is_same_era).then_some(PeerRenewal {
                in_force: renewed.in_force,
                in_known_era: renewed.era.is_some(),
            })
        }
        Err(error) => {
            journal!(
                warn,
                "lease-not-renewed-by-peer",
                host = peer.host,
                error = error.code()
            );
            None
        }
    }
}

/// Asks the planner to place a model or adapter, unless that was asked for already. Wakes
/// the waiting requests when the answer is there.
pub async fn request_placement<D: Dialect>(
    shared: Rc<Shared<D>>,
    link: Rc<PlannerLink>,
    model: Name,
    adapter: Option<Name>,
) {
    let key = (model.clone(), adapter.clone());
    if !link.pending.borrow_mut().insert(key.clone()) {
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
    // Requests that still wait for the model or adapter may ask again after a delay.
    time::sleep(PLACE_RETRY_DELAY).await;
    link.pending.borrow_mut().remove(&key);
}

async fn ask<D: Dialect>(
    shared: &Rc<Shared<D>>,
    link: &PlannerLink,
    model: &Name,
    adapter: Option<&Name>,
) -> Option<Vec<Name>> {
    let (holder, _) = shared.holder.borrow().clone()?;
    if holder.host == shared.settings.host {
        return orders::place(shared.clone(), model.clone(), adapter.cloned()).await;
    }
    let channel = link.channel(holder.peers, shared.metrics.traffic.of(Kind::Peers));
    let message = plan::Place {
        model: model.to_string(),
        adapter: adapter.map(ToString::to_string).unwrap_or_default(),
    };
    match client_on(channel).place(message).await {
        Ok(placed) => {
            let plan::Placed { engines, planner } = placed.into_inner();
            let engines = engines.iter().map(|it| it.as_str().into());
            planner.then(|| engines.collect())
        }
        Err(error) => {
            journal!(
                warn,
                "placement-not-asked",
                planner = holder.host,
                error = error.code()
            );
            link.disconnect();
            None
        }
    }
}
