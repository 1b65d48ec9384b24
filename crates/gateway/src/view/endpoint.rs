//! Endpoints' records.

use std::sync::Arc;

use bytes::Bytes;
use tanagergauge_core::{
    Name,
    endpoint::{Distance, EndpointInfo},
    endpoint_reports::ReportNumber,
};

use super::{ChangeReport, LOG_TARGET, RecordEffect, StoreView};
use crate::{
    clock,
    gateway::Gateway,
    peers,
    store::{Decoders, EndpointEntry},
    suspects,
};

impl StoreView {
    /// Applies an endpoint's record.
    pub(super) fn apply_endpoint(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        key: &Name,
        value: Option<&Bytes>,
        report: ChangeReport,
    ) -> RecordEffect {
        self.listed_again_until.remove(key);
        let Some(value) = value else {
            self.endpoint_removed(gateway, key);
            return RecordEffect::Change;
        };
        self.missing_until.remove(key);
        match (decoders.endpoint)(value) {
            Ok(entry) => {
                self.reports.record(key, report_number(&entry), value);
                let leaves_in_ms = entry
                    .leaves_in_ms
                    .filter(|_| entry.leaving && is_scaled(gateway, &entry.service));
                match leaves_in_ms {
                    Some(it) => gateway.departures.record(key, entry.incarnation, it),
                    None => gateway.departures.remove(key),
                }
                let sequence = entry.report_sequence;
                let info = endpoint_info(gateway, key, entry);
                let (leaving, service) = (info.leaving, info.service.clone());
                let software_version = info.software_version.clone();
                if has_restarted(gateway, &info) {
                    tracing::info!(target: LOG_TARGET, endpoint = %key, incarnation = info.incarnation, "endpoint started again");
                    suspects::record_endpoint_lost(gateway, key);
                }
                let changed = gateway.balancer().upsert(info);
                if changed {
                    peers::record_listed(gateway, &service, &software_version);
                } else {
                    gateway.balancer().record_repeated_entry(key, sequence, clock::now_ms());
                }
                match report {
                    ChangeReport::Each if changed => {
                        tracing::info!(target: LOG_TARGET, endpoint = %key, %service, leaving, %software_version, "endpoint changed");
                    }
                    ChangeReport::Batch => {
                        tracing::debug!(target: LOG_TARGET, endpoint = %key, %service, leaving, %software_version, "endpoint listed");
                    }
                    ChangeReport::Each => {}
                }
                if changed { RecordEffect::Change } else { RecordEffect::Heartbeat }
            }
            Err(error) => {
                // An endpoint whose entry cannot be decoded is not used.
                let known = gateway.balancer().remove(key);
                if !self.is_undecodable(key) && self.line_limit.admit() {
                    tracing::warn!(target: LOG_TARGET, endpoint = %key, %error, known, "entry of an endpoint is passed over");
                }
                RecordEffect::Undecodable
            }
        }
    }

    /// Whether the newest known entry of an endpoint cannot be decoded.
    pub(super) fn is_undecodable(&self, key: &str) -> bool {
        self.endpoints.value(key).is_some_and(Bytes::is_empty)
    }

    /// Ends the log lines of one read.
    pub(super) fn end_lines(&mut self) {
        if let Some(entries) = self.line_limit.end_read() {
            tracing::warn!(target: LOG_TARGET, entries, "more entries of endpoints are passed over");
        }
    }

    /// Handles a deleted entry. In the grace period after a store outage the endpoint is kept until
    /// the period ends.
    pub(super) fn endpoint_removed(&mut self, gateway: &Arc<Gateway>, key: &Name) {
        let now_ms = clock::now_ms();
        if now_ms < self.recovery_grace_until_ms {
            self.missing_until.insert(key.clone(), self.recovery_grace_until_ms);
            tracing::info!(target: LOG_TARGET, endpoint = %key, "entry lapsed while the store was away");
            return;
        }
        self.remove_endpoint(gateway, key);
    }

    pub(super) fn remove_endpoint(&mut self, gateway: &Arc<Gateway>, key: &Name) {
        self.reports.record_gone(key, clock::now_ms());
        gateway.departures.remove(key);
        suspects::record_endpoint_lost(gateway, key);
        if gateway.balancer().remove(key) {
            tracing::info!(target: LOG_TARGET, endpoint = %key, "endpoint gone");
        }
        gateway.pool.close_endpoint(key);
    }
}

/// Whether servers of a service may be ordered.
fn is_scaled(gateway: &Gateway, service: &str) -> bool {
    let configuration = gateway.configuration();
    configuration.is_some_and(|it| it.service(service).is_some_and(|it| it.scale.is_some()))
}

/// Whether the process that an endpoint announces is another one than before.
fn has_restarted(gateway: &Gateway, info: &EndpointInfo) -> bool {
    gateway.balancer().info(&info.id).is_some_and(|it| it.incarnation != info.incarnation)
}

pub(super) fn report_number(entry: &EndpointEntry) -> ReportNumber {
    ReportNumber { incarnation: entry.incarnation, sequence: entry.report_sequence }
}

/// Combines an endpoint's entry with its distance from this instance.
fn endpoint_info(gateway: &Gateway, key: &Name, entry: EndpointEntry) -> EndpointInfo {
    let region = gateway.region(&entry.availability_zone);
    let distance = if entry.availability_zone == gateway.settings.availability_zone {
        Distance::SameZone
    } else if region == gateway.settings.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    };
    EndpointInfo {
        id: key.clone(),
        service: entry.service,
        address: entry.address,
        availability_zone: entry.availability_zone,
        region,
        distance,
        slots: entry.slots,
        leaving: entry.leaving,
        incarnation: entry.incarnation,
        software_version: entry.software_version,
        is_spot: entry.is_spot,
    }
}
