//! What the quarantine recognizes a request by: its whole content, and each part of its prompt.

use smallvec::SmallVec;

use crate::{prompt_part::PromptPart, quarantine::Fingerprint};

/// What a request is recognized by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// Identifies the whole request.
    pub request: Fingerprint,
    /// Identify the parts of its prompt that other requests may share, in order.
    pub parts: SmallVec<[Fingerprint; 4]>,
}

impl RequestFingerprints {
    /// Fingerprints of a request to a service whose prompt has these parts. The last one is not
    /// shared with other requests.
    pub fn new(request: Fingerprint, service: &str, parts: &[PromptPart]) -> RequestFingerprints {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let fingerprint = |it: &PromptPart| Fingerprint::of_part(service, &it.id.to_le_bytes());
        RequestFingerprints { request, parts: shared.iter().map(fingerprint).collect() }
    }

    /// Fingerprints of a request without a prompt.
    pub fn without_parts(request: Fingerprint) -> RequestFingerprints {
        RequestFingerprints { request, parts: SmallVec::new() }
    }

    /// All fingerprints.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// Whether a fingerprint is one of them.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.iter().any(|it| it == fingerprint)
    }
}
