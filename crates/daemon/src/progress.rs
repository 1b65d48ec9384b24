//! Counts work in progress, so that a planned stop can wait for it.

use tokio::sync::watch;

/// The number of requests in progress.
#[derive(Debug)]
pub struct Progress {
    count: watch::Sender<usize>,
}

/// One request in progress; dropping it ends it.
#[derive(Debug)]
pub struct Guard {
    count: watch::Sender<usize>,
}

impl Default for Progress {
    fn default() -> Progress {
        Progress { count: watch::Sender::new(0) }
    }
}

impl Progress {
    /// Begins a request.
    pub fn begin(&self) -> Guard {
        self.count.send_modify(|it| *it += 1);
        Guard { count: self.count.clone() }
    }

    /// Requests in progress now.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until nothing is in progress.
    pub async fn idle(&self) {
        let mut receiver = self.count.subscribe();
        // The sender lives as long as self, so that this cannot fail.
        let _ = receiver.wait_for(|it| *it == 0).await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.send_modify(|it| *it -= 1);
    }
}
