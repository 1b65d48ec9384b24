//! What a plain scalar of YAML is.

/// A plain scalar.
pub(crate) enum Scalar {
    Bool(bool),
    Unsigned(u64),
    Signed(i64),
    Float(f64),
    Text,
}

/// What a plain scalar is, by the core schema of YAML 1.2 without octal and hexadecimal.
pub(crate) fn scalar(text: &str) -> Scalar {
    match text {
        "true" | "True" | "TRUE" => return Scalar::Bool(true),
        "false" | "False" | "FALSE" => return Scalar::Bool(false),
        _ => {}
    }
    if !text.starts_with(|it: char| it.is_ascii_digit() || matches!(it, '+' | '-' | '.')) {
        return Scalar::Text;
    }
    if let Ok(it) = text.parse() {
        return Scalar::Unsigned(it);
    }
    if let Ok(it) = text.parse() {
        return Scalar::Signed(it);
    }
    match text.parse::<f64>() {
        Ok(it) if it.is_finite() => Scalar::Float(it),
        _ => Scalar::Text,
    }
}
