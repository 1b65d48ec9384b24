//! Resumption of a broken or stalled stream at another endpoint.

use std::{sync::Arc, task::Context};

use tanagergauge_core::{body_end::Framing, send_history::Failure};
use tokio::{sync::Notify, time::Instant};

use super::{LOG_TARGET, Relay, State};
use crate::{
    attempt, clock,
    continuation::display_id,
    process_proof,
    resumption::{Resuming, Resumption, SilentUpstream, Upstream},
    retry::{OpenedResponse, open_response},
    stream_end,
};

impl Relay {
    /// Begins to ask another endpoint to continue the stream, while its `silent` one may still go on.
    pub(super) fn begin_resuming(&mut self, failure: Failure, silent: Option<Box<Upstream>>) {
        let begun = self.progress.watch_begun();
        let silent = silent.map(|it| SilentUpstream::new(it, begun));
        let cancel = Arc::new(Notify::new());
        let asking = self.resume(failure, Arc::clone(&cancel));
        self.state = State::Resuming(Resumption { failure, asking, cancel, silent });
    }

    /// Asks another endpoint to continue the stream after its last complete event, until `cancel` is
    /// notified.
    pub(super) fn resume(&mut self, failure: Failure, cancel: Arc<Notify>) -> Resuming {
        let (gateway, request) = (Arc::clone(&self.gateway), Arc::clone(&self.request));
        let mut progress = std::mem::take(&mut self.progress);
        let last_id = self.events.last_event_id().cloned();
        let last_choice = progress.last_choice.as_ref();
        tracing::info!(
            target: LOG_TARGET,
            request = %request.id,
            software_version = last_choice.map(|it| &*it.software_version),
            events = self.events.event_count(),
            reason = %failure,
            silent_ms = clock::as_ms(self.stall.silent_time()),
            last_event_id = last_id.as_ref().map(display_id),
            "stream broke; another endpoint is asked to continue"
        );
        let is_unknown = self.events.event_count() > 0 && progress.required_version.is_none();
        let begun_at = progress.last_choice.clone().filter(|_| is_unknown);
        let opened_ms = self.opened_ms;
        Box::pin(async move {
            let opening = async {
                if let Some(begun_at) = begun_at {
                    let version =
                        process_proof::wait_for_version(&gateway, &request, &begun_at, opened_ms)
                            .await?;
                    progress.required_version = Some(version);
                }
                open_response(&gateway, &request, &mut progress, last_id.as_ref()).await.ok()
            };
            let opened = tokio::select! {
                biased;
                () = cancel.notified() => None,
                opened = opening => opened,
            };
            (progress, opened)
        })
    }

    /// Continues with the response of the endpoint that was asked to.
    pub(super) fn continue_with(&mut self, opened: OpenedResponse) {
        self.resumed += 1;
        self.was_moved = false;
        self.events.discard_partial();
        self.first = Some(opened.first);
        self.state = State::streaming(opened.framing, opened.body, opened.attempt);
        self.stall.record_data();
        self.stall.reset(Instant::now());
    }

    /// Waits for the endpoint that fell silent, if it is still connected, since nobody else continues
    /// the stream; gives up without it.
    pub(super) fn continue_without(
        &mut self,
        failure: Failure,
        silent: Option<SilentUpstream>,
        cx: &mut Context<'_>,
    ) {
        match silent {
            None => {
                self.events.discard_partial();
                self.abort(failure, cx);
            }
            Some(SilentUpstream { upstream, .. }) => {
                tracing::info!(
                    target: LOG_TARGET,
                    request = %self.request.id,
                    endpoint = %upstream.attempt.chosen.id,
                    "no endpoint continues the stream; waiting for its own"
                );
                self.return_to(upstream, failure);
            }
        }
    }

    /// Goes on with the endpoint that fell silent, as it sent an event or its end before another one
    /// continued the stream.
    pub(super) fn go_on_with_silent(&mut self, cx: &mut Context<'_>) {
        let state = std::mem::replace(&mut self.state, State::Transition);
        let State::Resuming(mut resumption) = state else { return };
        if let Some(progress) = resumption.cancel(cx) {
            self.progress = progress;
        }
        self.progress.attempt_superseded(&self.request);
        let Some(SilentUpstream { upstream, .. }) = resumption.silent else { return };
        let endpoint = &upstream.attempt.chosen.id;
        tracing::info!(target: LOG_TARGET, request = %self.request.id, %endpoint, "the silent endpoint goes on");
        attempt::record_recovered(&self.gateway, endpoint);
        self.stall.record_data();
        self.return_to(upstream, resumption.failure);
    }

    /// Takes back that an endpoint failed, and streams its response again.
    pub(super) fn return_to(&mut self, upstream: Box<Upstream>, failure: Failure) {
        self.progress.attempt_goes_on(&upstream.attempt.chosen, failure);
        self.progress.upstream_framing = Some(upstream.framing);
        self.progress.is_event_stream = Some(self.events.is_event_stream());
        self.state = State::Streaming(upstream);
        self.stall.reset(Instant::now());
    }

    /// Whether a response continues the stream. An endpoint whose response does not may have run the request,
    /// and is not asked again. With `has_own` the endpoint that fell silent is still connected.
    pub(super) fn accepts(&mut self, opened: &OpenedResponse, has_own: bool) -> bool {
        let failure = if !self.kind.is_continued_by(opened, &self.events, &self.request) {
            Failure::BadAnswer
        } else if has_own && !self.secure_end(opened.framing) {
            Failure::EndUnknown
        } else {
            return true;
        };
        let endpoint = &opened.attempt.chosen.id;
        self.progress.attempt_failed(&self.request, endpoint, failure);
        false
    }

    pub(super) fn secure_end(&mut self, framing: Framing) -> bool {
        stream_end::is_secured(&self.gateway, &self.request, &mut self.progress, framing)
    }
}
