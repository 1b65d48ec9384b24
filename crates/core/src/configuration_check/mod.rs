//! Checks of a configuration before it comes into force: entries that no request reaches, limits that
//! contradict each other, and what callers will notice of the differences from another version.
//!
//! What makes a sheet unusable is found by [`crate::check`], which runs the checks of this module too.

mod caller_change;
mod route_changes;
mod routes;
mod sheet;
mod sheet_changes;

pub use self::{
    caller_change::CallerChange,
    route_changes::route_changes,
    routes::{AccountEntry, RoutingTable, check_routes},
    sheet::check_reachability,
    sheet_changes::sheet_changes,
};
