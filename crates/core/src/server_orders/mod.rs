//! How many servers a service should have in each availability zone, and in which steps they are ordered.
//!
//! A forecast states how many servers the demand needs, a plan distributes them over zones and kinds at the
//! least cost, and a planner turns the difference from what is there into orders. The list of servers is the
//! only lasting state, so that another instance can go on at any time.

mod backoff;
mod capacity;
mod fleet;
mod forecast;
mod plan;
mod planner;
mod pool;

pub use capacity::PlannedCapacity;
pub use fleet::{Fleet, PoolCount, PoolKey, ZoneFleet};
pub use forecast::{DemandSample, EngineCapacity, Forecast};
pub use plan::{ZoneLimits, ZonePlan, cheapest_plan, cost_per_s, remaining_capacity};
pub use planner::{PlannedOrder, PlannerInput, ServerPlanner};
