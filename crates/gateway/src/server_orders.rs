//! Orders servers while this instance holds the lease of the duties.
//!
//! Every instance samples the demand, so that one that becomes the holder has a forecast at once.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use metrics::{counter, gauge};
use tanagergauge_core::{
    Name,
    duties::{CallError, CallPermit, ServerOrder},
    routing::{ScaleLimits, Service},
    server_orders::{
        EngineCapacity, Fleet, Forecast, PlannedOrder, PlannerInput, PoolKey, ServerPlanner,
    },
};
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    clock,
    control_service::ControlService,
    duties::{Duties, Holder},
    duty_settings::OrderMode,
    gateway::Gateway,
};

/// Interval at which demand is sampled and servers are planned.
const INTERVAL: Duration = Duration::from_millis(500);
/// Greatest age of the list of servers to order by, in milliseconds.
const MAX_LIST_AGE_MS: u64 = 3_000;
/// Pause before another permit is asked for; calls have to keep a distance.
const PERMIT_PAUSE: Duration = Duration::from_millis(25);
/// Number of times that a permit is asked for.
const PERMIT_TRIES: u32 = 8;

/// Samples the demand, and orders servers while this instance is the holder.
pub(crate) async fn run<C: ControlService>(gateway: Arc<Gateway>, duties: Arc<Duties>, control: C) {
    let control = Arc::new(control);
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut state = Orders::default();
    loop {
        ticks.tick().await;
        let views = state.sample(&gateway);
        let Some(token) = duties.holder.token() else {
            state.end_term();
            continue;
        };
        state.begin_term(token);
        if gateway.endpoints_age_ms().is_none_or(|it| it > MAX_LIST_AGE_MS) {
            continue;
        }
        for view in views {
            let orders = state.plan(&view);
            let Some(planner) = state.planners.get_mut(&view.service) else { continue };
            match duties.settings.server_orders {
                OrderMode::Shadow => state.shadow.log(&view.service, &orders),
                OrderMode::Live => send(&duties, &control, &view.service, planner, orders).await,
            }
        }
    }
}

/// A service as it is sampled.
struct ServiceView {
    service: Name,
    limits: ScaleLimits,
    fleet: Fleet,
    /// Servers that the demand needs; `None` before any demand.
    needed: Option<u32>,
    is_usual_known: bool,
}

#[derive(Default)]
struct Orders {
    forecasts: HashMap<Name, Forecast>,
    /// Fencing token of the term that `planners` belong to.
    token: Option<u64>,
    planners: HashMap<Name, ServerPlanner>,
    shadow: ShadowLog,
}

impl Orders {
    /// Samples all services that may be scaled.
    fn sample(&mut self, gateway: &Gateway) -> Vec<ServiceView> {
        let Some(configuration) = gateway.configuration() else { return Vec::new() };
        let scaled = || configuration.services().filter(|it| it.scale.is_some());
        self.forecasts.retain(|name, _| scaled().any(|it| it.name == *name));
        self.planners.retain(|name, _| scaled().any(|it| it.name == *name));
        scaled().filter_map(|it| self.sample_service(gateway, it)).collect()
    }

    fn sample_service(&mut self, gateway: &Gateway, service: &Service) -> Option<ServiceView> {
        let name = &service.name;
        let (sample, fleet, least_slots) = {
            let mut balancer = gateway.balancer();
            balancer.track_demand(name, clock::now_ms());
            let (fleet, least_slots) = balancer.service_fleet(name);
            (balancer.service_demand(name), fleet, least_slots)
        };
        let engine = EngineCapacity {
            prefill_tokens_per_ms: gateway.settings.balance.read_tokens_per_ms,
            slots: service.engine.map(|it| it.slots).or(least_slots).unwrap_or(1),
        };
        let forecast = self.forecasts.entry(name.clone()).or_default();
        forecast.record(sample, clock::now_ms());
        let needed = forecast.servers_needed(engine);
        record_forecast(name, forecast, needed);
        let limits = service.scale.clone()?;
        record_fleet(name, &limits, &fleet);
        let is_usual_known = forecast.usual().is_some();
        Some(ServiceView { service: name.clone(), limits, fleet, needed, is_usual_known })
    }

    /// Plans by the list alone if the term is a new one.
    fn begin_term(&mut self, token: u64) {
        if self.token != Some(token) {
            self.end_term();
            self.token = Some(token);
        }
    }

    fn end_term(&mut self) {
        self.token = None;
        for (service, planner) in self.planners.drain() {
            for (limits, _) in planner.plan() {
                for is_spot in [false, true] {
                    let pool = PoolKey { zone: limits.zone.clone(), is_spot };
                    set_planned(&service, &pool, 0);
                }
            }
        }
        self.shadow = ShadowLog::default();
    }

    fn plan(&mut self, view: &ServiceView) -> Vec<PlannedOrder> {
        let now_ms = clock::now_ms();
        let planner = self.planners.entry(view.service.clone());
        let planner = planner.or_insert_with(|| {
            let servers = view.fleet.remaining();
            tracing::info!(service = %view.service, servers, needed = view.needed, "orders servers from now on");
            ServerPlanner::new(now_ms)
        });
        let input = PlannerInput {
            limits: &view.limits,
            fleet: &view.fleet,
            needed: view.needed,
            is_usual_known: view.is_usual_known,
        };
        let orders = planner.step(&input, now_ms);
        for (limits, plan) in planner.plan() {
            for (is_spot, servers) in [(false, plan.on_demand), (true, plan.spot)] {
                let pool = PoolKey { zone: limits.zone.clone(), is_spot };
                set_planned(&view.service, &pool, servers);
            }
        }
        gauge!("tanagergauge_servers_kept", "service" => view.service.to_string())
            .set(f64::from(planner.planned_capacity()));
        orders
    }
}

/// Sends orders, beside each other if the control service is slow, and records their results.
async fn send<C: ControlService>(
    duties: &Arc<Duties>,
    control: &Arc<C>,
    service: &Name,
    planner: &mut ServerPlanner,
    orders: Vec<PlannedOrder>,
) {
    let mut calls = JoinSet::new();
    for planned in orders {
        let Some(permit) = permit(&duties.holder).await else { break };
        let (duties, control) = (Arc::clone(duties), Arc::clone(control));
        let order = ServerOrder {
            service: service.clone(),
            availability_zone: planned.pool.zone.clone(),
            desired: planned.desired,
            is_spot: planned.pool.is_spot,
        };
        calls.spawn(async move {
            let result = control.order_servers(&permit, &order).await;
            duties.holder.record_call(&result);
            (planned, result)
        });
    }
    while let Some(call) = calls.join_next().await {
        let Ok((planned, result)) = call else { continue };
        record_order(service, &planned, result);
        planner.record_result(&planned, result, clock::now_ms());
    }
}

async fn permit(holder: &Holder) -> Option<CallPermit> {
    for _ in 0..PERMIT_TRIES {
        if let Some(permit) = holder.permit() {
            return Some(permit);
        }
        holder.token()?;
        sleep(PERMIT_PAUSE).await;
    }
    None
}

/// Orders that were logged and not sent, each once.
#[derive(Default)]
struct ShadowLog {
    logged: BTreeMap<(Name, PoolKey), u32>,
}

impl ShadowLog {
    fn log(&mut self, service: &Name, orders: &[PlannedOrder]) {
        for PlannedOrder { pool, desired, before } in orders {
            let logged = self.logged.insert((service.clone(), pool.clone()), *desired);
            if logged != Some(*desired) {
                let (zone, kind) = (&pool.zone, kind(pool));
                tracing::info!(%service, %zone, kind, desired, before, "would order servers");
            }
        }
    }
}

fn kind(pool: &PoolKey) -> &'static str {
    if pool.is_spot { "spot" } else { "on_demand" }
}

fn record_order(service: &Name, planned: &PlannedOrder, result: Result<(), CallError>) {
    let PlannedOrder { pool, desired, before } = planned;
    let (zone, kind) = (&pool.zone, kind(pool));
    let label = result.map_or_else(<&'static str>::from, |()| "ok");
    match result {
        Ok(()) => tracing::info!(%service, %zone, kind, desired, before, "servers ordered"),
        Err(error) => {
            tracing::warn!(%service, %zone, kind, desired, before, %error, "order of servers failed")
        }
    }
    let service = service.to_string();
    counter!("tanagergauge_server_orders_total", "service" => service.clone(), "kind" => kind, "result" => label)
        .increment(1);
    if result.is_ok() {
        gauge!("tanagergauge_servers_ordered", "service" => service, "zone" => zone.to_string(), "kind" => kind)
            .set(f64::from(*desired));
    }
}

fn set_planned(service: &Name, pool: &PoolKey, servers: u32) {
    gauge!("tanagergauge_servers_planned", "service" => service.to_string(), "zone" => pool.zone.to_string(), "kind" => kind(pool))
        .set(f64::from(servers));
}

fn record_forecast(service: &Name, forecast: &Forecast, needed: Option<u32>) {
    let Some(peak) = forecast.peak() else { return };
    let service = service.to_string();
    gauge!("tanagergauge_forecast_prefill_tokens_per_ms", "service" => service.clone())
        .set(peak.prefill_tokens_per_ms);
    gauge!("tanagergauge_forecast_requests", "service" => service.clone()).set(peak.running);
    gauge!("tanagergauge_servers_needed", "service" => service).set(f64::from(needed.unwrap_or(0)));
}

/// Sets the cost of the servers that are listed.
fn record_fleet(service: &Name, limits: &ScaleLimits, fleet: &Fleet) {
    let cost = fleet.zones.iter().map(|(zone, servers)| {
        let price = limits.zone_prices.get(zone).copied().unwrap_or(0.0);
        let spot = f64::from(servers.spot.serving + servers.spot.draining);
        let on_demand = f64::from(servers.on_demand.serving + servers.on_demand.draining);
        price * (on_demand + spot * limits.spot_price_ratio.unwrap_or(1.0))
    });
    gauge!("tanagergauge_servers_cost_per_second", "service" => service.to_string())
        .set(cost.sum::<f64>());
}
