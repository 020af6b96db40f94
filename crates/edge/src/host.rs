//! Starts the tasks of a host and shuts them down.

use crate::{
    caller,
    client::Client,
    clock::Clock,
    config_watch, endpoint, freshness,
    holdings::{Holdings, Places},
    journal::journal,
    lateness::{self, Lateness},
    lease_extension,
    listing::Listing,
    membership,
    metrics::Metrics,
    notices, orders,
    peers::{self, PlannerLink},
    proofs::{self, Proofs},
    refusals,
    shared::{Phase, Shared, Stop},
    socket::{self, Sockets},
    store::Store,
    succession, suspects, tokens, traffic,
    usage::{self, Usage},
    watch,
};
use mulberryrack_core::{Time, hash};
use mulberryrack_fleet::{Claim, Planner};
use mulberryrack_gate::{Gate, Tuning};
use mulberryrack_site::{Dialect, Settings};
use mulberryrack_suspect::Gossip;
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::Notify,
    task::{self, LocalSet},
    time,
};

/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Period for which a host that was told to stop still accepts connections. Callers keep an
/// address for at most three times its time to live.
const LEAVING_PERIOD: Duration = Duration::from_millis(3_300);
/// Period after the signal to stop in which requests are taken however long they may run: callers
/// cannot know yet that the host leaves.
const TAKING_PERIOD: Duration = Duration::from_millis(2_800);
/// Time before the end of the process at which each request gets its final answer.
const FINAL_ANSWERS_PERIOD: Duration = Duration::from_millis(250);
/// Part of the grace period that is reserved for the exit of the process itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which a closing host checks whether all requests have ended.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a host until the process receives SIGTERM or SIGINT, then shuts it down.
///
/// # Errors
///
/// The host cannot listen on one of its addresses, or the runtime or a signal handler
/// cannot be created.
pub fn run<D: Dialect>(settings: Settings, dialect: D) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(settings, Rc::new(dialect)))
}

fn build_shared<D: Dialect>(
    settings: Settings,
    dialect: Rc<D>,
    datagrams: UdpSocket,
    sockets: Option<Sockets>,
) -> Rc<Shared<D>> {
    let bounds = settings.bounds;
    let metrics = Rc::new(Metrics::new());
    let tuning = Tuning {
        balance_rule: settings.balance_rule,
        shares_speeds: settings.shares_speeds,
        retry_share: bounds.retry_share,
        retry_extra: bounds.retry_extra,
        retry_window: bounds.retry_window,
        handover: bounds.max_reaction_delay,
        ..Tuning::default()
    };
    let clock = Clock::start();
    let holdings = settings.memory_mb.map(|memory_mb| {
        let places = Places::of(settings.max_sockets).callers;
        Holdings::new(
            "callers",
            clock,
            mulberryrack_room::capacity(memory_mb),
            places,
        )
    });
    let seed = hash::stable(settings.host.as_bytes(), u64::from(std::process::id()));
    let incarnation = rand::random();
    Rc::new(Shared {
        store: Store::new(
            dialect.clone(),
            settings.kv_address,
            metrics.clone(),
            clock,
            settings.link_bytes_per_s,
        ),
        listing: Listing::default(),
        dialect,
        clock,
        freshness: freshness::ConfigFreshness::new(bounds.revocation_delay),
        proofs: Proofs::new(&settings),
        client: Rc::new(Client::bounded(sockets)),
        metrics,
        datagrams,
        gate: RefCell::new(Gate::new(tuning, seed)),
        planner: RefCell::new(Planner::new(bounds.load_window)),
        claim: RefCell::new(Claim::new(
            membership::LEASE_TTL.max(settings.min_lease_ttl),
            bounds.order_handover_delay,
        )),
        incarnation,
        succession: RefCell::default(),
        newest_claim: Cell::default(),
        gossip: RefCell::new(Gossip::new(&settings.host, seed)),
        suspects_changed: Notify::new(),
        refusals_changed: Notify::new(),
        written_refusals: RefCell::default(),
        tokens_changed: Notify::new(),
        usage: Usage::new(bounds.quota, incarnation),
        permits_asked: RefCell::default(),
        probed: RefCell::default(),
        malformed_limits: RefCell::default(),
        probe_ended: Notify::new(),
        hosts: RefCell::default(),
        holder: RefCell::default(),
        first_era: Cell::default(),
        unconfirmed: RefCell::default(),
        phase: Cell::new(Phase::Starting),
        stop: Cell::default(),
        store_reached: Cell::new(false),
        changed: Notify::new(),
        phase_changed: Notify::new(),
        open_requests: Cell::new(0),
        next_preview: Cell::new(Time::ZERO),
        last_request: Cell::new(Time::ZERO),
        caller_connections: Cell::new(0),
        lateness: Lateness::new(),
        holdings,
        settings,
    })
}

/// The sockets on which a host listens.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
}

impl Listeners {
    /// Listens on all addresses. An address with port 0 gets a free port, which is written
    /// to `settings`.
    async fn open(settings: &mut Settings) -> io::Result<Self> {
        let listen = |address: &mut SocketAddr| {
            let listener = socket::listen(*address)?;
            *address = listener.local_addr()?;
            io::Result::Ok(listener)
        };
        Ok(Self {
            callers: listen(&mut settings.caller_address)?,
            readiness: listen(&mut settings.readiness_address)?,
            directory: listen(&mut settings.directory_address)?,
            metrics: listen(&mut settings.metrics_address)?,
            peers: listen(&mut settings.peer_address)?,
            datagrams: UdpSocket::bind(settings.peer_address).await?,
        })
    }
}

async fn serve<D: Dialect>(mut settings: Settings, dialect: Rc<D>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let listeners = Listeners::open(&mut settings).await?;
    let is_bounded = settings.memory_mb.is_some();
    let sockets = is_bounded.then(|| Sockets::new(Places::of(settings.max_sockets).others));
    let shared = build_shared(settings, dialect, listeners.datagrams, sockets.clone());
    let link = Rc::new(PlannerLink::default());
    let settings = &shared.settings;
    let endpoints = [
        ("readiness", listeners.readiness),
        ("directory", listeners.directory),
        (endpoint::METRICS_LISTENER, listeners.metrics),
    ];
    for (name, listener) in endpoints {
        task::spawn_local(endpoint::serve(shared.clone(), name, listener));
    }
    task::spawn_local(peers::serve(shared.clone(), listeners.peers, sockets));
    task::spawn_local(caller::serve(
        shared.clone(),
        link.clone(),
        listeners.callers,
    ));
    task::spawn_local(notices::receive(shared.clone()));
    task::spawn_local(suspects::share(shared.clone()));
    task::spawn_local(refusals::run(shared.clone()));
    task::spawn_local(tokens::run(shared.clone()));
    task::spawn_local(usage::run(shared.clone()));
    task::spawn_local(watch::run(shared.clone()));
    task::spawn_local(config_watch::run(shared.clone()));
    task::spawn_local(freshness::run(shared.clone()));
    task::spawn_local(proofs::run(shared.clone()));
    task::spawn_local(orders::run(shared.clone()));
    task::spawn_local(peers::report_demand(shared.clone(), link));
    task::spawn_local(lease_extension::run(shared.clone()));
    task::spawn_local(succession::run(shared.clone()));
    task::spawn_local(sweep_idle_connections(shared.clone()));
    task::spawn_local(lateness::run(shared.clone()));
    task::spawn_local(traffic::log(shared.clone()));
    task::spawn_local(caller::sweep(shared.clone()));
    let membership = task::spawn_local(membership::run(shared.clone()));
    journal!(
        info,
        "started",
        host = settings.host,
        data_centre = settings.data_centre,
        callers = settings.caller_address,
        directory = settings.directory_address,
        readiness = settings.readiness_address,
        metrics = settings.metrics_address,
        store = settings.kv_address,
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // Settings are read at the start only: none of them may change later.
            _ = hang_up.recv() => journal!(info, "reload", changed = 0),
        }
    }
    leave(&shared).await;
    if let Err(error) = membership.await {
        journal!(warn, "membership-ended", error = error);
    }
    journal!(
        info,
        "ended",
        host = shared.settings.host,
        open = shared.open_requests.get()
    );
    Ok(())
}

async fn sweep_idle_connections<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        shared.client.close_expired();
    }
}

/// Shuts the host down: still serves for [`LEAVING_PERIOD`], then accepts no connections and
/// waits until all requests and callers' connections have ended, or the grace period is
/// nearly over. Requests that are open then get their final answer.
async fn leave<D>(shared: &Shared<D>) {
    let start = shared.clock.now();
    let grace = shared.settings.bounds.grace_period;
    let grace = grace.saturating_sub(GRACE_MARGIN);
    let deadline = start + grace;
    let answers_at = start + grace.saturating_sub(FINAL_ANSWERS_PERIOD);
    shared.stop.set(Some(Stop {
        takes_all_until: start + TAKING_PERIOD,
        answers_at,
    }));
    journal!(
        info,
        "leaving",
        open = shared.open_requests.get(),
        connections = shared.caller_connections.get()
    );
    shared.set_phase(Phase::Leaving);
    time::sleep(LEAVING_PERIOD.min(answers_at.since(start))).await;
    shared.set_phase(Phase::Closing);
    loop {
        let idle = shared.open_requests.get() == 0 && shared.caller_connections.get() == 0;
        let now = shared.clock.now();
        if idle || now >= deadline {
            return;
        }
        if now >= answers_at && shared.phase.get() != Phase::Ending {
            journal!(info, "ending", open = shared.open_requests.get());
            shared.set_phase(Phase::Ending);
        }
        time::sleep(CLOSING_CHECK_INTERVAL).await;
    }
}
