//! One chunk of a streamed completion, read without copying.
//!
//! Every generated token passes here, so that the visitors are written by hand:
//! they borrow from the event and skip what the router does not need.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
};

/// What of a chunk matters to the router.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Chunk<'a> {
    /// Id of the completion; the same in all chunks of one attempt.
    pub id: Option<Cow<'a, str>>,
    /// Generated text in the chunk; empty if it carries none.
    pub text: Cow<'a, str>,
    /// Whether the engine says that generation has ended.
    pub is_finished: bool,
    /// Whether it carries usage only, no choice.
    pub is_usage: bool,
    /// Whether it carries what cannot be resumed from text, as a tool call.
    pub is_opaque: bool,
}

/// A text, borrowed where it holds no escapes.
#[derive(Deserialize)]
#[serde(transparent)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// What the choices of a chunk carry together.
#[derive(Default)]
struct Choices<'a> {
    count: usize,
    choice: Choice<'a>,
}

#[derive(Default)]
struct Choice<'a> {
    text: Cow<'a, str>,
    is_finished: bool,
    has_tool_calls: bool,
}

#[derive(Default)]
struct Delta<'a> {
    text: Cow<'a, str>,
    has_tool_calls: bool,
}

struct ChunkVisitor;
struct ChoicesVisitor;
struct ChoiceVisitor;
struct DeltaVisitor;

impl<'de> Deserialize<'de> for Chunk<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Chunk<'de>, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

impl<'de> Deserialize<'de> for Choices<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Choices<'de>, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

impl<'de> Deserialize<'de> for Choice<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Choice<'de>, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

impl<'de> Deserialize<'de> for Delta<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Delta<'de>, D::Error> {
        deserializer.deserialize_map(DeltaVisitor)
    }
}

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chunk with `choices`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Chunk<'de>, A::Error> {
        let mut chunk = Chunk::default();
        let mut choices = None;
        while let Some(Text(key)) = map.next_key()? {
            match key.as_ref() {
                "id" => chunk.id = map.next_value::<Option<Text<'de>>>()?.map(|it| it.0),
                "choices" => choices = Some(map.next_value::<Choices<'de>>()?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let choices = choices.ok_or_else(|| A::Error::missing_field("choices"))?;
        chunk.is_usage = choices.count == 0;
        chunk.is_opaque = choices.count > 1 || choices.choice.has_tool_calls;
        chunk.is_finished = choices.choice.is_finished;
        chunk.text = choices.choice.text;
        Ok(chunk)
    }
}

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = Choices<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Choices<'de>, A::Error> {
        let mut choices = Choices::default();
        while let Some(choice) = seq.next_element::<Choice<'de>>()? {
            choices.count += 1;
            choices.choice.join(choice);
        }
        Ok(choices)
    }
}

impl<'de> Choice<'de> {
    fn join(&mut self, other: Choice<'de>) {
        self.is_finished |= other.is_finished;
        self.has_tool_calls |= other.has_tool_calls;
        if self.text.is_empty() {
            self.text = other.text;
        } else {
            self.text.to_mut().push_str(&other.text);
        }
    }
}

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = Choice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Choice<'de>, A::Error> {
        let mut choice = Choice::default();
        while let Some(Text(key)) = map.next_key()? {
            match key.as_ref() {
                "delta" => {
                    let delta = map.next_value::<Option<Delta<'de>>>()?.unwrap_or_default();
                    choice.text = delta.text;
                    choice.has_tool_calls = delta.has_tool_calls;
                }
                "finish_reason" => {
                    choice.is_finished = map.next_value::<Option<IgnoredAny>>()?.is_some();
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(choice)
    }
}

impl<'de> Visitor<'de> for DeltaVisitor {
    type Value = Delta<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a delta")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Delta<'de>, A::Error> {
        let mut delta = Delta::default();
        while let Some(Text(key)) = map.next_key()? {
            match key.as_ref() {
                "content" => {
                    let text = map.next_value::<Option<Text<'de>>>()?;
                    delta.text = text.map(|it| it.0).unwrap_or_default();
                }
                "tool_calls" => {
                    delta.has_tool_calls = map.next_value::<Option<IgnoredAny>>()?.is_some();
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(delta)
    }
}
