//! The text of answers: fixed by the request's messages, so that anybody can
//! tell which request an answer, or a part of one, belongs to.

use std::fmt::Write;

use serde::Deserialize;
use serde_json::{Value, json};

use crate::body::Piece;

/// Id of chunks that belong to another answer.
const STRAY_ID: &str = "chatcmpl-stray-1";

/// The parts of a chat request's body that the engine reads.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ChatRequest {
    /// The model asked for.
    #[serde(default)]
    pub model: String,
    /// The messages; their hash fixes the answer.
    #[serde(default)]
    pub messages: Value,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    /// Limit of the answer's length, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Where an earlier attempt broke off.
    #[serde(default)]
    pub resume: Option<Resume>,
    /// What the fake is told by a test, unknown to the router.
    #[serde(default)]
    pub standin: Option<Hint>,
}

/// The part of an answer that an earlier attempt delivered.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Resume {
    /// Number of tokens delivered.
    pub delivered_tokens: u32,
    /// Their text.
    #[serde(default)]
    pub text: String,
}

/// What the fake is told by a test.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Hint {
    /// Length that the answer has unless `max_tokens` is less, in tokens.
    #[serde(default)]
    pub output_tokens: Option<u32>,
}

impl ChatRequest {
    /// The hash that fixes the answer.
    pub fn hash(&self) -> u64 {
        leading_u64(&blake3::hash(self.messages.to_string().as_bytes()))
    }

    /// Length of the answer in tokens, `default_tokens` where nothing says otherwise.
    pub fn output_tokens(&self, default_tokens: u32) -> u32 {
        let wanted = self.standin.as_ref().and_then(|it| it.output_tokens);
        let wanted_tokens = wanted.or(self.max_tokens).unwrap_or(default_tokens);
        wanted_tokens.min(self.max_tokens.unwrap_or(u32::MAX))
    }
}

/// Text of one token of the answer to the request with this hash.
pub fn token_text(hash: u64, token: u32) -> String {
    if token == 0 {
        return format!("answer-{hash:016x}");
    }
    format!(" {token}.{:04x}", mix(hash, token) & 0xffff)
}

/// Text of a range of tokens of the answer to the request with this hash.
pub fn answer_text(hash: u64, tokens: std::ops::Range<u32>) -> String {
    tokens.map(|it| token_text(hash, it)).collect()
}

/// Whole text of the answer to a request's body, if the body is readable.
pub fn expected_text(body: &[u8], default_tokens: u32) -> Option<String> {
    let request: ChatRequest = serde_json::from_slice(body).ok()?;
    Some(answer_text(request.hash(), 0..request.output_tokens(default_tokens)))
}

pub(crate) fn leading_u64(hash: &blake3::Hash) -> u64 {
    hash.as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn mix(hash: u64, token: u32) -> u64 {
    let mut word = hash ^ u64::from(token).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Numbers of tokens, as answers report them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// How the tokens of one run are written down.
pub(crate) struct Format {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) hash: u64,
    pub(crate) usage: Usage,
    pub(crate) nonsense: bool,
    /// The token whose chunk is another answer's.
    pub(crate) stray_token: Option<u32>,
}

impl Format {
    /// Appends a server-sent event; true if the stream is whole with it.
    pub(crate) fn write_event(&self, piece: &Piece, out: &mut String) -> bool {
        let is_stray = matches!(piece, Piece::Token(it) if Some(*it) == self.stray_token);
        let id = if is_stray { STRAY_ID } else { &self.id };
        let model = &self.model;
        let start = format_args!(
            r#"data: {{"id":"{id}","object":"chat.completion.chunk","model":"{model}","choices":[{{"index":0"#
        )
        .to_string();
        let written = match piece {
            _ if self.nonsense => write!(out, "data: {{\"choices\": nonsense\n\n"),
            Piece::Token(token) => {
                let role = if *token == 0 { r#""role":"assistant","# } else { "" };
                let hash = if is_stray { !self.hash } else { self.hash };
                let text = token_text(hash, *token);
                write!(
                    out,
                    "{start},\"delta\":{{{role}\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
                )
            }
            Piece::End => write!(
                out,
                "{start},\"delta\":{{}},\"finish_reason\":\"stop\"}}],\"usage\":{}}}\n\ndata: [DONE]\n\n",
                self.usage_json()
            ),
        };
        written.is_ok() && *piece == Piece::End
    }

    /// The whole answer.
    pub(crate) fn whole(&self, text: &str) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": self.usage_json(),
        })
    }

    fn usage_json(&self) -> Value {
        let Usage { prompt_tokens, cached_tokens, completion_tokens } = self.usage;
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
            "prompt_tokens_details": {"cached_tokens": cached_tokens},
        })
    }
}
