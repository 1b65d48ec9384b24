//! The part of the balancer that concerns software versions: which endpoints may go on with a stream, and
//! whether their processes are those of their entries.

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    balancer::{Balancer, is_leaving},
    endpoint::Endpoint,
    process_identity::{ListCurrency, ProcessIdentity},
    selection::{EndpointQuery, NoEndpoint, SelectedEndpoint},
};

/// How long a doubt is told to peers, in milliseconds. It reaches all within three reports.
const DOUBT_TOLD_MS: u64 = 1_000;

/// An endpoint whose process may be another one than that of its entry, as it is told to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessDoubt {
    /// The endpoint.
    pub endpoint: Name,
    /// Time since a connection to it was refused or ended, in milliseconds.
    pub age_ms: u64,
}

impl Balancer {
    /// Service and software version of each endpoint.
    pub fn software_versions(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.endpoints.values().map(|it| (&it.info.service, &it.info.software_version))
    }

    /// Those of the endpoints that have the required software version. Only endpoints whose process is
    /// proven to be that of the entry go on with a stream, or that can be asked before they get it.
    pub(crate) fn of_required_version<'a>(
        &self,
        query: &EndpointQuery<'_>,
        untried: &[&'a Endpoint],
    ) -> Result<Vec<&'a Endpoint>, NoEndpoint> {
        let Some(version) = query.software_version else { return Ok(untried.to_vec()) };
        let of_version = untried.iter().filter(|it| it.info.software_version == *version);
        let (proven, unproven): (Vec<&Endpoint>, Vec<&Endpoint>) =
            of_version.partition(|it| may_go_on(it));
        if !proven.is_empty() {
            return Ok(proven);
        }
        if !unproven.is_empty() {
            return Err(NoEndpoint::Unproven);
        }
        if self.serves_version(query.service, version) {
            return Err(NoEndpoint::Exhausted);
        }
        Err(NoEndpoint::NoneOfVersion)
    }

    fn serves_version(&self, service: &Name, version: &Name) -> bool {
        let serves = |it: &Endpoint| it.info.service == *service && !is_leaving(it, &self.notices);
        self.endpoints.values().any(|it| serves(it) && it.info.software_version == *version)
    }

    /// Endpoints of a service and version whose process is not proven to be that of the entry.
    pub fn unproven(&self, service: &Name, version: &Name) -> Vec<Name> {
        let is_unproven = |it: &&Endpoint| {
            it.info.service == *service && it.info.software_version == *version && !may_go_on(it)
        };
        self.endpoints.values().filter(is_unproven).map(|it| it.info.id.clone()).collect()
    }

    /// Records that a connection to an endpoint was refused or ended, or that an answer did not come.
    /// Returns whether its process is doubted since. Without a version it does not matter which one answers.
    pub fn record_disconnect(&mut self, id: &str, now_ms: u64) -> bool {
        self.process_of_version(id).is_some_and(|it| it.record_disconnect(now_ms))
    }

    fn process_of_version(&mut self, id: &str) -> Option<&mut ProcessIdentity> {
        let endpoint = self.endpoints.get_mut(id)?;
        (!endpoint.info.software_version.is_empty()).then_some(&mut endpoint.process)
    }

    /// When a connection to an endpoint was last refused or ended, while its process is doubted.
    pub fn doubted_ms(&self, id: &str) -> Option<u64> {
        self.endpoints.get(id)?.process.doubted_ms()
    }

    /// Records an answer to a request that was sent at `sent_ms` on a connection that was opened at
    /// `opened_ms`.
    pub fn record_answer(&mut self, id: &str, opened_ms: u64, sent_ms: u64) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.process.record_answer(opened_ms, sent_ms);
        }
    }

    /// Records that the process of an endpoint is that of its entry, by the report that it gave at `asked_ms`.
    pub fn record_process_shown(&mut self, id: &str, incarnation: u64, asked_ms: u64) {
        let endpoint = self.endpoints.get_mut(id);
        let endpoint = endpoint.filter(|it| it.info.incarnation == incarnation);
        if let Some(it) = endpoint {
            it.process.record_shown(asked_ms);
        }
    }

    /// Records that an endpoint's entry was read again, with nothing new but its number.
    pub fn record_repeated_entry(&mut self, id: &str, sequence: u64, now_ms: u64) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.process.record_repeat(sequence, now_ms);
        }
    }

    /// Whether the entry by which an endpoint was selected is still in force.
    pub fn is_entry_unchanged(&self, selected: &SelectedEndpoint) -> bool {
        self.entry_of(selected).is_some()
    }

    /// Records that the process that accepted a connection at `accepted_ms` is still there and that the
    /// entry is unchanged. Returns whether it is proven to be that of the entry.
    pub fn record_unchanged_entry(
        &mut self,
        id: &str,
        accepted_ms: u64,
        list: ListCurrency,
        now_ms: u64,
    ) -> bool {
        let endpoint = self.endpoints.get_mut(id);
        endpoint.is_some_and(|it| it.process.record_unchanged_entry(accepted_ms, list, now_ms))
    }

    /// Software version of the process that a request was sent to; `None` if it may be another process
    /// than that of the entry by which it was selected.
    pub fn proven_version(&self, selected: &SelectedEndpoint) -> Option<&Name> {
        let endpoint = self.entry_of(selected)?;
        endpoint.process.is_proven().then_some(&endpoint.info.software_version)
    }

    /// Software version of the process that a connection leads to, which was opened at `opened_ms`; `None`
    /// if it is not shown to be that of the entry by which the endpoint was selected.
    pub fn shown_version(
        &self,
        selected: &SelectedEndpoint,
        opened_ms: u64,
        list: ListCurrency,
    ) -> Option<&Name> {
        let endpoint = self.entry_of(selected)?;
        let is_shown = endpoint.process.is_shown_on(opened_ms, list);
        is_shown.then_some(&endpoint.info.software_version)
    }

    /// The same without asking for evidence; `None` only if something hints at another process.
    pub fn assumed_version(&self, selected: &SelectedEndpoint, opened_ms: u64) -> Option<&Name> {
        let endpoint = self.entry_of(selected)?;
        let is_reached = endpoint.process.is_reached_by(opened_ms);
        is_reached.then_some(&endpoint.info.software_version)
    }

    /// The endpoint, if the entry by which it was selected is still in force.
    fn entry_of(&self, selected: &SelectedEndpoint) -> Option<&Endpoint> {
        let endpoint = self.endpoints.get(&selected.id);
        endpoint.filter(|it| it.info.incarnation == selected.incarnation)
    }

    /// Whether nothing hints at another process than that by whose entry an endpoint was selected, on a
    /// connection that was opened at `opened_ms`.
    pub fn is_reached_by(&self, selected: &SelectedEndpoint, opened_ms: u64) -> bool {
        self.entry_of(selected).is_some_and(|it| it.process.is_reached_by(opened_ms))
    }

    /// Whether an endpoint's process has reported that it is that of the entry, and can be asked again.
    pub fn reports(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|it| it.process.reports())
    }

    /// Number of listed endpoints whose process is not proven to be that of the entry, and can't be asked.
    pub fn unproven_count(&self) -> usize {
        self.endpoints.values().filter(|it| !may_go_on(it)).count()
    }

    /// Recent doubts, for peers.
    pub fn process_doubts(&self, now_ms: u64) -> Vec<ProcessDoubt> {
        let doubt = |it: &Endpoint| {
            let age_ms = now_ms.saturating_sub(it.process.doubted_ms()?);
            let endpoint = it.info.id.clone();
            (age_ms < DOUBT_TOLD_MS).then_some(ProcessDoubt { endpoint, age_ms })
        };
        self.endpoints.values().filter_map(doubt).collect()
    }

    /// Records what a peer told. Returns the endpoints that were not doubted before.
    pub fn merge_process_doubts(&mut self, doubts: Vec<ProcessDoubt>, now_ms: u64) -> Vec<Name> {
        let mut new = Vec::new();
        for ProcessDoubt { endpoint, age_ms } in doubts {
            let at_ms = now_ms.saturating_sub(age_ms);
            let process = self.process_of_version(&endpoint).filter(|_| age_ms < DOUBT_TOLD_MS);
            if process.is_some_and(|it| it.record_told_disconnect(at_ms)) {
                new.push(endpoint);
            }
        }
        new
    }
}

/// Whether an endpoint may be chosen to go on with a stream.
fn may_go_on(endpoint: &Endpoint) -> bool {
    endpoint.process.is_proven() || endpoint.process.reports()
}
