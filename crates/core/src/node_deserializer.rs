//! Serde deserializer for a [`Node`], whose errors carry the path of the value.

use serde::{
    Deserializer,
    de::{self, DeserializeSeed, Unexpected, Visitor},
    forward_to_deserialize_any,
};

use crate::{
    finding::PathSegment,
    node::{Key, Node, Value},
    path_chain::PathChain,
    read_error::ReadError,
    scalar::Scalar,
};

/// Text that a placeholder gives. It also parses as a socket address.
const PLACEHOLDER_TEXT: &str = "0.0.0.0:0";

/// Deserializes a [`Node`]. Placeholders give a default value of the expected type.
pub(crate) struct NodeDeserializer<'a, 't> {
    node: &'a Node,
    chain: PathChain<'t>,
}

impl<'a, 't> NodeDeserializer<'a, 't> {
    pub(crate) fn new(node: &'a Node) -> NodeDeserializer<'a, 't> {
        NodeDeserializer { node, chain: PathChain { parent: None, step: None } }
    }

    fn unexpected<V: Visitor<'a>>(&self, visitor: &V) -> ReadError {
        let unexpected = match &self.node.value {
            Value::Scalar { .. } if self.node.is_null() => Unexpected::Unit,
            Value::Scalar { text, .. } => Unexpected::Str(text),
            Value::Sequence(_) => Unexpected::Seq,
            Value::Mapping(_) => Unexpected::Map,
            Value::Placeholder => Unexpected::Other("a placeholder"),
        };
        de::Error::invalid_type(unexpected, visitor)
    }

    /// The text of an unquoted scalar, which may be a number or a boolean.
    fn plain(&self) -> Option<&'a str> {
        match &self.node.value {
            Value::Scalar { text, plain: true } => Some(text),
            _ => None,
        }
    }

    fn any<V: Visitor<'a>>(&self, visitor: V) -> Result<V::Value, ReadError> {
        match &self.node.value {
            Value::Placeholder => visitor.visit_unit(),
            Value::Sequence(_) => self.seq(visitor),
            Value::Mapping(_) => self.map(visitor, &[]),
            Value::Scalar { .. } if self.node.is_null() => visitor.visit_unit(),
            Value::Scalar { text, plain: true } => match Scalar::resolve(text) {
                Scalar::Bool(it) => visitor.visit_bool(it),
                Scalar::Unsigned(it) => visitor.visit_u64(it),
                Scalar::Signed(it) => visitor.visit_i64(it),
                Scalar::Float(it) => visitor.visit_f64(it),
                Scalar::Text => visitor.visit_str(text),
            },
            Value::Scalar { text, .. } => visitor.visit_str(text),
        }
    }

    fn number<V: Visitor<'a>>(&self, visitor: V) -> Result<V::Value, ReadError> {
        if matches!(self.node.value, Value::Placeholder) {
            return visitor.visit_u64(0);
        }
        match self.plain().map(Scalar::resolve) {
            Some(Scalar::Unsigned(it)) => visitor.visit_u64(it),
            Some(Scalar::Signed(it)) => visitor.visit_i64(it),
            Some(Scalar::Float(it)) => visitor.visit_f64(it),
            _ => Err(self.unexpected(&visitor)),
        }
    }

    fn boolean<V: Visitor<'a>>(&self, visitor: V) -> Result<V::Value, ReadError> {
        if matches!(self.node.value, Value::Placeholder) {
            return visitor.visit_bool(false);
        }
        match self.plain().map(Scalar::resolve) {
            Some(Scalar::Bool(it)) => visitor.visit_bool(it),
            _ => Err(self.unexpected(&visitor)),
        }
    }

    fn text<V: Visitor<'a>>(&self, visitor: V) -> Result<V::Value, ReadError> {
        match &self.node.value {
            Value::Placeholder => visitor.visit_str(PLACEHOLDER_TEXT),
            Value::Scalar { text, .. } if !self.node.is_null() => visitor.visit_str(text),
            _ => Err(self.unexpected(&visitor)),
        }
    }

    fn seq<V: Visitor<'a>>(&self, visitor: V) -> Result<V::Value, ReadError> {
        match &self.node.value {
            Value::Placeholder => {
                visitor.visit_seq(Elements { nodes: &[], index: 0, chain: &self.chain })
            }
            Value::Sequence(nodes) => {
                visitor.visit_seq(Elements { nodes, index: 0, chain: &self.chain })
            }
            _ => Err(self.unexpected(&visitor)),
        }
    }

    fn map<V: Visitor<'a>>(
        &self,
        visitor: V,
        fields: &'static [&'static str],
    ) -> Result<V::Value, ReadError> {
        let chain = &self.chain;
        match &self.node.value {
            Value::Placeholder => {
                visitor.visit_map(PlaceholderFields { fields, node: self.node, chain })
            }
            Value::Mapping(entries) => {
                visitor.visit_map(Entries { entries, value: None, fields, chain })
            }
            _ => Err(self.unexpected(&visitor)),
        }
    }

    fn variant<V: Visitor<'a>>(
        &self,
        visitor: V,
        variants: &'static [&'static str],
    ) -> Result<V::Value, ReadError> {
        use de::IntoDeserializer;
        match &self.node.value {
            Value::Placeholder => {
                let first = variants.first().copied().unwrap_or_default();
                visitor.visit_enum(first.into_deserializer())
            }
            Value::Scalar { text, .. } if !self.node.is_null() => {
                visitor.visit_enum(text.as_str().into_deserializer())
            }
            Value::Mapping(entries) if entries.len() == 1 => {
                visitor.visit_enum(Variant { entry: &entries[0], chain: &self.chain })
            }
            _ => Err(self.unexpected(&visitor)),
        }
    }
}

/// Defines deserializer methods that call a reader and add the path to its errors.
macro_rules! forward_to_readers {
    ($($method:ident => $reader:ident),* $(,)?) => {
        $(fn $method<V: Visitor<'a>>(self, visitor: V) -> Result<V::Value, ReadError> {
            self.$reader(visitor).map_err(|it| it.at(&self.chain))
        })*
    };
}

impl<'a> Deserializer<'a> for NodeDeserializer<'a, '_> {
    type Error = ReadError;

    forward_to_readers! {
        deserialize_any => any,
        deserialize_bool => boolean,
        deserialize_u8 => number,
        deserialize_u16 => number,
        deserialize_u32 => number,
        deserialize_u64 => number,
        deserialize_i8 => number,
        deserialize_i16 => number,
        deserialize_i32 => number,
        deserialize_i64 => number,
        deserialize_f32 => number,
        deserialize_f64 => number,
        deserialize_str => text,
        deserialize_string => text,
        deserialize_identifier => text,
        deserialize_seq => seq,
    }

    fn deserialize_option<V: Visitor<'a>>(self, visitor: V) -> Result<V::Value, ReadError> {
        if self.node.is_null() || matches!(self.node.value, Value::Placeholder) {
            return visitor.visit_none();
        }
        visitor.visit_some(self)
    }

    fn deserialize_newtype_struct<V: Visitor<'a>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_map<V: Visitor<'a>>(self, visitor: V) -> Result<V::Value, ReadError> {
        self.map(visitor, &[]).map_err(|it| it.at(&self.chain))
    }

    fn deserialize_struct<V: Visitor<'a>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        self.map(visitor, fields).map_err(|it| it.at(&self.chain))
    }

    fn deserialize_enum<V: Visitor<'a>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        self.variant(visitor, variants).map_err(|it| it.at(&self.chain))
    }

    forward_to_deserialize_any! {
        <V: Visitor<'a>>
        i128 u128 char bytes byte_buf unit unit_struct tuple tuple_struct ignored_any
    }
}

struct Elements<'a, 't> {
    nodes: &'a [Node],
    /// Index of the next element.
    index: usize,
    chain: &'t PathChain<'t>,
}

impl<'a> de::SeqAccess<'a> for Elements<'a, '_> {
    type Error = ReadError;

    fn next_element_seed<T: DeserializeSeed<'a>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ReadError> {
        let Some(node) = self.nodes.get(self.index) else {
            return Ok(None);
        };
        let step = Some(PathSegment::Index(self.index));
        self.index += 1;
        read(node, self.chain, step, seed).map(Some)
    }

    fn size_hint(&self) -> Option<usize> {
        Some(self.nodes.len() - self.index)
    }
}

struct Entries<'a, 't> {
    entries: &'a [(Key, Node)],
    value: Option<&'a (Key, Node)>,
    /// The known fields. Empty if any field is allowed.
    fields: &'static [&'static str],
    chain: &'t PathChain<'t>,
}

impl<'a> de::MapAccess<'a> for Entries<'a, '_> {
    type Error = ReadError;

    fn next_key_seed<K: DeserializeSeed<'a>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ReadError> {
        use de::{Error, IntoDeserializer};
        let Some((entry, rest)) = self.entries.split_first() else {
            return Ok(None);
        };
        self.entries = rest;
        self.value = Some(entry);
        let key = &entry.0;
        if !self.fields.is_empty() && !self.fields.contains(&key.text.as_str()) {
            let mut error = ReadError::unknown_field(&key.text, self.fields);
            error.0.key_location = Some(key.location);
            return Err(error);
        }
        seed.deserialize(key.text.as_str().into_deserializer()).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'a>>(&mut self, seed: V) -> Result<V::Value, ReadError> {
        use de::Error;
        let Some((key, node)) = self.value.take() else {
            return Err(ReadError::custom("a value requested before its key"));
        };
        read(node, self.chain, Some(PathSegment::Field(key.text.clone())), seed)
    }
}

/// The fields of a struct in whose place there is a placeholder.
struct PlaceholderFields<'a, 't> {
    fields: &'static [&'static str],
    node: &'a Node,
    chain: &'t PathChain<'t>,
}

impl<'a> de::MapAccess<'a> for PlaceholderFields<'a, '_> {
    type Error = ReadError;

    fn next_key_seed<K: DeserializeSeed<'a>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ReadError> {
        use de::IntoDeserializer;
        let Some((field, rest)) = self.fields.split_first() else {
            return Ok(None);
        };
        self.fields = rest;
        seed.deserialize((*field).into_deserializer()).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'a>>(&mut self, seed: V) -> Result<V::Value, ReadError> {
        read(self.node, self.chain, None, seed)
    }
}

struct Variant<'a, 't> {
    entry: &'a (Key, Node),
    chain: &'t PathChain<'t>,
}

impl<'a, 't> de::EnumAccess<'a> for Variant<'a, 't> {
    type Error = ReadError;
    type Variant = Variant<'a, 't>;

    fn variant_seed<V: DeserializeSeed<'a>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Variant<'a, 't>), ReadError> {
        use de::IntoDeserializer;
        let name = self.entry.0.text.as_str();
        Ok((seed.deserialize(name.into_deserializer())?, self))
    }
}

impl Variant<'_, '_> {
    fn step(&self) -> Option<PathSegment> {
        Some(PathSegment::Field(self.entry.0.text.clone()))
    }
}

impl<'a> de::VariantAccess<'a> for Variant<'a, '_> {
    type Error = ReadError;

    fn unit_variant(self) -> Result<(), ReadError> {
        read(&self.entry.1, self.chain, self.step(), std::marker::PhantomData)
    }

    fn newtype_variant_seed<T: DeserializeSeed<'a>>(self, seed: T) -> Result<T::Value, ReadError> {
        read(&self.entry.1, self.chain, self.step(), seed)
    }

    fn tuple_variant<V: Visitor<'a>>(self, _len: usize, visitor: V) -> Result<V::Value, ReadError> {
        let step = self.step();
        let chain = PathChain { parent: Some(self.chain), step };
        NodeDeserializer { node: &self.entry.1, chain }.deserialize_seq(visitor)
    }

    fn struct_variant<V: Visitor<'a>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ReadError> {
        let step = self.step();
        let chain = PathChain { parent: Some(self.chain), step };
        NodeDeserializer { node: &self.entry.1, chain }.deserialize_struct("", fields, visitor)
    }
}

fn read<'a, S: DeserializeSeed<'a>>(
    node: &'a Node,
    parent: &PathChain<'_>,
    step: Option<PathSegment>,
    seed: S,
) -> Result<S::Value, ReadError> {
    let chain = PathChain { parent: Some(parent), step };
    seed.deserialize(NodeDeserializer { node, chain })
}
