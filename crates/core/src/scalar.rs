//! Type resolution of plain YAML scalars.

/// Value of a plain scalar.
pub(crate) enum Scalar {
    Bool(bool),
    Unsigned(u64),
    Signed(i64),
    Float(f64),
    Text,
}

impl Scalar {
    /// Resolves a plain scalar by the core schema of YAML 1.2, without octal and hexadecimal
    /// numbers. Infinities and NaN are text.
    pub(crate) fn resolve(text: &str) -> Scalar {
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
}
