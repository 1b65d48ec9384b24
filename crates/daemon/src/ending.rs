//! Sees to it that the end of every request is recorded once.

use std::sync::Arc;

use tanagergauge_core::Reason;

use crate::{
    attainment::Delivery,
    refusal::Refusal,
    shared::Shared,
    work::{Ended, Work},
};

/// A request whose end is not recorded yet. Dropped with it when the caller leaves.
#[derive(Debug)]
pub struct Ending {
    shared: Arc<Shared>,
    work: Work,
    is_recorded: bool,
}

impl Ending {
    /// Watches over a request that begins.
    pub fn new(shared: Arc<Shared>, work: Work) -> Ending {
        Ending { shared, work, is_recorded: false }
    }

    /// Records how the request ended.
    pub fn record(mut self, ended: Ended) {
        self.is_recorded = true;
        let delivery = self.work.delivery(&self.shared, None, 0);
        self.work.ended(&self.shared, ended, delivery);
    }

    /// Leaves the recording to whoever delivers the rest of the answer.
    pub fn hand_over(mut self) {
        self.is_recorded = true;
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if !self.is_recorded {
            let refusal = Refusal::unknown(Reason::CallerLeft, "the caller left");
            self.work.ended(&self.shared, Ended::Refused(refusal), Delivery::default());
        }
    }
}
