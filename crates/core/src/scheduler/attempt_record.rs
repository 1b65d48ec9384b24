//! Records progress and end of running jobs, and checks their endpoints for outliers.

use super::Scheduler;
use crate::{job::AttemptEnd, quarantine::Fingerprint, running_job::RunningJob, sheet::TargetKind};

/// Minimum gap in a running stream that is recorded as one slow token, in milliseconds.
const STALL_MS: u64 = 1_000;

/// Interval between outlier checks, in milliseconds.
const OUTLIER_CHECK_INTERVAL_MS: u64 = 250;

impl Scheduler {
    /// Records that tokens of a running job arrived, `total_tokens` of this attempt so far.
    pub fn record_progress(&mut self, id: u64, total_tokens: u32, now_ms: u64) {
        let Some(running) = self.running.get_mut(&id) else { return };
        let elapsed_ms = now_ms.saturating_sub(running.last_token_ms) as f64;
        if running.tokens == 0 {
            self.endpoints.record_first_token(running.endpoint, elapsed_ms);
        } else {
            let tokens = total_tokens.saturating_sub(running.tokens);
            self.endpoints.record_tokens(running.endpoint, tokens, elapsed_ms);
        }
        running.tokens = total_tokens;
        running.last_token_ms = now_ms;
    }

    /// Records the end of a running job, whose attempt produced `tokens` tokens. Returns the
    /// earliest time at which its client may be informed: after the loss of an endpoint, peers must
    /// learn of the suspect before the client can retry through them.
    pub fn record_end(&mut self, id: u64, end: AttemptEnd, tokens: u32, now_ms: u64) -> u64 {
        let Some(running) = self.running.swap_remove(&id) else { return now_ms };
        self.running_totals.remove(&running);
        self.quarantine.trial_ended(running.job.fingerprints.request);
        let used = f64::from(tokens) - running.charged_tokens as f64;
        self.shares.charge(&running.job.account, used, now_ms);
        match end {
            AttemptEnd::Answered => self.record_response(&running, tokens, now_ms),
            AttemptEnd::NotAccepted | AttemptEnd::TooSlow | AttemptEnd::Interrupted => {
                self.endpoints.record_failure(running.endpoint, now_ms);
            }
            AttemptEnd::EndpointLost => return self.record_endpoint_down(&running, now_ms),
            AttemptEnd::Released => self.endpoints.record_release(running.endpoint, now_ms),
        }
        now_ms
    }

    fn record_response(&mut self, running: &RunningJob, tokens: u32, now_ms: u64) {
        self.endpoints.record_success(running.endpoint, now_ms);
        for fingerprint in running.job.fingerprints.iter() {
            self.quarantine.record_completed(fingerprint, now_ms);
        }
        let elapsed_ms = now_ms.saturating_sub(running.sent_ms) as f64;
        if running.job.kind == TargetKind::Service {
            self.endpoints.record_first_token(running.endpoint, elapsed_ms);
            return;
        }
        if !running.job.is_stream {
            let waited_ms = self.endpoints.endpoint(running.endpoint).performance.first_token_ms();
            self.endpoints.record_tokens(
                running.endpoint,
                tokens,
                (elapsed_ms - waited_ms).max(1.0),
            );
        }
        let total_tokens = running.job.delivered_tokens + tokens;
        let key = running.job.length_key();
        self.predictor.observe(&key, &running.job.prior, total_tokens);
    }

    fn record_endpoint_down(&mut self, running: &RunningJob, now_ms: u64) -> u64 {
        let was_running_there =
            self.endpoints.record_down(running.endpoint, running.sent_ms, now_ms);
        self.prefixes.invalidate_endpoint(running.endpoint);
        if !was_running_there || !self.settings.switches.quarantine {
            return now_ms;
        }
        let endpoint = self.endpoints.endpoint(running.endpoint).name.clone();
        let suspects: Vec<Fingerprint> = running.job.fingerprints.iter().collect();
        self.quarantine.record_endpoint_loss(&endpoint, &suspects, now_ms)
    }

    /// Ejects slow endpoints at intervals. Stalled streams count as slow tokens, so that an
    /// endpoint is noticed even if it sends nothing.
    pub(super) fn check_outliers(&mut self, now_ms: u64) {
        if now_ms < self.last_outlier_check_ms + OUTLIER_CHECK_INTERVAL_MS {
            return;
        }
        self.last_outlier_check_ms = now_ms;
        for it in self.running.values_mut() {
            let stalled_ms = now_ms.saturating_sub(it.last_token_ms);
            if it.job.is_stream && it.tokens > 0 && stalled_ms >= STALL_MS {
                self.endpoints.record_tokens(it.endpoint, 1, stalled_ms as f64);
            }
        }
        self.endpoints.eject_outliers(now_ms);
        self.quarantine.expire(now_ms);
    }
}
