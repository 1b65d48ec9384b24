//! Idle time-out of callers' connections.
//!
//! hyper asks its timer for the end of each wait for a request's head. A caller may know a later
//! configuration than the one that was in force when its connection was opened, and reuse the connection
//! for as long as that says.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant as StdInstant},
};

use hyper::rt::{Sleep as HyperSleep, Timer};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::gateway::Gateway;

/// Timer whose waits last until the idle time-out of the current configuration, if that is later.
#[derive(Clone)]
pub(crate) struct IdleTimer {
    gateway: Arc<Gateway>,
}

/// One wait for a request's head.
struct IdleSleep {
    gateway: Arc<Gateway>,
    started: Instant,
    /// Deadline set when the wait began.
    deadline: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl IdleTimer {
    pub(crate) fn new(gateway: Arc<Gateway>) -> IdleTimer {
        IdleTimer { gateway }
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn HyperSleep>> {
        self.sleep_until(StdInstant::now() + duration)
    }

    fn sleep_until(&self, deadline: StdInstant) -> Pin<Box<dyn HyperSleep>> {
        let deadline = Instant::from_std(deadline);
        Box::pin(IdleSleep {
            gateway: Arc::clone(&self.gateway),
            started: Instant::now(),
            deadline,
            sleep: Box::pin(sleep_until(deadline)),
        })
    }
}

impl HyperSleep for IdleSleep {}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let configured = self.gateway.idle_timeout().map(|it| self.started + it);
            let end = configured.map_or(self.deadline, |it| it.max(self.deadline));
            if Instant::now() >= end {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
    }
}
