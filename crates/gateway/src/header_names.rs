//! Names of the headers that an instance reads and sets.

use hyper::header::HeaderName;

/// The deployment's name of each header.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id that the caller gave this attempt; endpoints echo it.
    pub request_id: HeaderName,
    /// Milliseconds until the caller stops waiting.
    pub time_left_ms: HeaderName,
    /// Parts of the prompt as a comma-separated list of `ID:TOKENS`, with the id in hexadecimal
    /// and the token count in decimal.
    pub prompt_parts: HeaderName,
    /// Client account that a request belongs to; set by the instance.
    pub client_account: HeaderName,
    /// Priority rank of the request at an engine, 0 the most urgent; set by the instance.
    pub priority: HeaderName,
    /// The only endpoint that may run the request; set by the instance.
    pub expected_endpoint: HeaderName,
    /// Present on every successful response that an endpoint itself produced.
    pub receipt: HeaderName,
    /// Present if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Load of the endpoint as comma-separated numbers: running requests, waiting requests, slots.
    pub load: HeaderName,
    /// Requests per second that an endpoint in need takes from all instances together, as a decimal
    /// number; absent while the endpoint has no limit.
    pub request_limit: HeaderName,
    /// `1` in all responses of an endpoint that is about to stop.
    pub leaving: HeaderName,
    /// Id of the last stream event that was delivered, for resuming a stream.
    pub last_event_id: HeaderName,
    /// Id of the attempt that brought the first event of a stream that the caller takes up again.
    pub resumes: HeaderName,
    /// Headers that are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}
