//! The duties.

use serde::Deserialize;

/// A duty that one instance at a time performs for all. Settings name it as here.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, strum::Display, strum::IntoStaticStr,
)]
pub enum Duty {
    /// Reporting how many requests of each client account began to run.
    #[serde(rename = "metering")]
    #[strum(serialize = "metering")]
    UsageReports,
    /// Ordering servers.
    #[serde(rename = "autoscale")]
    #[strum(serialize = "autoscale")]
    ServerOrders,
}
