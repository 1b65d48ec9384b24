//! Interface to the deployment's control service.

use std::future::Future;

use tanagergauge_core::duties::{CallError, CallPermit, ServerOrder, UsageReport};

/// A client of the control service. Each call ends, and its connection is reset, before the permit's time
/// is over.
pub trait ControlService: Send + Sync + 'static {
    /// Reports usage. An exact repeat of a report has no effect.
    fn report_usage(
        &self,
        permit: &CallPermit,
        report: &UsageReport,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Orders servers.
    fn order_servers(
        &self,
        permit: &CallPermit,
        order: &ServerOrder,
    ) -> impl Future<Output = Result<(), CallError>> + Send;
}
